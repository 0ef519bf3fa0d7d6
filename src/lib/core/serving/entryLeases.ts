/**
 * Decides when an entry that was removed for good is forgotten. Its row and the shares that are kept for it would
 * otherwise stay for ever, while VMs are replaced daily.
 *
 * An entry renews its row as a lease. The others forget it if its row hasn't changed for a long time in which they haven't
 * heard of it either. An entry that is only paused or cut off could come back and use its shares of limits while others
 * have divided them anew. So it gives them up by itself, and counts as new, long before anyone may have forgotten it.
 */
import type { StorePosition } from "./storePosition.js";

/** Time between two renewals of a row, in milliseconds; a renewal is a write and a read of the store. */
export const LEASE_RENEWAL_INTERVAL_MS = 5 * 60_000;

/** Time since the beginning of its last renewal after which an entry must not rely on being known, in milliseconds. */
export const LEASE_VALID_MS = 15 * 60_000;

/** Time without a sign of an entry after which others forget it. The margin covers clocks that differ in speed. */
export const FORGET_AFTER_MS = 2 * LEASE_VALID_MS;

/** The row of an entry. */
export interface EntryLease {
    readonly name: string;
    readonly position: StorePosition;
    /** False for entries of earlier versions, which don't renew their rows. They are never forgotten. */
    readonly isRenewed: boolean;
}

export interface EntryLeases {
    /**
     * Records all rows as they were read now. Returns the names of the entries to forget, with or without a row.
     * `lastHeardAt` returns the time of an entry's last sign of life, and `undefined` if there was none.
     */
    findGone(
        leases: readonly EntryLease[],
        lastHeardAt: (name: string) => number | undefined,
        now: number,
    ): readonly string[];
}

interface Observation {
    /** `undefined` if there was no row. */
    readonly position: StorePosition | undefined;
    /** When the row was first seen in this state. */
    readonly since: number;
    readonly isRenewed: boolean;
}

export function createEntryLeases(): EntryLeases {
    const observations = new Map<string, Observation>();

    function observe(name: string, position: StorePosition | undefined, isRenewed: boolean, now: number): void {
        const earlier = observations.get(name);
        const isUnchanged = earlier !== undefined && earlier.position?.epoch === position?.epoch &&
            earlier.position?.revision === position?.revision;
        observations.set(name, { position, since: isUnchanged ? earlier.since : now, isRenewed });
    }

    function findGone(
        leases: readonly EntryLease[],
        lastHeardAt: (name: string) => number | undefined,
        now: number,
    ): readonly string[] {
        const names = new Set(leases.map(({ name }) => name));
        for (const { name, position, isRenewed } of leases) observe(name, position, isRenewed, now);
        for (const [name, { isRenewed }] of observations) {
            if (!names.has(name)) observe(name, undefined, isRenewed, now);
        }
        const gone: string[] = [];
        for (const [name, { since, isRenewed }] of observations) {
            const lastSignAt = Math.max(since, lastHeardAt(name) ?? since);
            if (!isRenewed || now - lastSignAt < FORGET_AFTER_MS) continue;
            gone.push(name);
            if (!names.has(name)) observations.delete(name);
        }
        return gone;
    }

    return { findGone };
}
