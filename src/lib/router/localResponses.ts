/**
 * Ends requests with responses of the entry itself (refusals and failures) and logs the outcome of every request. A
 * response claims that the request didn't run only if no attempt can have run it.
 */
import type * as http from "node:http";
import { combineVerdicts, Verdict } from "../core/verdict.js";
import { type CallerRequest, localResponseHeaders } from "../platform/index.js";
import { type BufferedResponse, CancelReason, type Exchange, type ExchangeContext } from "./exchangeState.js";

/** Sent as Retry-After of refusals without an estimated wait, such as before the first configuration. */
export const DEFAULT_RETRY_AFTER_MS = 500;

/** Parts of prompts in a log line. */
export const MAX_LOGGED_PARTS = 32;

/** Time for which the rest of a body is read and discarded after an early response. */
const MAX_BODY_DISCARD_MS = 2000;

/**
 * Returns the header that asks the caller to close the connection while the process stops; otherwise no header. The
 * response must be sent with it.
 */
export function connectionCloseHeader(context: ExchangeContext, response: http.ServerResponse): string[] {
    if (!isLastOnConnection(context, response)) return [];
    context.closeAfter(response);
    return ["Connection", "close"];
}

/** A connection closes after the response that says so, so of pipelined responses only the last one may. */
function isLastOnConnection(context: ExchangeContext, response: http.ServerResponse): boolean {
    return context.isStopping() && !context.hasOtherRequests(response);
}

/** Sends a buffered response to the caller, unless a response has already started. */
export function sendBuffered(exchange: Exchange, { status, headers, body, contentLength }: BufferedResponse): void {
    const { response, context } = exchange;
    if (response.headersSent || response.destroyed) return;
    const lengthHeader = contentLength === undefined ? [] : ["Content-Length", contentLength];
    response.writeHead(status, [...headers, ...lengthHeader, ...connectionCloseHeader(context, response)]);
    response.end(body);
}

/**
 * Ends a request whose caller disconnected, whose time expired or that outlasts the grace period of a stop. An error of
 * its last server is relayed.
 */
export function finishCancelled(exchange: Exchange, errorResponse?: BufferedResponse): void {
    const { response } = exchange;
    const reason = String(exchange.cancellation.signal.reason);
    if (reason === CancelReason.callerLeft) {
        recordEnd(exchange, "abandoned", reason);
        return;
    }
    if (response.headersSent || errorResponse !== undefined) {
        finishFailed(exchange, reason, errorResponse);
        return;
    }
    const mayHaveRun = combineVerdicts(exchange.verdicts) !== Verdict.notRun;
    // A request that was cancelled at its server may have run; a 503 would claim that it didn't.
    if (reason === CancelReason.stopping) finishLocally(exchange, mayHaveRun ? 502 : 503, reason, 0);
    else finishLocally(exchange, mayHaveRun ? 504 : 503, reason, undefined);
}

/** Ends a request for which no server could be assigned. */
export function finishRefused(
    exchange: Exchange,
    reason: string,
    retryAfterMs: number = DEFAULT_RETRY_AFTER_MS,
): void {
    if (exchange.response.headersSent) {
        exchange.response.destroy();
        recordEnd(exchange, "failed", reason);
        return;
    }
    const mayHaveRun = combineVerdicts(exchange.verdicts) !== Verdict.notRun;
    exchange.context.metrics.refusals.inc({ reason });
    finishLocally(exchange, mayHaveRun ? 502 : 503, reason, retryAfterMs);
}

/** Ends a request whose last attempt failed, with the server's own error response if there is one. */
export function finishFailed(
    exchange: Exchange,
    reason: string,
    errorResponse?: BufferedResponse,
    retryAfterMs: number = DEFAULT_RETRY_AFTER_MS,
): void {
    const { response } = exchange;
    if (response.headersSent) {
        response.destroy();
        recordEnd(exchange, "failed", reason);
        return;
    }
    if (errorResponse !== undefined) {
        sendBuffered(exchange, errorResponse);
        recordEnd(exchange, "failed", `${reason}, passed on`);
        return;
    }
    const mayHaveRun = combineVerdicts(exchange.verdicts) !== Verdict.notRun;
    finishLocally(exchange, mayHaveRun ? 502 : 503, reason, mayHaveRun ? undefined : retryAfterMs);
}

