/**
 * Discrete-time simulation of an engine pool: replays a load trace against a placement policy. Engines work in
 * iterations: prefill of the new prompts, then one event for every running request. Callers time out, and retry once
 * after a refusal. An engine whose memory runs out preempts its newest request and reads it again; the network isn't
 * modelled.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { decodeIterationMs, type DispatchRequest, type EngineParameters } from "../lib/core/serving/index.js";
import type { LoadTrace, RequestClass } from "./loadTraces.js";

/** Engine with 16 slots and 6 tokens per event. */
export const ENGINE_SPEC: EngineParameters = {
    slots: 16,
    stepMs: 7.4,
    stepMsPerRequest: 0.0387,
    stepMsPerKiloToken: 0.0203,
    prefillTokensPerMs: 31.9,
    prefillMsPerMillionPairs: 0.733,
    tokensPerEvent: 6,
    meanAnswerTokens: 106,
    layers: 16,
    model: "m",
    chunkCount: 64,
    chunkBytes: 32_768,
    memoryTokens: Number.POSITIVE_INFINITY,
};

/** Time step of the simulation. */
const TIME_STEP_MS = 5;

/** Time after which a caller abandons a stream that hasn't produced an event. */
const FIRST_EVENT_TIMEOUT_MS = 2400;

/** Time after which a caller abandons a request, including its retry. */
const REQUEST_TIMEOUT_MS = 6000;

/** Maximum number of times that one request is sent to an engine. */
const MAX_SENDS = 3;

/** Decision on a request: the engine that runs it, or a refusal with the time until the retry. */
export type PlacementDecision = { readonly engine: number; } | { readonly retryAfterMs: number; };

/** Placement policy. Engines are numbered from 0. */
export interface Placer {
    submit(request: DispatchRequest, onDecision: (decision: PlacementDecision) => void, now: number): void;
    /** Reports that the caller abandoned the request before a decision. */
    cancel(id: string): void;
    recordFirstEvent(id: string, engine: number, tookMs: number, now: number): void;
    /** Reports that the request has left its engine; `hasSucceeded` is false if it failed or timed out there. */
    recordEnd(id: string, engine: number, hasSucceeded: boolean, now: number): void;
    /** Reports that the engine turned the request away and wants no others for `backoffMs`. */
    recordRefusal(id: string, engine: number, backoffMs: number, now: number): void;
    /** Reports that the registry has dropped the engine, or registered its next start. */
    recordRegistration?(engine: number, isRegistered: boolean, now: number): void;
    tick(now: number): void;
}

/** Results of a set of requests, for example those of one class or account. */
export interface RequestStatistics {
    readonly requestCount: number;
    readonly onTimeCount: number;
    readonly servedCount: number;
    /** Requests whose final outcome was a refusal. */
    readonly refusedCount: number;
    readonly utility: number;
    /** Total utility if every request were in time. */
    readonly maxUtility: number;
}

export interface SimulationResult {
    /** Results by request class, in the order of the trace. */
    readonly statisticsByClass: readonly RequestStatistics[];
    readonly total: RequestStatistics;
    /** Results by account, in the order of their numbers. */
    readonly statisticsByAccount: readonly RequestStatistics[];
    /** Jain's fairness index of the fractions of their requests that accounts get served; 1 if all are equal. */
    readonly accountJain: number;
    /** Requests that engines turned away. */
    readonly turnedAwayCount: number;
    /** Requests that engines preempted because their memory ran out. */
    readonly preemptedCount: number;
    /** Times at which cold engines got more requests than they tolerate. */
    readonly crashCount: number;
    /** Mean time from the end of an engine's last fault until it gets its part of the requests again. */
    readonly untilFullUseMs: number | undefined;
}

interface SimulatedRequest {
    readonly requestClass: RequestClass;
    readonly account: string;
    readonly firstSubmittedAt: number;
    readonly triedEngines: Set<string>;
    sendCount: number;
    isCallerRetry: boolean;
    remainingPromptTokens: number;
    remainingEvents: number;
    isPreempted: boolean;
    firstEventAt: number | undefined;
    isRefused: boolean;
}

interface SimulatedEngine {
    readonly requests: Map<string, SimulatedRequest>;
    busyUntil: number;
    /** End of the restart after a crash. */
    downUntil: number;
    coldUntil: number;
    isDown: boolean;
    readonly sendTimes: number[];
}

