/** One send of a request to a server, until its answer has been passed on or has failed. */
import type * as http from "node:http";
import VError from "verror";
import { type Assignment, Outcome, RequestKind } from "../core/serving/index.js";
import { Verdict } from "../core/verdict.js";
import { answerHeaders, forwardedHeaders, readServerFacts, type ServerFacts } from "../platform/index.js";
import { type AttemptResult, type Exchange, isRepeatableRoute, readWhole } from "./exchangeState.js";
import { sendPlain } from "./ownAnswers.js";
import { relayStream } from "./streamRelay.js";

/** An answer that is expected earlier is waited for at least this long; engines stall for up to 1.5 s at times. */
const MIN_ANSWER_TIMEOUT_MS = 1000;

/** An answer that takes this many times the target is looked for elsewhere. */
const ANSWER_TIMEOUT_FACTOR = 3;

/** Callers measure their patience from an earlier moment than this process does. */
const DEADLINE_SLACK_MS = 20;

/** Largest body of an answer that isn't a stream. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Sends the request to the assigned server and passes on what it answers. Never throws. */
export async function attempt(exchange: Exchange, assignment: Assignment): Promise<AttemptResult> {
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
        return relayStream(exchange, response, {
            facts,
            heldWeights: assignment.server.weights?.version,
            firstEventMs: answerTimeoutMs(exchange, assignment, exchange.context.now()),
            onFirstEvent: () => noteFirstEvent(exchange, assignment, sentAt),
        });
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
