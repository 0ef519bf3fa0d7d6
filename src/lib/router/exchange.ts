/**
 * Serves one caller request from its arrival to its final response: finds the route and the client account, waits for
 * a backend server, sends the request and, where that is safe, retries it at another server.
 */
import type * as http from "node:http";
import {
    type AllowedRegions,
    type Assignment,
    type AssignmentResult,
    chooseService,
    type ClientAccount,
    type DispatchRequest,
    intersectRegions,
    type Route,
    type RouteTable,
} from "../core/serving/index.js";
import { canRetry, Verdict } from "../core/verdict.js";
import { type BodyResult, readLimitedBody } from "../node/limitedBody.js";
import { type CallerRequest, parseCallerRequest } from "../platform/index.js";
import {
    type BufferedResponse,
    CancelReason,
    type Exchange,
    type ExchangeContext,
    isRetryableRoute,
    MAX_UNREACHABLE_SERVERS,
    RetryDenial,
} from "./exchangeState.js";
import {
    DEFAULT_RETRY_AFTER_MS,
    finishCancelled,
    finishFailed,
    finishRefused,
    recordAbandonedBody,
    recordEnd,
    refuseRequest,
} from "./localResponses.js";
import { runWithTakeover } from "./takeover.js";

/** Used if the caller sends no deadline. */
const DEFAULT_DEADLINE_MS = 30_000;

/** A deadline below this fraction of the route's timeout indicates that the caller retries after a refusal. */
const CALLER_RETRY_DEADLINE_FRACTION = 0.97;

/** Timers with a longer delay fire at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Reason of a refusal because of a part of the prompt that crashes servers. */
const QUARANTINED_PROMPT = "quarantined prompt";

/** Serves a request. Never throws; every failure ends in a response or a closed connection. */
export async function serveExchange(
    context: ExchangeContext,
    request: http.IncomingMessage,
    response: http.ServerResponse,
): Promise<void> {
    const memory = context.bodyBudget.open();
    try {
        await serveWithin(context, request, response, memory.reserve);
    }
    catch (error) {
        const { message, stack } = error as Error;
        context.log.warn("request failed", { id: parseCallerRequest(request.headers).id, reason: message, stack });
        if (response.headersSent) response.destroy();
        else {
            context.closeAfter(response);
            response.writeHead(500, { Connection: "close" }).end();
        }
    }
    finally {
        memory.release();
    }
}

