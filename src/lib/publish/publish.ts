/**
 * Publishes a directory as a version: uploads every chunk to the weight store under its digest, then the manifest
 * under the root digest. Memory use doesn't depend on the size of the files. Chunks that are already in the store
 * aren't uploaded again, so an interrupted run is resumed by running it again.
 */
import { open, readdir, stat } from "node:fs/promises";
import { join, relative, sep } from "node:path";
import VError from "verror";
import { chunkKey, latestKey, manifestKey, type ObjectStore } from "../clients/index.js";
import {
    type Chunk,
    type Digest,
    digestOf,
    encodeManifest,
    type Manifest,
    type ManifestFile,
    MAX_CHUNK_BYTES,
} from "../core/index.js";
import { type ChunkerFactory, contentDefinedChunkers, fixedSizeChunkers, MAX_FRACTION } from "./chunker.js";

export const DEFAULT_CHUNK_BYTES = 256 * 1024;

/** Number of bytes that are read from a file at a time. */
const READ_BLOCK_BYTES = 1024 * 1024;

export interface PublishOptions {
    readonly directory: string;
    readonly model: string;
    /** Size of a chunk, or the mean size with content-defined boundaries. */
    readonly chunkBytes?: number;
    /** Uses content-defined boundaries, which also deduplicate content after inserted or removed bytes. */
    readonly contentDefined?: boolean;
    readonly store: ObjectStore;
    readonly onProgress?: (progress: PublishProgress) => void;
}

export interface PublishProgress {
    readonly bytesRead: number;
    readonly bytesTotal: number;
    readonly bytesSent: number;
}

export interface PublishedVersion {
    readonly rootDigest: Digest;
    readonly manifest: Manifest;
    readonly bytesSent: number;
}

/** Uploads a directory as a version. Throws a VError named `PublishError` if the directory is unreadable or empty. */
export async function publishDirectory(options: PublishOptions): Promise<PublishedVersion> {
    const { directory, store } = options;
    const createChunker = chooseChunkerFactory(options);
    const paths = await listFiles(directory);
    if (paths.length === 0) throw new VError({ name: "PublishError" }, "directory %s contains no files", directory);
    const sizes = await Promise.all(paths.map(async path => (await stat(join(directory, path))).size));
    const bytesTotal = sizes.reduce((sum, size) => sum + size, 0);
    let bytesRead = 0;
    let bytesSent = 0;

    async function publishFile(path: string): Promise<ManifestFile> {
        const chunks: Chunk[] = [];
        const chunker = await createChunker();
        const handle = await open(join(directory, path), "r");
        let unpublished = Buffer.alloc(0);
        try {
            for (;;) {
                const { bytesRead: blockBytes, buffer } = await handle.read(
                    Buffer.allocUnsafe(READ_BLOCK_BYTES),
                    0,
                    READ_BLOCK_BYTES,
                );
                if (blockBytes === 0) break;
                const block = buffer.subarray(0, blockBytes);
                unpublished = Buffer.concat([unpublished, block]);
                for (const chunkBytes of chunker.push(block)) {
                    chunks.push(await publishChunk(unpublished.subarray(0, chunkBytes)));
                    unpublished = unpublished.subarray(chunkBytes);
                }
            }
            if (unpublished.length > 0) chunks.push(await publishChunk(unpublished));
        }
        finally {
            await handle.close();
        }
        return { path, size: chunks.reduce((sum, chunk) => sum + chunk.size, 0), chunks };
    }

    async function publishChunk(content: Buffer): Promise<Chunk> {
        const digest = digestOf(content);
        if (!await store.has(chunkKey(digest))) {
            await store.put(chunkKey(digest), content);
            bytesSent += content.length;
        }
        bytesRead += content.length;
        options.onProgress?.({ bytesRead, bytesTotal, bytesSent });
        return { digest, size: content.length };
    }

    const files: ManifestFile[] = [];
    for (const path of paths) files.push(await publishFile(path));
    const manifest: Manifest = { format: 1, model: options.model, files };
    const bytes = encodeManifest(manifest);
    const rootDigest = digestOf(bytes);
    await store.put(manifestKey(rootDigest), bytes);
    await store.put(latestKey(options.model), Buffer.from(rootDigest));
    return { rootDigest, manifest, bytesSent };
}

function chooseChunkerFactory(
    { chunkBytes = DEFAULT_CHUNK_BYTES, contentDefined = false }: PublishOptions,
): ChunkerFactory {
    return contentDefined ?
        contentDefinedChunkers(Math.min(chunkBytes, MAX_CHUNK_BYTES / MAX_FRACTION)) :
        fixedSizeChunkers(Math.min(chunkBytes, MAX_CHUNK_BYTES));
}

async function listFiles(directory: string): Promise<string[]> {
    try {
        const members = await readdir(directory, { withFileTypes: true, recursive: true });
        return members
            .filter(member => member.isFile())
            .map(file => relative(directory, join(file.parentPath, file.name)).split(sep).join("/"))
            .sort();
    }
    catch (error) {
        throw new VError({ name: "PublishError", cause: error as Error }, "can't read directory %s", directory);
    }
}
