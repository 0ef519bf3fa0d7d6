/**
 * Transfers a version into the chunk store. The strategy chooses the sources of the chunks; fetching the
 * manifest, reusing existing files and the final verification are common to all strategies. Chunks are verified
 * before they are written, and the files are hashed again at the end.
 */
import type { Vm } from "../clients/index.js";
import { type Digest, type DistinctChunk, listDistinctChunks, type Manifest, parseManifest } from "../core/index.js";
import { createLog } from "../observability/index.js";
import type { AgentSettings } from "../settings/index.js";
import { fetchAlongChain, fetchFromOrigin } from "./baselineStrategies.js";
import type { ChunkResult } from "./chunkSources.js";
import type { HeldVersion } from "./heldVersions.js";
import { fetchManifest, isManifestOf } from "./manifestSource.js";
import { fetchFromPeers } from "./peerStrategy.js";
import { type TransferEnvironment, transferError, type TransferStrategy } from "./transferTask.js";

const log = createLog("agent:transfer");

export const TransferPhase = {
    fetching: "fetching",
    verifying: "verifying",
    complete: "complete",
    failed: "failed",
} as const;

export type TransferPhase = (typeof TransferPhase)[keyof typeof TransferPhase];

/** Progress of one transfer. The byte counts include all received chunk content, even if it was discarded. */
export interface TransferProgress {
    phase: TransferPhase;
    chunksHeld: number;
    chunksTotal: number;
    bytesFromOrigin: number;
    bytesFromDomain: number;
    bytesFromRegion: number;
    bytesFromOtherRegions: number;
    error: string;
}

export interface Transfer {
    readonly rootDigest: Digest;
    readonly progress: Readonly<TransferProgress>;
    readonly bytesSent: () => number;
    /** Resolves with the manifest when the version is complete and verified; rejects with a VError. */
    readonly completion: Promise<Manifest>;
    cancel(): void;
}

const STRATEGIES: Readonly<Record<AgentSettings["transferStrategy"], TransferStrategy>> = {
    peers: fetchFromPeers,
    originOnly: fetchFromOrigin,
    chain: fetchAlongChain,
};

/** Number of times that corrupt chunks on disk are fetched again before the transfer fails. */
const MAX_REPAIRS = 2;

export function startTransfer(rootDigest: Digest, environment: TransferEnvironment): Transfer {
    const { store, heldVersions, events } = environment;
    const cancellation = new AbortController();
    const { signal } = cancellation;
    const progress: TransferProgress = {
        phase: TransferPhase.fetching,
        chunksHeld: 0,
        chunksTotal: 0,
        bytesFromOrigin: 0,
        bytesFromDomain: 0,
        bytesFromRegion: 0,
        bytesFromOtherRegions: 0,
        error: "",
    };
    let version: HeldVersion | undefined;

    async function run(): Promise<Manifest> {
        const startedAt = environment.now();
        const stored = await store.readManifest(rootDigest);
        const bytes = isManifestOf(stored, rootDigest) ? stored : await fetchManifest(rootDigest, environment, signal);
        const opened = heldVersions.open(rootDigest, bytes);
        version = opened;
        progress.chunksTotal = opened.chunks.length;
        await store.create(rootDigest, bytes, opened.manifest);
        if (stored !== undefined) await markVerifiedOnDisk(opened);
        await copyFromOtherVersions(opened);
        events.record("transfer.started", rootDigest, {
            chunksHeld: opened.heldCount(),
            chunksTotal: opened.chunks.length,
        });
        for (let round = 0;; round++) {
            progress.phase = TransferPhase.fetching;
            await STRATEGIES[environment.settings.transferStrategy]({
                environment,
                version: opened,
                signal,
                acceptChunk,
            });
            throwIfCancelled();
            progress.phase = TransferPhase.verifying;
            const differingPaths = await store.verify(rootDigest, opened.manifest);
            if (differingPaths.length === 0) break;
            if (round === MAX_REPAIRS) {
                throw transferError(
                    "files of version %s differ from its manifest: %s",
                    rootDigest,
                    differingPaths.join(", "),
                );
            }
            log.warn(
                "files of version %s changed on disk and are fetched again: %s",
                rootDigest,
                differingPaths.join(", "),
            );
            await markCorruptAsMissing(opened);
        }
        throwIfCancelled();
        progress.phase = TransferPhase.complete;
        events.record("transfer.complete", rootDigest, { milliseconds: environment.now() - startedAt });
        log.info("version %s is complete", rootDigest);
        return opened.manifest;
    }

    /** Marks the correct chunks of existing files, which a restarted agent may find only partly written. */
    async function markVerifiedOnDisk(opened: HeldVersion): Promise<void> {
        for (const chunk of opened.chunks) {
            throwIfCancelled();
            if (!opened.isHeld(chunk.index) && await store.read(rootDigest, chunk) !== undefined) {
                opened.markHeld(chunk.index);
            }
        }
        progress.chunksHeld = opened.heldCount();
    }

    /** Copies chunks from other versions on this VM; `store.read` returns only chunks with the correct hash. */
    async function copyFromOtherVersions(opened: HeldVersion): Promise<void> {
        for (const otherDigest of await store.list()) {
            const manifestBytes = otherDigest === rootDigest ? undefined : await store.readManifest(otherDigest);
            for (const chunk of manifestBytes === undefined ? [] : listChunks(manifestBytes, otherDigest)) {
                throwIfCancelled();
                const target = opened.find(chunk.digest);
                if (target === undefined || opened.isHeld(target.index)) continue;
                const content = await store.read(otherDigest, chunk);
                if (content === undefined) continue;
                await store.write(rootDigest, target, content);
                opened.markHeld(target.index);
            }
        }
        progress.chunksHeld = opened.heldCount();
    }

    async function markCorruptAsMissing(opened: HeldVersion): Promise<void> {
        for (const chunk of opened.chunks) {
            if (await store.read(rootDigest, chunk) === undefined) opened.markMissing(chunk.index);
        }
        progress.chunksHeld = opened.heldCount();
    }

    async function acceptChunk(
        chunk: DistinctChunk,
        { bytes, content }: ChunkResult,
        vm: Vm | undefined,
    ): Promise<void> {
        const { failureDomain, region } = environment.settings;
        if (vm === undefined) progress.bytesFromOrigin += bytes;
        else if (vm.failureDomain === failureDomain) progress.bytesFromDomain += bytes;
        else if (vm.region === region) progress.bytesFromRegion += bytes;
        else progress.bytesFromOtherRegions += bytes;
        if (content === undefined || version === undefined || version.isHeld(chunk.index)) return;
        throwIfCancelled();
        await store.write(rootDigest, chunk, content);
        version.markHeld(chunk.index);
        progress.chunksHeld = version.heldCount();
    }

    function throwIfCancelled(): void {
        if (signal.aborted) throw transferError("the transfer of %s was cancelled", rootDigest);
    }

    const completion = run().catch((error: Error) => {
        cancellation.abort();
        progress.phase = TransferPhase.failed;
        progress.error = error.message;
        events.record("transfer.failed", rootDigest, { error: error.message });
        throw error;
    });
    return {
        rootDigest,
        progress,
        bytesSent: () => version?.bytesSent ?? 0,
        completion,
        cancel: () => cancellation.abort(),
    };
}

/** Returns the chunks of a stored manifest, or none if the manifest is invalid. */
function listChunks(bytes: Buffer, rootDigest: Digest): readonly DistinctChunk[] {
    try {
        return listDistinctChunks(parseManifest(bytes, rootDigest));
    }
    catch {
        return [];
    }
}
