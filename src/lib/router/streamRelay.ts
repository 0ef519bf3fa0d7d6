/** Passes the events of a stream on to the caller, over as many servers as it takes. */
import type * as http from "node:http";
import { Verdict } from "../core/verdict.js";
import { drained } from "../node/drained.js";
import { answerHeaders, eventIdOf, eventWeightsOf, type ServerFacts } from "../platform/index.js";
import type { AttemptResult, Exchange } from "./exchangeState.js";
import { connectionHeader } from "./ownAnswers.js";
import { createStreamEvents } from "./streamEvents.js";

/** A stream pause this long means that the server or the path to it is gone. */
const MIN_PAUSE_TIMEOUT_MS = 1000;
const PAUSE_TIMEOUT_FACTOR = 4;

/** What the relay needs to know of the send whose answer it passes on. */
export interface StreamSource {
    readonly facts: ServerFacts;
    /** The version that the server is believed to hold, in case its answer doesn't say. */
    readonly heldWeights: number | undefined;
    /** Time within which the first event has to come; `undefined` if the caller's own limit is enough. */
    readonly firstEventMs: number | undefined;
    readonly onFirstEvent: () => void;
}

/** Passes whole events on as they arrive. The head goes out with the first event. */
export async function relayStream(
    exchange: Exchange,
    upstream: http.IncomingMessage,
    { facts, heldWeights, firstEventMs, onFirstEvent }: StreamSource,
): Promise<AttemptResult> {
    const { context, response, route } = exchange;
    const events = exchange.stream ?? createStreamEvents({ idOf: eventIdOf, weightsOf: eventWeightsOf });
    const isResumed = exchange.stream !== undefined;
    const pauseMs = Math.max(MIN_PAUSE_TIMEOUT_MS, PAUSE_TIMEOUT_FACTOR * Math.min(route.maxPauseMs, 10_000));
    let hasStarted = false;
    let timer = firstEventMs === undefined ?
        undefined :
        setTimeout(() => upstream.destroy(new Error("no event in time")), firstEventMs);
    try {
        for await (const piece of upstream as AsyncIterable<Buffer>) {
            const whole = events.push(piece);
            // Bytes that never make a whole event are no progress.
            if (whole.length === 0) continue;
            clearTimeout(timer);
            timer = setTimeout(() => upstream.destroy(new Error("the stream paused too long")), pauseMs);
            if (!hasStarted) {
                hasStarted = true;
                onFirstEvent();
                if (!response.headersSent) response.writeHead(200, streamHeaders(exchange, upstream.rawHeaders));
                exchange.stream = events;
                exchange.weights ??= facts.weights ?? heldWeights;
            }
            exchange.weights = events.weights() ?? exchange.weights;
            if (!response.write(whole)) await drained(response);
        }
        const isComplete = events.pendingBytes() === 0 && facts.isSigned && await context.connections.isWhole(upstream);
        if (!isComplete) return brokenStream(hasStarted, "the stream ended early");
    }
    catch (error) {
        return brokenStream(hasStarted, (error as Error).message);
    }
    finally {
        clearTimeout(timer);
        events.discardPending();
    }
    if (!response.headersSent) response.writeHead(200, streamHeaders(exchange, upstream.rawHeaders));
    response.end();
    return { kind: "answered", text: isResumed ? "200 resumed" : "200" };
}

function brokenStream(hasStarted: boolean, text: string): AttemptResult {
    return {
        kind: "failed",
        verdict: Verdict.mayHaveRun,
        text: `${text}${hasStarted ? " after its first event" : ""}`,
        hasBegun: hasStarted,
    };
}

function streamHeaders(exchange: Exchange, rawHeaders: readonly string[]): string[] {
    return [...answerHeaders(rawHeaders), ...connectionHeader(exchange.context)];
}
