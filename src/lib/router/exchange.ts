/**
 * One request of a caller, from its arrival to its final answer: it finds the route and the account, waits for a
 * server, sends the request, passes the answer on and, where that is safe, tries another server. It says that a
 * request did not run only if no attempt can have run.
 */
import type * as http from "node:http";
import VError from "verror";
import {
    type Assignment,
    chooseService,
    type ClientAccount,
    type Decision,
    type Dispatcher,
    type DispatchRequest,
    Outcome,
    RequestKind,
    type Route,
    type RouteTable,
    type SendBudget,
    type ServerHealth,
    type Settlement,
} from "../core/serving/index.js";
import { canRetry, combineVerdicts, Verdict } from "../core/verdict.js";
import type { EventLog, ServingMetrics } from "../observability/index.js";
import {
    answerHeaders,
    type CallerRequest,
    eventIdOf,
    eventWeightsOf,
    forwardedHeaders,
    readCallerRequest,
    readServerFacts,
    refusalHeaders,
    type ServerFacts,
} from "../platform/index.js";
import type { BackendConnections } from "./backendConnections.js";
import { createStreamEvents, type StreamEvents } from "./streamEvents.js";

export interface ExchangeContext {
    /** `undefined` until a configuration is known. */
    readonly table: () => RouteTable | undefined;
    readonly dispatcher: Dispatcher;
    readonly connections: BackendConnections;
    readonly budget: SendBudget;
    readonly health: ServerHealth;
    readonly log: EventLog;
    readonly metrics: ServingMetrics;
    /** Milliseconds of a steady clock. */
    readonly now: () => number;
    readonly random: () => number;
    /** The process stops: callers are told to close their connections. */
    readonly isStopping: () => boolean;
}

/** Deadline of a caller that names none. */
const DEFAULT_DEADLINE_MS = 30_000;

/** When callers come back if no configuration is known yet. */
const UNCONFIGURED_RETRY_MS = 500;

/** An answer that is expected earlier is waited for at least this long; engines stall for up to 1.5 s at times. */
const MIN_ANSWER_TIMEOUT_MS = 1000;

/** A stream pause this long means that the server or the path to it is gone. */
const MIN_PAUSE_TIMEOUT_MS = 1000;
const PAUSE_TIMEOUT_FACTOR = 4;

/** An answer that takes this many times the target is looked for elsewhere. */
const ANSWER_TIMEOUT_FACTOR = 3;

/** Callers measure their patience from an earlier moment than this process does. */
const DEADLINE_SLACK_MS = 20;

/** Largest body of an answer that isn't a stream. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** A deadline this much below the route's timeout belongs to a caller that has been refused before. */
const RETURNED_DEADLINE_SHARE = 0.97;

interface Exchange {
    readonly context: ExchangeContext;
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly caller: CallerRequest;
    readonly route: Route;
    readonly account: ClientAccount | undefined;
    readonly body: Buffer;
    readonly arrivedAt: number;
    /** Time at which the caller's deadline or the route's timeout is reached. */
    readonly expiresAt: number;
    /** Fires when the caller leaves or the time is over. */
    readonly cancellation: AbortController;
    readonly tried: Set<string>;
    readonly verdicts: Verdict[];
    /** What has been delivered of a stream. */
    stream: StreamEvents | undefined;
    /** Weights that answered the delivered part of a stream. */
    weights: number | undefined;
    /** Identifies the present attempt to the dispatcher. */
    flightId: string;
    /** Text for the log of every attempt. */
    readonly attempts: string[];
    waitedMs: number;
    /** What the last placement predicted and what it took until the first event. */
    prediction: { readonly predictedMs: number; readonly actualMs: number; } | undefined;
    firstEventAt: number | undefined;
}

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

