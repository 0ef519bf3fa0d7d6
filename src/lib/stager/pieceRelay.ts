/**
 * Fetches and caches the pieces of a model in an entry and serves them to the agents of its region. The pieces of a
 * version are distributed over the entries of a region, and each entry prefetches its part as soon as the version is
 * named: from the origin if it is in the same region, otherwise through an entry of the origin's region. A region that
 * loses its connection during a rollout then has all the pieces that its agents need. Entries do this because their links
 * are fast, while an agent's link also carries the response streams of its engine.
 */
import * as http from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import VError from "verror";
import {
    advanceFetch,
    FetchFailure,
    type FetchProgress,
    ORIGIN,
    pieceOwner,
    type PieceSource,
    type PieceSourceOptions,
    pieceSources,
} from "../core/serving/index.js";
import type { EventLog, ServingMetrics } from "../observability/index.js";
import { isVersionWithdrawn, type WeightManifest } from "../platform/index.js";
import { createManifestReader } from "./manifestReader.js";
import type { OriginAccess, WeightsOrigin } from "./originAccess.js";
import { createPeerClient, isPieceUnavailable, type PeerClient, type PieceProvider } from "./peerApi.js";
import { countHeld, createPieceStore, type HeldVersion } from "./pieceStore.js";

export interface PieceRelayOptions {
    readonly self: { readonly ip: string; readonly region: string; };
    /** Live entries with their regions, except this one. */
    readonly entries: () => readonly { readonly ip: string; readonly region: string; }[];
    readonly model: string;
    /** Returns the origin; `undefined` if none is configured. */
    readonly origin: () => WeightsOrigin | undefined;
    /** Connections to other entries. */
    readonly connections: http.Agent;
    readonly originAccess: OriginAccess;
    readonly entryPort: number;
    readonly log: EventLog;
    readonly metrics: ServingMetrics;
    /** Monotonic clock, in milliseconds. */
    readonly now: () => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}

/** A fetch that has not succeeded after this time is abandoned; the next request for the piece starts another one. */
const FETCH_TIMEOUT_MS = 5000;

/** Time that a response with the manifest waits for it; the client tries another relay afterwards. */
const MANIFEST_WAIT_MS = 1200;

/** Bounds of the random delay before a retry; all entries start to fetch at the same time. */
const MIN_RETRY_DELAY_MS = 80;
const MAX_RETRY_DELAY_MS = 240;

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

/** Pieces that an entry prefetches at the same time; requests to the origin have a lower limit of their own. */
const MAX_CONCURRENT_PREFETCHES = 4;

/** Versions whose manifest is kept; requests for older ones open them again. */
const MAX_OPEN_VERSIONS = 4;

/** A version is still prefetched if at most one newer one has been named, because each version has its own deadline. */
const MAX_PREFETCHED_VERSIONS = 2;

/** Time after which the prefetch of a version is abandoned for a newer one; about the time allowed for a rollout. */
const SUPERSEDED_PREFETCH_TIMEOUT_MS = 10_000;

const PREFETCH_RETRY_DELAY_MS = 300;

