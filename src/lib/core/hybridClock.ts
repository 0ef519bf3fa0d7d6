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
    let latest: Timestamp = { physicalMs: 0, logical: 0 };

    function tick(now: number): Timestamp {
        latest = now > latest.physicalMs ?
            { physicalMs: now, logical: 0 } :
            { physicalMs: latest.physicalMs, logical: latest.logical + 1 };
        return latest;
    }

    function observe(remote: Timestamp, now: number): Timestamp {
        if (compareTimestamps(remote, latest) > 0) latest = remote;
        return tick(now);
    }

    return { tick, observe };
}

export function compareTimestamps(a: Timestamp, b: Timestamp): number {
    return a.physicalMs - b.physicalMs || a.logical - b.logical;
}
