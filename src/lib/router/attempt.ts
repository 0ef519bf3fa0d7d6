/** Sends a request to one backend server and relays the response to the caller, or reports why that failed. */
import type * as http from "node:http";
import VError from "verror";
import { type Assignment, type BackendServer, Outcome, RequestKind } from "../core/serving/index.js";
import { Verdict } from "../core/verdict.js";
import { readLimitedBody } from "../node/limitedBody.js";
import { hasResponseBody } from "../node/responseBody.js";
import { createSilenceTimer } from "../node/silenceTimer.js";
import {
    forwardedRequestHeaders,
    forwardedResponseHeaders,
    parseResponseMetadata,
    type ResponseMetadata,
} from "../platform/index.js";
import { type AttemptResult, type Dispatch, type Exchange, isRetryableRoute } from "./exchangeState.js";
import { sendBuffered } from "./localResponses.js";
import { relayStream, type StreamAttempt } from "./streamRelay.js";

/** Lower bound of the time after which a response is overdue; engines can stall for up to 1.5 s. */
const MIN_RESPONSE_TIMEOUT_MS = 1000;

/** A response is overdue after this many times the target or the predicted time, whichever is larger. */
const RESPONSE_TIMEOUT_FACTOR = 3;

/** Subtracted from the deadline sent to the server, because the caller's timeout starts before the request arrives. */
const DEADLINE_MARGIN_MS = 20;

/** Largest response body that is buffered; streams are relayed without this limit. */
const MAX_RESPONSE_BODY_BYTES = 16 * 1024 * 1024;

/** Limits for the body of a refusal, which is read only to keep its connection open. */
const MAX_DISCARDED_BYTES = 64 * 1024;
const DISCARD_TIMEOUT_MS = 1000;

/** An attempt, beside which others of the same request may be in progress. */
export interface AttemptOptions extends Dispatch {
    /** Aborted when another attempt begins to answer the caller. */
    readonly supersession: AbortSignal;
    /**
     * Called while the server is silent for too long, with a function that tells whether it still is. Resolves with
     * whether the request was sent to another server.
     */
    readonly onSilence: (isSilent: () => boolean) => Promise<boolean>;
    /** Called before bytes are sent to the caller. Other attempts must send none from then on. */
    readonly onDelivery: () => void;
}

