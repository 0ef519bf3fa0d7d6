/**
 * Slow start: how many requests may be at a server at once while it is unknown how much it can take. A ramp begins when
 * a server appears while this entry runs, returns after an ejection or an evacuation, or has become slow. It grows
 * while the server answers about as fast as predicted, shrinks when answers are late, refused or broken, and ends at
 * the full slots. Without answers it grows slowly with time, so that a server without work isn't held back for long.
 *
 * This handles a third of the servers that restart together, or a failure domain that returns, while callers wait: all
 * waiting requests would go to the empty servers at once, which are slow just then and crash above a certain rate. It
 * also handles a server that fails and recovers in turn. Short disturbances of a few hundred milliseconds, which
 * servers have many times a minute, begin no ramp.
 *
 * The allowance limits the known load of all entries together. One answer stands for as many as the server has requests
 * of all entries for each of this entry's own, so that each entry finds about the same allowance from its part of the
 * answers.
 */
import { Outcome } from "./serverHealth.js";
import type { BackendServer, ServerIncarnation } from "./serverRegistry.js";

/** Why a ramp began. */
export const RampCause = {
    appeared: "appeared",
    returned: "returned",
    evacuationWithdrawn: "evacuation withdrawn",
    slow: "slow answers",
} as const;

export type RampCause = (typeof RampCause)[keyof typeof RampCause];

/** Number of requests that may be at a server at once, those of other entries included. */
export interface SlotAllowance {
    readonly slots: number;
    /** For a request that would be refused otherwise; more than `slots` unless recent answers were late or refused. */
    readonly overflowSlots: number;
}

/** The first event or, without one, the complete answer to a request. */
export interface ServerAnswer {
    /** Predicted time; `undefined` for a service without a model engine, whose usual times are learned. */
    readonly predictedMs: number | undefined;
    readonly measuredMs: number;
    /** Requests at the server, as far as known, and those of this entry among them. */
    readonly runningCount: number;
    readonly ownCount: number;
    /** The server reports a queue that is at least as long as the number of requests that it runs. */
    readonly isQueueLong: boolean;
}

export interface ServerPace {
    /**
     * Returns the allowance of a server; `undefined` if it may use all of its slots. `runningCount` is the number of
     * requests at it, as far as known.
     */
    allowance(server: BackendServer, runningCount: number, now: number): SlotAllowance | undefined;
    recordAnswer(server: ServerIncarnation, answer: ServerAnswer, now: number): void;
    /** Records how a request ended. Successes count through their answers only. */
    recordOutcome(server: ServerIncarnation, outcome: Outcome, now: number): void;
    /** Lets the ramps grow with time. Call it with each heartbeat. */
    tick(now: number): void;
    /** Returns the present limit of a server for an owner that decides on reservations; infinite without a ramp. */
    maxRunning(id: string, now: number): number;
    /** Returns whether the server belongs to a service with slow start and was considered for a request before. */
    isTracked(id: string): boolean;
    isRamping(id: string): boolean;
    rampingCount(): number;
    remove(id: string): void;
}

export interface RampChange {
    readonly serverId: string;
    readonly cause: RampCause;
    /** Duration of a ramp that ended; `undefined` for one that begins. */
    readonly tookMs: number | undefined;
}

export interface ServerPaceOptions {
    readonly isEjected: (serverId: string) => boolean;
    /** Returns when the last evacuation of a failure domain was withdrawn. */
    readonly withdrawnAt: (failureDomain: string) => number | undefined;
    readonly onChange?: (change: RampChange) => void;
}

/** Lower bound of the allowance: enough for answers that tell whether it may grow. */
const MIN_SLOTS = 2;
const MIN_SLOT_FRACTION = 1 / 8;

/** Time in which the floor of the allowance rises from its minimum to the full slots, unless answers are bad. */
export const FULL_USE_MS = 4000;

/** Fraction that is left of the allowance after a bad answer. */
const REDUCTION_FACTOR = 0.5;