/** Simulates the trace. Equal seeds give equal arrivals for every placement policy. */
export function simulateTrace(trace: LoadTrace, placer: Placer, seed = 7): SimulationResult {
    const spec = trace.engine ?? ENGINE_SPEC;
    const generator = xoroshiro128plus(seed);
    const random = () => uniformFloat64(generator);
    const engines = Array.from(
        { length: trace.engineCount },
        (): SimulatedEngine => ({
            requests: new Map(),
            busyUntil: 0,
            downUntil: 0,
            coldUntil: 0,
            isDown: false,
            sendTimes: [],
        }),
    );
    let crashCount = 0;
    const allRequests: SimulatedRequest[] = [];
    const scheduledRetries: { at: number; request: SimulatedRequest; }[] = [];
    const sentAt = new Map<string, number>();
    const undecided = new Map<string, SimulatedRequest>();
    let submitCount = 0;
    /** Time of the current step; a decision may be made in a later step than the submission. */
    let currentTime = 0;
    /** Requests that engines turned away, which is reported to the placer after the decision. */
    let refusals: { id: string; request: SimulatedRequest; engineIndex: number; backoffMs: number; }[] = [];
    let turnedAwayCount = 0;
    let preemptedCount = 0;
    /** Requests at unreachable engines, whose failure is reported to the placer after the decision. */
    let failures: { id: string; request: SimulatedRequest; engineIndex: number; hasStarted: boolean; }[] = [];

    function submit(request: SimulatedRequest, now: number): void {
        const id = String(submitCount++);
        undecided.set(id, request);
        placer.submit(toDispatchRequest(id, request, spec, now), decision => {
            undecided.delete(id);
            if ("engine" in decision) send(id, request, decision.engine);
            else refuse(request, decision.retryAfterMs);
        }, now);
    }

    function send(id: string, request: SimulatedRequest, engineIndex: number): void {
        sentAt.set(id, currentTime);
        request.sendCount++;
        request.triedEngines.add(engineName(engineIndex));
        const pause = trace.enginePauses?.find(({ engine, fromMs, toMs }) => {
            return engine === engineIndex && currentTime >= fromMs && currentTime < toMs;
        });
        if (pause !== undefined) {
            turnedAwayCount++;
            refusals.push({ id, request, engineIndex, backoffMs: pause.toMs - currentTime });
            return;
        }
        const departure = trace.engineDepartures?.find(({ engine, atMs }) =>
            engine === engineIndex && currentTime >= atMs
        );
        if (departure !== undefined) {
            turnedAwayCount++;
            refusals.push({ id, request, engineIndex, backoffMs: trace.durationMs - departure.atMs });
            return;
        }
        const engine = engines[engineIndex];
        if (engine === undefined || currentSlowdown(engine, engineIndex, currentTime) === Infinity) {
            failures.push({ id, request, engineIndex, hasStarted: false });
            return;
        }
        engine.sendTimes.push(currentTime);
        engine.requests.set(id, request);
        crashIfRushed(engine, currentTime);
    }

    function crashIfRushed(engine: SimulatedEngine, now: number): void {
        const { coldStart } = trace;
        if (coldStart === undefined || engine.coldUntil <= now) return;
        const recentCount = engine.sendTimes.filter(at => at > now - 1000).length;
        if (recentCount <= coldStart.maxRequestsPerSecond) return;
        crashCount++;
        engine.downUntil = now + coldStart.restartMs;
    }

    /** Returns the factor by which the engine is slower than its specification; infinite while it is down. */
    function currentSlowdown(engine: SimulatedEngine, engineIndex: number, now: number): number {
        if (engine.downUntil > now) return Infinity;
        const slowdown = slowdownAt(trace, engineIndex, now);
        return engine.coldUntil > now ? slowdown * (trace.coldStart?.slowdown ?? 1) : slowdown;
    }

    function refuse(request: SimulatedRequest, retryAfterMs: number): void {
        const at = currentTime + retryAfterMs;
        if (request.isCallerRetry || at - request.firstSubmittedAt >= REQUEST_TIMEOUT_MS) request.isRefused = true;
        else scheduledRetries.push({ at, request });
    }

    for (let now = 0; now < trace.durationMs + FIRST_EVENT_TIMEOUT_MS; now += TIME_STEP_MS) {
        currentTime = now;
        for (const requestClass of now < trace.durationMs ? trace.requestClasses : []) {
            for (const account of drawArrivals(trace, requestClass, now, random)) {
                const request: SimulatedRequest = {
                    requestClass,
                    account,
                    firstSubmittedAt: now,
                    triedEngines: new Set(),
                    sendCount: 0,
                    isCallerRetry: false,
                    remainingPromptTokens: requestClass.promptTokens,
                    remainingEvents: requestClass.events,
                    isPreempted: false,
                    firstEventAt: undefined,
                    isRefused: false,
                };
                allRequests.push(request);
                submit(request, now);
            }
        }
        for (const { request } of scheduledRetries.filter(({ at }) => at <= now)) {
            request.isCallerRetry = true;
            submit(request, now);
        }
        scheduledRetries.splice(0, scheduledRetries.length, ...scheduledRetries.filter(({ at }) => at > now));
        for (const [engineIndex, engine] of engines.entries()) step(engineIndex, engine, now);
        const currentRefusals = refusals;
        refusals = [];
        for (const { id, request, engineIndex, backoffMs } of currentRefusals) {
            placer.recordRefusal(id, engineIndex, backoffMs, now);
            if (request.sendCount < MAX_SENDS) submit(request, now);
        }
        const currentFailures = failures;
        failures = [];
        for (const { id, request, engineIndex, hasStarted } of currentFailures) {
            placer.recordEnd(id, engineIndex, false, now);
            if (!hasStarted && request.sendCount < MAX_SENDS) submit(request, now);
        }
        for (const [id, request] of undecided) {
            if (now - request.firstSubmittedAt < REQUEST_TIMEOUT_MS) continue;
            undecided.delete(id);
            placer.cancel(id);
        }
        placer.tick(now);
    }

    function step(
        engineIndex: number,
        engine: SimulatedEngine,
        now: number,
    ): void {
        const slowdown = currentSlowdown(engine, engineIndex, now);
        if (trace.coldStart?.isRegistered === true && engine.isDown !== (slowdown === Infinity)) {
            placer.recordRegistration?.(engineIndex, engine.isDown, now);
        }
        engine.isDown = slowdown === Infinity;
        if (engine.isDown) {
            engine.coldUntil = now + (trace.coldStart?.coldMs ?? 0);
            for (const [id, request] of engine.requests) failures.push({ id, request, engineIndex, hasStarted: true });
            engine.requests.clear();
            return;
        }
        for (const [id, request] of engine.requests) {
            if (request.firstEventAt !== undefined || now - (sentAt.get(id) ?? now) < FIRST_EVENT_TIMEOUT_MS) continue;
            engine.requests.delete(id);
            placer.recordEnd(id, engineIndex, false, now);
        }
        if (engine.busyUntil > now || engine.requests.size === 0) return;
        const running = [...engine.requests].slice(0, spec.slots);
        let heldTokens = running.reduce((sum, [, request]) => sum + heldTokensOf(request), 0);
        while (heldTokens > spec.memoryTokens && running.length > 1) {
            const [id, newest] = running.pop() ?? [];
            if (id === undefined || newest === undefined) break;
            heldTokens -= heldTokensOf(newest);
            newest.remainingPromptTokens = heldTokensOf(newest);
            if (!newest.isPreempted) preemptedCount++;
            newest.isPreempted = true;
        }
        const prefillTokens = running.reduce((sum, [, request]) => sum + request.remainingPromptTokens, 0);
        const iterationMs = prefillTokens / spec.prefillTokensPerMs + decodeIterationMs(spec, running.length, 0);
        engine.busyUntil = now + slowdown * iterationMs;
        for (const [id, request] of running) {
            request.remainingPromptTokens = 0;
            request.remainingEvents--;
            if (request.firstEventAt === undefined) {
                request.firstEventAt = engine.busyUntil;
                placer.recordFirstEvent(id, engineIndex, engine.busyUntil - (sentAt.get(id) ?? now), now);
            }
            if (request.remainingEvents > 0) continue;
            engine.requests.delete(id);
            placer.recordEnd(id, engineIndex, true, now);
        }
    }

    function heldTokensOf({ requestClass, remainingEvents }: SimulatedRequest): number {
        return requestClass.promptTokens + (requestClass.events - remainingEvents) * spec.tokensPerEvent;
    }

    const accounts = Array.from({ length: trace.accountCount }, (_, index) => {
        return summarizeRequests(allRequests.filter(({ account }) => account === String(index)));
    });
    return {
        statisticsByClass: trace.requestClasses.map(requestClass =>
            summarizeRequests(allRequests.filter(request => request.requestClass === requestClass))
        ),
        statisticsByAccount: accounts,
        total: summarizeRequests(allRequests),
        turnedAwayCount,
        preemptedCount,
        crashCount,
        untilFullUseMs: untilFullUseMs(trace, engines),
        accountJain: jainIndex(
            accounts.filter(({ requestCount }) => requestCount > 0).map((
                { servedCount, requestCount },
            ) => servedCount / requestCount),
        ),
    };
}