/** Sends the request to the assigned server and relays its response. Never throws; failures are in the result. */
export async function runAttempt(
    exchange: Exchange,
    { assignment, dispatchId, supersession, onSilence, onDelivery }: AttemptOptions,
): Promise<AttemptResult> {
    const { context, route, caller } = exchange;
    const { server } = assignment;
    const cancellation = new AbortController();
    const onAbort = () => cancellation.abort();
    exchange.cancellation.signal.addEventListener("abort", onAbort, { once: true });
    // The exchange may have been cancelled while the slot was reserved.
    if (exchange.cancellation.signal.aborted) onAbort();
    exchange.triedServerIds.add(server.id);
    const sentAt = context.now();
    /** What the silence of the server means at this stage of the attempt; for the log. */
    let silenceReason = "the answer timed out";
    let hasRecordedSilence = false;
    const silence = createSilenceTimer(async () => {
        // They may have fallen silent with the connection of this attempt.
        context.connections.closeIdle(server.id);
        try {
            if (!await onSilence(() => silence.isExpired() && !cancellation.signal.aborted)) return;
            // Recorded at once, because a server that hangs would receive further requests until this one ends.
            recordOutcome(exchange, server, Outcome.broken);
            hasRecordedSilence = true;
        }
        catch (error) {
            context.log.warn("successor not found", { id: caller.id, error: (error as Error).message });
        }
    });
    silence.start(silenceTimeoutMs(exchange, assignment, sentAt));
    let isSuperseded = false;
    supersession.addEventListener("abort", () => {
        isSuperseded = !silence.isExpired();
        cancellation.abort(isSuperseded ? "another server answered" : silenceReason);
    }, { once: true });
    const { startDeadline } = assignment;
    let hasStarted = false;
    const startTimer = startDeadline === undefined || startDeadline >= exchange.expiresAt ?
        undefined :
        setTimeout(() => {
            // An event that has arrived is read before the check.
            setImmediate(() => {
                if (!hasStarted) cancellation.abort("outdated weights");
            });
        }, Math.max(1, startDeadline - sentAt));
    try {
        const response = await context.connections.send({
            serverId: server.id,
            address: server.address,
            method: exchange.request.method ?? "GET",
            path: exchange.request.url ?? "/",
            headers: forwardedRequestHeaders(exchange.request.rawHeaders, {
                serverId: server.id,
                remainingMs: exchange.expiresAt - sentAt - DEADLINE_MARGIN_MS,
                account: exchange.account?.name,
                rank: exchange.account?.rank ?? route.rank,
                requiredWeightsVersion: assignment.requiredVersion,
                lastEventId: exchange.streamParser?.lastEventId() ?? caller.lastEventId,
            }, exchange.body.length),
            body: exchange.body,
            signal: cancellation.signal,
            isRetryable: isRetryableRoute(route),
            mayWrite: () => context.coldLimit.recordWrite(dispatchId, context.now()),
        });
        const metadata = parseResponseMetadata(response.statusCode ?? 0, response.headers);
        context.serverNotices.record(server, response.statusCode ?? 0, metadata);
        if (metadata.slowdown !== undefined) {
            context.speed.recordReport(server.id, metadata.slowdown, context.now());
        }
        const headReceivedAt = context.now();
        const isQueueLong = metadata.load !== undefined && metadata.load.waiting > 0 &&
            metadata.load.waiting >= metadata.load.running;
        if (isStreamResponse(exchange, response)) {
            silenceReason = "no event in time";
            silence.start(silenceTimeoutMs(exchange, assignment, context.now()));
        }
        else {
            silence.stop();
            hasStarted = true;
        }
        const result = await readResponse(exchange, response, {
            metadata,
            registeredWeightsVersion: server.weights?.version,
            silence,
            signal: cancellation.signal,
            onFirstEvent: () => {
                silenceReason = "the stream paused too long";
                hasStarted = true;
                recordFirstEvent(exchange, { assignment, dispatchId }, sentAt, isQueueLong);
            },
            onDelivery,
            onSurvival: () => context.promptGuard.recordSurvival(caller, server.service),
        });
        if (result.kind === "answered" && !isStreamResponse(exchange, response) && !hasEngine(exchange, server)) {
            recordAnswer(exchange, assignment, undefined, headReceivedAt - sentAt, isQueueLong);
        }
        const isSilent = silence.isExpired() && !isSuperseded;
        recordResult(exchange, assignment, result, { metadata, isSilent, isSuperseded, hasRecordedSilence });
        return result.kind === "failed" ? { ...result, isSuperseded } : result;
    }
    catch (error) {
        const verdict = (VError.info(error as Error).verdict as Verdict | undefined) ?? Verdict.mayHaveRun;
        const outcome = verdict === Verdict.notRun ? Outcome.unreachable : Outcome.broken;
        const isWithheld = VError.info(error as Error).isWithheld === true;
        const isOverdue = context.now() - sentAt >= overdueAfterMs(exchange, assignment);
        const isCancelled = exchange.cancellation.signal.aborted || isSuperseded ||
            hasOutdatedWeights(assignment, context.now());
        if (!hasRecordedSilence && !isWithheld && (!isCancelled || isOverdue)) {
            recordOutcome(exchange, server, outcome);
            if (outcome === Outcome.unreachable) context.coldServers.recordPossibleStart(server, context.now());
        }
        if (verdict !== Verdict.notRun) exchange.verdicts.push(verdict);
        context.metrics.sends.inc({ result: outcome });
        return { kind: "failed", verdict, summary: (error as Error).message, isSuperseded };
    }
    finally {
        silence.stop();
        hasStarted = true;
        clearTimeout(startTimer);
        exchange.cancellation.signal.removeEventListener("abort", onAbort);
        context.reservations.release(assignment, dispatchId);
        context.dispatcher.recordEnd(dispatchId, context.now());
    }
}

/** Returns how long the server may be silent, in milliseconds, before another one may take over. */
function silenceTimeoutMs(exchange: Exchange, assignment: Assignment, now: number): number {
    return Math.max(1, Math.min(overdueAfterMs(exchange, assignment), (exchange.expiresAt - now) / 2));
}

/** Tells whether the attempt was cancelled because of outdated weights, which says nothing about server health. */
function hasOutdatedWeights({ startDeadline }: Assignment, now: number): boolean {
    return startDeadline !== undefined && now >= startDeadline;
}

