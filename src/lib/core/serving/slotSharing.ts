/**
 * Divides the backend servers among the entries of a failure domain. Entries learn of each other's requests only with
 * the next heartbeat, so entries that see the same free slot would all fill it. Each server therefore has one entry
 * that prefers it and may fill all of its slots; the others leave some of them free.
 *
 * This handles a large pool at its capacity behind many entries: without it, several requests are sent to the same
 * server at once and all of them start late.
 */
import type { BackendServer } from "./serverRegistry.js";

/** Fraction of a server's slots that entries may fill for which it isn't a preferred one. */
const SHARED_SLOT_FRACTION = 0.5;

/** Two entries rarely choose the same server within a heartbeat interval, and would lose more by the limit. */
const MIN_ENTRY_COUNT = 3;

export interface SlotSharing {
    /** Returns the fraction of each server's slots that this entry may fill, 0 to 1, in the order of `servers`. */
    slotFractions(servers: readonly BackendServer[]): readonly number[];
}

/** `domainEntries` returns the names of the live entries of this failure domain, including this one. */
export function createSlotSharing(self: string, domainEntries: () => readonly string[]): SlotSharing {
    let preferredIds: ReadonlySet<string> = new Set();
    let cacheKey = "";

    /** Deals the servers of each failure domain in turn, so that every entry gets about as many as the others. */
    function assignServers(servers: readonly BackendServer[], entries: readonly string[]): void {
        const sortedEntries = [...entries].sort();
        const position = sortedEntries.indexOf(self);
        const sortedIds = servers
            .toSorted((a, b) => compare(a.failureDomain, b.failureDomain) || compare(a.id, b.id))
            .map(({ id }) => id);
        preferredIds = new Set(sortedIds.filter((_, index) => index % sortedEntries.length === position));
    }

    return {
        slotFractions: servers => {
            const entries = domainEntries();
            if (entries.length < MIN_ENTRY_COUNT) return servers.map(() => 1);
            const key = `${entries.join()} ${servers.map(({ id }) => id).join()}`;
            if (key !== cacheKey) {
                cacheKey = key;
                assignServers(servers, entries);
            }
            return servers.map(({ id }) => preferredIds.has(id) ? 1 : SHARED_SLOT_FRACTION);
        },
    };
}

function compare(a: string, b: string): number {
    return a < b ? -1 : a > b ? 1 : 0;
}
