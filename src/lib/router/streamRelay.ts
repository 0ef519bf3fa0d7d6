/** Relays the events of a stream to the caller; a stream that broke is resumed with the response of another server. */
import type * as http from "node:http";
import { Verdict } from "../core/verdict.js";
import { waitForDrain } from "../node/waitForDrain.js";
import {
    forwardedResponseHeaders,
    parseEventId,
    parseEventWeightsVersion,
    type ResponseMetadata,
} from "../platform/index.js";
import { createEventStreamParser } from "./eventStreamParser.js";
import type { AttemptResult, Exchange } from "./exchangeState.js";
import { connectionCloseHeader } from "./localResponses.js";

/** Lower bound of the pause between events after which the server, or the network path to it, counts as failed. */
const MIN_PAUSE_TIMEOUT_MS = 1000;

/** A stream times out after a pause of this many times the longest pause that its route allows. */
const PAUSE_TIMEOUT_FACTOR = 4;

/** Describes the attempt whose response is relayed. */
export interface StreamAttempt {
    readonly metadata: ResponseMetadata;
    /** Weights version that the registry gives for the server, used if the response names none. */
    readonly registeredWeightsVersion: number | undefined;
    /** Timeout for the first event; `undefined` if only the request's expiry ends the wait. */
    readonly firstEventTimeoutMs: number | undefined;
    readonly onFirstEvent: () => void;
}

/** Relays complete events as they arrive. The response headers are sent with the first event. */
export async function relayStream(
    exchange: Exchange,
    upstream: http.IncomingMessage,
    { metadata, registeredWeightsVersion, firstEventTimeoutMs, onFirstEvent }: StreamAttempt,
): Promise<AttemptResult> {
    const { context, response, route } = exchange;
    const parser = exchange.streamParser ??
        createEventStreamParser({ parseId: parseEventId, parseWeightsVersion: parseEventWeightsVersion });
    const isResumed = exchange.streamParser !== undefined;
    // `maxEventGapMs` is infinite on routes that set no limit.
    const pauseTimeoutMs = Math.max(MIN_PAUSE_TIMEOUT_MS, PAUSE_TIMEOUT_FACTOR * Math.min(route.maxEventGapMs, 10_000));
    let hasFirstEvent = false;
    let timer = firstEventTimeoutMs === undefined ?
        undefined :
        setTimeout(() => upstream.destroy(new Error("no event in time")), firstEventTimeoutMs);
    try {
        for await (const chunk of upstream as AsyncIterable<Buffer>) {
            const completeEvents = parser.push(chunk);
            // Bytes that complete no event don't reset the timeout.
            if (completeEvents.length === 0) continue;
            clearTimeout(timer);
            timer = setTimeout(() => upstream.destroy(new Error("the stream paused too long")), pauseTimeoutMs);
            if (!hasFirstEvent) {
                hasFirstEvent = true;
                onFirstEvent();
                if (!response.headersSent) response.writeHead(200, streamHeaders(exchange, upstream.rawHeaders));
                exchange.streamParser = parser;
                exchange.weightsVersion ??= metadata.weightsVersion ?? registeredWeightsVersion;
            }
            exchange.weightsVersion = parser.weightsVersion() ?? exchange.weightsVersion;
            if (!response.write(completeEvents)) await waitForDrain(response);
        }
        const isComplete = parser.pendingBytes() === 0 && metadata.isSigned &&
            await context.connections.isComplete(upstream);
        if (!isComplete) return streamFailure(hasFirstEvent, "the stream ended early");
    }
    catch (error) {
        return streamFailure(hasFirstEvent, (error as Error).message);
    }
    finally {
        clearTimeout(timer);
        parser.discardPending();
    }
    if (!response.headersSent) response.writeHead(200, streamHeaders(exchange, upstream.rawHeaders));
    response.end();
    return { kind: "answered", summary: isResumed ? "200 resumed" : "200" };
}

function streamFailure(hasFirstEvent: boolean, summary: string): AttemptResult {
    return {
        kind: "failed",
        verdict: Verdict.mayHaveRun,
        summary: `${summary}${hasFirstEvent ? " after its first event" : ""}`,
        hasFirstEvent,
    };
}

function streamHeaders(exchange: Exchange, rawHeaders: readonly string[]): string[] {
    return [...forwardedResponseHeaders(rawHeaders), ...connectionCloseHeader(exchange.context)];
}