/** Time in milliseconds after which a server that hasn't started to respond counts as failing. */
function overdueAfterMs({ route }: Exchange, { predictedFirstEventMs }: Assignment): number {
    return Math.max(MIN_RESPONSE_TIMEOUT_MS, RESPONSE_TIMEOUT_FACTOR * Math.max(predictedFirstEventMs, route.targetMs));
}

function recordResult(
    exchange: Exchange,
    assignment: Assignment,
    result: AttemptResult,
    { metadata, isSilent, isSuperseded, hasRecordedSilence }: {
        readonly metadata: ResponseMetadata;
        readonly isSilent: boolean;
        readonly isSuperseded: boolean;
        readonly hasRecordedSilence: boolean;
    },
): void {
    const { context } = exchange;
    const outcome = outcomeFor(result, metadata);
    const hasFirstEvent = result.kind === "failed" && result.hasFirstEvent === true;
    const isCausedByEntry = result.kind === "failed" && result.isCausedByEntry === true;
    const isCancelled = exchange.cancellation.signal.aborted || isSuperseded || isCausedByEntry ||
        !hasFirstEvent && hasOutdatedWeights(assignment, context.now());
    // A caller that leaves a silent server has waited for it.
    const isServerFailure = !isCancelled || isSilent && hasFirstEvent;
    if (result.kind === "answered" || isServerFailure && !hasRecordedSilence) {
        recordOutcome(exchange, assignment.server, outcome);
    }
    context.metrics.sends.inc({ result: outcome });
    if (result.kind === "failed") exchange.verdicts.push(result.verdict);
}

function recordOutcome({ context }: Exchange, server: BackendServer, outcome: Outcome): void {
    context.health.recordOutcome(server.id, outcome, context.now());
    context.pace.recordOutcome(server, outcome, context.now());
}

function hasEngine({ context }: Exchange, { service }: BackendServer): boolean {
    return context.routeTable()?.findService(service)?.engine !== undefined;
}

/** Records an answer, or its first event, as evidence of how much work the server can take. */
function recordAnswer(
    { context }: Exchange,
    { server }: Assignment,
    predictedMs: number | undefined,
    measuredMs: number,
    isQueueLong: boolean,
): void {
    if (!context.pace.isTracked(server.id)) return;
    const { inFlight } = context.dispatcher;
    const { decoding, prefilling } = inFlight.loadOf(server.id, context.now());
    context.pace.recordAnswer(server, {
        predictedMs,
        measuredMs,
        runningCount: decoding + prefilling,
        ownCount: inFlight.countAtServer(server.id),
        isQueueLong,
    }, context.now());
}

function outcomeFor(result: AttemptResult, metadata: ResponseMetadata): Outcome {
    if (result.kind === "answered") return Outcome.success;
    if (metadata.isNotRun) return metadata.backoffMs === undefined ? Outcome.refused : Outcome.deferred;
    return result.errorResponse === undefined ? Outcome.broken : Outcome.error;
}

function isStreamResponse({ route }: Exchange, { statusCode }: http.IncomingMessage): boolean {
    return route.kind === RequestKind.stream && statusCode === 200;
}