/** Answers to requests that were sent together are late together, and count as one. */
const REDUCTION_INTERVAL_MS = 200;

/** A request that would be refused may use the allowance times this factor. */
const OVERFLOW_FACTOR = 1.5;

/** Time after a bad answer during which the allowance isn't exceeded, unless a good answer follows. */
const OVERFLOW_PAUSE_MS = 1000;

/** Slots that a good answer adds: the allowance grows to three times its value with each round of good answers. */
const GROWTH_PER_ANSWER = 2;

/**
 * Ratios of the measured to the predicted time up to which an answer is good and from which on it is late. A server
 * that is slower by a constant factor is one that the predictions soon describe (`serverSpeed.ts`), not an overloaded
 * one.
 */
const GOOD_RATIO = 1.25;
const LATE_RATIO = 3;

/** Smaller differences in milliseconds are those of timers and links. */
const GOOD_EXCESS_MS = 15;
const LATE_EXCESS_MS = 30;

/**
 * Weights of the newest answer in the mean ratio of the measured to the predicted time, of a server and of its service.
 * Refusals and failures count as the largest ratio.
 */
const SERVER_RATIO_SMOOTHING = 0.2;
const SERVICE_RATIO_SMOOTHING = 0.02;
const MAX_RATIO = 4;

/** A server is slow if its ratio is this many times that of its service: an overload makes all servers late. */
const SLOW_RATIO = 1.8;

/** A server is slow only after this time above the ratio: its speed changes for shorter ones all the time. */
const SLOW_AFTER_MS = 500;

/** Weight of the newest time in the usual time of a plain service. */
const USUAL_TIME_SMOOTHING = 0.02;

/** Servers that are first seen within this time after the first ones of their service ran before this entry did. */
const START_GRACE_MS = 3000;

/**
 * Several heartbeats. An entry that hasn't run for longer was paused: the time says nothing about the servers, and
 * answers to earlier requests were read late.
 */
const MAX_STEP_MS = 500;

interface Ramp {
    readonly cause: RampCause;
    readonly beganAt: number;
    /** Allowance according to the answers; the floor may be higher. */
    answeredSlots: number;
    /** Time without bad answers, which raises the floor. */
    floorAgeMs: number;
    advancedAt: number;
    badAt: number | undefined;
}

interface PaceState {
    server: BackendServer;
    wasEjected: boolean;
    /** The withdrawal that has begun a ramp, or preceded the first use of the server. */
    withdrawnAt: number | undefined;
    ramp: Ramp | undefined;
    /** Moving average of the ratio of the measured to the predicted times. */
    meanRatio: number;
    /** Since when the ratio is that of a slow server. */
    slowSince: number | undefined;
}

const Judgement = { good: "good", neutral: "neutral", bad: "bad" } as const;
type Judgement = (typeof Judgement)[keyof typeof Judgement];

/** Returns the smallest allowance of a server. */
export function minAllowance(slots: number): number {
    return Math.min(slots, Math.max(MIN_SLOTS, Math.floor(slots * MIN_SLOT_FRACTION)));
}

