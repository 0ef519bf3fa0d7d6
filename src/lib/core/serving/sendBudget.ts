/**
 * Bounds the sends beyond the first of each request. All entries share one budget for each service: a ratio of
 * its requests plus a fixed slack, in any window. Without asking each other, every entry spends the ratio of the
 * requests that it saw itself and an equal part of the slack.
 *
 * Answers the load pattern of a pool in trouble, where every request would otherwise be sent several times.
 */

export interface SendBounds {
    /** Further sends per request. */
    readonly ratio: number;
    /** Further sends in a window that need no requests, for all entries together. */
    readonly slack: number;
    readonly windowMs: number;
}

export interface SendBudgetOptions {
    readonly bounds: () => SendBounds;
    /** Entries that share the slack, this one included. */
    readonly entries: () => number;
}

export interface SendBudget {
    recordRequest(service: string, now: number): void;
    /** Takes one further send; returns false if none is left in the window. */
    take(service: string, now: number): boolean;
}

/** Part of the budget that is spent: the bench of the budget counts arrivals, and its windows differ from ours. */
const USED_SHARE = 0.7;

/** A window is kept as slices of this length, which bounds the memory. */
const SLICE_MS = 500;

interface Slice {
    readonly start: number;
    requests: number;
    sends: number;
}

export function createSendBudget(options: SendBudgetOptions): SendBudget {
    const services = new Map<string, Slice[]>();

    function sliceAt(service: string, now: number): Slice[] {
        let slices = services.get(service);
        if (slices === undefined) services.set(service, slices = []);
        while (slices[0] !== undefined && slices[0].start + options.bounds().windowMs <= now) slices.shift();
        const last = slices.at(-1);
        if (last === undefined || last.start + SLICE_MS <= now) slices.push({ start: now, requests: 0, sends: 0 });
        return slices;
    }

    function recordRequest(service: string, now: number): void {
        const slice = sliceAt(service, now).at(-1);
        if (slice !== undefined) slice.requests++;
    }

    function take(service: string, now: number): boolean {
        const slices = sliceAt(service, now);
        const requests = slices.reduce((sum, slice) => sum + slice.requests, 0);
        const sends = slices.reduce((sum, slice) => sum + slice.sends, 0);
        const { ratio, slack } = options.bounds();
        const allowed = USED_SHARE * (ratio * requests + slack / Math.max(1, options.entries()));
        const slice = slices.at(-1);
        if (slice === undefined || sends + 1 > allowed) return false;
        slice.sends++;
        return true;
    }

    return { recordRequest, take };
}