/** `reserve` reserves memory for the body until the exchange ends. */
async function serveWithin(
    context: ExchangeContext,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    reserve: (bytes: number) => boolean,
): Promise<void> {
    const arrivedAt = context.now();
    const caller = parseCallerRequest(request.headers);
    if (context.isDraining()) {
        // Responses that began before the stop don't tell their callers to close the connection, so callers use it
        // again; such a request might not end before the process.
        refuseRequest(context, response, 503, "process stopping", caller, 0);
        return;
    }
    const initialTable = context.routeTable();
    if (initialTable === undefined) {
        refuseRequest(context, response, 503, "no configuration", caller, DEFAULT_RETRY_AFTER_MS);
        return;
    }
    const { limits } = initialTable.configuration;
    if (headerBytes(request.rawHeaders) > limits.maxHeaderBytes) {
        refuseRequest(context, response, 431, "headers too large", caller);
        return;
    }
    const host = (request.headers.host ?? "").split(":")[0] ?? "";
    const path = (request.url ?? "/").split("?")[0] ?? "/";
    const expiresAtOn = (route: Route | undefined) => {
        const deadlineMs = caller.deadlineMs ?? DEFAULT_DEADLINE_MS;
        return arrivedAt + Math.min(deadlineMs, route?.timeoutMs ?? DEFAULT_DEADLINE_MS);
    };
    const cancellation = new AbortController();
    let expiryImmediate: NodeJS.Immediate | undefined;
    const abortExpired = () => cancellation.abort(CancelReason.expired);
    // A response that has arrived by then is read first.
    const expire = () => {
        expiryImmediate = setImmediate(abortExpired);
    };
    const startExpiry = (expiresAt: number) => {
        const remainingMs = expiresAt - context.now();
        if (remainingMs <= 0) abortExpired();
        return setTimeout(expire, Math.min(remainingMs, MAX_TIMER_MS));
    };
    context.cancellations.add(cancellation);
    let expiry = startExpiry(expiresAtOn(initialTable.findRoute(host, path)));
    response.on("close", () => {
        if (!response.writableFinished) cancellation.abort(CancelReason.callerLeft);
    });
    try {
        const bodyResult = await readLimitedBody(request, {
            maxBytes: limits.maxBodyBytes,
            reserve,
            turns: context.readTurns,
            signal: cancellation.signal,
        });
        if (bodyResult.kind !== "complete") {
            finishWithoutBody(context, response, caller, bodyResult, cancellation.signal);
            return;
        }
        // The configuration may have changed while the body was read.
        const currentTable = context.routeTable() ?? initialTable;
        const route = currentTable.findRoute(host, path);
        if (route === undefined) {
            refuseRequest(context, response, 404, "no route", caller);
            return;
        }
        const account = findAccount(currentTable, route, caller);
        if (requiresKey(currentTable, route) && account === undefined) {
            refuseRequest(context, response, 401, "unknown key", caller);
            return;
        }
        const expiresAt = expiresAtOn(route);
        clearTimeout(expiry);
        clearImmediate(expiryImmediate);
        expiry = startExpiry(expiresAt);
        await serveWithBody({
            context,
            id: context.nextExchangeId(),
            request,
            response,
            caller,
            route,
            acceptedTable: currentTable,
            account,
            allowedRegions: createRegionLookup(context, currentTable, table => {
                const currentRoute = table.findRoute(host, path);
                return { route: currentRoute, account: findAccount(table, currentRoute ?? route, caller) };
            }),
            body: bodyResult.body,
            arrivedAt,
            expiresAt,
            cancellation,
            triedServerIds: new Set(),
            verdicts: [],
            streamParser: undefined,
            weightsVersion: undefined,
            dispatchId: "",
            attemptSummaries: [],
            waitedMs: 0,
            prediction: undefined,
            firstEventAt: undefined,
            retryDenial: undefined,
        });
    }
    finally {
        clearTimeout(expiry);
        context.cancellations.delete(cancellation);
    }
}

function requiresKey({ configuration }: RouteTable, { isPublic }: Route): boolean {
    return configuration.accounts !== undefined && !isPublic;
}

function findAccount(table: RouteTable, route: Route, { key }: CallerRequest): ClientAccount | undefined {
    return key === undefined || !requiresKey(table, route) ? undefined : table.findAccount(key);
}

/** Ends a request whose body wasn't read completely. */
function finishWithoutBody(
    context: ExchangeContext,
    response: http.ServerResponse,
    caller: CallerRequest,
    result: Exclude<BodyResult, { kind: "complete"; }>,
    { reason }: AbortSignal,
): void {
    const refuse = (status: number, text: string, retryAfterMs?: number) =>
        refuseRequest(context, response, status, text, caller, retryAfterMs);
    if (result.kind === "aborted") {
        if (reason === CancelReason.expired) refuse(408, "body not received in time");
        else if (reason === CancelReason.stopping) refuse(503, reason, 0);
        else recordAbandonedBody(context, caller);
    }
    else if (result.isMemoryExhausted === true) refuse(503, "no memory for the body", DEFAULT_RETRY_AFTER_MS);
    else refuse(413, "body too large");
}

async function serveWithBody(exchange: Exchange): Promise<void> {
    try {
        await runAttempts(exchange);
    }
    catch (error) {
        exchange.context.log.warn("request failed", { id: exchange.caller.id, error: (error as Error).message });
        finishFailed(exchange, "internal error");
    }
}

/** Returns the size of header fields in their shortest form, with a colon and a line break each. */
function headerBytes(rawHeaders: readonly string[]): number {
    return rawHeaders.reduce((sum, { length }) => sum + length, 3 * rawHeaders.length / 2);
}

