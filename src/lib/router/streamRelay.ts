/** Relays the events of a stream to the caller; a stream that broke is resumed with the response of another server. */
import type * as http from "node:http";
import VError from "verror";
import { createByteCollector } from "../core/byteCollector.js";
import { Verdict } from "../core/verdict.js";
import { forEachChunk } from "../node/forEachChunk.js";
import type { SilenceTimer } from "../node/silenceTimer.js";
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

/** Lower bound of the pause between events after which another server may take over. */
const MIN_PAUSE_TIMEOUT_MS = 1000;

/** Another server may take over after a pause of this many times the longest pause that the route allows. */
const PAUSE_TIMEOUT_FACTOR = 4;

/** Bound of the longest pause for routes that set none. */
const MAX_EVENT_GAP_MS = 10_000;

/** Comments that are held back at the same time. */
const MAX_COMMENT_BYTES = 64 * 1024;

/**
 * Servers cut off streams that nobody reads, so the end of a stream whose caller has paused for this long at any time
 * isn't a failure of the server. Later chunks don't matter: they may have been sent before the stream was cut off.
 */
const MIN_CALLER_PAUSE_MS = 1000;

/** Describes the attempt whose response is relayed. */
export interface StreamAttempt {
    readonly metadata: ResponseMetadata;
    /** Weights version that the registry gives for the server, used if the response names none. */
    readonly registeredWeightsVersion: number | undefined;
    /** Runs since the response headers; it is restarted with each event. */
    readonly silence: SilenceTimer;
    /** Cancels the attempt; a text as its reason tells why. */
    readonly signal: AbortSignal;
    readonly onFirstEvent: () => void;
    /** Called before bytes are sent to the caller. */
    readonly onDelivery: () => void;
    /** Called when the stream goes on after its first events, or is complete. */
    readonly onSurvival: () => void;
}

/** Relays complete events as they arrive. The response headers are sent with the first event. */
export async function relayStream(
    exchange: Exchange,
    upstream: http.IncomingMessage,
    stream: StreamAttempt,
): Promise<AttemptResult> {
    const { context, response, route } = exchange;
    const { metadata, registeredWeightsVersion, silence, signal, onFirstEvent, onDelivery, onSurvival } = stream;
    const fieldReaders = { parseId: parseEventId, parseWeightsVersion: parseEventWeightsVersion };
    // Each attempt has a parser of its own, because another one may be in progress.
    const parser = createEventStreamParser(fieldReaders, exchange.streamParser);
    const isResumed = exchange.streamParser !== undefined;
    // `maxEventGapMs` is infinite on routes that set no limit.
    const maxGapMs = Math.min(route.maxEventGapMs, MAX_EVENT_GAP_MS);
    const pauseTimeoutMs = Math.max(MIN_PAUSE_TIMEOUT_MS, PAUSE_TIMEOUT_FACTOR * maxGapMs);
    let hasFirstEvent = false;
    let hasSurvived = false;
    /** Time since which the caller hasn't read what waits for it. */
    let callerPausedAt: number | undefined;
    let hasCallerPaused = false;
    /** Received comments that aren't relayed yet, and the events that follow them. */
    const unsent = createByteCollector();

    function onFirstEvents(): void {
        hasFirstEvent = true;
        silence.start(pauseTimeoutMs);
        onFirstEvent();
        if (!response.headersSent) response.writeHead(200, streamHeaders(exchange, upstream.rawHeaders));
        exchange.streamParser = parser;
        exchange.weightsVersion ??= metadata.weightsVersion ?? registeredWeightsVersion;
    }

    function onFurtherEvents(): void {
        silence.restart();
        if (!hasSurvived) onSurvival();
        hasSurvived = true;
    }

    function onChunk(chunk: Buffer): Promise<void> | undefined {
        // Bytes that were read before the cancellation may follow it.
        if (signal.aborted) throw new VError("cancelled");
        const eventCountBefore = parser.eventCount();
        const completeEvents = parser.push(chunk);
        if (completeEvents.length === 0) return undefined;
        unsent.append(completeEvents);
        // Bytes that complete no event and comments don't restart the timer. Comments wait for the next event, so
        // that another server can still answer.
        if (parser.eventCount() === eventCountBefore) {
            if (unsent.byteCount() > MAX_COMMENT_BYTES) {
                throw new VError("comments exceed %d bytes", MAX_COMMENT_BYTES);
            }
            return undefined;
        }
        onDelivery();
        if (hasFirstEvent) onFurtherEvents();
        else onFirstEvents();
        exchange.weightsVersion = parser.weightsVersion() ?? exchange.weightsVersion;
        return response.write(unsent.take()) ? undefined : waitForCaller();
    }

    /** Waits for a caller that reads slowly; the server's pause counts from the time at which more is read from it. */
    async function waitForCaller(): Promise<void> {
        silence.stop();
        callerPausedAt = context.now();
        await waitForDrain(response);
        checkCallerPause();
        callerPausedAt = undefined;
        if (!upstream.destroyed) silence.restart();
    }

    function checkCallerPause(): void {
        if (callerPausedAt === undefined) return;
        hasCallerPaused ||= context.now() - callerPausedAt >= MIN_CALLER_PAUSE_MS;
    }

    function fail(summary: string): AttemptResult {
        checkCallerPause();
        return {
            kind: "failed",
            verdict: Verdict.mayHaveRun,
            summary: `${summary}${hasFirstEvent ? " after its first event" : ""}`,
            isCausedByEntry: hasCallerPaused,
            hasFirstEvent,
            hasSurvived,
        };
    }

    try {
        await forEachChunk(upstream, onChunk, context.readTurns);
        silence.stop();
        const isComplete = parser.pendingBytes() === 0 && metadata.isSigned &&
            await context.connections.isComplete(upstream);
        if (!isComplete) return fail("the stream ended early");
        if (signal.aborted) throw new VError("cancelled");
    }
    catch (error) {
        const reason: unknown = signal.reason;
        const summary = typeof reason === "string" ? reason : (error as Error).message;
        return fail(summary);
    }
    onDelivery();
    if (!response.headersSent) response.writeHead(200, streamHeaders(exchange, upstream.rawHeaders));
    response.end(unsent.take());
    if (!hasSurvived) onSurvival();
    return { kind: "answered", summary: isResumed ? "200 resumed" : "200" };
}

function streamHeaders(exchange: Exchange, rawHeaders: readonly string[]): string[] {
    return [...forwardedResponseHeaders(rawHeaders), ...connectionCloseHeader(exchange.context, exchange.response)];
}
