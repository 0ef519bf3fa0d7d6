/**
 * Retry budget that all entries share: limits the attempts of a service's requests after their first ones to a ratio of
 * the requests plus a fixed slack, in any sliding window. The entries don't coordinate; each spends the ratio of the
 * requests that it received itself and an equal part of the slack.
 *
 * This prevents retry storms when a pool is in trouble and every request would otherwise be sent several times.
 */

export interface RetryLimits {
    /** Retries allowed for each request, for all entries together. */
    readonly ratio: number;
    /** Retries per window that are allowed regardless of the number of requests, for all entries together. */
    readonly slack: number;
    readonly windowMs: number;
}

export interface SharedRetryBudgetOptions {
    readonly limits: () => RetryLimits;
    /** Number of entries that share the slack, including this one. */
    readonly entryCount: () => number;
}

export interface SharedRetryBudget {
    recordRequest(service: string, now: number): void;
    /** Returns whether a retry is left in the window. */
    isAvailable(service: string, now: number): boolean;
    /** Takes one retry from the budget; returns false if none is left in the window. */
    tryTake(service: string, now: number): boolean;
}

/**
 * Fraction of the budget that is spent. An observer that counts arrivals at the servers uses windows that differ from
 * these, so the rest is kept as a margin.
 */
const USABLE_FRACTION = 0.7;

/** Requests and retries are counted in slices of this length, which bounds the memory. */
const SLICE_MS = 500;

interface WindowSlice {
    readonly start: number;
    requests: number;
    retries: number;
}

export function createSharedRetryBudget(options: SharedRetryBudgetOptions): SharedRetryBudget {
    const slicesByService = new Map<string, WindowSlice[]>();

    function slicesAt(service: string, now: number): WindowSlice[] {
        let slices = slicesByService.get(service);
        if (slices === undefined) slicesByService.set(service, slices = []);
        while (slices[0] !== undefined && slices[0].start + options.limits().windowMs <= now) slices.shift();
        const newest = slices.at(-1);
        if (newest === undefined || newest.start + SLICE_MS <= now) {
            slices.push({ start: now, requests: 0, retries: 0 });
        }
        return slices;
    }

    function recordRequest(service: string, now: number): void {
        const slice = slicesAt(service, now).at(-1);
        if (slice !== undefined) slice.requests++;
    }

    function isAvailable(service: string, now: number): boolean {
        const slices = slicesAt(service, now);
        const requestCount = slices.reduce((sum, slice) => sum + slice.requests, 0);
        const retryCount = slices.reduce((sum, slice) => sum + slice.retries, 0);
        const { ratio, slack } = options.limits();
        const allowedRetries = USABLE_FRACTION * (ratio * requestCount + slack / Math.max(1, options.entryCount()));
        return retryCount + 1 <= allowedRetries;
    }

    function tryTake(service: string, now: number): boolean {
        const slice = slicesAt(service, now).at(-1);
        if (slice === undefined || !isAvailable(service, now)) return false;
        slice.retries++;
        return true;
    }

    return { recordRequest, isAvailable, tryTake };
}
