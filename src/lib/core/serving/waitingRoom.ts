/**
 * Decides which requests wait, in which order they are placed and which are refused. Requests that can still be
 * on time go before those that are late already; within these, the more urgent rank, then callers that come back
 * after a refusal, then the account with the least work, then the order of arrival.
 *
 * Answers a flood of one kind of work: the ranks above it keep their time to the first event, the flooded rank
 * keeps a part of the slots, and whoever can't be served is told at once when to come back instead of waiting in
 * vain.
 */

export interface Waiting {
    readonly id: string;
    readonly service: string;
    readonly rank: number;
    /** Rank of the route alone; `rank` is that of the account where it has one. */
    readonly routeRank: number;
    readonly account: string;
    /** The caller was refused before and has come back. */
    readonly hasReturned: boolean;
    readonly arrivedAt: number;
    /** Time at which the first event, or the answer, is due. */
    readonly dueAt: number;
    /** Time after which the caller has gone or the operator's timeout is reached. */
    readonly expiresAt: number;
}

export type Refusal = "overloaded" | "expired" | "no server";

export interface Decision<T extends Waiting> {
    readonly request: T;
    readonly refusal: Refusal;
    /** When the caller should come back, in milliseconds. */
    readonly retryAfterMs: number;
}

/** State of a service's pool at the moment of a decision. */
export interface PoolState {
    /** Usable servers. */
    readonly servers: number;
    /** Requests that end in a second at the present load. */
    readonly completionsPerSecond: number;
    /** Requests that could start now. */
    readonly freeSlots: number;
}

/** Longest predicted wait with which a request is kept: a caller gives up on a stream after 2 s without an event. */
export const MAX_WAIT_MS = 1000;

/** A caller honours a pause of up to a third of the time that it has left. */
const MAX_PAUSE_SHARE = 1 / 3;

const MIN_RETRY_AFTER_MS = 100;

/** Servers that were lost come back after a restart and a load of their weights, which take seconds. */
const NO_SERVER_PAUSE_MS = 3000;

/** Returns the order in which waiting requests are placed. `activeOf` counts an account's requests in progress. */
export function orderWaiting<T extends Waiting>(
    waiting: readonly T[],
    activeOf: (account: string) => number,
    now: number,
): T[] {
    const isLate = (request: T) => request.dueAt <= now ? 1 : 0;
    return waiting.toSorted((a, b) => {
        return isLate(a) - isLate(b) ||
            a.rank - b.rank ||
            Number(b.hasReturned) - Number(a.hasReturned) ||
            activeOf(a.account) - activeOf(b.account) ||
            a.arrivedAt - b.arrivedAt;
    });
}

/** Decides whether a request that could not be placed at once may wait behind `ahead` others. */
export function judgeWaiting<T extends Waiting>(
    request: T,
    ahead: number,
    pool: PoolState,
    random: number,
    now: number,
): Decision<T> | undefined {
    if (pool.servers === 0) return refuse(request, "no server", NO_SERVER_PAUSE_MS, random, now);
    if (now >= request.expiresAt) return refuse(request, "expired", MAX_WAIT_MS, random, now);
    const waitMs = predictWaitMs(ahead, pool);
    // A caller that has come back has no further try, so it may wait as long as it has time.
    const maxWaitMs = request.hasReturned ? 2 * MAX_WAIT_MS : MAX_WAIT_MS;
    if (waitMs <= maxWaitMs && now - request.arrivedAt < 2 * maxWaitMs) return undefined;
    return refuse(request, "overloaded", waitMs, random, now);
}

/** Predicted time until the request behind `ahead` others starts. */
export function predictWaitMs(ahead: number, pool: PoolState): number {
    const inFront = ahead + 1 - pool.freeSlots;
    if (inFront <= 0) return 0;
    return 1000 * inFront / Math.max(1, pool.completionsPerSecond);
}

/** Spreads the returns over a further half of the wait, so that callers refused together don't return together. */
function refuse<T extends Waiting>(
    request: T,
    refusal: Refusal,
    waitMs: number,
    random: number,
    now: number,
): Decision<T> {
    const longest = Math.max(0, request.expiresAt - now) * MAX_PAUSE_SHARE;
    const wanted = Math.max(MIN_RETRY_AFTER_MS, waitMs * (1 + random / 2));
    return { request, refusal, retryAfterMs: Math.round(Math.min(longest, wanted)) };
}
