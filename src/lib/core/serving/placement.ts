/**
 * Chooses the backend server for a request. Servers of the own failure domain go first as long as they serve the
 * request on time, because links between regions are narrow and shared with everything else; then the server with
 * the earliest predicted first event.
 *
 * Answers a pool that is nearly full in one failure domain and has room in another, and a burst in one domain.
 */
import { type EngineLoad, predictEngine } from "./engineModel.js";
import type { EngineFigures } from "./routeTable.js";

/** One server as a placement sees it. */
export interface Candidate {
    readonly id: string;
    /** Network delay to the server and back. */
    readonly delayMs: number;
    readonly isLocal: boolean;
    readonly slots: number;
    readonly load: EngineLoad;
    /** 1 for a server at its declared speed. */
    readonly pace: number;
    /** Share of recent requests that failed. */
    readonly failureShare: number;
    /** Requests that this process may still open to the server under its share of the connections. */
    readonly freeConnections: number;
}

export interface PlacementRequest {
    readonly promptTokens: number;
    /** Time until the first event is due; not positive if it is late already. */
    readonly dueInMs: number;
    readonly maxPauseMs: number;
    /** Part of the slots that requests of this rank may fill, 0 to 1. */
    readonly slotShare: number;
    /** A server that would be late doesn't do, because another one may get free in time. */
    readonly mustBeOnTime: boolean;
}

export interface Placement {
    readonly id: string;
    readonly firstEventMs: number;
    readonly isOnTime: boolean;
}

/** Part of the time to the first event that a prediction may use; the rest covers what isn't known of the engine. */
export const TARGET_MARGIN = 0.85;

/** A server that fails counts as this much later at a failure share of 1. */
const FAILURE_PENALTY_MS = 2000;

/** Returns `undefined` if no server has room. */
export function placeOnEngine(
    figures: EngineFigures,
    candidates: readonly Candidate[],
    request: PlacementRequest,
): Placement | undefined {
    let best: Placement | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
        const { load, slots } = candidate;
        if (candidate.freeConnections <= 0) continue;
        if (load.writing + load.reading >= Math.floor(slots * request.slotShare)) continue;
        const prediction = predictEngine(figures, load, request.promptTokens, candidate.pace);
        if (load.writing > 0 && prediction.pauseMs > request.maxPauseMs * TARGET_MARGIN && load.reading > 0) continue;
        const firstEventMs = prediction.firstEventMs + candidate.delayMs;
        const isOnTime = firstEventMs <= request.dueInMs * TARGET_MARGIN;
        if (request.mustBeOnTime && !isOnTime) continue;
        const score = scoreOf(candidate, firstEventMs);
        if (score >= bestScore) continue;
        best = { id: candidate.id, firstEventMs, isOnTime };
        bestScore = score;
    }
    return best;
}

/** A remote server is chosen only if no local one does. */
const REMOTE_PENALTY_MS = 10_000;

function scoreOf(candidate: Candidate, firstEventMs: number): number {
    return firstEventMs + candidate.failureShare * FAILURE_PENALTY_MS + (candidate.isLocal ? 0 : REMOTE_PENALTY_MS);
}

/** A plain service: the server with the most free slots, local ones first while they have any. */
export function placeOnService(candidates: readonly Candidate[], dueInMs: number): Placement | undefined {
    let best: Placement | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
        if (candidate.freeConnections <= 0) continue;
        const running = candidate.load.writing + candidate.load.reading;
        if (running >= candidate.slots) continue;
        const score = running / candidate.slots + candidate.failureShare + (candidate.isLocal ? 0 : 0.5);
        if (score >= bestScore) continue;
        best = { id: candidate.id, firstEventMs: candidate.delayMs, isOnTime: dueInMs > candidate.delayMs };
        bestScore = score;
    }
    return best;
}
