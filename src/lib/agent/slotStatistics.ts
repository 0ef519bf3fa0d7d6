/** Learns from finished attempts how long and how fast a slot of the backend server works. */

export interface SlotStatistics {
    recordAttempt(cost: number, durationMs: number): void;
    /** `undefined` until the first answer has ended. */
    readonly tokensPerSecond: () => number | undefined;
    /** `undefined` until the first answer has ended. */
    readonly meanDurationMs: () => number | undefined;
    readonly meanCost: () => number;
}

/** Weight of a new sample in the means. */
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