export function createPieceRelay(options: PieceRelayOptions): PieceRelay {
    const { self, log, model, originAccess } = options;
    const pieceStore = createPieceStore(model);
    const openVersions = new Map<number, Promise<HeldVersion>>();
    const manifestReader = createManifestReader(log);
    /** Versions whose manifest is contradicted by their pieces and has to be read from the origin again. */
    const contradictedVersions = new Set<number>();
    const inFlightFetches = new Map<string, Promise<Buffer>>();
    let newestVersion = 0;
    let isStopped = false;
    let lastPrefetch = Promise.resolve();

    function openVersion(version: number): Promise<HeldVersion> {
        let opening = openVersions.get(version);
        if (opening === undefined) {
            opening = fetchFromSources(version, MANIFEST_INDEX, fetchManifest).then(pieceStore.open);
            openVersions.set(version, opening);
            forgetOldVersions();
            // After a failure the next request opens the version again.
            opening.catch(() => openVersions.delete(version));
        }
        return opening;
    }

    /** Makes the next request for the version read its manifest from the origin. */
    function reopenContradicted(version: number): void {
        log.warn("manifest contradicted by a piece", { model, version });
        contradictedVersions.add(version);
        openVersions.delete(version);
    }

    function forgetOldVersions(): void {
        const ascendingVersions = [...openVersions.keys()].sort((a, b) => a - b);
        for (const version of ascendingVersions.slice(0, -MAX_OPEN_VERSIONS)) openVersions.delete(version);
    }

    async function fetchManifest(
        version: number,
        source: PieceSource,
        origin: WeightsOrigin,
    ): Promise<WeightManifest> {
        const manifest = source === ORIGIN || contradictedVersions.has(version) ?
            await manifestReader.read(originAccess.client(origin), model, version) :
            await createEntryClient(source).readManifest(version);
        contradictedVersions.delete(version);
        return manifest;
    }

    function createEntryClient(ip: string): PeerClient {
        return createPeerClient({
            model,
            ip,
            port: options.entryPort,
            connections: options.connections,
            rateMbps: ENTRY_RATE_MBPS,
        });
    }

    function sourceOptions({ region }: WeightsOrigin, version: number, piece: number): PieceSourceOptions {
        return { self, entries: options.entries(), originRegion: region, key: `${version}/${piece}` };
    }

    /**
     * Tries the sources of a piece, or of the manifest, until one delivers it. The sources are determined anew for each
     * attempt, because entries may be lost meanwhile. Throws the last error after `FETCH_TIMEOUT_MS`, or at once if the
     * version is superseded and a source doesn't have it any more.
     */
    async function fetchFromSources<T>(
        version: number,
        piece: number,
        fetchFrom: (version: number, source: PieceSource, origin: WeightsOrigin) => Promise<T>,
    ): Promise<T> {
        const startedAt = options.now();
        let progress: FetchProgress = { position: 0, sourceSince: startedAt, startedAt };
        for (;;) {
            const origin = options.origin();
            if (origin === undefined) throw new VError("no weights origin is configured");
            const sources = pieceSources(sourceOptions(origin, version, piece));
            const source = sources[Math.min(progress.position, sources.length - 1)] ?? ORIGIN;
            try {
                return await fetchFrom(version, source, origin);
            }
            catch (error) {
                log.info("piece not received", {
                    piece,
                    model,
                    version,
                    source: source === ORIGIN ? "origin" : `entry ${source}`,
                    error: (error as Error).message,
                });
                const isWithdrawn = version < newestVersion && isVersionWithdrawn(error as Error);
                if (isWithdrawn || isStopped || options.now() - startedAt >= FETCH_TIMEOUT_MS) {
                    throw new VError(
                        { cause: error as Error },
                        "piece %d of version %d of %s not received",
                        piece,
                        version,
                        model,
                    );
                }
                const failure = isPieceUnavailable(error as Error) ? FetchFailure.unavailable : FetchFailure.failed;
                progress = advanceFetch(progress, failure, sources.length, options.now());
            }
            await sleep(MIN_RETRY_DELAY_MS + options.random() * (MAX_RETRY_DELAY_MS - MIN_RETRY_DELAY_MS));
        }
    }

    function fetchPiece(version: number, piece: number): Promise<Buffer> {
        const key = `${version}/${piece}`;
        let inFlight = inFlightFetches.get(key);
        if (inFlight === undefined) {
            inFlight = fetchFromSources(
                version,
                piece,
                (_, source, origin) => readPiece(version, piece, source, origin),
            )
                .finally(() => inFlightFetches.delete(key));
            // A response that waits for the piece may have given up by the time that the fetch fails.
            inFlight.catch(() => undefined);
            inFlightFetches.set(key, inFlight);
        }
        return inFlight;
    }

    async function readPiece(
        version: number,
        piece: number,
        source: PieceSource,
        origin: WeightsOrigin,
    ): Promise<Buffer> {
        const held = await openVersion(version);
        const bytes = source === ORIGIN ?
            await originAccess.pieceLimit.run(
                version * held.pieces.length + piece,
                () => originAccess.client(origin).readPiece(model, version, piece),
            ) :
            await createEntryClient(source).readPiece(version, piece, ENTRY_WAIT_MS);
        if (!pieceStore.put(held, piece, bytes)) {
            if (held.isContradicted && pieceStore.find(version) === held) reopenContradicted(version);
            throw new VError("the piece doesn't match its digest");
        }
        options.metrics.pieces.inc({ source: source === ORIGIN ? "origin" : "entry" });
        return bytes;
    }

    /** Resolves with the value, or throws if it isn't there after `waitMs`; the operation goes on. */
    async function waitAtMost<T>(operation: Promise<T>, waitMs: number): Promise<T> {
        const timeout = new AbortController();
        const expiry = sleep(waitMs, undefined, { signal: timeout.signal }).then(() => {
            throw new VError("not available within %d ms", waitMs);
        });
        try {
            return await Promise.race([operation, expiry]);
        }
        finally {
            expiry.catch(() => undefined);
            timeout.abort();
        }
    }

    /** Prefetches run one after another: concurrent ones would share the origin's link, and both would be late. */
    function prefetch(version: number): Promise<void> {
        newestVersion = Math.max(newestVersion, version);
        const previous = lastPrefetch;
        lastPrefetch = previous.then(() => prefetchWithRetries(version));
        return lastPrefetch;
    }

    function isPrefetchNeeded(version: number): boolean {
        return version > newestVersion - MAX_PREFETCHED_VERSIONS && options.origin() !== undefined;
    }

    async function prefetchWithRetries(version: number): Promise<void> {
        const startedAt = options.now();
        const isSuperseded = () =>
            newestVersion > version && options.now() - startedAt > SUPERSEDED_PREFETCH_TIMEOUT_MS;
        while (isPrefetchNeeded(version) && !isSuperseded()) {
            if (await tryPrefetch(version)) return;
            await sleep(PREFETCH_RETRY_DELAY_MS);
        }
    }

    async function tryPrefetch(version: number): Promise<boolean> {
        try {
            const held = await openVersion(version);
            const origin = options.origin();
            if (origin === undefined) throw new VError("no weights origin is configured");
            const ownedPieces = [...held.pieces.keys()].filter(piece =>
                pieceOwner(sourceOptions(origin, version, piece)) === self.ip
            );
            const unclaimedPieces = ownedPieces.values();
            const fetchUnclaimed = async () => {
                for (const piece of unclaimedPieces) {
                    if (!isPrefetchNeeded(version)) throw new VError("newer versions have been named");
                    if (held.pieces[piece] === undefined) await fetchPiece(version, piece);
                }
            };
            await Promise.all(Array.from({ length: MAX_CONCURRENT_PREFETCHES }, fetchUnclaimed));
            log.info("pieces prefetched", { model, version, pieces: ownedPieces.length });
            return true;
        }
        catch (error) {
            log.info("pieces not prefetched", { model, version, error: (error as Error).message });
            return false;
        }
    }

    return {
        model,
        prefetch,
        stop: () => {
            isStopped = true;
            newestVersion = Number.POSITIVE_INFINITY;
        },
        manifest: async version => (await waitAtMost(openVersion(version), MANIFEST_WAIT_MS)).manifest,
        piece: async (version, piece, waitMs) => {
            const held = await waitAtMost(openVersion(version), MANIFEST_WAIT_MS);
            return held.pieces[piece] ?? await waitAtMost(fetchPiece(version, piece), waitMs);
        },
        state: async version => {
            const held = pieceStore.find(version);
            const heldPieces = held?.pieces.flatMap((piece, index) => piece === undefined ? [] : [index]) ?? [];
            return { held: countHeld(held) === 0 ? [] : heldPieces, loaded: 0 };
        },
    };
}
