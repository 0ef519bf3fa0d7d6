/** Sends error responses as problem documents (`application/problem+json`, RFC 9457) with a verdict. */
import type { ServerResponse } from "node:http";
import { Verdict } from "../core/index.js";

export interface Problem {
    readonly status: number;
    /** Short human-readable summary that is the same for every occurrence. */
    readonly title: string;
    readonly detail: string;
    readonly verdict: Verdict;
    /** Delay in milliseconds after which a retry may succeed. */
    readonly retryAfterMs?: number;
    /** Extension members, for example both values of a conflict. */
    readonly extra?: Readonly<Record<string, unknown>>;
}

export const VERDICT_HEADER = "endivewell-verdict";

/** Sends the problem document, or destroys the response if it has already started. */
export function sendProblem(response: ServerResponse, problem: Problem): void {
    if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
    }
    const { status, title, detail, verdict, retryAfterMs, extra } = problem;
    if (retryAfterMs !== undefined) response.setHeader("retry-after", Math.ceil(retryAfterMs / 1000));
    const body = JSON.stringify({ type: "about:blank", title, status, detail, verdict, ...extra });
    response.writeHead(status, {
        "content-type": "application/problem+json",
        "content-length": Buffer.byteLength(body),
        [VERDICT_HEADER]: verdict,
    });
    response.end(body);
}

/** Creates a problem for a request that is rejected before dispatch. */
export function rejection(status: number, title: string, detail: string): Problem {
    return { status, title, detail, verdict: Verdict.notRun };
}

export const TOO_MANY_REQUESTS: Problem = {
    ...rejection(429, "too many requests", "the account has too many requests in progress; retry when some have ended"),
    retryAfterMs: 1000,
};

export const BODY_MEMORY_EXHAUSTED: Problem = {
    ...rejection(503, "the entry is overloaded", "the entry holds too many request bodies; retry later"),
    retryAfterMs: 1000,
};
