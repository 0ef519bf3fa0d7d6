/**
 * Tracks the other entries by their heartbeats, in place of a list of live processes. An entry whose heartbeats have
 * stopped is silent and isn't counted as live. It still gets a heartbeat now and then, because a network partition may
 * be all that separates it from this one.
 */

export interface EntryIdentity {
    readonly name: string;
    readonly ip: string;
    readonly failureDomain: string;
}

export interface PeerEntries {
    /** Adds an entry that the settings or the table of entries list; it is live only after its first heartbeat. */
    addUnconfirmed(entry: EntryIdentity): void;
    recordHeartbeat(entry: EntryIdentity, now: number): void;
    /** Returns the entries with a recent heartbeat. */
    live(now: number): EntryIdentity[];
    /**
     * Returns the entries to send a heartbeat to at this tick: live ones of the same failure domain at every tick, all
     * others less often.
     */
    heartbeatTargets(tick: number, now: number): EntryIdentity[];
}

/** Ten heartbeat intervals within a failure domain, and several between regions. */
export const ENTRY_HEARTBEAT_TIMEOUT_MS = 1500;

/**
 * Live entries of other failure domains get a heartbeat every `REMOTE_HEARTBEAT_TICKS` ticks, silent entries every
 * `SILENT_HEARTBEAT_TICKS` ticks.
 */
const REMOTE_HEARTBEAT_TICKS = 3;
const SILENT_HEARTBEAT_TICKS = 10;

/** Limit on heartbeats to other failure domains per tick, which bounds the traffic of a large fleet. */
const MAX_REMOTE_TARGETS = 16;

export function createPeerEntries(self: EntryIdentity): PeerEntries {
    const peers = new Map<string, { entry: EntryIdentity; lastHeartbeatAt: number | undefined; }>();

    function add(entry: EntryIdentity, heartbeatAt: number | undefined): void {
        if (entry.ip === self.ip) return;
        // A replaced VM keeps its name and gets a new address, so an earlier heartbeat doesn't count.
        const previous = peers.get(entry.name);
        const isSameVm = previous?.entry.ip === entry.ip;
        peers.set(entry.name, {
            entry,
            lastHeartbeatAt: heartbeatAt ?? (isSameVm ? previous.lastHeartbeatAt : undefined),
        });
    }

    const isLive = (lastHeartbeatAt: number | undefined, now: number) =>
        lastHeartbeatAt !== undefined && now - lastHeartbeatAt < ENTRY_HEARTBEAT_TIMEOUT_MS;

    return {
        addUnconfirmed: entry => {
            if (!peers.has(entry.name)) add(entry, undefined);
        },
        recordHeartbeat: (entry, now) => add(entry, now),
        live: now => {
            return [...peers.values()].filter(({ lastHeartbeatAt }) => isLive(lastHeartbeatAt, now)).map(({ entry }) =>
                entry
            );
        },
        heartbeatTargets: (tick, now) => {
            let remoteCount = 0;
            return [...peers.values()]
                .filter(({ entry, lastHeartbeatAt }) => {
                    if (!isLive(lastHeartbeatAt, now)) return tick % SILENT_HEARTBEAT_TICKS === 0;
                    if (entry.failureDomain === self.failureDomain) return true;
                    return tick % REMOTE_HEARTBEAT_TICKS === 0 && ++remoteCount <= MAX_REMOTE_TARGETS;
                })
                .map(({ entry }) => entry);
        },
    };
}
