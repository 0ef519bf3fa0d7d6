/**
 * One request of a caller, from its arrival to its final answer: it finds the route and the account, waits for a
 * server, has it sent and, where that is safe, tries another server.
 */
import type * as http from "node:http";
import { chooseService, type DispatchRequest, type Settlement } from "../core/serving/index.js";
import { canRetry, type Verdict } from "../core/verdict.js";
import { readCallerRequest } from "../platform/index.js";
import { attempt } from "./attempt.js";
import { type Exchange, type ExchangeContext, isRepeatableRoute, readWhole } from "./exchangeState.js";
import { fail, finishCancelled, finishRefused, refuse, report, UNCONFIGURED_RETRY_MS } from "./ownAnswers.js";

/** Deadline of a caller that names none. */
const DEFAULT_DEADLINE_MS = 30_000;

/** A deadline this much below the route's timeout belongs to a caller that has been refused before. */
const RETURNED_DEADLINE_SHARE = 0.97;

/** Serves a request. Never throws; whatever goes wrong ends in an answer or a closed connection. */
export async function serveExchange(
    context: ExchangeContext,
    request: http.IncomingMessage,
    response: http.ServerResponse,
): Promise<void> {
    const arrivedAt = context.now();
    const caller = readCallerRequest(request.headers);
    const table = context.table();
    if (table === undefined) {
        refuse(context, response, 503, "no configuration", caller, UNCONFIGURED_RETRY_MS);
        return;
    }
    const body = await readWhole(request, table.configuration.limits.maxBodyBytes);
    if (body === undefined) {
        if (!request.destroyed) refuse(context, response, 413, "body too large", caller);
        return;
    }
    const host = (request.headers.host ?? "").split(":")[0] ?? "";
    const path = (request.url ?? "/").split("?")[0] ?? "/";
    const newest = context.table() ?? table;
    const route = newest.findRoute(host, path);
    if (route === undefined) {
        refuse(context, response, 404, "no route", caller);
        return;
    }
    const needsKey = newest.configuration.accounts !== undefined && !route.isPublic;
    const account = caller.key === undefined || !needsKey ? undefined : newest.findAccount(caller.key);
    if (needsKey && account === undefined) {
        refuse(context, response, 401, "unknown key", caller);
        return;
    }
    const deadlineMs = Math.min(caller.deadlineMs ?? DEFAULT_DEADLINE_MS, route.timeoutMs);
    const cancellation = new AbortController();
    const exchange: Exchange = {
        context,
        request,
        response,
        caller,
        route,
        account,
        body,
        arrivedAt,
        expiresAt: arrivedAt + deadlineMs,
        cancellation,
        tried: new Set(),
        verdicts: [],
        stream: undefined,
        weights: undefined,
        flightId: "",
        attempts: [],
        waitedMs: 0,
        prediction: undefined,
        firstEventAt: undefined,
    };
    const expiry = setTimeout(() => cancellation.abort("expired"), deadlineMs);
    response.on("close", () => {
        if (!response.writableFinished) cancellation.abort("caller left");
    });
    try {
        await runAttempts(exchange);
    }
    catch (error) {
        context.log.warn("request failed", { id: caller.id, error: (error as Error).message });
        fail(exchange, "internal error");
    }
    finally {
        clearTimeout(expiry);
    }
}

async function runAttempts(exchange: Exchange): Promise<void> {
    const { context, route } = exchange;
    const service = chooseService(route.services, context.random());
    if (service === undefined) {
        finishRefused(exchange, "no service", undefined);
        return;
    }
    context.budget.recordRequest(service, context.now());
    for (;;) {
        const settlement = await waitForServer(exchange, service);
        if (settlement === undefined) {
            finishCancelled(exchange);
            return;
        }
        if (settlement.kind === "refused") {
            finishRefused(exchange, settlement.decision.refusal, settlement.decision);
            return;
        }
        const result = await attempt(exchange, settlement.assignment);
        exchange.attempts.push(`${settlement.assignment.server.id} ${result.text}`);
        if (result.kind === "answered") {
            report(exchange, "answered", result.text);
            return;
        }
        if (exchange.cancellation.signal.aborted) {
            finishCancelled(exchange);
            return;
        }
        if (!mayTryAgain(exchange, result.verdict, service)) {
            fail(exchange, result.text, result.answer);
            return;
        }
    }
}

function mayTryAgain(exchange: Exchange, verdict: Verdict, service: string): boolean {
    const { context, route, response } = exchange;
    const isRepeatable = isRepeatableRoute(route);
    if (response.headersSent && exchange.stream?.lastEventId() === undefined) return false;
    if (!canRetry(verdict, isRepeatable)) return false;
    // A connection that failed before anything was written is no send.
    const sends = exchange.verdicts.length;
    if (sends === 0) return exchange.tried.size < route.maxAttempts + 2;
    if (sends >= route.maxAttempts) return false;
    const allowed = context.budget.take(service, context.now());
    if (!allowed) context.log.info("retry refused", { id: exchange.caller.id, service, reason: "budget spent" });
    return allowed;
}

/** Resolves with `undefined` if the caller leaves or the time is over first. */
function waitForServer(exchange: Exchange, service: string): Promise<Settlement | undefined> {
    const { context, route, caller, account, cancellation } = exchange;
    const { dispatcher } = context;
    const since = context.now();
    const isReturned = caller.deadlineMs !== undefined && caller.deadlineMs < route.timeoutMs * RETURNED_DEADLINE_SHARE;
    const id = `${caller.id}/${exchange.attempts.length}`;
    exchange.flightId = id;
    const request: DispatchRequest = {
        id,
        service,
        rank: account?.rank ?? route.rank,
        routeRank: route.rank,
        account: account?.name ?? "",
        hasReturned: isReturned,
        arrivedAt: since,
        dueAt: exchange.arrivedAt + route.targetMs,
        expiresAt: exchange.expiresAt,
        promptTokens: caller.promptTokens,
        maxPauseMs: route.maxPauseMs,
        tried: exchange.tried,
        boundWeights: exchange.weights,
    };
    return new Promise(resolve => {
        const onAbort = () => {
            dispatcher.withdraw(id);
            resolve(undefined);
        };
        if (cancellation.signal.aborted) {
            resolve(undefined);
            return;
        }
        cancellation.signal.addEventListener("abort", onAbort, { once: true });
        dispatcher.submit(request, settlement => {
            cancellation.signal.removeEventListener("abort", onAbort);
            exchange.waitedMs += context.now() - since;
            resolve(settlement);
        }, since);
    });
}
