/**
 * Chooses the backend server for a request. Servers in the local failure domain are preferred as long as they can meet
 * the request's due time, because links between regions have little bandwidth and carry other traffic too; among those,
 * the server with the earliest predicted first event wins, unless its answer would take much longer than elsewhere.
 *
 * This handles a pool that is nearly full in one failure domain while another has free capacity, a burst of requests in
 * one domain, and a pool with slow servers, which may begin a long answer in time but not end it before the deadline.
 */
import { fitsMemory } from "./engineMemory.js";
import { type EngineLoad, predictLatency } from "./engineModel.js";
import type { EngineParameters } from "./routeTable.js";

/** A server that a request may be placed on. */
export interface PlacementCandidate {
    readonly id: string;
    /** Network round-trip time to the server. */
    readonly roundTripMs: number;
    readonly isLocal: boolean;
    readonly slots: number;
    /** Requests that may be at the server at once while its slots are limited (`serverPace.ts`). */
    readonly allowedSlots?: number | undefined;
    /** No other entry owns the server. */
    readonly isOwn: boolean;
    readonly load: EngineLoad;
    /** Factor by which the server is slower than declared; 1 for a server at its declared speed. */
    readonly slowdown: number;
    /** Fraction of recent requests that failed, 0 to 1. */
    readonly failureRate: number;
    /** Connections that this process may still open to the server under its share of the limit. */
    readonly freeConnections: number;
}

export interface PlacementRequest {
    readonly promptTokens: number;
    /** Expected length of the answer. */
    readonly outputTokens: number;
    /** Time until the first event is due; zero or negative if the request is already late. */
    readonly timeToDueMs: number;
    /** Time until the whole answer is too late. */
    readonly timeToExpiryMs: number;
    readonly maxEventGapMs: number;
    /** Fraction of the slots that requests of this rank may fill, 0 to 1. */
    readonly slotFraction: number;
    /** Rejects servers that would answer late, because another one may become free in time. */
    readonly mustBeOnTime: boolean;
}

export interface Placement {
    readonly id: string;
    readonly firstEventMs: number;
    readonly isOnTime: boolean;
}

/** Fraction of the target time that a prediction may use; the rest covers the error of the engine model. */
export const TARGET_FRACTION = 0.85;

/** Delay added to the score of a server with a failure rate of 1; lower rates add proportionally less. */
const FAILURE_PENALTY_MS = 2000;

/** Returns how many requests may be at the server at once if they may use a fraction of its slots. */
export function maxRunning({ slots, allowedSlots = slots }: PlacementCandidate, slotFraction: number): number {
    return Math.min(allowedSlots, Math.floor(slots * slotFraction));
}

/** Places a request on a model engine. Returns `undefined` if no candidate has capacity for it. */
export function placeOnEngine(
    engine: EngineParameters,
    candidates: readonly PlacementCandidate[],
    request: PlacementRequest,
): Placement | undefined {
    let best: Placement | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
        const { load } = candidate;
        if (candidate.freeConnections <= 0) continue;
        if (load.decoding + load.prefilling >= maxRunning(candidate, request.slotFraction)) continue;
        if (!fitsMemory(engine, load, request)) continue;
        const prediction = predictLatency(engine, load, request.promptTokens, candidate.slowdown);
        if (
            load.decoding > 0 && prediction.maxEventGapMs > request.maxEventGapMs * TARGET_FRACTION &&
            load.prefilling > 0
        ) continue;
        const firstEventMs = prediction.firstEventMs + candidate.roundTripMs;
        const isOnTime = firstEventMs <= request.timeToDueMs * TARGET_FRACTION;
        if (request.mustBeOnTime && !isOnTime) continue;
        const answerMs = prediction.iterationMs * request.outputTokens / engine.tokensPerEvent;
        const score = scoreOf(candidate, firstEventMs) + answerMs * ANSWER_DURATION_WEIGHT +
            (firstEventMs + answerMs > request.timeToExpiryMs ? UNFINISHED_PENALTY_MS : 0);
        if (score >= bestScore) continue;
        best = { id: candidate.id, firstEventMs, isOnTime };
        bestScore = score;
    }
    return best;
}

/**
 * Added to the score of a server that another entry owns, which may refuse the request; it is chosen if it is clearly
 * less loaded.
 */
const FOREIGN_PENALTY_MS = 50;

/** How much a longer answer counts against a later first event; it also holds its slot longer. */
const ANSWER_DURATION_WEIGHT = 0.1;

/** Larger than all others: a remote server that can finish the answer is better than a local one that can't. */
const UNFINISHED_PENALTY_MS = 20_000;

/** Large enough that a remote server is chosen only if no local one qualifies. */
const REMOTE_PENALTY_MS = 10_000;

function scoreOf(candidate: PlacementCandidate, firstEventMs: number): number {
    return firstEventMs + candidate.failureRate * FAILURE_PENALTY_MS + (candidate.isLocal ? 0 : REMOTE_PENALTY_MS) +
        (candidate.isOwn ? 0 : FOREIGN_PENALTY_MS);
}

/**
 * Places a request on a service without a model engine: the server with the smallest fraction of slots in use, where a
 * slow server counts as fuller, with a preference for local ones. Returns `undefined` if no candidate has a free slot
 * and a free connection.
 */
export function placeOnService(candidates: readonly PlacementCandidate[], timeToDueMs: number): Placement | undefined {
    let best: Placement | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
        if (candidate.freeConnections <= 0) continue;
        const running = candidate.load.decoding + candidate.load.prefilling;
        if (running >= maxRunning(candidate, 1)) continue;
        const score = (running + 1) / candidate.slots * candidate.slowdown + candidate.failureRate +
            (candidate.isLocal ? 0 : 0.5);
        if (score >= bestScore) continue;
        best = { id: candidate.id, firstEventMs: candidate.roundTripMs, isOnTime: timeToDueMs > candidate.roundTripMs };
        bestScore = score;
    }
    return best;
}
