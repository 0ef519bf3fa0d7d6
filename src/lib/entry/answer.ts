/** Relays a dispatched answer to the caller's HTTP response. */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { AnswerHead } from "../rpc/index.js";
import { sendProblem } from "./problem.js";
import type { AnswerReceiver, DispatchResult } from "./work.js";

/** A caller that reads nothing for this long is disconnected, which frees its slot at the engine. */
const SLOW_CALLER_TIMEOUT_MS = 15_000;

export interface CallerAnswer extends AnswerReceiver {
    /** Ends the response: normally, with a problem, or by breaking off a response that has begun. */
    finish(result: DispatchResult): void;
}

/** An event stream can carry an error after its head; any other response that has begun is broken off. */
export function createCallerAnswer(response: ServerResponse): CallerAnswer {
    const disconnect = new AbortController();
    response.on("close", () => {
        if (!response.writableFinished) disconnect.abort();
    });
    let eventStream = false;

    function head({ status, headers }: AnswerHead): void {
        const fields = Object.fromEntries(headers.map(({ name, value }) => [name, value]));
        eventStream = (fields["content-type"] ?? "").startsWith("text/event-stream");
        response.writeHead(status, fields);
    }

    async function data(piece: Buffer): Promise<void> {
        if (response.write(piece)) return;
        try {
            const limit = AbortSignal.timeout(SLOW_CALLER_TIMEOUT_MS);
            await once(response, "drain", { signal: AbortSignal.any([disconnect.signal, limit]) });
        }
        catch {
            response.destroy();
        }
    }

    function finish(result: DispatchResult): void {
        if (result.kind === "complete") {
            response.end();
            return;
        }
        const { verdict, reason, retryAfterMs } = result;
        if (!response.headersSent) {
            const status = result.status || (verdict === "notRun" ? 503 : 502);
            sendProblem(response, { status, title: "the request failed", detail: reason, verdict, retryAfterMs });
        }
        else if (eventStream) {
            response.end(`data: ${JSON.stringify({ error: { message: reason, type: "server_error", verdict } })}\n\n`);
        }
        else response.destroy();
    }

    return { head, data, finish, signal: disconnect.signal };
}
