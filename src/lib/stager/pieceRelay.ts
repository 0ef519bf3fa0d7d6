/**
 * Fetches and caches pieces in an entry and serves them to the agents of its region. The pieces of a version are
 * distributed over the entries of a region, and each entry prefetches its part as soon as the version is named: from
 * the origin if it is in the same region, otherwise through an entry of the origin's region. A region that loses its
 * connection during a rollout then has all the pieces that its agents need. Entries do this because their links are
 * fast, while an agent's link also carries the response streams of its engine.
 */
import * as http from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import VError from "verror";
import { firstMember } from "../core/index.js";
import type { EventLog, ServingMetrics } from "../observability/index.js";
import { createWeightsOriginClient, type WeightManifest, type WeightsOriginClient } from "../platform/index.js";
import { createPeerClient, type PeerClient, type PieceProvider } from "./peerApi.js";
import { countHeld, createPieceStore, type HeldVersion } from "./pieceStore.js";

export interface PieceRelayOptions {
    readonly self: { readonly ip: string; readonly region: string; };
    /** Live entries with their regions, except this one. */
    readonly entries: () => readonly { readonly ip: string; readonly region: string; }[];
    /** The origin and the model that it serves; `undefined` until a configuration is known. */
    readonly origin: () => WeightsOrigin | undefined;
    readonly entryPort: number;
    readonly log: EventLog;
    readonly metrics: ServingMetrics;
    /** Monotonic clock, in milliseconds. */
    readonly now: () => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}

export interface WeightsOrigin {
    readonly address: string;
    readonly region: string;
    readonly model: string;
    /** Maximum number of connections that the origin accepts from all processes together. */
    readonly maxConnections: number;
}

/** Time to fetch a manifest or a piece from all sources; clients wait about as long before they try another source. */
const FETCH_TIMEOUT_MS = 1200;

/** Attempts that are made even if the timeout is over: one at each of two other entries and one at the origin. */
const MIN_FETCH_ATTEMPTS = 3;

/** Bounds of the random delay before a retry; all entries start to fetch at the same time. */
const MIN_RETRY_DELAY_MS = 80;
const MAX_RETRY_DELAY_MS = 240;

/** Fraction of the origin's connections for all entries together; agents without a working entry need the rest. */
const ORIGIN_CONNECTION_FRACTION = 0.75;

/** Idle connections count against the origin's limit, so they are closed early. */
const ORIGIN_IDLE_TIMEOUT_MS = 1000;

/** More connections add no throughput, because the origin's link is the bottleneck. */
const MAX_ORIGIN_CONNECTIONS = 8;

/** Time that another entry may take to fetch a piece that it doesn't hold. */
const ENTRY_WAIT_MS = 1200;

/** Rate at which an entry asks others to send pieces: high enough not to throttle transfers over their fast links. */
const ENTRY_RATE_MBPS = 1000;

export interface PieceRelay extends PieceProvider {
    /**
     * Fetches this entry's part of a version before agents request it, in case the origin fails later. Retries until it
     * succeeds, the version is superseded or no origin is configured. Never throws.
     */
    prefetch(version: number): Promise<void>;
    /** Stops retrying failed prefetches. */
    stop(): void;
}

/** Stands for the manifest where a piece's index selects the entry to request from. */
const MANIFEST_INDEX = -1;

/** Two concurrent fetches keep the origin's link busy. */
const MAX_CONCURRENT_PREFETCHES = 2;

/** A version is still prefetched if at most one newer one has been named, because each version has its own deadline. */
const MAX_PREFETCHED_VERSIONS = 2;

/** Time after which the prefetch of a version is abandoned for a newer one; about the time allowed for a rollout. */
const SUPERSEDED_PREFETCH_TIMEOUT_MS = 10_000;

const PREFETCH_RETRY_DELAY_MS = 300;

