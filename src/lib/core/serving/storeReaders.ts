/**
 * Decides which processes read the tables' changes from the store, and when a process reads them from a peer instead.
 *
 * Each change of the configuration transfers all of it, over links between regions that carry requests too, and each
 * change of a server costs a call of every reader. Therefore a few entries of each region read from the store and the
 * others copy the changes from these. An entry that can't reach the
 * store says so in its heartbeats and is replaced as a reader; if no entry can, all of them try.
 */
import { positionOf } from "../rendezvous.js";
import { comparePositions, INITIAL_POSITION, type StorePosition } from "./storePosition.js";

/** Number of entries per region that read from the store; with two, the failure of one delays no change. */
export const STORE_READER_COUNT = 2;

/** With at least this number of regions one reader each is enough, because the other regions' readers replace it. */
const MANY_REGIONS = 5;

/**
 * Returns whether this process reads from the store. `peers` are the live entries of its region that reach the store.
 */
export function isStoreReader(self: string, peers: readonly string[], regionCount: number): boolean {
    const readerCount = regionCount >= MANY_REGIONS ? 1 : STORE_READER_COUNT;
    return positionOf("store readers", self, [self, ...peers]) < readerCount;
}

/** An entry that reaches the store. */
export interface ReaderCandidate {
    readonly name: string;
    readonly region: string;
}

/** Returns the names of those that read from the store, in all regions. */
export function findStoreReaders(candidates: readonly ReaderCandidate[], regionCount: number): string[] {
    return candidates.filter(candidate => {
        const regionPeers = candidates.filter(({ name, region }) => {
            return region === candidate.region && name !== candidate.name;
        });
        return isStoreReader(candidate.name, regionPeers.map(({ name }) => name), regionCount);
    }).map(({ name }) => name);
}

/** Time from the decision to ask the store again until all entries that need it have the response. */
const RECHECK_MS = 800;

/** Lower limit of the age, for settings with very short bounds. */
const MIN_RECHECK_AGE_MS = 300;

/**
 * Returns the age at which a table's replica is in doubt, so that a process asks the store again on a new connection.
 * With the time for that, a replica never gets older than `boundMs`, as long as the store can be reached.
 */
export function recheckAgeMs(boundMs: number): number {
    return Math.max(MIN_RECHECK_AGE_MS, boundMs - RECHECK_MS);
}

/** Time by which a process that isn't a reader asks the store later than the readers do. */
export const NON_READER_RECHECK_DELAY_MS = 300;

/**
 * Time between the responses to two readers, as a part of the age at which a replica is in doubt. The rest is for
 * the way from one entry to the others.
 */
const RESPONSE_INTERVAL_FRACTION = 0.6;

/** The store ends a feed call without changes after this time at the latest. */
const MAX_FEED_WAIT_MS = 10_000;

export interface FeedWaitOptions {
    /** Age at which a replica is in doubt; see `recheckAgeMs`. */
    readonly recheckAgeMs: number;
    readonly self: string;
    /** All entries that read from the store. */
    readonly readers: readonly string[];
    /** The call follows one that returned changes, which ended the calls of all readers at the same moment. */
    readonly followsChanges: boolean;
}

/**
 * Returns the wait time of a feed call. The calls of all readers end at evenly spaced times, so that the response to
 * any of them confirms the replicas of all before they are in doubt.
 */
export function feedWaitMs({ recheckAgeMs, self, readers, followsChanges }: FeedWaitOptions): number {
    const intervalMs = recheckAgeMs * RESPONSE_INTERVAL_FRACTION;
    const waitMs = Math.min(MAX_FEED_WAIT_MS, intervalMs * Math.max(1, readers.length));
    if (!followsChanges) return Math.round(waitMs);
    const position = positionOf("feed calls", self, readers);
    return Math.round(position < 0 ? intervalMs : waitMs * (position + 1) / readers.length);
}

/** How far a peer has read a table, according to its heartbeat. */
export interface PeerProgress {
    readonly table: string;
    readonly position: StorePosition;
    /** Newest position among the rows that the peer retains from before a restoration of the store. */
    readonly retained?: StorePosition;
    /** The peer is in the same region, where reading from it is cheap. */
    readonly isSameRegion: boolean;
}

/** How far this process has read the same table. */
export interface LocalProgress {
    readonly position: StorePosition;
    readonly retained?: StorePosition;
    /** A full snapshot of the table was applied. */
    readonly hasSnapshot: boolean;
    /** This process reads the table's changes from the store. */
    readonly readsFromStore: boolean;
}

export interface PeerCatchUp {
    /**
     * Returns whether to read the changes from the peer now. If so, a read is in progress until the caller calls
     * `finish`.
     */
    tryBegin(peer: PeerProgress, local: LocalProgress, now: number): boolean;
    /** Ends the read of a table. After a failed one, the next read, from any peer, isn't delayed anew. */
    finish(table: string, hasFailed: boolean): void;
}

/**
 * Time between the starts of two reads of a table from peers. During a rollout every server changes several times, and
 * each heartbeat names a newer revision.
 */
const MIN_PEER_READ_INTERVAL_MS = 200;

/**
 * Time within which a reader's own feed delivers a change, including its polling interval, if it delivers it at all.
 */
const STORE_READER_DELAY_MS = 400;

/**
 * Time by which the local region's readers may lag behind those of another region, unless both are cut off from the
 * store.
 */
const REMOTE_PEER_DELAY_MS = 800;

export function createPeerCatchUp(): PeerCatchUp {
    /** For each table, the first position that this process lacks and the time since when it has lacked it. */
    const missingByTable = new Map<string, { readonly position: StorePosition; readonly since: number; }>();
    const readsInProgress = new Set<string>();
    const lastReadAt = new Map<string, number>();

    return {
        tryBegin: (peer, local, now) => {
            const { table, position, isSameRegion } = peer;
            const isBehind = comparePositions(position, local.position) > 0;
            if (!isBehind && !lacksRetainedRows(peer, local) || readsInProgress.has(table)) return false;
            if (isBehind) {
                let missing = missingByTable.get(table);
                // A peer that is behind too must not restart the delay for a change that another peer has.
                if (missing === undefined || comparePositions(missing.position, local.position) <= 0) {
                    missing = { position, since: now };
                    missingByTable.set(table, missing);
                }
                const delayMs = peerReadDelayMs(local.readsFromStore, isSameRegion);
                if (local.hasSnapshot && now - missing.since < delayMs) return false;
            }
            const previousReadAt = lastReadAt.get(table);
            if (previousReadAt !== undefined && now - previousReadAt < MIN_PEER_READ_INTERVAL_MS) return false;
            lastReadAt.set(table, now);
            readsInProgress.add(table);
            return true;
        },
        finish: (table, hasFailed) => {
            readsInProgress.delete(table);
            if (!hasFailed) missingByTable.delete(table);
        },
    };
}

/** The store can't deliver the rows that a peer retains from before its restoration. */
function lacksRetainedRows(peer: PeerProgress, local: LocalProgress): boolean {
    return peer.retained !== undefined && peer.position.epoch === local.position.epoch &&
        comparePositions(peer.retained, local.retained ?? INITIAL_POSITION) > 0;
}

function peerReadDelayMs(readsFromStore: boolean, isSameRegion: boolean): number {
    if (readsFromStore) return STORE_READER_DELAY_MS;
    return isSameRegion ? 0 : REMOTE_PEER_DELAY_MS;
}
