/** Estimates the throughput, duration and cost of attempts per slot of the backend server from finished attempts. */

export interface SlotStatistics {
    recordAttempt(cost: number, durationMs: number): void;
    /** Mean throughput of one slot; `undefined` until the first attempt has ended. */
    readonly tokensPerSecond: () => number | undefined;
    /** `undefined` until the first attempt has ended. */
    readonly meanDurationMs: () => number | undefined;
    readonly meanCost: () => number;
}

/** Weight of a new sample in the exponential moving averages. */
const SMOOTHING_FACTOR = 0.1;

export function createSlotStatistics(): SlotStatistics {
    let tokensPerSecond: number | undefined;
    let meanDurationMs: number | undefined;
    let meanCost = 1;

    function recordAttempt(cost: number, elapsedMs: number): void {
        const durationMs = Math.max(1, elapsedMs);
        meanCost = updateMean(meanCost, cost);
        meanDurationMs = updateMean(meanDurationMs, durationMs);
        tokensPerSecond = updateMean(tokensPerSecond, 1000 * cost / durationMs);
    }

    return {
        recordAttempt,
        tokensPerSecond: () => tokensPerSecond,
        meanDurationMs: () => meanDurationMs,
        meanCost: () => meanCost,
    };
}

function updateMean(mean: number | undefined, sample: number): number {
    return mean === undefined ? sample : mean + SMOOTHING_FACTOR * (sample - mean);
}
