/**
 * Spreads the starts of requests. Requests that start together also end together, and other ranks and clients
 * then wait for a whole answer. Overnight work and clients that hold half of the slots start at a pace.
 */
import { Rank } from "../core/index.js";

export interface StartPace {
    /** Time until the next paced request may start; 0 while the duration of requests is unknown. */
    delayMs(meanDurationMs: number | undefined, slots: number): number;
    /** Tells whether a request waits for the pace; `own` is the number of running requests of its client. */
    isPaced(rank: Rank, own: number, slots: number): boolean;
    recordStart(): void;
}

/** Paced requests start at least this fraction of a slot's mean turnover apart, so that slots become free evenly. */
const PACE = 0.8;

export function createStartPace(now: () => number): StartPace {
    let lastStartAt = Number.NEGATIVE_INFINITY;

    function delayMs(meanDurationMs: number | undefined, slots: number): number {
        if (meanDurationMs === undefined) return 0;
        return Math.max(0, lastStartAt + PACE * meanDurationMs / slots - now());
    }

    return {
        delayMs,
        isPaced: (rank, own, slots) => rank === Rank.overnight || 2 * own >= slots,
        recordStart: () => void (lastStartAt = now()),
    };
}