/** Window over which the requests of an engine are counted, and their fraction of those of an engine without faults. */
const FULL_USE_WINDOW_MS = 1000;
const FULL_USE_FRACTION = 0.75;

function untilFullUseMs(trace: LoadTrace, engines: readonly SimulatedEngine[]): number | undefined {
    const lastEnds = engines.map((_, index) =>
        trace.engineFaults.reduce((last, { engine, toMs }) => engine === index ? Math.max(last, toMs) : last, 0)
    );
    const steady = engines.filter((_, index) => lastEnds[index] === 0);
    const faulty = lastEnds.flatMap((end, index) => end > 0 && end < trace.durationMs ? [{ end, index }] : []);
    if (steady.length === 0 || faulty.length === 0) return undefined;
    const countSends = (engine: SimulatedEngine | undefined, from: number) =>
        engine?.sendTimes.filter(at => at >= from && at < from + FULL_USE_WINDOW_MS).length ?? 0;
    const delays = faulty.map(({ end, index }) => {
        for (let from = end; from < trace.durationMs - FULL_USE_WINDOW_MS; from += 50) {
            const usual = steady.reduce((sum, engine) => sum + countSends(engine, from), 0) / steady.length;
            if (countSends(engines[index], from) >= FULL_USE_FRACTION * usual) return from - end;
        }
        return trace.durationMs - end;
    });
    return delays.reduce((sum, delay) => sum + delay, 0) / delays.length;
}

