/**
 * Hybrid logical clock: close to the physical time, but never behind an event that this process has
 * already seen, so that merged events keep cause before effect.
 */

export interface Timestamp {
    /** Milliseconds since the epoch. */
    readonly physicalMs: number;
    readonly logical: number;
}

export interface HybridClock {
    /** Returns the timestamp of a local event. `now` is in milliseconds since the epoch. */
    tick(now: number): Timestamp;
    /** Takes over a timestamp that another process sent. */
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
