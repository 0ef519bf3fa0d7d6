/**
 * Admission control: decides which requests wait, in which order they are placed and which are refused. Requests that
 * can still be on time go first, then retries of callers that were refused before, then late requests; within each
 * class the more urgent rank, then the account with the fewest requests in flight at all entries, then the earlier
 * arrival.
 *
 * This is designed for bursts of up to 3 times the usual rate and for the loss of a third of the engines within a
 * second, behind one to 13 entries that share the pool. It keeps them from making every request late, which first come,
 * first served would do by letting each one wait until just after its due time. Requests that can be on time are placed
 * in time, late ones get the remaining capacity, and callers that can't be served soon are told at once when to retry
 * instead of waiting in vain.
 */

export interface QueuedRequest {
    readonly id: string;
    readonly service: string;
    readonly rank: number;
    /** Rank of the route; `rank` is that of the account if it has one. */
    readonly routeRank: number;
    readonly account: string;
    /** The caller retries after a refusal. */
    readonly isCallerRetry: boolean;
    readonly arrivedAt: number;
    /** Time at which the first event, or the complete answer, is due. */
    readonly dueAt: number;
    /** Time at which the caller's deadline or the route's timeout is reached. */
    readonly expiresAt: number;
}

export type RefusalReason =
    | "overloaded"
    | "exceeds the memory of an engine"
    | "servers backing off"
    | "expired"
    | "no server"
    | "no server in the allowed regions"
    | "quarantined prompt";

export interface Refusal<T extends QueuedRequest> {
    readonly request: T;
    readonly reason: RefusalReason;
    /** Delay after which the caller should retry. */
    readonly retryAfterMs: number;
}

/** Capacity of a service's servers at the time of a decision. */
export interface PoolState {
    /** Number of servers that are usable, or will be if none is now. */
    readonly serverCount: number;
    /** Time until the first of these servers is usable; 0 if one is now. */
    readonly untilAvailableMs: number;
    /** Delay after which the caller should retry if no server can take the request itself. */
    readonly noServerRetryAfterMs: number;
    /** Whether some servers are outside of the request's allowed regions. */
    readonly isRestricted: boolean;
    /** No engine of the service could hold the request, even without others. */
    readonly exceedsMemory: boolean;
    /** This entry's share of the requests that complete per second at the current load. */
    readonly completionsPerSecond: number;
    /** Late requests that were recently started per second. */
    readonly lateStartsPerSecond: number;
    /** This entry's share of the slots that are free now. */
    readonly freeSlots: number;
    /**
     * Predicted time to the first event at a server with half of its slots in use; 0 for a service without a model
     * engine.
     */
    readonly typicalFirstEventMs: number;
}

/** Determines the order of placement and which part of the slots a request may use. */
export const QueueClass = {
    /** Can still be answered on time. */
    onTime: 0,
    /** The caller retries after a refusal and won't retry again. */
    callerRetry: 1,
    late: 2,
} as const;

export type QueueClass = (typeof QueueClass)[keyof typeof QueueClass];

/**
 * Longest predicted wait for which a late request is queued. Callers give up on a stream after 2 s without an event,
 * and an engine under load needs part of that time.
 */
export const MAX_LATE_WAIT_MS = 1000;

/** A caller that has already retried won't do so again, so its request may wait longer. */
const MAX_CALLER_RETRY_WAIT_MS = 1700;

/** Callers honour a retry-after delay of up to a third of their remaining time. */
const MAX_RETRY_AFTER_FRACTION = 1 / 3;

const MIN_RETRY_AFTER_MS = 100;

/** Lost servers become usable again after a restart and a load of their weights, which take seconds. */
export const NO_SERVER_RETRY_AFTER_MS = 3000;

/** Lower bound for the rate of late starts as a fraction of all completions, for when none was observed recently. */
const MIN_LATE_START_FRACTION = 0.05;

export function queueClassOf(request: QueuedRequest, typicalFirstEventMs: number, now: number): QueueClass {
    if (request.isCallerRetry) return QueueClass.callerRetry;
    return request.dueAt - now > typicalFirstEventMs ? QueueClass.onTime : QueueClass.late;
}

/**
 * Returns the requests in the order in which they are placed. `inFlightCountOf` returns the number of an account's
 * in-flight requests.
 */
export function sortQueue<T extends QueuedRequest>(
    requests: readonly T[],
    classOf: (request: T) => QueueClass,
    inFlightCountOf: (account: string) => number,
): T[] {
    return requests.toSorted((a, b) => {
        return classOf(a) - classOf(b) ||
            a.rank - b.rank ||
            a.routeRank - b.routeRank ||
            inFlightCountOf(a.account) - inFlightCountOf(b.account) ||
            a.arrivedAt - b.arrivedAt;
    });
}

