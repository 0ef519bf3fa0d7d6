/**
 * Bounds how old a check of staged pieces may be when the engine accepts the order to load them. A staged piece may
 * become corrupt at any time, and a process, its engine or the whole VM may stand still between the check and the order.
 * Like a lease, a check is worth nothing once it has expired.
 */

/** Both clocks of a process at the same moment, in milliseconds. */
export interface ClockReading {
    /** Doesn't count the time for which the VM is suspended. */
    readonly monotonicMs: number;
    /** Counts suspension, and may jump. */
    readonly wallMs: number;
}

/** Maximum age of the check when the order is sent. */
const MAX_AGE_AT_ORDER_MS = 1500;

/** Maximum age of the check when the engine's response to the order arrives, which may be much later than the order. */
const MAX_AGE_AT_RESPONSE_MS = 2500;

/** Returns the time between two readings; the longer one if the clocks differ, since a check must not seem too young. */
export function elapsedMs(since: ClockReading, until: ClockReading): number {
    return Math.max(until.monotonicMs - since.monotonicMs, until.wallMs - since.wallMs);
}

/** Returns whether the order may be sent after a check that began at `checkedSince`. */
export function mayOrder(checkedSince: ClockReading, now: ClockReading): boolean {
    return elapsedMs(checkedSince, now) <= MAX_AGE_AT_ORDER_MS;
}

/** Returns whether the check was still valid when the engine accepted the order, to which it has now responded. */
export function wasOrderInTime(checkedSince: ClockReading, now: ClockReading): boolean {
    return elapsedMs(checkedSince, now) <= MAX_AGE_AT_RESPONSE_MS;
}
