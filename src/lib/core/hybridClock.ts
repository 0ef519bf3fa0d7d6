/**
 * Hybrid logical clock. Its timestamps stay close to physical time but are always greater than any timestamp that
 * this process has seen, so that events of several processes can be merged in causal order.
 */

export interface Timestamp {
    /** Milliseconds since the epoch. */
    readonly physicalMs: number;
    /** Orders events of the same physical time. */
    readonly logical: number;
}

export interface HybridClock {
    /** Returns the timestamp of a local event. `now` is the wall-clock time in milliseconds since the epoch. */
    tick(now: number): Timestamp;
    /** Advances the clock past a timestamp received from another process and returns the timestamp of the receipt. */
    observe(remote: Timestamp, now: number): Timestamp;
}

export function createHybridClock(): HybridClock {
    let last: Timestamp = { physicalMs: 0, logical: 0 };

    function tick(now: number): Timestamp {
        last = now > last.physicalMs ?
            { physicalMs: now, logical: 0 } :
            { physicalMs: last.physicalMs, logical: last.logical + 1 };
        return last;
    }

    function observe(remote: Timestamp, now: number): Timestamp {
        if (compareTimestamps(remote, last) > 0) last = remote;
        return tick(now);
    }

    return { tick, observe };
}

export function compareTimestamps(a: Timestamp, b: Timestamp): number {
    return a.physicalMs - b.physicalMs || a.logical - b.logical;
}
