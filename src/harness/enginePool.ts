/**
 * Discrete-time simulation of an engine pool: replays a load trace against a placement policy. Engines work in
 * iterations: prefill of the new prompts, then one event for every running request. Callers time out, and retry once
 * after a refusal. Memory, preemption and the network aren't modelled.
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
    tick(now: number): void;
}

/** Results of a set of requests, for example those of one class or account. */
export interface RequestStatistics {
    readonly asked: number;
    readonly onTime: number;
    readonly served: number;
    /** Requests whose final outcome was a refusal. */
    readonly refusedCount: number;
    readonly worth: number;
    /** Total utility if every request were in time. */
    readonly owed: number;
}

export interface PoolReplay {
    /** Results by request class, in the order of the trace. */
    readonly kinds: readonly RequestStatistics[];
    readonly total: RequestStatistics;
    /** Jain's fairness index of the fractions of their requests that accounts get served; 1 if all are equal. */
    readonly accountJain: number;
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
    firstEventAt: number | undefined;
    isRefused: boolean;
}

/** Simulates the trace. Equal seeds give equal arrivals for every placement policy. */
export function replayTrace(trace: LoadTrace, placer: Placer, seed = 7): PoolReplay {
    const generator = xoroshiro128plus(seed);
    const random = () => uniformFloat64(generator);
    const engines = Array.from(
        { length: trace.engines },
        () => ({ jobs: new Map<string, SimulatedRequest>(), busyUntil: 0 }),
    );
    const all: SimulatedRequest[] = [];
    const scheduledRetries: { at: number; job: SimulatedRequest; }[] = [];
    const sentAt = new Map<string, number>();
    const undecided = new Map<string, SimulatedRequest>();
    let submitCount = 0;
    /** Time of the current step; a decision may be made in a later step than the submission. */
    let currentTime = 0;
    /** Requests at unreachable engines, whose failure is reported to the placer after the decision. */
    let failures: { id: string; job: SimulatedRequest; number: number; hasStarted: boolean; }[] = [];

    function submit(job: SimulatedRequest, now: number): void {
        const id = String(submitCount++);
        undecided.set(id, job);
        placer.submit(toDispatchRequest(id, job, now), decision => {
            undecided.delete(id);
            if ("engine" in decision) send(id, job, decision.engine);
            else refuse(job, decision.retryAfterMs);
        }, now);
    }

    function send(id: string, job: SimulatedRequest, number: number): void {
        sentAt.set(id, currentTime);
        job.sendCount++;
        job.triedEngines.add(engineName(number));
        const isUnreachable = slowdownAt(trace, number, currentTime) === Infinity;
        if (isUnreachable) failures.push({ id, job, number, hasStarted: false });
        else engines[number]?.jobs.set(id, job);
    }

    function refuse(job: SimulatedRequest, retryAfterMs: number): void {
        const at = currentTime + retryAfterMs;
        if (job.isCallerRetry || at - job.firstSubmittedAt >= REQUEST_TIMEOUT_MS) job.isRefused = true;
        else scheduledRetries.push({ at, job });
    }

    for (let now = 0; now < trace.durationMs + FIRST_EVENT_TIMEOUT_MS; now += TIME_STEP_MS) {
        currentTime = now;
        for (const requestClass of now < trace.durationMs ? trace.requestClasses : []) {
            for (const account of drawArrivals(trace, requestClass, now, random)) {
                const job: SimulatedRequest = {
                    requestClass,
                    account,
                    firstSubmittedAt: now,
                    triedEngines: new Set(),
                    sendCount: 0,
                    isCallerRetry: false,
                    remainingPromptTokens: requestClass.promptTokens,
                    remainingEvents: requestClass.events,
                    firstEventAt: undefined,
                    isRefused: false,
                };
                all.push(job);
                submit(job, now);
            }
        }
        for (const { job } of scheduledRetries.filter(({ at }) => at <= now)) {
            job.isCallerRetry = true;
            submit(job, now);
        }
        scheduledRetries.splice(0, scheduledRetries.length, ...scheduledRetries.filter(({ at }) => at > now));
        for (const [number, engine] of engines.entries()) step(number, engine, now);
        const failed = failures;
        failures = [];
        for (const { id, job, number, hasStarted: hasRun } of failed) {
            placer.recordEnd(id, number, false, now);
            if (!hasRun && job.sendCount < MAX_SENDS) submit(job, now);
        }
        for (const [id, job] of undecided) {
            if (now - job.firstSubmittedAt < REQUEST_TIMEOUT_MS) continue;
            undecided.delete(id);
            placer.cancel(id);
        }
        placer.tick(now);
    }

    function step(
        number: number,
        engine: { jobs: Map<string, SimulatedRequest>; busyUntil: number; },
        now: number,
    ): void {
        const slowdown = slowdownAt(trace, number, now);
        if (slowdown === Infinity) {
            for (const [id, job] of engine.jobs) failures.push({ id, job, number, hasStarted: true });
            engine.jobs.clear();
            return;
        }
        for (const [id, job] of engine.jobs) {
            if (job.firstEventAt !== undefined || now - (sentAt.get(id) ?? now) < FIRST_EVENT_TIMEOUT_MS) continue;
            engine.jobs.delete(id);
            placer.recordEnd(id, number, false, now);
        }
        if (engine.busyUntil > now || engine.jobs.size === 0) return;
        const running = [...engine.jobs].slice(0, ENGINE_SPEC.slots);
        const prefillTokens = running.reduce((sum, [, job]) => sum + job.remainingPromptTokens, 0);
        const iterationMs = prefillTokens / ENGINE_SPEC.prefillTokensPerMs +
            decodeIterationMs(ENGINE_SPEC, running.length, 0);
        engine.busyUntil = now + slowdown * iterationMs;
        for (const [id, job] of running) {
            job.remainingPromptTokens = 0;
            job.remainingEvents--;
            if (job.firstEventAt === undefined) {
                job.firstEventAt = engine.busyUntil;
                placer.recordFirstEvent(id, number, engine.busyUntil - (sentAt.get(id) ?? now), now);
            }
            if (job.remainingEvents > 0) continue;
            engine.jobs.delete(id);
            placer.recordEnd(id, number, true, now);
        }
    }

    const accounts = Array.from({ length: trace.accounts }, (_, index) => {
        return summarizeRequests(all.filter(({ account }) => account === String(index)));
    });
    return {
        kinds: trace.requestClasses.map(requestClass =>
            summarizeRequests(all.filter(job => job.requestClass === requestClass))
        ),
        total: summarizeRequests(all),
        accountJain: jainIndex(accounts.filter(({ asked }) => asked > 0).map(({ served, asked }) => served / asked)),
    };
}