function isRepeatableRoute(route: Route): boolean {
    return route.kind === RequestKind.idempotent || (route.kind === RequestKind.stream && route.isResumable);
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

type AttemptResult =
    | { readonly kind: "answered"; readonly text: string; }
    | {
        readonly kind: "failed";
        readonly verdict: Verdict;
        readonly text: string;
        /** An event had arrived, so the server was at work on the request. */
        readonly hasBegun?: boolean;
        /** The server's own failure, which the caller gets if nothing better comes. */
        readonly answer?: PlainAnswer;
    };

interface PlainAnswer {
    readonly status: number;
    readonly headers: string[];
    readonly body: Buffer;
}

async function attempt(exchange: Exchange, assignment: Assignment): Promise<AttemptResult> {
    const { context, route, caller } = exchange;
    const { server } = assignment;
    const id = exchange.flightId;
    const cancellation = new AbortController();
    const onAbort = () => cancellation.abort();
    exchange.cancellation.signal.addEventListener("abort", onAbort, { once: true });
    exchange.tried.add(server.id);
    const sentAt = context.now();
    try {
        const response = await context.connections.send({
            serverId: server.id,
            address: server.address,
            method: exchange.request.method ?? "GET",
            path: exchange.request.url ?? "/",
            headers: forwardedHeaders(exchange.request.rawHeaders, {
                serverId: server.id,
                remainingMs: exchange.expiresAt - sentAt - DEADLINE_SLACK_MS,
                account: exchange.account?.name,
                rank: exchange.account?.rank ?? route.rank,
                weights: assignment.weights,
                lastEventId: exchange.stream?.lastEventId() ?? caller.lastEventId,
            }, exchange.body.length),
            body: exchange.body,
            answerTimeoutMs: answerTimeoutMs(exchange, assignment, sentAt),
            signal: cancellation.signal,
            isRepeatable: isRepeatableRoute(route),
        });
        const facts = readServerFacts(response.headers);
        const result = await readAnswer(exchange, assignment, response, facts, sentAt);
        recordResult(exchange, assignment, result, facts);
        return result;
    }
    catch (error) {
        const verdict = (VError.info(error as Error).verdict as Verdict | undefined) ?? Verdict.mayHaveRun;
        const outcome = verdict === Verdict.notRun ? Outcome.unreachable : Outcome.broken;
        const isOverdue = context.now() - sentAt >= expectedAnswerMs(exchange, assignment);
        const isCancelled = exchange.cancellation.signal.aborted || isOutdated(assignment, context.now());
        if (!isCancelled || isOverdue) {
            context.health.record(server.id, outcome, context.now());
        }
        if (verdict !== Verdict.notRun) exchange.verdicts.push(verdict);
        context.metrics.sends.inc({ result: outcome });
        return { kind: "failed", verdict, text: (error as Error).message };
    }
    finally {
        exchange.cancellation.signal.removeEventListener("abort", onAbort);
        context.dispatcher.ended(id, context.now());
    }
}

/**
 * Returns when an answer is looked for elsewhere; `undefined` if the request stays where it is until its time is over.
 * The end of that time is watched for the whole request, so that it isn't taken for a failure of the server. A request
 * that has not begun by the time its server's weights are outdated is always cancelled.
 */
function answerTimeoutMs(exchange: Exchange, assignment: Assignment, now: number): number | undefined {
    const { route } = exchange;
    const untilOutdatedMs = (assignment.beginBy ?? Number.POSITIVE_INFINITY) - now;
    const isLast = !isRepeatableRoute(route) || exchange.verdicts.length + 1 >= route.maxAttempts;
    const patienceMs = isLast ?
        Number.POSITIVE_INFINITY :
        Math.min(expectedAnswerMs(exchange, assignment), (exchange.expiresAt - now) / 2);
    const timeoutMs = Math.max(1, Math.min(patienceMs, untilOutdatedMs));
    // A timer can't be set for longer than the request may last.
    return timeoutMs < exchange.expiresAt - now ? timeoutMs : undefined;
}

/** Requests that had not begun were cancelled at their server, which tells nothing of its health. */
function isOutdated({ beginBy }: Assignment, now: number): boolean {
    return beginBy !== undefined && now >= beginBy;
}

/** A server that takes longer than this for the beginning of its answer counts as failing. */
function expectedAnswerMs({ route }: Exchange, { predictedMs }: Assignment): number {
    return Math.max(MIN_ANSWER_TIMEOUT_MS, ANSWER_TIMEOUT_FACTOR * Math.max(predictedMs, route.targetMs));
}

function recordResult(exchange: Exchange, assignment: Assignment, result: AttemptResult, facts: ServerFacts): void {
    const { context } = exchange;
    const outcome = outcomeOf(result, facts);
    const hasBegun = result.kind === "failed" && result.hasBegun === true;
    const isCancelled = exchange.cancellation.signal.aborted || !hasBegun && isOutdated(assignment, context.now());
    if (!isCancelled || result.kind === "answered") {
        context.health.record(assignment.server.id, outcome, context.now());
    }
    context.metrics.sends.inc({ result: outcome });
    if (result.kind === "failed") exchange.verdicts.push(result.verdict);
}

function outcomeOf(result: AttemptResult, facts: ServerFacts): Outcome {
    if (result.kind === "answered") return Outcome.success;
    if (facts.isNotRun) return Outcome.refused;
    return result.answer === undefined ? Outcome.broken : Outcome.error;
}

async function readAnswer(
    exchange: Exchange,
    assignment: Assignment,
    response: http.IncomingMessage,
    facts: ServerFacts,
    sentAt: number,
): Promise<AttemptResult> {
    const status = response.statusCode ?? 0;
    if (facts.requestId !== undefined && facts.requestId !== exchange.caller.id) {
        response.destroy();
        return { kind: "failed", verdict: Verdict.mayHaveRun, text: "the answer belongs to another request" };
    }
    const isNotRun = (facts.isNotRun || status === 421) && status >= 400;
    if (isNotRun) {
        response.resume();
        return { kind: "failed", verdict: Verdict.notRun, text: `refused with ${status}` };
    }
    if (exchange.route.kind === RequestKind.stream && status === 200) {
        return relayStream(exchange, assignment, response, facts, sentAt);
    }
    const body = await readWhole(response, MAX_ANSWER_BYTES);
    if (body === undefined || !facts.isSigned || !await exchange.context.connections.isWhole(response)) {
        response.destroy();
        return { kind: "failed", verdict: Verdict.mayHaveRun, text: "the answer is incomplete" };
    }
    const answer = { status, headers: answerHeaders(response.rawHeaders), body };
    if (status >= 500) {
        return { kind: "failed", verdict: Verdict.mayHaveRun, text: `failed with ${status}`, answer };
    }
    exchange.firstEventAt = exchange.context.now();
    if (exchange.response.headersSent) return { kind: "failed", verdict: Verdict.mayHaveRun, text: "no stream" };
    sendPlain(exchange, answer);
    return { kind: "answered", text: String(status) };
}

/** Passes whole events on as they arrive. The head goes out with the first event. */
async function relayStream(
    exchange: Exchange,
    assignment: Assignment,
    upstream: http.IncomingMessage,
    facts: ServerFacts,
    sentAt: number,
): Promise<AttemptResult> {
    const { context, response, route } = exchange;
    const events = exchange.stream ?? createStreamEvents({ idOf: eventIdOf, weightsOf: eventWeightsOf });
    const isResumed = exchange.stream !== undefined;
    const pauseMs = Math.max(MIN_PAUSE_TIMEOUT_MS, PAUSE_TIMEOUT_FACTOR * Math.min(route.maxPauseMs, 10_000));
    const firstEventMs = answerTimeoutMs(exchange, assignment, context.now());
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
                noteFirstEvent(exchange, assignment, sentAt);
                if (!response.headersSent) response.writeHead(200, streamHeaders(exchange, upstream.rawHeaders));
                exchange.stream = events;
                exchange.weights ??= facts.weights ?? assignment.server.weights?.version;
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

function noteFirstEvent(exchange: Exchange, { server, predictedMs }: Assignment, sentAt: number): void {
    const { context, route } = exchange;
    const now = context.now();
    context.dispatcher.started(exchange.flightId, now);
    if (predictedMs > 0) context.health.recordPace(server.id, (now - sentAt) / predictedMs);
    exchange.prediction = { predictedMs: Math.round(predictedMs), actualMs: Math.round(now - sentAt) };
    if (exchange.firstEventAt !== undefined) return;
    exchange.firstEventAt = now;
    context.metrics.firstEventMs.observe({ kind: route.kind }, now - exchange.arrivedAt);
}

function streamHeaders(exchange: Exchange, rawHeaders: readonly string[]): string[] {
    return [...answerHeaders(rawHeaders), ...connectionHeader(exchange.context)];
}

function connectionHeader(context: ExchangeContext): string[] {
    return context.isStopping() ? ["Connection", "close"] : [];
}

function drained(response: http.ServerResponse): Promise<void> {
    return new Promise(resolve => {
        const done = () => {
            response.off("drain", done);
            response.off("close", done);
            resolve();
        };
        response.on("drain", done);
        response.on("close", done);
    });
}

function sendPlain(exchange: Exchange, { status, headers, body }: PlainAnswer): void {
    const { response, context } = exchange;
    if (response.headersSent || response.destroyed) return;
    response.writeHead(status, [...headers, "Content-Length", String(body.length), ...connectionHeader(context)]);
    response.end(exchange.request.method === "HEAD" ? undefined : body);
}

function finishCancelled(exchange: Exchange): void {
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

function finishRefused(exchange: Exchange, reason: string, decision: Decision<DispatchRequest> | undefined): void {
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
function fail(exchange: Exchange, reason: string, answer?: PlainAnswer): void {
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

function refuse(
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

function report(exchange: Exchange, outcome: string, reason: string, more: object = {}): void {
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

/** Reads a body to its end. Returns `undefined` if it is too long or its sender broke off. */
async function readWhole(message: http.IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
    const pieces: Buffer[] = [];
    let size = 0;
    try {
        for await (const piece of message as AsyncIterable<Buffer>) {
            size += piece.length;
            if (size > maxBytes) return undefined;
            pieces.push(piece);
        }
    }
    catch {
        // The caller of this function answers for a body that broke off.
        return undefined;
    }
    return Buffer.concat(pieces);
}
