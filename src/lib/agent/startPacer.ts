/**
 * Spreads the starts of requests. Requests that start together also end together, and other ranks and clients
 * then wait for a whole answer. Overnight work and clients that hold half of the slots start at a pace.
 */
import { Rank } from "../core/index.js";

export interface StartPacer {
    /**
     * Time until a request may start; 0 while the mean duration of requests is unknown.
     *
     * @param runningOfClient number of running requests of the same client.
     */
    delayMs(rank: Rank, runningOfClient: number, slots: number, meanDurationMs: number | undefined): number;
    recordStart(): void;
}

/**
 * Paced requests start at least this fraction of a slot's mean turnover apart, so that slots become free evenly.
 * Overnight work must be able to fill the slots beside even arrivals of other ranks. A large client's starts
 * are further apart, because a small client then seldom waits for more than one turnover.
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
