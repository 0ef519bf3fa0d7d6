/**
 * Fetches versions of a model's weights into memory, one at a time. A newer version replaces the transfer in progress
 * unless that one can be finished first without making the newer one late. Complete versions stay available for the
 * engine and for other agents.
 */
import * as http from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import VError from "verror";
import {
    originFallbackDelayMs,
    precedenceMs,
    predictRemainingTransferMs,
    typicalTransferMs,
} from "../core/serving/index.js";
import { createWeightsOriginClient, type WeightManifest } from "../platform/index.js";
import type { AgentContext } from "./agentContext.js";
import type { FleetView } from "./fleetView.js";
import { createManifestReader } from "./manifestReader.js";
import { countHeld, hasDigest, type HeldVersion, isComplete, type PieceStore } from "./pieceStore.js";
import { type Relay, type TransferPeer, transferPieces } from "./pieceTransfer.js";

export interface OriginLocation {
    readonly address: string;
    readonly failureDomain: string;
}

export interface VersionFetcher {
    /**
     * Starts to fetch the version unless it is complete, is being fetched or waits for an older one. Called repeatedly,
     * which also retries failed transfers. `bytes` is the size of the version.
     */
    ensureFetched(version: number, bytes: number, origin: OriginLocation): void;
    /** Estimates the time until a version is complete: 0 if it is, infinite if it is stalled or isn't being fetched. */
    estimateRemainingMs(version: number): number;
    /** Aborts the transfer in progress and starts no other one. */
    stop(): void;
}

export interface VersionFetcherOptions {
    readonly context: AgentContext;
    readonly fleet: FleetView;
    readonly pieceStore: PieceStore;
    /** Reads a piece back from the engine's staging area; `undefined` if it isn't there. */
    readonly readStagedPiece: (piece: number) => Promise<Buffer | undefined>;
    /** Returns whether pieces of the version may already be staged at the engine. */
    readonly mayBeStaged: (version: number) => boolean;
    /** Returns the time until the loaded weights may answer no more requests; infinite if that isn't known. */
    readonly untilOutdatedMs: () => number;
    /** Called when a transfer ends, whether it completed, failed or was aborted. */
    readonly onTransferEnd: () => void;
}

interface Transfer {
    readonly version: number;
    readonly cancellation: AbortController;
    readonly startedAt: number;
    readonly typicalMs: number;
    /** Newest version that has been named since the transfer began. */
    newestNamed: number;
    /** Until this time the transfer is finished before a newer version is fetched. */
    hasPrecedenceUntil: number;
    /** Number of pieces held, and when it was last seen to change. */
    lastProgress: { readonly count: number; readonly at: number; };
}

/** Relays and agents that are asked for a manifest before the origin. */
const MAX_MANIFEST_SOURCES = 2;

/** Upper bound of the delay after a failed transfer; half of it is random. */
const MAX_RETRY_DELAY_MS = 400;

/** Equals the limit of concurrent requests from a transfer to the origin. */
const MAX_ORIGIN_CONNECTIONS = 2;

/** Time that an engine needs to load a version, allowed for when an older version is finished before a newer one. */
const LOAD_DURATION_MS = 1500;