export function createServerPace({ isEjected, withdrawnAt, onChange }: ServerPaceOptions): ServerPace {
    const states = new Map<string, PaceState>();
    /** When the first servers of each service were seen. */
    const firstSeenAt = new Map<string, number>();
    const usualMsByService = new Map<string, number>();
    /** Moving average of the ratios of all servers of a service. */
    const ratioByService = new Map<string, number>();
    let tickedAt: number | undefined;
    /** End of the last pause of this entry. */
    let resumedAt = Number.NEGATIVE_INFINITY;

    function beginRamp(state: PaceState, cause: RampCause, slots: number, now: number): void {
        state.ramp = {
            cause,
            beganAt: now,
            answeredSlots: slots,
            floorAgeMs: 0,
            advancedAt: now,
            badAt: undefined,
        };
        state.meanRatio = 1;
        state.slowSince = undefined;
        onChange?.({ serverId: state.server.id, cause, tookMs: undefined });
    }

    function slotsOf({ server }: PaceState, { answeredSlots, floorAgeMs }: Ramp): number {
        const lowest = minAllowance(server.slots);
        const floor = lowest + (server.slots - lowest) * Math.min(1, floorAgeMs / FULL_USE_MS);
        return Math.min(server.slots, Math.max(lowest, floor, answeredSlots));
    }

    function allowanceOf(state: PaceState, now: number): SlotAllowance | undefined {
        const { ramp, server } = state;
        if (ramp === undefined) return undefined;
        const slots = Math.floor(slotsOf(state, ramp));
        const isTroubled = ramp.badAt !== undefined && now - ramp.badAt < OVERFLOW_PAUSE_MS;
        const overflowSlots = isTroubled ? slots : Math.min(server.slots, Math.ceil(slots * OVERFLOW_FACTOR));
        return { slots, overflowSlots };
    }

    function endIfFull(state: PaceState, ramp: Ramp, now: number): void {
        if (slotsOf(state, ramp) < state.server.slots) return;
        state.ramp = undefined;
        onChange?.({ serverId: state.server.id, cause: ramp.cause, tookMs: now - ramp.beganAt });
    }

    function advance(state: PaceState, now: number): void {
        const { ramp } = state;
        if (ramp === undefined) return;
        ramp.floorAgeMs += Math.max(0, Math.min(MAX_STEP_MS, now - ramp.advancedAt));
        ramp.advancedAt = now;
        endIfFull(state, ramp, now);
    }

    /** Returns the state of a server after the changes that begin a ramp. */
    function observe(server: BackendServer, runningCount: number, now: number): PaceState {
        const withdrawal = withdrawnAt(server.failureDomain);
        const isOut = isEjected(server.id);
        // Other entries may have found already that the server can take more.
        const firstSlots = Math.max(minAllowance(server.slots), Math.min(server.slots, runningCount + 1));
        let state = states.get(server.id);
        if (state === undefined || state.server.startedAt !== server.startedAt) {
            const isReplacement = state !== undefined;
            const firstAt = firstSeenAt.get(server.service) ?? now;
            firstSeenAt.set(server.service, firstAt);
            state = {
                server,
                wasEjected: isOut,
                withdrawnAt: withdrawal,
                ramp: undefined,
                meanRatio: 1,
                slowSince: undefined,
            };
            states.set(server.id, state);
            const isNew = isReplacement || now - firstAt > START_GRACE_MS || server.remainingWarmupMs > 0;
            if (isNew) beginRamp(state, RampCause.appeared, firstSlots, now);
            return state;
        }
        state.server = server;
        if (state.wasEjected && !isOut) beginRamp(state, RampCause.returned, firstSlots, now);
        else if (withdrawal !== state.withdrawnAt) {
            beginRamp(state, RampCause.evacuationWithdrawn, firstSlots, now);
        }
        state.wasEjected = isOut;
        state.withdrawnAt = withdrawal;
        return state;
    }

    function expectedMsOf({ server }: PaceState, { predictedMs, measuredMs }: ServerAnswer): number {
        return Math.max(1, predictedMs ?? usualMsByService.get(server.service) ?? measuredMs);
    }

    function judge(expectedMs: number, { measuredMs, isQueueLong }: ServerAnswer): Judgement {
        if (measuredMs > expectedMs * LATE_RATIO && measuredMs > expectedMs + LATE_EXCESS_MS) return Judgement.bad;
        if (isQueueLong) return Judgement.neutral;
        return measuredMs <= expectedMs * GOOD_RATIO + GOOD_EXCESS_MS ? Judgement.good : Judgement.neutral;
    }

    /** Begins a ramp if the server has been much slower than its service for a while. */
    function recordRatio(state: PaceState, ratio: number, now: number): void {
        const { service, slots } = state.server;
        const bounded = Math.min(MAX_RATIO, ratio);
        const serviceRatio = ratioByService.get(service) ?? 1;
        ratioByService.set(service, serviceRatio + SERVICE_RATIO_SMOOTHING * (bounded - serviceRatio));
        state.meanRatio += SERVER_RATIO_SMOOTHING * (bounded - state.meanRatio);
        if (state.meanRatio <= SLOW_RATIO * Math.max(1, serviceRatio)) {
            state.slowSince = undefined;
            return;
        }
        state.slowSince ??= now;
        if (now - state.slowSince < SLOW_AFTER_MS) return;
        beginRamp(state, RampCause.slow, Math.max(minAllowance(slots), slots * REDUCTION_FACTOR), now);
    }

    function shrink(state: PaceState, ramp: Ramp, now: number): void {
        const slots = slotsOf(state, ramp);
        ramp.floorAgeMs = 0;
        if (ramp.badAt !== undefined && now - ramp.badAt < REDUCTION_INTERVAL_MS) return;
        ramp.answeredSlots = Math.max(minAllowance(state.server.slots), slots * REDUCTION_FACTOR);
        ramp.badAt = now;
    }

    function grow(
        state: PaceState,
        ramp: Ramp,
        { runningCount, ownCount }: ServerAnswer,
        now: number,
    ): void {
        ramp.badAt = undefined;
        const slots = slotsOf(state, ramp);
        // Answers of a server that isn't in full use don't tell whether it can take more.
        if (runningCount * 2 < Math.floor(slots)) return;
        const answerCount = Math.max(1, runningCount / Math.max(1, ownCount));
        ramp.answeredSlots = Math.min(state.server.slots, slots + GROWTH_PER_ANSWER * answerCount);
        endIfFull(state, ramp, now);
    }

    function findState({ id, startedAt }: ServerIncarnation): PaceState | undefined {
        const state = states.get(id);
        return state?.server.startedAt === startedAt ? state : undefined;
    }

    function notePause(now: number): void {
        if (tickedAt === undefined || now - tickedAt <= MAX_STEP_MS) return;
        resumedAt = now;
        tickedAt = now;
    }

    return {
        allowance: (server, runningCount, now) => {
            const state = observe(server, runningCount, now);
            advance(state, now);
            return allowanceOf(state, now);
        },
        maxRunning: (id, now) => {
            const state = states.get(id);
            return (state === undefined ? undefined : allowanceOf(state, now))?.overflowSlots ??
                Number.POSITIVE_INFINITY;
        },
        isTracked: id => states.has(id),
        recordAnswer: (server, answer, now) => {
            notePause(now);
            const state = findState(server);
            if (state === undefined || now - answer.measuredMs < resumedAt) return;
            const expectedMs = expectedMsOf(state, answer);
            const { ramp } = state;
            if (ramp === undefined) {
                const { service } = state.server;
                const usualMs = usualMsByService.get(service) ?? expectedMs;
                if (answer.predictedMs === undefined) {
                    usualMsByService.set(service, usualMs + USUAL_TIME_SMOOTHING * (answer.measuredMs - usualMs));
                }
                recordRatio(state, answer.measuredMs / expectedMs, now);
                return;
            }
            advance(state, now);
            const judgement = judge(expectedMs, answer);
            if (judgement === Judgement.bad) shrink(state, ramp, now);
            else if (judgement === Judgement.good) grow(state, ramp, answer, now);
        },
        recordOutcome: (server, outcome, now) => {
            const state = findState(server);
            if (state === undefined || outcome === Outcome.success) return;
            advance(state, now);
            if (state.ramp !== undefined) shrink(state, state.ramp, now);
            // An engine that loads weights defers requests; that says nothing about what it can take otherwise.
            else if (outcome !== Outcome.deferred) recordRatio(state, MAX_RATIO, now);
        },
        tick: now => {
            notePause(now);
            tickedAt = now;
            for (const state of states.values()) advance(state, now);
        },
        isRamping: id => states.get(id)?.ramp !== undefined,
        rampingCount: () => {
            let count = 0;
            for (const { ramp } of states.values()) if (ramp !== undefined) count++;
            return count;
        },
        remove: id => void states.delete(id),
    };
}
