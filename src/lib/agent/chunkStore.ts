/**
 * Stores versions in the memory-backed directory that the engine reads: one directory per root digest, with
 * the manifest in a file beside it. Chunks aren't cached in process memory.
 */
import { mkdir, open, readdir, readFile, rm, stat, truncate, writeFile } from "node:fs/promises";
import { dirname, join } from "node:path";
import { type Digest, digestOf, type DistinctChunk, isDigest, type Manifest } from "../core/index.js";
import { createOpenFiles } from "./openFiles.js";

const MANIFEST_SUFFIX = ".manifest.json";

export interface ChunkStore {
    /** Returns the directory from which the engine loads a version. */
    path(rootDigest: Digest): string;
    /** Creates the files of a version at their full size and stores its manifest. */
    create(rootDigest: Digest, manifestBytes: Uint8Array, manifest: Manifest): Promise<void>;
    readManifest(rootDigest: Digest): Promise<Buffer | undefined>;
    /** Writes a verified chunk to every location where it occurs in the version. */
    write(rootDigest: Digest, chunk: DistinctChunk, content: Uint8Array): Promise<void>;
    /** Reads a chunk; returns `undefined` if it can't be read or its content doesn't match its digest. */
    read(rootDigest: Digest, chunk: DistinctChunk): Promise<Buffer | undefined>;
    /** Hashes every file and returns the paths of those that differ from the manifest. */
    verify(rootDigest: Digest, manifest: Manifest): Promise<string[]>;
    /** Lists the versions whose manifest is stored. */
    list(): Promise<Digest[]>;
    remove(rootDigest: Digest): Promise<void>;
}

export function createChunkStore(directory: string): ChunkStore {
    const openFiles = createOpenFiles();
    const path = (rootDigest: Digest) => join(directory, rootDigest);
    const manifestPath = (rootDigest: Digest) => `${path(rootDigest)}${MANIFEST_SUFFIX}`;

    async function create(rootDigest: Digest, manifestBytes: Uint8Array, manifest: Manifest): Promise<void> {
        for (const file of manifest.files) {
            const target = join(path(rootDigest), file.path);
            await mkdir(dirname(target), { recursive: true });
            const handle = await open(target, "a");
            await handle.close();
            await truncate(target, file.size);
        }
        await writeFile(manifestPath(rootDigest), manifestBytes);
    }

    function readManifest(rootDigest: Digest): Promise<Buffer | undefined> {
        return readFile(manifestPath(rootDigest)).catch(() => undefined);
    }

    async function write(rootDigest: Digest, chunk: DistinctChunk, content: Uint8Array): Promise<void> {
        for (const location of chunk.locations) {
            await openFiles.use(join(path(rootDigest), location.path), async handle => {
                await handle.write(content, 0, content.length, location.offset);
            });
        }
    }

    async function read(rootDigest: Digest, chunk: DistinctChunk): Promise<Buffer | undefined> {
        const location = chunk.locations[0];
        if (location === undefined) return undefined;
        const content = Buffer.allocUnsafe(chunk.size);
        try {
            const { bytesRead } = await openFiles.use(
                join(path(rootDigest), location.path),
                handle => handle.read(content, 0, chunk.size, location.offset),
            );
            return bytesRead === chunk.size && digestOf(content) === chunk.digest ? content : undefined;
        }
        catch {
            return undefined;
        }
    }

    async function verify(rootDigest: Digest, manifest: Manifest): Promise<string[]> {
        const differingPaths: string[] = [];
        for (const file of manifest.files) {
            const target = join(path(rootDigest), file.path);
            const size = await stat(target).then(stats => stats.size, () => -1);
            if (size !== file.size || !await matchesChunks(target, file.chunks)) differingPaths.push(file.path);
        }
        return differingPaths;
    }

    async function list(): Promise<Digest[]> {
        const names = await readdir(directory).catch(() => []);
        return names
            .filter(name => name.endsWith(MANIFEST_SUFFIX))
            .map(name => name.slice(0, -MANIFEST_SUFFIX.length))
            .filter(isDigest);
    }

    async function remove(rootDigest: Digest): Promise<void> {
        openFiles.close(path(rootDigest));
        await rm(manifestPath(rootDigest), { force: true });
        await rm(path(rootDigest), { recursive: true, force: true });
    }

    return { path, create, readManifest, write, read, verify, list, remove };
}

async function matchesChunks(path: string, chunks: readonly { digest: Digest; size: number; }[]): Promise<boolean> {
    const maxChunkBytes = chunks.reduce((max, chunk) => Math.max(max, chunk.size), 0);
    const content = Buffer.allocUnsafe(maxChunkBytes);
    const handle = await open(path, "r");
    try {
        let offset = 0;
        for (const chunk of chunks) {
            const { bytesRead } = await handle.read(content, 0, chunk.size, offset);
            if (bytesRead !== chunk.size || digestOf(content.subarray(0, chunk.size)) !== chunk.digest) return false;
            offset += chunk.size;
        }
        return true;
    }
    finally {
        await handle.close();
    }
}
