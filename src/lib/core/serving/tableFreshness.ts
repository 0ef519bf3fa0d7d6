/**
 * Tells how old a replica of a table may be: the time since the store was last known to have no change that the replica
 * lacks.
 *
 * The process's own calls are dated by its own clock. What another entry knows is dated by the store's clock, which
 * every response states, so that knowledge doesn't become younger when it is passed on. The smallest difference seen
 * between the two clocks converts one into the other; a delay or a pause of this process can only make knowledge look
 * older than it is.
 */

export interface TableFreshness {
    /**
     * Records that the replica held every change of the store at `confirmedAt`, according to a response that arrived at
     * `now`. `storeTime` is the store's clock in that response, in milliseconds.
     */
    recordResponse(confirmedAt: number, storeTime: number | undefined, now: number): void;
    /** Records that the replica holds everything that another entry held at a time of the store's clock. */
    recordPeerConfirmation(storeTime: number, now: number): void;
    /** Returns the age of the replica in milliseconds; infinite before the first confirmation. */
    ageMs(now: number): number;
    /** Returns the latest time of the store's clock at which the replica was known to be complete. */
    storeTime(): number | undefined;
}

export function createTableFreshness(): TableFreshness {
    let confirmedAt = Number.NEGATIVE_INFINITY;
    let latestStoreTime: number | undefined;
    /** Smallest difference seen between this process's clock and the store's. */
    let clockDifferenceMs = Number.POSITIVE_INFINITY;

    function recordStoreTime(storeTime: number, now: number): void {
        latestStoreTime = Math.max(latestStoreTime ?? storeTime, storeTime);
        clockDifferenceMs = Math.min(clockDifferenceMs, now - storeTime);
    }

    function latestConfirmation(): number {
        if (latestStoreTime === undefined) return confirmedAt;
        return Math.max(confirmedAt, latestStoreTime + clockDifferenceMs);
    }

    return {
        recordResponse: (at, storeTime, now) => {
            confirmedAt = Math.max(confirmedAt, at);
            if (storeTime !== undefined) recordStoreTime(storeTime, now);
        },
        recordPeerConfirmation: recordStoreTime,
        ageMs: now => Math.max(0, now - latestConfirmation()),
        storeTime: () => latestStoreTime,
    };
}
