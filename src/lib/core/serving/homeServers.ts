/**
 * Divides the servers among the entries. An entry knows its own placements at once and those of the others only from
 * their next beats, so entries that see the same free slot all fill it, and every first event there is late. Each entry
 * therefore fills only its home servers; to others it sends while they have ample room, so that nothing is lost where
 * callers or servers are spread unevenly.
 *
 * Answers a pool at its limit before several entries.
 */

/** A server or an entry, for the division. */
export interface Placed {
    readonly name: string;
    readonly failureDomain: string;
}

/**
 * Part of the slots of another entry's server that may be in use when a request is sent there. Chosen with the replay of
 * `npm run bench -- placement --trace largePool`.
 */
export const FOREIGN_SLOT_SHARE = 0.5;

/**
 * Returns the names of the home servers of `self`. Entries divide the servers of their failure domain evenly; those of
 * domains without an entry are divided among all. Equal inputs give the same division everywhere.
 */
export function findHomes(self: Placed, entries: readonly Placed[], servers: readonly Placed[]): Set<string> {
    const homes = new Set<string>();
    for (const domain of new Set(servers.map(({ failureDomain }) => failureDomain))) {
        const own = entries.filter(({ failureDomain }) => failureDomain === domain);
        const sharing = sortedNames(own.length > 0 ? own : entries);
        const index = sharing.indexOf(self.name);
        if (index === -1) continue;
        const divided = sortedNames(servers.filter(({ failureDomain }) => failureDomain === domain));
        // With fewer servers than entries several entries share one.
        const parts = Math.min(sharing.length, divided.length);
        for (const [position, name] of divided.entries()) {
            if (position % parts === index % parts) homes.add(name);
        }
    }
    return homes;
}

function sortedNames(placed: readonly Placed[]): string[] {
    return placed.map(({ name }) => name).sort();
}
