/**
 * Decides which requests wait, in which order they are placed and which are refused. Requests that can still be
 * on time go first, then callers that come back after a refusal, then those that are late; within these, the more
 * urgent rank, then the account with the least work, then the order of arrival.
 *
 * Answers a burst beyond the capacity of the pool. First come, first served would make everybody wait until just
 * after the time by which the answer was due; here those who can be in time are, late ones get what is left over,
 * and whoever can't be served soon is told at once when to come back instead of waiting in vain.
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
    /** Late requests that were started in a second lately. */
    readonly lateStartsPerSecond: number;
    /** Requests that could start now. */
    readonly freeSlots: number;
    /** Time to the first event at a server without load. */
    readonly idleFirstEventMs: number;
}

/** How a request stands: what is placed first, and which part of the slots it may use. */
export const Standing = {
    /** Can still be answered in time. */
    onTime: 0,
    /** Was refused before, and the caller won't try again. */
    returned: 1,
    late: 2,
} as const;

export type Standing = (typeof Standing)[keyof typeof Standing];

/**
 * Longest predicted wait with which a late request is kept. A caller gives up on a stream after 2 s without an event,
 * and an engine under load needs part of that.
 */
export const MAX_LATE_WAIT_MS = 1000;

/** A caller that has come back has no further try, so it may wait longer. */
const MAX_RETURNED_WAIT_MS = 1700;

/** A caller honours a pause of up to a third of the time that it has left. */
const MAX_PAUSE_SHARE = 1 / 3;

const MIN_RETRY_AFTER_MS = 100;

/** Servers that were lost come back after a restart and a load of their weights, which take seconds. */
const NO_SERVER_PAUSE_MS = 3000;

/** Late starts that are expected even if none was seen lately, as a share of all completions. */
const MIN_LATE_SHARE = 0.05;

export function standingOf(request: Waiting, idleFirstEventMs: number, now: number): Standing {
    if (request.hasReturned) return Standing.returned;
    return request.dueAt - now > idleFirstEventMs ? Standing.onTime : Standing.late;
}

/** Returns the order in which waiting requests are placed. `activeOf` counts an account's requests in progress. */
export function orderWaiting<T extends Waiting>(
    waiting: readonly T[],
    standing: (request: T) => Standing,
    activeOf: (account: string) => number,
): T[] {
    return waiting.toSorted((a, b) => {
        return standing(a) - standing(b) ||
            a.rank - b.rank ||
            a.routeRank - b.routeRank ||
            activeOf(a.account) - activeOf(b.account) ||
            a.arrivedAt - b.arrivedAt;
    });
}

/** Decides whether a request that could not be placed at once may wait behind `ahead` others of its standing. */
export function judgeWaiting<T extends Waiting>(
    request: T,
    standing: Standing,
    ahead: number,
    pool: PoolState,
    random: number,
    now: number,
): Decision<T> | undefined {
    if (pool.servers === 0) return refuse(request, "no server", NO_SERVER_PAUSE_MS, random, now);
    if (now >= request.expiresAt) return refuse(request, "expired", NO_SERVER_PAUSE_MS, random, now);
    if (standing === Standing.onTime) {
        const slackMs = request.dueAt - now - pool.idleFirstEventMs;
        if (predictWaitMs(ahead, pool) <= slackMs) return undefined;
    }
    const waitMs = predictLateWaitMs(ahead, pool);
    const maxWaitMs = standing === Standing.returned ? MAX_RETURNED_WAIT_MS : MAX_LATE_WAIT_MS;
    if (waitMs <= maxWaitMs && now - request.arrivedAt < 2 * maxWaitMs) return undefined;
    return refuse(request, "overloaded", waitMs, random, now);
}

/** Predicted time until the request behind `ahead` others starts. */
export function predictWaitMs(ahead: number, pool: PoolState): number {
    const inFront = ahead + 1 - pool.freeSlots;
    if (inFront <= 0) return 0;
    return 1000 * inFront / Math.max(1, pool.completionsPerSecond);
}

/** Late requests get what requests in time leave over. */
function predictLateWaitMs(ahead: number, pool: PoolState): number {
    const rate = Math.max(pool.lateStartsPerSecond, pool.completionsPerSecond * MIN_LATE_SHARE, 1);
    return 1000 * (ahead + 1) / rate;
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
