/**
 * Replays a load trace against a way of placing requests. Engines work in passes: they read the prompts that wait, then
 * every request writes an event. Callers give up, and come back once after a refusal. The model leaves out memory,
 * preemption and the network.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { decodeIterationMs, type DispatchRequest, type EngineParameters } from "../lib/core/serving/index.js";
import type { LoadTrace, RequestShape } from "./loadTraces.js";

/** Figures of an engine with 16 requests at once and 6 tokens an event. */
export const ENGINE_FIGURES: EngineParameters = {
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

/** Resolution of the replay. */
const STEP_MS = 5;

/** Time after which a caller gives up on a stream without an event. */
const PATIENCE_MS = 2400;

/** Time that a caller grants a request with all its tries. */
const DEADLINE_MS = 6000;

/** Engines that one request may be sent to. */
const MAX_SENDS = 3;

/** What a way of placing decides: an engine, or when to come back. */
export type PoolDecision = { readonly engine: number; } | { readonly retryAfterMs: number; };

/** A way of placing requests. Engines are numbered from 0. */
export interface Placer {
    submit(request: DispatchRequest, settle: (decision: PoolDecision) => void, now: number): void;
    /** The caller has left while the request waited. */
    withdraw(id: string): void;
    started(id: string, engine: number, tookMs: number, now: number): void;
    /** The request has left its engine; `isSound` is false if the engine failed it. */
    ended(id: string, engine: number, isSound: boolean, now: number): void;
    tick(now: number): void;
}

/** What callers got, for one kind or account. */
export interface PoolResult {
    readonly asked: number;
    readonly onTime: number;
    readonly served: number;
    /** Requests that ended with a refusal. */
    readonly refused: number;
    readonly worth: number;
    /** Worth if all were in time. */
    readonly owed: number;
}

export interface PoolReplay {
    /** By rank. */
    readonly kinds: readonly PoolResult[];
    readonly total: PoolResult;
    /** Fairness between accounts by the share of their requests that is served: 1 if all are equal. */
    readonly accountJain: number;
}

interface Job {
    readonly kind: RequestShape;
    readonly account: string;
    readonly askedAt: number;
    readonly tried: Set<string>;
    sends: number;
    hasReturned: boolean;
    unread: number;
    events: number;
    firstEventAt: number | undefined;
    isRefused: boolean;
}

/** Plays the trace. Equal seeds give equal arrivals, whatever the way of placing. */
export function replayTrace(trace: LoadTrace, placer: Placer, seed = 7): PoolReplay {
    const generator = xoroshiro128plus(seed);
    const random = () => uniformFloat64(generator);
    const engines = Array.from({ length: trace.engines }, () => ({ jobs: new Map<string, Job>(), busyUntil: 0 }));
    const all: Job[] = [];
    const returns: { at: number; job: Job; }[] = [];
    const sentAt = new Map<string, number>();
    const waiting = new Map<string, Job>();
    let tries = 0;
    /** Decisions may come in a later step than the request. */
    let currentTime = 0;
    /** Requests at engines that are gone, which is noticed after the decision. */
    let failures: { id: string; job: Job; number: number; hasRun: boolean; }[] = [];

    function submit(job: Job, now: number): void {
        const id = String(tries++);
        waiting.set(id, job);
        placer.submit(requestOf(id, job, now), decision => {
            waiting.delete(id);
            if ("engine" in decision) send(id, job, decision.engine);
            else refuse(job, decision.retryAfterMs);
        }, now);
    }

    function send(id: string, job: Job, number: number): void {
        sentAt.set(id, currentTime);
        job.sends++;
        job.tried.add(engineName(number));
        const isGone = slownessOf(trace, number, currentTime) === Infinity;
        if (isGone) failures.push({ id, job, number, hasRun: false });
        else engines[number]?.jobs.set(id, job);
    }

    function refuse(job: Job, retryAfterMs: number): void {
        const at = currentTime + retryAfterMs;
        if (job.hasReturned || at - job.askedAt >= DEADLINE_MS) job.isRefused = true;
        else returns.push({ at, job });
    }

    for (let now = 0; now < trace.durationMs + PATIENCE_MS; now += STEP_MS) {
        currentTime = now;
        for (const kind of now < trace.durationMs ? trace.kinds : []) {
            for (const account of arrivalsOf(trace, kind, now, random)) {
                const job: Job = {
                    kind,
                    account,
                    askedAt: now,
                    tried: new Set(),
                    sends: 0,
                    hasReturned: false,
                    unread: kind.promptTokens,
                    events: kind.events,
                    firstEventAt: undefined,
                    isRefused: false,
                };
                all.push(job);
                submit(job, now);
            }
        }
        for (const { job } of returns.filter(({ at }) => at <= now)) {
            job.hasReturned = true;
            submit(job, now);
        }
        returns.splice(0, returns.length, ...returns.filter(({ at }) => at > now));
        for (const [number, engine] of engines.entries()) step(number, engine, now);
        const failed = failures;
        failures = [];
        for (const { id, job, number, hasRun } of failed) {
            placer.ended(id, number, false, now);
            if (!hasRun && job.sends < MAX_SENDS) submit(job, now);
        }
        for (const [id, job] of waiting) {
            if (now - job.askedAt < DEADLINE_MS) continue;
            waiting.delete(id);
            placer.withdraw(id);
        }
        placer.tick(now);
    }

    function step(number: number, engine: { jobs: Map<string, Job>; busyUntil: number; }, now: number): void {
        const slowness = slownessOf(trace, number, now);
        if (slowness === Infinity) {
            for (const [id, job] of engine.jobs) failures.push({ id, job, number, hasRun: true });
            engine.jobs.clear();
            return;
        }
        for (const [id, job] of engine.jobs) {
            if (job.firstEventAt !== undefined || now - (sentAt.get(id) ?? now) < PATIENCE_MS) continue;
            engine.jobs.delete(id);
            placer.ended(id, number, false, now);
        }
        if (engine.busyUntil > now || engine.jobs.size === 0) return;
        const running = [...engine.jobs].slice(0, ENGINE_FIGURES.slots);
        const unread = running.reduce((sum, [, job]) => sum + job.unread, 0);
        const passMs = unread / ENGINE_FIGURES.prefillTokensPerMs +
            decodeIterationMs(ENGINE_FIGURES, running.length, 0);
        engine.busyUntil = now + slowness * passMs;
        for (const [id, job] of running) {
            job.unread = 0;
            job.events--;
            if (job.firstEventAt === undefined) {
                job.firstEventAt = engine.busyUntil;
                placer.started(id, number, engine.busyUntil - (sentAt.get(id) ?? now), now);
            }
            if (job.events > 0) continue;
            engine.jobs.delete(id);
            placer.ended(id, number, true, now);
        }
    }

    const accounts = Array.from({ length: trace.accounts }, (_, index) => {
        return resultOf(all.filter(({ account }) => account === String(index)));
    });
    return {
        kinds: trace.kinds.map(kind => resultOf(all.filter(job => job.kind === kind))),
        total: resultOf(all),
        accountJain: jainOf(accounts.filter(({ asked }) => asked > 0).map(({ served, asked }) => served / asked)),
    };
}

/** The account of each request of a kind that arrives in this step. */
function arrivalsOf(trace: LoadTrace, kind: RequestShape, now: number, random: () => number): string[] {
    const anyAccount = () => String(Math.floor(random() * trace.accounts));
    const arrives = (perSecond: number) => random() < perSecond * STEP_MS / 1000;
    const arrivals = arrives(kind.perSecond) ? [anyAccount()] : [];
    for (const { fromMs, toMs, factor, rank, account } of trace.surges) {
        if (now < fromMs || now >= toMs || rank !== undefined && rank !== kind.rank) continue;
        if (arrives(kind.perSecond * (factor - 1))) arrivals.push(account ?? anyAccount());
    }
    return arrivals;
}

function slownessOf(trace: LoadTrace, engine: number, now: number): number {
    const trouble = trace.troubles.find(each => each.engine === engine && now >= each.fromMs && now < each.toMs);
    return trouble?.slowness ?? 1;
}

/** Name of an engine by its number, as requests list those that they were sent to. */
export const engineName = (engine: number) => `engine-${engine}`;

function requestOf(id: string, { kind, account, askedAt, hasReturned, tried }: Job, now: number): DispatchRequest {
    return {
        id,
        service: "s",
        rank: kind.rank,
        routeRank: kind.rank,
        account,
        isCallerRetry: hasReturned,
        arrivedAt: now,
        dueAt: (hasReturned ? now : askedAt) + kind.targetMs,
        expiresAt: askedAt + DEADLINE_MS,
        promptTokens: kind.promptTokens,
        maxEventGapMs: 300,
        triedServerIds: tried,
        requiredVersion: undefined,
    };
}

function resultOf(jobs: readonly Job[]): PoolResult {
    const result = { asked: jobs.length, onTime: 0, served: 0, refused: 0, worth: 0, owed: 0 };
    for (const { kind, askedAt, firstEventAt, isRefused } of jobs) {
        result.owed += kind.worth;
        if (isRefused) result.refused++;
        if (firstEventAt === undefined) continue;
        const isOnTime = firstEventAt - askedAt <= kind.targetMs;
        result.served++;
        if (isOnTime) result.onTime++;
        result.worth += isOnTime ? kind.worth : kind.lateWorth;
    }
    return result;
}

function jainOf(shares: readonly number[]): number {
    const sum = shares.reduce((total, share) => total + share, 0);
    const squares = shares.reduce((total, share) => total + share * share, 0);
    return squares === 0 ? 1 : sum * sum / (shares.length * squares);
}
