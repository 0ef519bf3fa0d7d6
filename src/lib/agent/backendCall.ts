/**
 * Forwards an attempt to the backend server and relays the response. The response ends with an error if the
 * engine's version changed between dispatch and the end of the response.
 */
import type { IncomingMessage } from "node:http";
import { type EngineClient, type EngineState, openRequest, provesNotSent } from "../clients/index.js";
import { isBindingValid, Verdict } from "../core/index.js";
import { createLog } from "../observability/index.js";
import type { DispatchRequest } from "../rpc/index.js";
import { type AnswerSink, finish, refuse } from "./answerSink.js";
import { createOutputCounter } from "./outputCounter.js";

const log = createLog("agent:backendCall");

export interface BackendCallOptions {
    readonly backendUrl: string;
    readonly kind: "model" | "plain";
    readonly engine: EngineClient;
    /** Last known state of the engine. */
    readonly serving: () => EngineState;
}

const VERSION_CHANGED_ERROR = "the engine changed its version during the answer";

/** An attempt fails after this time without data from the backend server. */
const BACKEND_TIMEOUT_MS = 30_000;

const UNFORWARDED_HEADERS = new Set(["connection", "keep-alive", "transfer-encoding", "content-length", "date"]);

/** Resolves when the response has ended; `engineAtDispatch` is the engine's state at dispatch. */
export type BackendCall = (request: DispatchRequest, engineAtDispatch: EngineState, sink: AnswerSink) => Promise<void>;

export function createBackendCall(options: BackendCallOptions): BackendCall {
    async function forward(request: DispatchRequest, engineAtDispatch: EngineState, sink: AnswerSink): Promise<void> {
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
            log.info(
                "attempt %s: request to the backend server failed: %s",
                request.attemptId,
                (error as Error).message,
            );
            const verdict = provesNotSent(error) ? Verdict.notRun : Verdict.mayHaveRun;
            return refuse(sink, verdict, "the backend server is unavailable");
        }
        await relay(request, engineAtDispatch, response, sink);
    }

    async function relay(
        request: DispatchRequest,
        engineAtDispatch: EngineState,
        response: IncomingMessage,
        sink: AnswerSink,
    ): Promise<void> {
        if (options.kind === "model" && response.statusCode === 200 && !isFromEngineState(response, engineAtDispatch)) {
            response.destroy();
            return refuse(sink, Verdict.mayHaveRun, "the engine changed its version");
        }
        if (request.resumePosition > 0 && response.headers["x-engine-resumed"] !== String(request.resumePosition)) {
            response.destroy();
            return refuse(sink, Verdict.ran, "the engine can't resume the answer");
        }
        sink.send({ $case: "head", head: { status: response.statusCode ?? 502, headers: forwardedHeaders(response) } });
        const counter = createOutputCounter(response);
        try {
            for await (const received of response as AsyncIterable<Buffer>) {
                const data = counter.push(received);
                if (hasReloaded(engineAtDispatch)) {
                    response.destroy();
                    return finish(sink, Verdict.ran, VERSION_CHANGED_ERROR, counter.outputCount());
                }
                if (data.length > 0 && !sink.send({ $case: "data", data })) await sink.waitForDrain();
            }
            if (!counter.isComplete()) throw new Error("the stream ended early");
            const error = await findBindingError(engineAtDispatch);
            if (error === "" && counter.closing.length > 0) sink.send({ $case: "data", data: counter.closing });
            // The request did run even if the version changed, and another attempt must not resume its response.
            finish(sink, Verdict.ran, error, counter.outputCount());
        }
        catch (error) {
            response.destroy();
            log.info("attempt %s: response was interrupted: %s", request.attemptId, (error as Error).message);
            finish(sink, Verdict.mayHaveRun, "the backend server broke off its answer", counter.outputCount());
        }
    }

    /** Tells whether the last known state shows another load. An unreadable state (generation 0) doesn't. */
    function hasReloaded(engineAtDispatch: EngineState): boolean {
        const { generation } = options.serving();
        return options.kind === "model" && generation > 0 && generation !== engineAtDispatch.generation;
    }

    /** Returns an error if the engine no longer has the load that the attempt was bound to; otherwise "". */
    async function findBindingError(engineAtDispatch: EngineState): Promise<string> {
        if (options.kind === "plain") return "";
        const currentState = await options.engine.readState();
        const binding = { rootDigest: engineAtDispatch.digest, generation: engineAtDispatch.generation };
        return isBindingValid(binding, currentState) ? "" : VERSION_CHANGED_ERROR;
    }

    return forward;
}

function isFromEngineState(response: IncomingMessage, state: EngineState): boolean {
    return response.headers["x-engine-digest"] === state.digest &&
        response.headers["x-engine-generation"] === String(state.generation);
}

function forwardedHeaders(response: IncomingMessage): { name: string; value: string; }[] {
    return Object.entries(response.headers)
        .filter(([name]) => !UNFORWARDED_HEADERS.has(name))
        .map(([name, value]) => ({ name, value: Array.isArray(value) ? value.join(", ") : value ?? "" }));
}