async function runAttempts(exchange: Exchange): Promise<void> {
    const { context, route } = exchange;
    const service = chooseService(route.services, context.random());
    if (service === undefined) {
        finishRefused(exchange, "no service");
        return;
    }
    context.retryBudget.recordRequest(service, context.now());
    let queuedSince = context.now();
    /** The error that a server sent in the last attempts; it is relayed if no other server takes the request. */
    let errorResponse: BufferedResponse | undefined;
    for (;;) {
        const admission = context.promptGuard.decide(exchange.caller, service);
        if (admission.kind === "refused") {
            finishRefused(exchange, QUARANTINED_PROMPT, admission.retryAfterMs);
            return;
        }
        const dispatchResult = await waitForServer(exchange, service, queuedSince);
        if (dispatchResult === undefined) {
            finishCancelled(exchange, errorResponse);
            return;
        }
        if (dispatchResult.kind === "refused") {
            const { reason, retryAfterMs } = dispatchResult.refusal;
            if (exchange.attemptSummaries.length > 0) exchange.retryDenial = RetryDenial.noServer;
            if (errorResponse !== undefined) finishFailed(exchange, reason, errorResponse);
            else finishRefused(exchange, reason, retryAfterMs);
            return;
        }
        const { assignment } = dispatchResult;
        if (!await reserveSlot(exchange, assignment)) continue;
        const start = context.promptGuard.begin(exchange.caller, service);
        if (start.kind === "refused") {
            context.reservations.release(assignment, exchange.dispatchId);
            context.dispatcher.release(exchange.dispatchId, context.now());
            finishRefused(exchange, QUARANTINED_PROMPT, start.retryAfterMs);
            return;
        }
        const result = await runWithTakeover(
            exchange,
            service,
            { assignment, dispatchId: exchange.dispatchId },
            id => createDispatchRequest(exchange, service, id, context.now()),
        );
        const mayHaveRun = result.kind === "answered" || result.verdict !== Verdict.notRun;
        context.promptGuard.endAttempt(exchange.caller, service, mayHaveRun);
        queuedSince = context.now();
        if (result.kind === "answered") {
            recordEnd(exchange, "answered", result.summary);
            return;
        }
        errorResponse = result.errorResponse;
        if (exchange.cancellation.signal.aborted) {
            finishCancelled(exchange, errorResponse);
            return;
        }
        exchange.retryDenial = await result.mayRepeat() ?
            findRetryDenial(exchange, result.verdict, service) :
            RetryDenial.implicatedPrompt;
        if (exchange.retryDenial !== undefined) {
            const request = createDispatchRequest(exchange, service, exchange.dispatchId, queuedSince);
            const retryAfterMs = context.dispatcher.suggestRetryAfterMs(request, context.now());
            finishFailed(exchange, result.summary, errorResponse, retryAfterMs);
            return;
        }
    }
}

/**
 * Reserves the assigned slot at the server's owner. If it refuses, or the server no longer accepts requests afterwards,
 * takes the assignment back and returns false.
 */
async function reserveSlot(exchange: Exchange, assignment: Assignment): Promise<boolean> {
    const { context, dispatchId } = exchange;
    const startedAt = context.now();
    const refusal = await context.reservations.reserve(assignment, dispatchId);
    const endedAt = context.now();
    exchange.waitedMs += endedAt - startedAt;
    if (refusal === undefined) {
        if (context.dispatcher.mayStillSend(assignment.server, endedAt)) return true;
        context.reservations.release(assignment, dispatchId);
    }
    context.dispatcher.withdraw(dispatchId, assignment.server.id, refusal, endedAt);
    return false;
}