export function createPieceRelay(options: PieceRelayOptions): PieceRelay {
    const { self, log } = options;
    const pieceStore = createPieceStore();
    const connections = new http.Agent({ keepAlive: true, maxSockets: 8 });
    const originConnections = new http.Agent({ keepAlive: true, timeout: ORIGIN_IDLE_TIMEOUT_MS });
    const openVersions = new Map<number, Promise<HeldVersion>>();
    const inFlightFetches = new Map<string, Promise<Buffer>>();
    let newestVersion = 0;
    let lastPrefetch = Promise.resolve();

    function openVersion(version: number): Promise<HeldVersion> {
        let opening = openVersions.get(version);
        if (opening === undefined) {
            opening = retryUntilTimeout(() => fetchManifest(version)).then(({ model, manifest }) =>
                pieceStore.open(model, manifest)
            );
            openVersions.set(version, opening);
            // After a failure the next request opens the version again.
            opening.catch(() => openVersions.delete(version));
        }
        return opening;
    }

    async function fetchManifest(version: number): Promise<{ model: string; manifest: WeightManifest; }> {
        const origin = options.origin();
        if (origin === undefined) throw new VError("no weights origin is configured");
        const [upstream] = upstreamEntries(origin, version, MANIFEST_INDEX);
        const manifest = await upstream?.readManifest(version).catch(error => {
            log.info("manifest not received", { version, source: "entry", error: (error as Error).message });
            return undefined;
        });
        if (manifest !== undefined) return { model: origin.model, manifest };
        return { model: origin.model, manifest: await createOriginClient(origin).readManifest(origin.model, version) };
    }

    /** Limits the connections to this entry's share, because the origin resets connections above its limit. */
    function createOriginClient({ address, maxConnections }: WeightsOrigin): WeightsOriginClient {
        const connectionShare = Math.floor(
            maxConnections * ORIGIN_CONNECTION_FRACTION / (options.entries().length + 1),
        );
        originConnections.maxSockets = Math.max(1, Math.min(MAX_ORIGIN_CONNECTIONS, connectionShare));
        return createWeightsOriginClient(address, originConnections);
    }

    /**
     * Retries the operation until the timeout is over and `MIN_FETCH_ATTEMPTS` were made, then throws its last error.
     * Without retries, the agents whose requests fail would all turn to the origin at the same time.
     */
    async function retryUntilTimeout<T>(operation: (attempt: number) => Promise<T>): Promise<T> {
        const deadline = options.now() + FETCH_TIMEOUT_MS;
        for (let attempt = 0;; attempt++) {
            try {
                return await operation(attempt);
            }
            catch (error) {
                if (options.now() >= deadline && attempt + 1 >= MIN_FETCH_ATTEMPTS) throw error;
                await sleep(MIN_RETRY_DELAY_MS + options.random() * (MAX_RETRY_DELAY_MS - MIN_RETRY_DELAY_MS));
            }
        }
    }

    /** Returns the entry of this region that fetches the piece from outside for the whole region. */
    function ownerOf(version: number, piece: number): string {
        const regionPeers = options.entries().filter(({ region }) => region === self.region).map(({ ip }) => ip);
        return firstMember(`${version}/${piece}`, [self.ip, ...regionPeers]) ?? self.ip;
    }

    /** Returns the entries to request the piece from, in order; after them comes the origin. */
    function upstreamEntries(origin: WeightsOrigin, version: number, piece: number): PeerClient[] {
        const owner = ownerOf(version, piece);
        const originRegionIps = options.entries().filter(({ region }) => region === origin.region).map(({ ip }) => ip);
        const originRegionEntry = self.region === origin.region ?
            undefined :
            firstMember(`${version}/${piece}`, originRegionIps);
        return [owner === self.ip ? undefined : owner, originRegionEntry]
            .filter(ip => ip !== undefined)
            .map(ip => createPeerClient(ip, options.entryPort, connections, ENTRY_RATE_MBPS));
    }

    function fetchPiece(held: HeldVersion, piece: number): Promise<Buffer> {
        const { version } = held.manifest;
        const key = `${version}/${piece}`;
        let inFlight = inFlightFetches.get(key);
        if (inFlight === undefined) {
            inFlight = retryUntilTimeout(attempt => fetchOnce(held, piece, attempt)).finally(() =>
                inFlightFetches.delete(key)
            );
            inFlightFetches.set(key, inFlight);
        }
        return inFlight;
    }

    /** The first attempts go to the upstream entries, all later ones to the origin. */
    async function fetchOnce(held: HeldVersion, piece: number, attempt: number): Promise<Buffer> {
        const { version } = held.manifest;
        const origin = options.origin();
        if (origin === undefined) throw new VError("no weights origin is configured");
        const upstream = upstreamEntries(origin, version, piece)[attempt];
        const sourceName = upstream === undefined ? "origin" : "entry";
        try {
            const bytes = upstream === undefined ?
                await createOriginClient(origin).readPiece(held.model, version, piece) :
                await upstream.readPiece(version, piece, ENTRY_WAIT_MS);
            if (!pieceStore.put(held, piece, bytes)) throw new VError("the piece doesn't match its digest");
            options.metrics.pieces.inc({ source: sourceName });
            return bytes;
        }
        catch (error) {
            log.info("piece not received", { piece, version, source: sourceName, error: (error as Error).message });
            throw new VError({ cause: error as Error }, "failed to fetch piece %d of version %d", piece, version);
        }
    }

    /** Prefetches run one after another: concurrent ones would share the origin's link, and both would be late. */
    function prefetch(version: number): Promise<void> {
        newestVersion = Math.max(newestVersion, version);
        const previous = lastPrefetch;
        lastPrefetch = previous.then(() => prefetchWithRetries(version));
        return lastPrefetch;
    }

    async function prefetchWithRetries(version: number): Promise<void> {
        const startedAt = options.now();
        const isNeeded = () => version > newestVersion - MAX_PREFETCHED_VERSIONS && options.origin() !== undefined;
        const isSuperseded = () =>
            newestVersion > version && options.now() - startedAt > SUPERSEDED_PREFETCH_TIMEOUT_MS;
        while (isNeeded() && !isSuperseded() && !await tryPrefetch(version)) await sleep(PREFETCH_RETRY_DELAY_MS);
    }

    async function tryPrefetch(version: number): Promise<boolean> {
        try {
            const held = await openVersion(version);
            const ownedPieces = [...held.pieces.keys()].filter(piece => ownerOf(version, piece) === self.ip);
            const unclaimedPieces = ownedPieces.values();
            const fetchUnclaimed = async () => {
                for (const piece of unclaimedPieces) {
                    if (held.pieces[piece] === undefined) await fetchPiece(held, piece);
                }
            };
            await Promise.all(Array.from({ length: MAX_CONCURRENT_PREFETCHES }, fetchUnclaimed));
            log.info("pieces prefetched", { version, pieces: ownedPieces.length });
            return true;
        }
        catch (error) {
            log.info("pieces not prefetched", { version, error: (error as Error).message });
            return false;
        }
    }

    return {
        prefetch,
        stop: () => {
            newestVersion = Number.POSITIVE_INFINITY;
        },
        manifest: async version => (await openVersion(version)).manifest,
        piece: async (version, piece) => {
            const held = await openVersion(version);
            return held.pieces[piece] ?? await fetchPiece(held, piece);
        },
        state: async version => {
            const held = pieceStore.find(version);
            const heldPieces = held?.pieces.flatMap((piece, index) => piece === undefined ? [] : [index]) ?? [];
            return { held: countHeld(held) === 0 ? [] : heldPieces, loaded: 0 };
        },
    };
}
