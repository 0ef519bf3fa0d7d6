/**
 * The ends of a request other than a relayed answer: refusals, failures and their lines in the log. A request is said
 * not to have run only if no attempt can have run.
 */
import type * as http from "node:http";
import type { Decision, DispatchRequest } from "../core/serving/index.js";
import { combineVerdicts, Verdict } from "../core/verdict.js";
import { type CallerRequest, refusalHeaders } from "../platform/index.js";
import type { Exchange, ExchangeContext, PlainAnswer } from "./exchangeState.js";

/** When callers come back if no configuration is known yet. */
export const UNCONFIGURED_RETRY_MS = 500;

/** Header of an answer that asks for the end of the connection, if the process stops. */
export function connectionHeader(context: ExchangeContext): string[] {
    return context.isStopping() ? ["Connection", "close"] : [];
}

export function sendPlain(exchange: Exchange, { status, headers, body }: PlainAnswer): void {
    const { response, context } = exchange;
    if (response.headersSent || response.destroyed) return;
    response.writeHead(status, [...headers, "Content-Length", String(body.length), ...connectionHeader(context)]);
    response.end(exchange.request.method === "HEAD" ? undefined : body);
}

export function finishCancelled(exchange: Exchange): void {
    const { response } = exchange;
    if (exchange.cancellation.signal.reason === "caller left") {
        report(exchange, "abandoned", "the caller left");
        return;
    }
    if (response.headersSent) {
        response.destroy();
        report(exchange, "failed", "the time is over");
        return;
    }
    const hasRun = combineVerdicts(exchange.verdicts) !== Verdict.notRun;
    // A request that was cancelled at its server may have run, so its end is a timeout and promises nothing.
    answerOwn(exchange, hasRun ? 504 : 503, "the time is over", undefined);
}

export function finishRefused(
    exchange: Exchange,
    reason: string,
    decision: Decision<DispatchRequest> | undefined,
): void {
    if (exchange.response.headersSent) {
        exchange.response.destroy();
        report(exchange, "failed", reason);
        return;
    }
    const hasRun = combineVerdicts(exchange.verdicts) !== Verdict.notRun;
    exchange.context.metrics.refusals.inc({ reason });
    answerOwn(exchange, hasRun ? 502 : 503, reason, decision?.retryAfterMs ?? UNCONFIGURED_RETRY_MS);
}

/** Ends a request whose last attempt failed. */
export function fail(exchange: Exchange, reason: string, answer?: PlainAnswer): void {
    const { response } = exchange;
    if (response.headersSent) {
        response.destroy();
        report(exchange, "failed", reason);
        return;
    }
    if (answer !== undefined) {
        sendPlain(exchange, answer);
        report(exchange, "failed", `${reason}, passed on`);
        return;
    }
    const hasRun = combineVerdicts(exchange.verdicts) !== Verdict.notRun;
    answerOwn(exchange, hasRun ? 502 : 503, reason, hasRun ? undefined : UNCONFIGURED_RETRY_MS);
}

function answerOwn(exchange: Exchange, status: number, reason: string, retryAfterMs: number | undefined): void {
    const { response, caller, context } = exchange;
    report(exchange, status === 503 ? "refused" : "failed", reason, { status, retryAfterMs });
    sendOwn(context, response, status, reason, caller, status === 503 ? retryAfterMs : undefined);
}

export function refuse(
    context: ExchangeContext,
    response: http.ServerResponse,
    status: number,
    reason: string,
    caller: CallerRequest,
    retryAfterMs?: number,
): void {
    context.metrics.refusals.inc({ reason });
    context.log.warn("request refused", { id: caller.id, status, reason, version: versionOf(context) });
    sendOwn(context, response, status, reason, caller, retryAfterMs);
}

function sendOwn(
    context: ExchangeContext,
    response: http.ServerResponse,
    status: number,
    reason: string,
    caller: CallerRequest,
    retryAfterMs: number | undefined,
): void {
    if (response.headersSent || response.destroyed) return;
    const body = JSON.stringify({ error: reason });
    response.writeHead(status, {
        ...refusalHeaders(retryAfterMs, caller.id),
        "Content-Type": "application/json",
        "Content-Length": Buffer.byteLength(body),
        ...context.isStopping() || status === 413 ? { Connection: "close" } : {},
    });
    response.end(body);
}

export function report(exchange: Exchange, outcome: string, reason: string, more: object = {}): void {
    const { context, caller, route, account } = exchange;
    const now = context.now();
    context.metrics.requests.inc({ kind: route.kind, outcome });
    context.metrics.waitMs.observe({ kind: route.kind }, exchange.waitedMs);
    const write = outcome === "answered" ? context.log.info : context.log.warn;
    write(`request ${outcome}`, {
        id: caller.id,
        route: route.name,
        account: account?.name,
        rank: account?.rank ?? route.rank,
        reason,
        attempts: exchange.attempts,
        waitedMs: Math.round(exchange.waitedMs),
        firstEventMs: exchange.firstEventAt === undefined ?
            undefined :
            Math.round(exchange.firstEventAt - exchange.arrivedAt),
        targetMs: route.targetMs,
        tookMs: Math.round(now - exchange.arrivedAt),
        ...exchange.prediction,
        promptTokens: caller.promptTokens,
        version: versionOf(context),
        ...more,
    });
}

function versionOf(context: ExchangeContext): number | undefined {
    return context.table()?.configuration.version;
}
