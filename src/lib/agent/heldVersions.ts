/**
 * Keeps the manifests, chunk indexes and sets of verified chunks of this VM's versions in memory, so that a
 * chunk can be served without parsing a manifest. Transfers add chunks; the gRPC handlers read them.
 */
import {
    type Digest,
    type DistinctChunk,
    isDigest,
    listDistinctChunks,
    type Manifest,
    parseManifest,
} from "../core/index.js";
import type { ChunkStore } from "./chunkStore.js";

export interface HeldVersion {
    readonly rootDigest: Digest;
    readonly manifest: Manifest;
    readonly manifestBytes: Buffer;
    readonly chunks: readonly DistinctChunk[];
    find(digest: Digest): DistinctChunk | undefined;
    readonly isHeld: (index: number) => boolean;
    readonly heldCount: () => number;
    /** Marks a chunk as verified and written. */
    markHeld(index: number): void;
    /** Unmarks a chunk whose content on disk is corrupt. */
    markMissing(index: number): void;
    /** Bytes of chunk content that were sent to other VMs since the version was opened. */
    bytesSent: number;
}

export interface HeldVersions {
    /** Returns the version if it is open or its manifest is on disk; otherwise `undefined`. */
    find(rootDigest: Digest): Promise<HeldVersion | undefined>;
    /** Opens a version. Throws if the manifest is invalid or doesn't match the digest. */
    open(rootDigest: Digest, manifestBytes: Buffer): HeldVersion;
    /** Calls the listener with the index of each chunk added from now on. Returns a function that removes it. */
    watch(rootDigest: Digest, listener: (index: number) => void): () => void;
}

/**
 * Maximum number of weights versions kept in memory. The one opened first is evicted, and read from disk again on
 * request.
 */
const MAX_OPEN_VERSIONS = 4;

export function createHeldVersions(store: ChunkStore): HeldVersions {
    const versions = new Map<Digest, HeldVersion>();
    const pendingLoads = new Map<Digest, Promise<HeldVersion | undefined>>();
    const listeners = new Map<Digest, Set<(index: number) => void>>();

    function open(rootDigest: Digest, manifestBytes: Buffer): HeldVersion {
        const existing = versions.get(rootDigest);
        if (existing !== undefined) return existing;
        const version = createHeldVersion(rootDigest, manifestBytes, index => {
            for (const listener of listeners.get(rootDigest) ?? []) listener(index);
        });
        versions.set(rootDigest, version);
        const [oldest] = versions.keys();
        if (versions.size > MAX_OPEN_VERSIONS && oldest !== undefined) versions.delete(oldest);
        return version;
    }

    async function find(rootDigest: Digest): Promise<HeldVersion | undefined> {
        const existing = versions.get(rootDigest);
        if (existing !== undefined) return existing;
        // The digest comes from another process and becomes part of a path, so it must be validated.
        if (!isDigest(rootDigest)) return undefined;
        const pending = pendingLoads.get(rootDigest) ?? load(rootDigest);
        pendingLoads.set(rootDigest, pending);
        return pending.finally(() => pendingLoads.delete(rootDigest));
    }

    async function load(rootDigest: Digest): Promise<HeldVersion | undefined> {
        const bytes = await store.readManifest(rootDigest);
        if (bytes === undefined) return undefined;
        try {
            const version = open(rootDigest, bytes);
            void markVerifiedOnDisk(version);
            return version;
        }
        catch {
            return undefined;
        }
    }

    /** Marks the chunks whose content on disk is correct. After a restart the files may be incomplete. */
    async function markVerifiedOnDisk(version: HeldVersion): Promise<void> {
        for (const chunk of version.chunks) {
            if (await store.read(version.rootDigest, chunk) !== undefined) version.markHeld(chunk.index);
        }
    }

    function watch(rootDigest: Digest, listener: (index: number) => void): () => void {
        const listenerSet = listeners.get(rootDigest) ?? new Set();
        listeners.set(rootDigest, listenerSet.add(listener));
        return () => {
            listenerSet.delete(listener);
            if (listenerSet.size === 0 && listeners.get(rootDigest) === listenerSet) listeners.delete(rootDigest);
        };
    }

    return { find, open, watch };
}

function createHeldVersion(
    rootDigest: Digest,
    manifestBytes: Buffer,
    onHeld: (index: number) => void,
): HeldVersion {
    const manifest = parseManifest(manifestBytes, rootDigest);
    const chunks = listDistinctChunks(manifest);
    const byDigest = new Map(chunks.map(chunk => [chunk.digest, chunk]));
    const held = new Set<number>();
    return {
        rootDigest,
        manifest,
        manifestBytes,
        chunks,
        find: digest => byDigest.get(digest),
        isHeld: index => held.has(index),
        heldCount: () => held.size,
        markHeld: index => {
            if (held.has(index)) return;
            held.add(index);
            onHeld(index);
        },
        markMissing: index => void held.delete(index),
        bytesSent: 0,
    };
}