/** Returns the account of each request of a class that arrives in this step. */
function drawArrivals(trace: LoadTrace, requestClass: RequestClass, now: number, random: () => number): string[] {
    const anyAccount = () => String(Math.floor(random() * trace.accountCount));
    const arrives = (requestsPerSecond: number) => random() < requestsPerSecond * TIME_STEP_MS / 1000;
    const arrivals = arrives(requestClass.requestsPerSecond) ? [anyAccount()] : [];
    for (const { fromMs, toMs, rateFactor, rank, account } of trace.surges) {
        if (now < fromMs || now >= toMs || rank !== undefined && rank !== requestClass.rank) continue;
        if (arrives(requestClass.requestsPerSecond * (rateFactor - 1))) arrivals.push(account ?? anyAccount());
    }
    return arrivals;
}

/** Returns the factor by which the engine is slower than its specification; infinite if it is unreachable. */
export function slowdownAt(trace: LoadTrace, engine: number, now: number): number {
    const fault = trace.engineFaults.find(each => each.engine === engine && now >= each.fromMs && now < each.toMs);
    return fault?.slowdown ?? 1;
}

/** Returns the server name of an engine, as used in the `tried` set of requests. */
export const engineName = (engine: number) => `engine-${engine}`;

function toDispatchRequest(
    id: string,
    { requestClass, account, firstSubmittedAt, isCallerRetry, triedEngines }: SimulatedRequest,
    spec: EngineParameters,
    now: number,
): DispatchRequest {
    return {
        id,
        service: "s",
        rank: requestClass.rank,
        routeRank: requestClass.rank,
        account,
        isCallerRetry,
        arrivedAt: now,
        dueAt: (isCallerRetry ? now : firstSubmittedAt) + requestClass.firstEventTargetMs,
        expiresAt: firstSubmittedAt + REQUEST_TIMEOUT_MS,
        promptTokens: requestClass.promptTokens,
        outputTokens: requestClass.events * spec.tokensPerEvent,
        maxEventGapMs: 300,
        triedServerIds: triedEngines,
        requiredVersion: undefined,
    };
}

function summarizeRequests(requests: readonly SimulatedRequest[]): RequestStatistics {
    const result: { -readonly [Key in keyof RequestStatistics]: number; } = {
        requestCount: requests.length,
        onTimeCount: 0,
        servedCount: 0,
        refusedCount: 0,
        utility: 0,
        maxUtility: 0,
    };
    for (const { requestClass, firstSubmittedAt, firstEventAt, isPreempted, isRefused } of requests) {
        result.maxUtility += requestClass.utility;
        if (isRefused) result.refusedCount++;
        if (firstEventAt === undefined) continue;
        // The stream of a preempted request pauses while its prompt is read again.
        const isOnTime = !isPreempted && firstEventAt - firstSubmittedAt <= requestClass.firstEventTargetMs;
        result.servedCount++;
        if (isOnTime) result.onTimeCount++;
        result.utility += isOnTime ? requestClass.utility : requestClass.lateUtility;
    }
    return result;
}

function jainIndex(shares: readonly number[]): number {
    const sum = shares.reduce((total, share) => total + share, 0);
    const squareSum = shares.reduce((total, share) => total + share * share, 0);
    return squareSum === 0 ? 1 : sum * sum / (shares.length * squareSum);
}