function finishLocally(exchange: Exchange, status: number, reason: string, retryAfterMs: number | undefined): void {
    const { response, caller, context } = exchange;
    recordEnd(exchange, status === 503 ? "refused" : "failed", reason, { status, retryAfterMs });
    sendLocalResponse(context, response, status, reason, caller, status === 503 ? retryAfterMs : undefined);
}

/** Refuses a request for which no `Exchange` exists yet, such as one without a route. */
export function refuseRequest(
    context: ExchangeContext,
    response: http.ServerResponse,
    status: number,
    reason: string,
    caller: CallerRequest,
    retryAfterMs?: number,
): void {
    context.metrics.refusals.inc({ reason });
    context.log.warn("request refused", {
        id: caller.id,
        status,
        reason,
        version: configurationVersion(context),
        versionAgeMs: context.configurationAgeMs(),
    });
    sendLocalResponse(context, response, status, reason, caller, retryAfterMs);
}

function sendLocalResponse(
    context: ExchangeContext,
    response: http.ServerResponse,
    status: number,
    reason: string,
    caller: CallerRequest,
    retryAfterMs: number | undefined,
): void {
    if (response.headersSent || response.destroyed) return;
    const body = JSON.stringify({ error: reason });
    // What is left of a body would be taken for the next request.
    const isLast = isLastOnConnection(context, response) || !isBodyReceived(response);
    if (isLast) context.closeAfter(response);
    response.writeHead(status, {
        ...localResponseHeaders(retryAfterMs, caller.id),
        "Content-Type": "application/json",
        "Content-Length": Buffer.byteLength(body),
        ...isLast ? { Connection: "close" } : {},
    });
    response.write(body);
    endAfterBody(response);
}

function isBodyReceived({ req }: http.ServerResponse): boolean {
    return req.complete;
}

/**
 * Ends a response once the rest of the request's body has been read. If the connection closed before, the caller would
 * be reset while it sends the body, and could lose the response.
 */
function endAfterBody(response: http.ServerResponse): void {
    const { req: request } = response;
    if (isBodyReceived(response) || request.destroyed) {
        response.end();
        return;
    }
    const finish = () => {
        clearTimeout(timer);
        request.off("end", finish).off("close", finish);
        response.end();
    };
    const timer = setTimeout(finish, MAX_BODY_DISCARD_MS);
    request.once("end", finish).once("close", finish);
    request.resume();
}

/** Logs that a caller disconnected before its body had arrived. */
export function recordAbandonedBody({ log }: ExchangeContext, { id }: CallerRequest): void {
    log.warn("request abandoned", { id, reason: "the caller left before the end of its body" });
}

/** Logs the outcome of a request and records it in the metrics. */
export function recordEnd(exchange: Exchange, outcome: string, reason: string, extraFields: object = {}): void {
    const { context, caller, route, account } = exchange;
    const now = context.now();
    context.metrics.requests.inc({ kind: route.kind, outcome });
    context.metrics.waitMs.observe({ kind: route.kind }, exchange.waitedMs);
    const writeLog = outcome === "answered" ? context.log.info : context.log.warn;
    writeLog(`request ${outcome}`, {
        id: caller.id,
        route: route.name,
        account: account?.name,
        rank: account?.rank ?? route.rank,
        reason,
        attempts: exchange.attemptSummaries,
        retryDenial: exchange.retryDenial,
        waitedMs: Math.round(exchange.waitedMs),
        firstEventMs: exchange.firstEventAt === undefined ?
            undefined :
            Math.round(exchange.firstEventAt - exchange.arrivedAt),
        targetMs: route.targetMs,
        tookMs: Math.round(now - exchange.arrivedAt),
        ...exchange.prediction,
        promptTokens: caller.promptTokens,
        sharedPromptParts: outcome === "answered" || caller.sharedPromptParts.length === 0 ?
            undefined :
            caller.sharedPromptParts.slice(0, MAX_LOGGED_PARTS),
        version: configurationVersion(context),
        versionAgeMs: context.configurationAgeMs(),
        ...outcome === "answered" ? {} : { allowedRegions: regionNames(exchange), ...context.capacityLimits() },
        ...extraFields,
    });
}

function regionNames({ allowedRegions }: Exchange): readonly string[] | undefined {
    const regions = allowedRegions();
    return regions === undefined ? undefined : [...regions];
}

function configurationVersion(context: ExchangeContext): number | undefined {
    return context.routeTable()?.configuration.version;
}
