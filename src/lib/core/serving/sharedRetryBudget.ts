/**
 * Limits retries, which are all sends of a request after its first. All entries share one budget per service: a ratio
 * of the service's requests plus a fixed slack, in any sliding window. Without coordinating, each entry spends the
 * ratio of the requests that it received itself and an equal part of the slack.
 *
 * This prevents retry storms when a pool is in trouble and every request would otherwise be sent several times.
 */

export interface RetryLimits {
    /** Retries per request. */
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
        const last = slices.at(-1);
        if (last === undefined || last.start + SLICE_MS <= now) slices.push({ start: now, requests: 0, retries: 0 });
        return slices;
    }

    function recordRequest(service: string, now: number): void {
        const slice = slicesAt(service, now).at(-1);
        if (slice !== undefined) slice.requests++;
    }

    function take(service: string, now: number): boolean {
        const slices = slicesAt(service, now);
        const requests = slices.reduce((sum, slice) => sum + slice.requests, 0);
        const retries = slices.reduce((sum, slice) => sum + slice.retries, 0);
        const { ratio, slack } = options.limits();
        const allowed = USABLE_FRACTION * (ratio * requests + slack / Math.max(1, options.entryCount()));
        const slice = slices.at(-1);
        if (slice === undefined || retries + 1 > allowed) return false;
        slice.retries++;
        return true;
    }

    return { recordRequest, tryTake: take };
}