/** Returns the account of each request of a class that arrives in this step. */
function drawArrivals(trace: LoadTrace, requestClass: RequestClass, now: number, random: () => number): string[] {
    const anyAccount = () => String(Math.floor(random() * trace.accounts));
    const arrives = (perSecond: number) => random() < perSecond * TIME_STEP_MS / 1000;
    const arrivals = arrives(requestClass.perSecond) ? [anyAccount()] : [];
    for (const { fromMs, toMs, rateFactor, rank, account } of trace.surges) {
        if (now < fromMs || now >= toMs || rank !== undefined && rank !== requestClass.rank) continue;
        if (arrives(requestClass.perSecond * (rateFactor - 1))) arrivals.push(account ?? anyAccount());
    }
    return arrivals;
}

function slowdownAt(trace: LoadTrace, engine: number, now: number): number {
    const fault = trace.engineFaults.find(each => each.engine === engine && now >= each.fromMs && now < each.toMs);
    return fault?.slowdown ?? 1;
}

/** Returns the server name of an engine, as used in the `tried` set of requests. */
export const engineName = (engine: number) => `engine-${engine}`;

function toDispatchRequest(
    id: string,
    { requestClass, account, firstSubmittedAt, isCallerRetry, triedEngines }: SimulatedRequest,
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
        dueAt: (isCallerRetry ? now : firstSubmittedAt) + requestClass.targetMs,
        expiresAt: firstSubmittedAt + REQUEST_TIMEOUT_MS,
        promptTokens: requestClass.promptTokens,
        maxEventGapMs: 300,
        triedServerIds: triedEngines,
        requiredVersion: undefined,
    };
}

function summarizeRequests(jobs: readonly SimulatedRequest[]): RequestStatistics {
    const result: { -readonly [Key in keyof RequestStatistics]: number; } = {
        asked: jobs.length,
        onTime: 0,
        served: 0,
        refusedCount: 0,
        worth: 0,
        owed: 0,
    };
    for (const { requestClass, firstSubmittedAt, firstEventAt, isRefused } of jobs) {
        result.owed += requestClass.utility;
        if (isRefused) result.refusedCount++;
        if (firstEventAt === undefined) continue;
        const isOnTime = firstEventAt - firstSubmittedAt <= requestClass.targetMs;
        result.served++;
        if (isOnTime) result.onTime++;
        result.worth += isOnTime ? requestClass.utility : requestClass.lateUtility;
    }
    return result;
}

function jainIndex(shares: readonly number[]): number {
    const sum = shares.reduce((total, share) => total + share, 0);
    const squares = shares.reduce((total, share) => total + share * share, 0);
    return squares === 0 ? 1 : sum * sum / (shares.length * squares);
}