export function createVersionFetcher(options: VersionFetcherOptions): VersionFetcher {
    const { context, fleet, pieceStore } = options;
    const { model } = pieceStore;
    const { settings, log, now, random } = context;
    // No keep-alive: the origin accepts few connections, and idle ones count against its limit.
    const originConnections = new http.Agent({ keepAlive: false, maxSockets: MAX_ORIGIN_CONNECTIONS });
    const manifestReader = createManifestReader(log);
    /** The version whose manifest is contradicted by a piece, so that it has to be read from the origin again. */
    let contradictedVersion: number | undefined;
    let transfer: Transfer | undefined;
    let isStopped = false;
    /** The version whose manifest is needed, since when, and the random part of the wait before the origin is asked. */
    let manifestWait: { readonly version: number; readonly since: number; readonly random: number; } | undefined;

    function originDueAt(version: number, hasEntries: boolean): number {
        if (manifestWait?.version !== version) manifestWait = { version, since: now(), random: random() };
        return manifestWait.since + originFallbackDelayMs(hasEntries, manifestWait.random);
    }

    function ensureFetched(version: number, bytes: number, originLocation: OriginLocation): void {
        if (isStopped || isComplete(pieceStore.find(version))) return;
        if (transfer !== undefined) {
            if (transfer.version >= version || mustFinishBefore(transfer, version)) return;
            transfer.cancellation.abort();
        }
        const current: Transfer = {
            version,
            cancellation: new AbortController(),
            startedAt: now(),
            typicalMs: typicalTransferMs(bytes, settings.linkMbps),
            newestNamed: version,
            hasPrecedenceUntil: Number.NEGATIVE_INFINITY,
            lastProgress: { count: 0, at: now() },
        };
        transfer = current;
        runTransfer(current, originLocation)
            .catch(async error => {
                current.cancellation.abort();
                if (pieceStore.find(version)?.isContradicted === true) contradictedVersion = version;
                log.warn("transfer failed", { model, version, error: (error as Error).message });
                await sleep(MAX_RETRY_DELAY_MS * (0.5 + random() / 2));
            })
            .finally(() => {
                if (transfer === current) transfer = undefined;
                options.onTransferEnd();
            });
    }

    function mustFinishBefore(current: Transfer, newest: number): boolean {
        if (newest > current.newestNamed) {
            const isFirstNewer = current.newestNamed === current.version;
            current.newestNamed = newest;
            const times = {
                elapsedMs: now() - current.startedAt,
                usualMs: current.typicalMs,
                allowedMs: settings.bounds.weightsMs,
                loadMs: LOAD_DURATION_MS,
                untilOutdatedMs: options.untilOutdatedMs(),
            };
            // The first newer version limits the time for the transfer: it has the earliest deadline.
            if (isFirstNewer) current.hasPrecedenceUntil = now() + precedenceMs(times);
            log.info("newer weights named during a transfer", {
                model,
                newest,
                version: current.version,
                finishFirst: now() < current.hasPrecedenceUntil,
                ...times,
            });
        }
        return now() < current.hasPrecedenceUntil;
    }

    async function runTransfer(current: Transfer, originLocation: OriginLocation): Promise<void> {
        const { version, cancellation } = current;
        const startedAt = now();
        await fleet.refresh();
        const origin = createWeightsOriginClient(originLocation.address, originConnections);
        const peers = fleet.peers(model);
        const relays = await fleet.findRelays(model);
        const mayAskOrigin = () => now() >= originDueAt(version, relays.length > 0);
        const readFromOrigin = () => manifestReader.read(origin, model, version);
        const manifest = contradictedVersion === version ?
            await readFromOrigin() :
            await readManifest(version, relays, peers, mayAskOrigin, readFromOrigin);
        contradictedVersion = undefined;
        const held = pieceStore.open(manifest);
        if (options.mayBeStaged(version)) await reuseStagedPieces(held);
        const stagedCount = countHeld(held);
        await transferPieces({
            self: { name: settings.ip, region: settings.region, failureDomain: settings.failureDomain },
            peers,
            relays,
            findRelays: () => fleet.findRelays(model),
            origin,
            originRegion: settings.regions.get(originLocation.failureDomain) ?? settings.region,
            pieceStore,
            held,
            signal: cancellation.signal,
            isSuperseded: () => current.newestNamed > version,
            log,
            metrics: context.metrics,
            now,
            random,
        });
        const tookMs = Math.round(now() - startedAt);
        log.info("transfer ended", {
            model,
            version,
            held: countHeld(held),
            fromStage: stagedCount,
            tookMs,
            peers: peers.length,
        });
    }

    async function reuseStagedPieces(held: HeldVersion): Promise<void> {
        try {
            for (const index of held.pieces.keys()) {
                const staged = await options.readStagedPiece(index);
                if (staged !== undefined && hasDigest(held.manifest, index, staged)) {
                    pieceStore.put(held, index, staged);
                }
            }
        }
        catch (error) {
            log.info("staged pieces not read", {
                model,
                version: held.manifest.version,
                error: (error as Error).message,
            });
        }
    }

    function estimateRemainingMs(version: number): number {
        const held = pieceStore.find(version);
        if (isComplete(held)) return 0;
        if (held === undefined || transfer?.version !== version) return Number.POSITIVE_INFINITY;
        const count = countHeld(held);
        if (count !== transfer.lastProgress.count) transfer.lastProgress = { count, at: now() };
        return predictRemainingTransferMs({
            completedFraction: count / Math.max(1, held.pieces.length),
            elapsedMs: now() - transfer.startedAt,
            sinceLastPieceMs: now() - transfer.lastProgress.at,
        });
    }

    return {
        ensureFetched,
        estimateRemainingMs,
        stop: () => {
            isStopped = true;
            transfer?.cancellation.abort();
        },
    };
}

/**
 * Reads the manifest of a version. Asks relays and agents before the origin, to save its bandwidth and connections.
 * Throws if no source delivers it.
 */
async function readManifest(
    version: number,
    relays: readonly Relay[],
    peers: readonly TransferPeer[],
    mayAskOrigin: () => boolean,
    readFromOrigin: () => Promise<WeightManifest>,
): Promise<WeightManifest> {
    let cause: Error | undefined;
    const peerSources = peers.map(({ client }) => ({ client, recordFailure: () => undefined }));
    for (const { client, recordFailure } of [...relays, ...peerSources].slice(0, MAX_MANIFEST_SOURCES)) {
        try {
            return await client.readManifest(version);
        }
        catch (error) {
            cause = error as Error;
            recordFailure(cause);
        }
    }
    if (mayAskOrigin()) return readFromOrigin();
    throw new VError({ cause }, "no relay or agent delivered the manifest of version %d", version);
}
