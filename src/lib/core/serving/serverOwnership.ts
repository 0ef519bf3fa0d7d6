/**
 * Assigns each backend server to one entry of its failure domain, its owner. All requests to the server are announced
 * to the owner, which therefore knows the load of its servers without the delay of heartbeats.
 */
import type { EntryIdentity } from "./peerEntries.js";
import type { BackendServer } from "./serverRegistry.js";

export interface ServerOwnership {
    /**
     * Returns the owner of each server, in the order of `servers`; `undefined` for a server in a failure domain without
     * entries.
     */
    ownersOf(servers: readonly BackendServer[]): readonly (EntryIdentity | undefined)[];
}

/** `entries` returns the live entries, including this one; the same array as long as they are the same. */
export function createServerOwnership(entries: () => readonly EntryIdentity[]): ServerOwnership {
    /** Owners by the list of servers that they were computed for; registries return the same list until it changes. */
    let ownersByServers = new WeakMap<readonly BackendServer[], readonly (EntryIdentity | undefined)[]>();
    let knownEntries: readonly EntryIdentity[] | undefined;

    return {
        ownersOf: servers => {
            const currentEntries = entries();
            if (currentEntries !== knownEntries) {
                knownEntries = currentEntries;
                ownersByServers = new WeakMap();
            }
            const known = ownersByServers.get(servers);
            if (known !== undefined) return known;
            const ownerById = dealServers(servers, currentEntries);
            const owners = servers.map(({ id }) => ownerById.get(id));
            ownersByServers.set(servers, owners);
            return owners;
        },
    };
}

/** Deals the servers of each failure domain to its entries in turn, so that each owns about as many as the others. */
function dealServers(
    servers: readonly BackendServer[],
    entries: readonly EntryIdentity[],
): ReadonlyMap<string, EntryIdentity> {
    const ownerById = new Map<string, EntryIdentity>();
    for (const failureDomain of new Set(servers.map(server => server.failureDomain))) {
        const domainEntries = entries
            .filter(entry => entry.failureDomain === failureDomain)
            .toSorted((a, b) => compare(a.name, b.name));
        const domainServers = servers
            .filter(server => server.failureDomain === failureDomain)
            .toSorted((a, b) => compare(a.id, b.id));
        for (const [index, { id }] of domainServers.entries()) {
            const owner = domainEntries[index % Math.max(1, domainEntries.length)];
            if (owner !== undefined) ownerById.set(id, owner);
        }
    }
    return ownerById;
}

function compare(a: string, b: string): number {
    return a < b ? -1 : a > b ? 1 : 0;
}
