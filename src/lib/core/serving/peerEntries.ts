/**
 * Tracks the other entries by their heartbeats, in place of a list of live processes. An entry whose heartbeats have
 * stopped is silent and isn't counted as live. It still gets a heartbeat now and then, because a network partition may
 * be all that separates it from this one.
 *
 * Entries of one failure domain send heartbeats to each other. An entry of another domain gets a digest of the whole
 * domain from a few of its entries, with the time since each entry was last heard. Thus the number of messages that an
 * entry sends and receives grows with its domain and with the number of domains, not with the number of entries.
 */
import { positionOf } from "../rendezvous.js";

export interface EntryIdentity {
    readonly name: string;
    readonly ip: string;
    readonly failureDomain: string;
}

/** An entry and the time since it was last known to be running. */
export interface EntryAge {
    readonly entry: EntryIdentity;
    readonly ageMs: number;
}

export interface PeerEntries {
    /** Adds an entry that the settings or the table of entries list; it is live only after its first heartbeat. */
    addUnconfirmed(entry: EntryIdentity): void;
    recordHeartbeat(entry: EntryIdentity, now: number): void;
    /** Returns the time of an entry's last heartbeat; `undefined` if there was none. */
    lastHeardAt(name: string): number | undefined;
    /** Forgets an entry until it is heard of again. */
    forget(name: string): void;
    /** Records what a digest of another failure domain says about its entries. */
    recordAges(ages: readonly EntryAge[], now: number): void;
    /** Returns the entries with a recent heartbeat. */
    live(now: number): EntryIdentity[];
    /** Returns all entries that were heard of or listed and not forgotten, including this one, in the order of their names. */
    known(): EntryIdentity[];
    /** Returns the live entries of this failure domain, including this one, for the digest to other domains. */
    domainAges(now: number): EntryAge[];
    /** Returns the entries of the same failure domain to send a heartbeat to at this tick. */
    heartbeatTargets(tick: number, now: number): EntryIdentity[];
    /** Returns the entries of other failure domains to send a digest to at this tick. */
    digestTargets(tick: number, now: number): EntryIdentity[];
}

/** Ten heartbeat intervals within a failure domain, and several digests between domains. */
export const ENTRY_HEARTBEAT_TIMEOUT_MS = 1500;

/**
 * Number of entries of a domain that send digests to an entry of another one. The second one sends less often; it
 * bridges the time until the loss of the first one is noticed.
 */
const DIGEST_SENDER_COUNT = 2;

/** Ticks between two digests to the same entry, by the position of the sender. */
const DIGEST_TICKS = [3, 6] as const;

/** Silent entries get a message every `SILENT_HEARTBEAT_TICKS` ticks. */
const SILENT_HEARTBEAT_TICKS = 10;

/**
 * A longer time between two calls means that this process didn't run meanwhile. Heartbeats that it couldn't receive in
 * that time don't make an entry silent; otherwise the process would take all shares of the others when it wakes.
 */
const PAUSE_THRESHOLD_MS = 500;

interface Peer {
    readonly entry: EntryIdentity;
    /** `undefined` before the first heartbeat. */
    lastHeartbeatAt: number | undefined;
}

export function createPeerEntries(self: EntryIdentity): PeerEntries {
    const peers = new Map<string, Peer>();
    let lastCallAt: number | undefined;

    /** Shifts the times of all heartbeats by the time for which this process was paused, if it was. */
    function compensatePause(now: number): void {
        const elapsedMs = lastCallAt === undefined ? 0 : now - lastCallAt;
        lastCallAt = now;
        if (elapsedMs <= PAUSE_THRESHOLD_MS) return;
        for (const peer of peers.values()) {
            if (peer.lastHeartbeatAt !== undefined) peer.lastHeartbeatAt += elapsedMs;
        }
    }

    function record(entry: EntryIdentity, heartbeatAt: number): void {
        if (entry.ip === self.ip) return;
        const previous = peers.get(entry.name);
        // A replaced VM keeps its name and gets a new address, and an old digest may still name the earlier one.
        if (previous?.lastHeartbeatAt !== undefined && previous.lastHeartbeatAt >= heartbeatAt) return;
        peers.set(entry.name, { entry, lastHeartbeatAt: heartbeatAt });
    }

    const isLive = ({ lastHeartbeatAt }: Peer, now: number) =>
        lastHeartbeatAt !== undefined && now - lastHeartbeatAt < ENTRY_HEARTBEAT_TIMEOUT_MS;
    const isInDomain = ({ failureDomain }: EntryIdentity) => failureDomain === self.failureDomain;
    const isSilentTick = (tick: number) => tick % SILENT_HEARTBEAT_TICKS === 0;

    return {
        addUnconfirmed: entry => {
            if (peers.has(entry.name) || entry.ip === self.ip) return;
            peers.set(entry.name, { entry, lastHeartbeatAt: undefined });
        },
        recordHeartbeat: record,
        lastHeardAt: name => peers.get(name)?.lastHeartbeatAt,
        forget: name => void peers.delete(name),
        recordAges: (ages, now) => {
            for (const { entry, ageMs } of ages) record(entry, now - ageMs);
        },
        live: now => {
            compensatePause(now);
            return [...peers.values()].filter(peer => isLive(peer, now)).map(({ entry }) => entry);
        },
        known: () =>
            // The settings list addresses only.
            [self, ...[...peers.values()].map(({ entry }) => entry).filter(({ failureDomain }) => failureDomain !== "")]
                .toSorted((a, b) => a.name < b.name ? -1 : 1),
        domainAges: now => {
            const domainPeers = [...peers.values()].filter(peer => isInDomain(peer.entry) && isLive(peer, now));
            return [
                { entry: self, ageMs: 0 },
                ...domainPeers.map(({ entry, lastHeartbeatAt = now }) => ({ entry, ageMs: now - lastHeartbeatAt })),
            ];
        },
        heartbeatTargets: (tick, now) => {
            compensatePause(now);
            return [...peers.values()]
                .filter(peer => isInDomain(peer.entry) && (isLive(peer, now) || isSilentTick(tick)))
                .map(({ entry }) => entry);
        },
        digestTargets: (tick, now) => {
            const domainNames = [self.name];
            for (const peer of peers.values()) {
                if (isInDomain(peer.entry) && isLive(peer, now)) domainNames.push(peer.entry.name);
            }
            return [...peers.values()]
                .filter(peer => {
                    if (isInDomain(peer.entry)) return false;
                    if (!isLive(peer, now)) return isSilentTick(tick);
                    const position = positionOf(`digest ${peer.entry.name}`, self.name, domainNames);
                    return position < DIGEST_SENDER_COUNT && tick % (DIGEST_TICKS[position] ?? 1) === 0;
                })
                .map(({ entry }) => entry);
        },
    };
}