/**
 * Decides whether a request that could not be placed may wait behind `aheadCount` others of its class. Returns
 * `undefined` if it may, otherwise the refusal. `random` is in [0, 1).
 */
export function decideAdmission<T extends QueuedRequest>(
    request: T,
    queueClass: QueueClass,
    aheadCount: number,
    pool: PoolState,
    random: number,
    now: number,
): Refusal<T> | undefined {
    if (pool.exceedsMemory) {
        // Only a change of the service helps, so the delay is as long as callers honour.
        return createRefusal(request, "exceeds the memory of an engine", Number.POSITIVE_INFINITY, random, now);
    }
    if (pool.serverCount === 0) {
        const reason = pool.isRestricted ? "no server in the allowed regions" : "no server";
        return createRefusal(request, reason, pool.noServerRetryAfterMs, random, now);
    }
    if (now >= request.expiresAt) return createRefusal(request, "expired", NO_SERVER_RETRY_AFTER_MS, random, now);
    if (pool.untilAvailableMs > 0) return decideInBackoff(request, queueClass, aheadCount, pool, random, now);
    if (queueClass === QueueClass.onTime) {
        const slackMs = request.dueAt - now - pool.typicalFirstEventMs;
        if (predictWaitMs(aheadCount, pool) <= slackMs) return undefined;
    }
    const waitMs = predictLateWaitMs(aheadCount, pool);
    const maxWaitMs = maxWaitOf(queueClass);
    if (waitMs <= maxWaitMs && now - request.arrivedAt < 2 * maxWaitMs) return undefined;
    return createRefusal(request, "overloaded", waitMs, random, now);
}

/** Decides while every server has asked for a backoff: requests wait only for a time that is known to suffice. */
function decideInBackoff<T extends QueuedRequest>(
    request: T,
    queueClass: QueueClass,
    aheadCount: number,
    pool: PoolState,
    random: number,
    now: number,
): Refusal<T> | undefined {
    const waitMs = pool.untilAvailableMs + predictWaitMs(aheadCount, pool);
    const waitedMs = now - request.arrivedAt;
    const slackMs = queueClass === QueueClass.onTime ? request.dueAt - now - pool.typicalFirstEventMs : 0;
    const maxWaitMs = Math.max(slackMs, maxWaitOf(queueClass) - waitedMs);
    if (waitMs <= Math.min(maxWaitMs, request.expiresAt - now)) return undefined;
    return createRefusal(request, "servers backing off", waitMs, random, now);
}

function maxWaitOf(queueClass: QueueClass): number {
    return queueClass === QueueClass.callerRetry ? MAX_CALLER_RETRY_WAIT_MS : MAX_LATE_WAIT_MS;
}

/** Returns the predicted time until a request with `aheadCount` others before it starts, in milliseconds. */
export function predictWaitMs(aheadCount: number, pool: PoolState): number {
    const requestsToFinish = aheadCount + 1 - pool.freeSlots;
    if (requestsToFinish <= 0) return 0;
    return 1000 * requestsToFinish / Math.max(1, pool.completionsPerSecond);
}

/** Late requests get only the capacity that requests on time leave over. */
function predictLateWaitMs(aheadCount: number, pool: PoolState): number {
    const startsPerSecond = Math.max(pool.lateStartsPerSecond, pool.completionsPerSecond * MIN_LATE_START_FRACTION, 1);
    return 1000 * (aheadCount + 1) / startsPerSecond;
}

/**
 * Returns the delay after which a caller should retry: the predicted wait plus a random delay of up to half of it, so
 * that callers that were refused together don't retry together.
 */
export function retryAfterMs(waitMs: number, expiresAt: number, random: number, now: number): number {
    const maxRetryAfterMs = Math.max(0, expiresAt - now) * MAX_RETRY_AFTER_FRACTION;
    const randomizedWaitMs = Math.max(MIN_RETRY_AFTER_MS, waitMs * (1 + random / 2));
    return Math.round(Math.min(maxRetryAfterMs, randomizedWaitMs));
}

function createRefusal<T extends QueuedRequest>(
    request: T,
    reason: RefusalReason,
    waitMs: number,
    random: number,
    now: number,
): Refusal<T> {
    return { request, reason, retryAfterMs: retryAfterMs(waitMs, request.expiresAt, random, now) };
}
