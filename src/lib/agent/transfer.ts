/**
 * Fetches a version into the chunk store. This is the baseline: every chunk comes from the weight store.
 * Chunks are verified before they are written, and the files are hashed again at the end.
 */
import VError from "verror";
import { type Digest, digestOf, type Manifest, parseManifest, placeChunks } from "../core/index.js";
import { createLog } from "../observability/index.js";
import { chunkKey, manifestKey, type ObjectStore } from "../platform/index.js";
import type { ChunkStore } from "./chunkStore.js";

const log = createLog("agent:transfer");

export const TransferPhase = {
    fetching: "fetching",
    verifying: "verifying",
    complete: "complete",
    failed: "failed",
} as const;

export type TransferPhase = (typeof TransferPhase)[keyof typeof TransferPhase];

/** Progress of one transfer. Byte counts cover chunk content only. */
export interface TransferProgress {
    phase: TransferPhase;
    chunksHeld: number;
    chunksTotal: number;
    bytesFromOrigin: number;
    error: string;
}

export interface Transfer {
    readonly rootDigest: Digest;
    readonly progress: Readonly<TransferProgress>;
    /** Resolves with the manifest when the version is complete and verified; rejects with a VError. */
    readonly done: Promise<Manifest>;
    cancel(): void;
}

export interface TransferOptions {
    readonly rootDigest: Digest;
    readonly store: ChunkStore;
    readonly weightStore: ObjectStore;
}

const PARALLEL_FETCHES = 4;

export function startTransfer({ rootDigest, store, weightStore }: TransferOptions): Transfer {
    const progress: TransferProgress = {
        phase: TransferPhase.fetching,
        chunksHeld: 0,
        chunksTotal: 0,
        bytesFromOrigin: 0,
        error: "",
    };
    let cancelled = false;

    async function run(): Promise<Manifest> {
        const bytes = await weightStore.get(manifestKey(rootDigest));
        if (bytes === undefined) throw transferError("the weight store has no version %s", rootDigest);
        const manifest = parseManifest(bytes, rootDigest);
        await store.create(rootDigest, bytes, manifest);
        await fetchChunks(manifest);
        progress.phase = TransferPhase.verifying;
        const wrong = await store.verify(rootDigest, manifest);
        if (wrong.length > 0) throw transferError("files differ from the manifest: %s", wrong.join(", "));
        progress.phase = TransferPhase.complete;
        log.info("version %s is complete", rootDigest);
        return manifest;
    }

    async function fetchChunks(manifest: Manifest): Promise<void> {
        const missing = placeChunks(manifest);
        progress.chunksTotal = missing.length;
        async function fetchNext(): Promise<void> {
            for (let chunk = missing.shift(); chunk !== undefined; chunk = missing.shift()) {
                if (cancelled) throw transferError("the transfer of %s was cancelled", rootDigest);
                const held = await store.read(rootDigest, chunk);
                if (held === undefined) {
                    const content = await weightStore.get(chunkKey(chunk.digest));
                    if (content === undefined || digestOf(content) !== chunk.digest) {
                        throw transferError("the weight store has no correct chunk %s", chunk.digest);
                    }
                    progress.bytesFromOrigin += content.length;
                    await store.write(rootDigest, chunk, content);
                }
                progress.chunksHeld++;
            }
        }
        await Promise.all(Array.from({ length: PARALLEL_FETCHES }, fetchNext));
    }

    const done = run().catch((error: Error) => {
        progress.phase = TransferPhase.failed;
        progress.error = error.message;
        throw error;
    });
    return { rootDigest, progress, done, cancel: () => cancelled = true };
}

function transferError(format: string, ...args: unknown[]): VError {
    return new VError({ name: "TransferError" }, format, ...args);
}
