/**
 * Paces the starts of requests. Requests that start together also end together, and requests of other ranks and
 * clients then wait for a complete response. Only overnight requests and clients that hold at least half of the
 * slots are paced.
 */
import { Rank } from "../core/index.js";

export interface StartPacer {
    /**
     * Returns the time until a request may start; 0 while the mean duration of requests is unknown.
     *
     * @param runningOfClient number of running requests of the same client.
     */
    delayMs(rank: Rank, runningOfClient: number, slots: number, meanDurationMs: number | undefined): number;
    recordStart(): void;
}

/**
 * Minimum spacing of paced starts, as a fraction of the mean time between two slots becoming free. Even spacing
 * makes slots become free evenly. Overnight requests need less than 1 to fill the slots beside evenly arriving
 * requests of other ranks. Requests of large clients are spaced further apart, so that a small client seldom waits
 * for more than one slot to become free.
 */
const OVERNIGHT_SPACING = 0.8;
const LARGE_CLIENT_SPACING = 1;

export function createStartPacer(now: () => number): StartPacer {
    let lastStartAt = Number.NEGATIVE_INFINITY;

    function delayMs(rank: Rank, runningOfClient: number, slots: number, meanDurationMs: number | undefined): number {
        const spacing = spacingOf(rank, runningOfClient, slots);
        if (spacing === 0 || meanDurationMs === undefined) return 0;
        return Math.max(0, lastStartAt + spacing * meanDurationMs / slots - now());
    }

    return { delayMs, recordStart: () => void (lastStartAt = now()) };
}

function spacingOf(rank: Rank, runningOfClient: number, slots: number): number {
    if (2 * runningOfClient >= slots) return LARGE_CLIENT_SPACING;
    return rank === Rank.overnight ? OVERNIGHT_SPACING : 0;
}
