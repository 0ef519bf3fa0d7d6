/**
 * The last check before the backend server. It refuses what it must not run, forwards the rest, and
 * voids an answer whose weights changed while it was made.
 */
import type { IncomingMessage } from "node:http";
import { Verdict } from "../core/index.js";
import { createLog } from "../observability/index.js";
import { type Engine, type EngineState, openRequest, wasNeverSent } from "../platform/index.js";
import type { AnswerFrame, DispatchRequest } from "../rpc/index.js";
import type { Claims } from "./claims.js";

const log = createLog("agent:gate");

/** One attempt's answer on its way to the entry. */
export interface AnswerSink {
    send(frame: NonNullable<AnswerFrame["frame"]>): void;
    end(): void;
    /** Aborts when the entry cancels the attempt. */
    readonly signal: AbortSignal;
}

export interface Gate {
    dispatch(request: DispatchRequest, sink: AnswerSink): Promise<void>;
    /** Waits until no request uses the engine and keeps new ones out until `resume` is called. */
    pause(): Promise<{ resume(): void; }>;
    /** Refuses all further requests and resolves when those in progress have ended. */
    drain(): Promise<void>;
    readonly running: () => number;
    readonly leaving: () => boolean;
}

export interface GateOptions {
    readonly backendUrl: string;
    readonly kind: "model" | "plain";
    readonly serving: () => EngineState;
    readonly engine: Engine;
    readonly claims: Claims;
    readonly now: () => number;
}

const RETRY_AFTER_MS = 500;

/** Time without any byte from the backend server after which an attempt fails. */
const BACKEND_TIMEOUT_MS = 30_000;

export function createGate(options: GateOptions): Gate {
    const idleWaiters: (() => void)[] = [];
    let running = 0;
    let paused = false;
    let leaving = false;

    async function dispatch(request: DispatchRequest, sink: AnswerSink): Promise<void> {
        const deadline = options.now() + request.remainingMs;
        const refusal = refusalOf(request);
        if (refusal !== undefined) return refuse(sink, Verdict.notRun, refusal);
        running++;
        try {
            await forward(request, deadline, sink);
        }
        finally {
            running--;
            if (running === 0) idleWaiters.splice(0).forEach(resolve => resolve());
        }
    }

    function refusalOf(request: DispatchRequest): string | undefined {
        if (leaving) return "the VM is leaving";
        if (options.kind === "plain") return undefined;
        if (paused) return "the engine is switching versions";
        if (options.serving().digest !== request.rootDigest) return "the engine doesn't serve the version";
        return undefined;
    }

    async function forward(request: DispatchRequest, deadline: number, caller: AnswerSink): Promise<void> {
        const sink = await options.claims.claim(request, deadline, caller);
        if (sink === undefined) return;
        const start = options.serving();
        if (options.now() >= deadline) return refuse(sink, Verdict.notRun, "the deadline has passed");
        sink.send({ $case: "admitted", admitted: { loadGeneration: start.generation, queueLength: 0 } });
        let response: IncomingMessage;
        try {
            response = await openRequest({
                method: request.method,
                url: options.backendUrl + request.path,
                headers: Object.fromEntries(request.headers.map(({ name, value }) => [name, value])),
                body: request.body,
                timeoutMs: BACKEND_TIMEOUT_MS,
                signal: sink.signal,
            });
        }
        catch (error) {
            log.info("attempt %s failed: %s", request.attemptId, (error as Error).message);
            const verdict = wasNeverSent(error) ? Verdict.notRun : Verdict.mayHaveRun;
            return refuse(sink, verdict, "the backend server is unavailable");
        }
        await relay(request, start, response, sink);
    }

    async function relay(
        request: DispatchRequest,
        start: EngineState,
        response: IncomingMessage,
        sink: AnswerSink,
    ): Promise<void> {
        if (options.kind === "model" && response.statusCode === 200 && !answeredBy(response, start)) {
            response.destroy();
            return refuse(sink, Verdict.mayHaveRun, "the engine changed its version");
        }
        sink.send({ $case: "head", head: { status: response.statusCode ?? 502, headers: headersOf(response) } });
        try {
            for await (const piece of response as AsyncIterable<Buffer>) {
                sink.send({ $case: "data", data: piece });
            }
            const error = await endProblem(start);
            finish(sink, error === "" ? Verdict.ran : Verdict.mayHaveRun, error);
        }
        catch (error) {
            log.info("attempt %s broke off: %s", request.attemptId, (error as Error).message);
            finish(sink, Verdict.mayHaveRun, "the backend server broke off its answer");
        }
    }

    /** Returns why the answer is void, or an empty string. */
    async function endProblem(start: EngineState): Promise<string> {
        if (options.kind === "plain") return "";
        const end = await options.engine.readState();
        const same = end.generation === start.generation && end.digest === start.digest;
        return same ? "" : "the engine changed its version during the answer";
    }

    async function pause(): Promise<{ resume(): void; }> {
        paused = true;
        await idle();
        return { resume: () => paused = false };
    }

    function drain(): Promise<void> {
        leaving = true;
        return idle();
    }

    function idle(): Promise<void> {
        if (running === 0) return Promise.resolve();
        return new Promise(resolve => idleWaiters.push(resolve));
    }

    return { dispatch, pause, drain, running: () => running, leaving: () => leaving };
}

function refuse(sink: AnswerSink, verdict: Verdict, reason: string): void {
    sink.send({ $case: "refused", refused: { verdict, reason, retryAfterMs: RETRY_AFTER_MS, status: 0 } });
    sink.end();
}

function finish(sink: AnswerSink, verdict: Verdict, error: string): void {
    sink.send({ $case: "end", end: { verdict, error, outputTokens: 0 } });
    sink.end();
}

function answeredBy(response: IncomingMessage, state: EngineState): boolean {
    return response.headers["x-engine-digest"] === state.digest &&
        response.headers["x-engine-generation"] === String(state.generation);
}

const HOP_HEADERS = new Set(["connection", "keep-alive", "transfer-encoding", "content-length", "date"]);

function headersOf(response: IncomingMessage): { name: string; value: string; }[] {
    return Object.entries(response.headers)
        .filter(([name]) => !HOP_HEADERS.has(name))
        .map(([name, value]) => ({ name, value: Array.isArray(value) ? value.join(", ") : value ?? "" }));
}