/** Returns `undefined` if the request may be sent again; the retry is then taken from the budget. */
function findRetryDenial(exchange: Exchange, verdict: Verdict, service: string): RetryDenial | undefined {
    const { context, route, response } = exchange;
    if (response.headersSent && exchange.streamParser?.lastEventId() === undefined) return RetryDenial.notResumable;
    if (!canRetry(verdict, isRetryableRoute(route))) return RetryDenial.mayHaveRun;
    // Connections that failed before anything was written have no verdict and don't count as sends.
    const sendCount = exchange.verdicts.length;
    if (sendCount === 0) {
        return exchange.triedServerIds.size < route.maxAttempts + MAX_UNREACHABLE_SERVERS ?
            undefined :
            RetryDenial.attemptsUsed;
    }
    if (sendCount >= route.maxAttempts) return RetryDenial.attemptsUsed;
    if (context.retryBudget.tryTake(service, context.now())) return undefined;
    context.log.info("retry refused", { id: exchange.caller.id, service, reason: RetryDenial.budgetSpent });
    return RetryDenial.budgetSpent;
}

/**
 * Queues the request at the dispatcher until it is assigned to a server or refused. Resolves with `undefined` if the
 * caller disconnects or the request expires first. `queuedSince` is earlier than now if an assignment was taken back.
 */
function waitForServer(
    exchange: Exchange,
    service: string,
    queuedSince: number,
): Promise<AssignmentResult | undefined> {
    const { context, caller, cancellation } = exchange;
    const { dispatcher } = context;
    const submittedAt = context.now();
    const id = `${exchange.id}/${exchange.attemptSummaries.length}`;
    exchange.dispatchId = id;
    const request = createDispatchRequest(exchange, service, id, queuedSince);
    return new Promise(resolve => {
        const onAbort = () => {
            stopWatching();
            dispatcher.cancel(id);
            resolve(undefined);
        };
        if (cancellation.signal.aborted) {
            resolve(undefined);
            return;
        }
        cancellation.signal.addEventListener("abort", onAbort, { once: true });
        const stopWatching = context.promptGuard.onRefusal(caller, service, retryAfterMs => {
            cancellation.signal.removeEventListener("abort", onAbort);
            dispatcher.cancel(id);
            exchange.waitedMs += context.now() - submittedAt;
            resolve({ kind: "refused", refusal: { request, reason: QUARANTINED_PROMPT, retryAfterMs } });
        });
        dispatcher.submit(request, dispatchResult => {
            stopWatching();
            cancellation.signal.removeEventListener("abort", onAbort);
            exchange.waitedMs += context.now() - submittedAt;
            resolve(dispatchResult);
        }, submittedAt);
    });
}

function createDispatchRequest(
    exchange: Exchange,
    service: string,
    id: string,
    queuedSince: number,
): DispatchRequest {
    const { route, caller, account } = exchange;
    const isCallerRetry = caller.deadlineMs !== undefined &&
        caller.deadlineMs < route.timeoutMs * CALLER_RETRY_DEADLINE_FRACTION;
    return {
        id,
        service,
        acceptedService: exchange.acceptedTable.findService(service),
        rank: account?.rank ?? route.rank,
        routeRank: route.rank,
        account: account?.name ?? "",
        isCallerRetry,
        arrivedAt: queuedSince,
        dueAt: exchange.arrivedAt + route.targetMs,
        expiresAt: exchange.expiresAt,
        promptTokens: caller.promptTokens,
        outputTokens: caller.expectedOutputTokens ?? caller.maxOutputTokens,
        maxEventGapMs: route.maxEventGapMs,
        triedServerIds: exchange.triedServerIds,
        requiredVersion: exchange.weightsVersion,
        allowedRegions: exchange.allowedRegions,
    };
}

/**
 * Returns a function that tells in which regions the request may be served under the newest configuration; under the
 * one that accepted it where the newest one lacks its route or account.
 */
function createRegionLookup(
    context: ExchangeContext,
    acceptedTable: RouteTable,
    find: (table: RouteTable) => { readonly route: Route | undefined; readonly account: ClientAccount | undefined; },
): () => AllowedRegions {
    let knownTable: RouteTable | undefined;
    let regions: AllowedRegions;
    return () => {
        const table = context.routeTable() ?? acceptedTable;
        if (table === knownTable) return regions;
        const accepted = find(acceptedTable);
        const newest = find(table);
        knownTable = table;
        regions = intersectRegions(
            (newest.route ?? accepted.route)?.allowedRegions,
            (newest.account ?? accepted.account)?.allowedRegions,
        );
        return regions;
    };
}