async function readResponse(
    exchange: Exchange,
    response: http.IncomingMessage,
    stream: StreamAttempt,
): Promise<AttemptResult> {
    const { metadata } = stream;
    const status = response.statusCode ?? 0;
    if (metadata.requestId !== undefined && metadata.requestId !== exchange.caller.id) {
        response.destroy();
        return { kind: "failed", verdict: Verdict.mayHaveRun, summary: "the answer belongs to another request" };
    }
    const isNotRun = (metadata.isNotRun || status === 421) && status >= 400;
    if (isNotRun) {
        discardBody(response);
        return { kind: "failed", verdict: Verdict.notRun, summary: `refused with ${status}` };
    }
    if (isStreamResponse(exchange, response)) return relayStream(exchange, response, stream);
    const memory = exchange.context.bodyBudget.open();
    let isHeld = false;
    try {
        const maxBytes = hasResponseBody(exchange.request.method, status) ?
            MAX_RESPONSE_BODY_BYTES :
            Number.POSITIVE_INFINITY;
        const bodyResult = await readLimitedBody(response, {
            maxBytes,
            reserve: memory.reserve,
            turns: exchange.context.readTurns,
        });
        const isComplete = bodyResult.kind === "complete" && metadata.isSigned &&
            await exchange.context.connections.isComplete(response);
        if (!isComplete) {
            response.destroy();
            if (bodyResult.kind === "tooLarge" && bodyResult.isMemoryExhausted === true) {
                const summary = "no memory for the answer";
                return { kind: "failed", verdict: Verdict.mayHaveRun, summary, isCausedByEntry: true };
            }
            const summary = bodyResult.kind === "tooLarge" ? "the answer is too large" : "the answer is incomplete";
            return { kind: "failed", verdict: Verdict.mayHaveRun, summary };
        }
        if (status < 300) stream.onSurvival();
        const result = deliverBuffered(exchange, response, bodyResult.body, stream);
        isHeld = result.kind === "answered" || result.errorResponse !== undefined;
        return result;
    }
    finally {
        // The response closes once its caller's connection has taken all bytes.
        if (isHeld && !exchange.response.destroyed) exchange.response.once("close", memory.release);
        else memory.release();
    }
}

/** Sends a complete response to the caller, unless it is a server error that a retry may replace. */
function deliverBuffered(
    exchange: Exchange,
    response: http.IncomingMessage,
    body: Buffer,
    { signal, onDelivery }: StreamAttempt,
): AttemptResult {
    const status = response.statusCode ?? 0;
    const buffered = {
        status,
        headers: forwardedResponseHeaders(response.rawHeaders),
        body,
        contentLength: hasResponseBody(exchange.request.method, status) ?
            String(body.length) :
            response.headers["content-length"],
    };
    if (status >= 500) {
        return {
            kind: "failed",
            verdict: Verdict.mayHaveRun,
            summary: `failed with ${status}`,
            errorResponse: buffered,
        };
    }
    if (signal.aborted) return { kind: "failed", verdict: Verdict.mayHaveRun, summary: "cancelled" };
    if (exchange.response.headersSent) return { kind: "failed", verdict: Verdict.mayHaveRun, summary: "no stream" };
    exchange.firstEventAt = exchange.context.now();
    onDelivery();
    sendBuffered(exchange, buffered);
    return { kind: "answered", summary: String(status) };
}

/**
 * Reads the rest of a response that isn't needed, so that its connection can be used again. A longer or slower body
 * closes the connection.
 */
function discardBody(response: http.IncomingMessage): void {
    let receivedBytes = 0;
    const timer = setTimeout(() => response.destroy(), DISCARD_TIMEOUT_MS);
    response.on("data", (chunk: Buffer) => {
        receivedBytes += chunk.length;
        if (receivedBytes > MAX_DISCARDED_BYTES) response.destroy();
    });
    response.on("error", () => response.destroy());
    response.on("close", () => clearTimeout(timer));
}

function recordFirstEvent(
    exchange: Exchange,
    { assignment, dispatchId }: Dispatch,
    sentAt: number,
    isQueueLong: boolean,
): void {
    const { context, route } = exchange;
    const { server, predictedFirstEventMs, assumedSlowdown } = assignment;
    const now = context.now();
    const measuredMs = now - sentAt;
    const predictedMs = hasEngine(exchange, server) ? predictedFirstEventMs : undefined;
    recordAnswer(exchange, assignment, predictedMs, measuredMs, isQueueLong);
    context.dispatcher.recordFirstEvent(dispatchId, now);
    context.speed.recordFirstEvent(server.id, {
        predictedMs: predictedFirstEventMs,
        measuredMs,
        assumedSlowdown,
        isUnsettled: context.pace.isRamping(server.id),
    }, now);
    exchange.prediction = {
        predictedMs: Math.round(predictedFirstEventMs),
        actualMs: Math.round(measuredMs),
        slowdown: Math.round(assumedSlowdown * 100) / 100,
    };
    if (predictedFirstEventMs > 0) {
        context.metrics.predictionRatio.observe({ kind: route.kind }, measuredMs / predictedFirstEventMs);
    }
    if (exchange.firstEventAt !== undefined) return;
    exchange.firstEventAt = now;
    context.metrics.firstEventMs.observe({ kind: route.kind }, now - exchange.arrivedAt);
}
