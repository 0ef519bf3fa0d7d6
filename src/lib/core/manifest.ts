/**
 * Version manifests, which list the files of a version and the chunks of each file. The SHA-256 of a manifest's
 * canonical encoding is the version's root digest. Profiles refer to versions by root digest, so the content of a
 * published version can't change.
 *
 * Manifests come from the network, so `parseManifest` validates everything that later code relies on.
 */
import { createHash } from "node:crypto";
import VError from "verror";

/** Lowercase hexadecimal SHA-256. */
export type Digest = string;

/** A contiguous part of a file, identified by its content. Equal content is stored once. `size` is in bytes. */
export interface Chunk {
    readonly digest: Digest;
    readonly size: number;
}

/** A file of a version. `path` is relative, with `/` as the separator; `size` is in bytes. */
export interface ManifestFile {
    readonly path: string;
    readonly size: number;
    readonly chunks: readonly Chunk[];
}

export interface Manifest {
    readonly format: 1;
    readonly model: string;
    readonly files: readonly ManifestFile[];
}

/** Position of a chunk's content in a file. `offset` is in bytes. */
export interface ChunkLocation {
    readonly path: string;
    readonly offset: number;
}

/** A distinct chunk of a version with every location of its content. */
export interface DistinctChunk extends Chunk {
    readonly index: number;
    readonly locations: readonly ChunkLocation[];
}

/** Upper bound of a chunk's size, because a whole chunk is held in memory while it is verified. */
export const MAX_CHUNK_BYTES = 8 * 1024 * 1024;

const DIGEST_PATTERN = /^[0-9a-f]{64}$/;

export function digestOf(bytes: Uint8Array): Digest {
    return createHash("sha256").update(bytes).digest("hex");
}

export function isDigest(text: string): boolean {
    return DIGEST_PATTERN.test(text);
}

/** Returns the canonical encoding of a manifest: files sorted by path, keys in a fixed order. */
export function encodeManifest(manifest: Manifest): Buffer {
    const files = [...manifest.files]
        .sort((a, b) => (a.path < b.path ? -1 : 1))
        .map(file => ({
            path: file.path,
            size: file.size,
            chunks: file.chunks.map(chunk => ({ digest: chunk.digest, size: chunk.size })),
        }));
    return Buffer.from(JSON.stringify({ format: 1, model: manifest.model, files }));
}

/**
 * Parses an encoded manifest and verifies it against its root digest.
 *
 * @throws VError named `ManifestError` if the digest or the content is wrong.
 */
export function parseManifest(bytes: Uint8Array, rootDigest: Digest): Manifest {
    const actual = digestOf(bytes);
    if (actual !== rootDigest) throw manifestError("the manifest's SHA-256 is %s, expected %s", actual, rootDigest);
    let parsed: unknown;
    try {
        parsed = JSON.parse(Buffer.from(bytes).toString("utf8"));
    }
    catch {
        throw manifestError("manifest %s is not JSON", rootDigest);
    }
    return checkManifest(parsed, rootDigest);
}

/** Returns the distinct chunks of a version in the order of their first occurrence. */
export function listDistinctChunks(manifest: Manifest): DistinctChunk[] {
    const byDigest = new Map<Digest, { size: number; locations: ChunkLocation[]; }>();
    for (const file of manifest.files) {
        let offset = 0;
        for (const chunk of file.chunks) {
            const distinct = byDigest.get(chunk.digest) ?? { size: chunk.size, locations: [] };
            distinct.locations.push({ path: file.path, offset });
            byDigest.set(chunk.digest, distinct);
            offset += chunk.size;
        }
    }
    return [...byDigest].map(([digest, { size, locations }], index): DistinctChunk => ({
        index,
        digest,
        size,
        locations,
    }));
}

/** Returns the total size of the chunks in bytes, which is what a transfer of the whole version sends. */
export function totalChunkBytes(chunks: readonly DistinctChunk[]): number {
    return chunks.reduce((sum, chunk) => sum + chunk.size, 0);
}

function checkManifest(value: unknown, rootDigest: Digest): Manifest {
    if (!isRecord(value) || value.format !== 1 || typeof value.model !== "string" || !Array.isArray(value.files)) {
        throw manifestError("manifest %s is not a version manifest of format 1", rootDigest);
    }
    const files = value.files.map(file => checkFile(file, rootDigest));
    const paths = new Set(files.map(file => file.path));
    if (paths.size !== files.length) throw manifestError("manifest %s lists a file more than once", rootDigest);
    const sizeByDigest = new Map<Digest, number>();
    for (const chunk of files.flatMap(file => file.chunks)) {
        if ((sizeByDigest.get(chunk.digest) ?? chunk.size) !== chunk.size) {
            throw manifestError("manifest %s lists chunk %s with different sizes", rootDigest, chunk.digest);
        }
        sizeByDigest.set(chunk.digest, chunk.size);
    }
    return { format: 1, model: value.model, files };
}

function checkFile(value: unknown, rootDigest: Digest): ManifestFile {
    if (!isRecord(value) || typeof value.path !== "string" || !Array.isArray(value.chunks)) {
        throw manifestError("manifest %s has a file without a path or chunks", rootDigest);
    }
    if (!isSafePath(value.path)) throw manifestError("manifest %s has the unsafe path %j", rootDigest, value.path);
    const chunks = value.chunks.map(chunk => checkChunk(chunk, rootDigest));
    const size = chunks.reduce((sum, chunk) => sum + chunk.size, 0);
    if (size !== value.size) throw manifestError("manifest %s: wrong size of the chunks of %s", rootDigest, value.path);
    return { path: value.path, size, chunks };
}

function checkChunk(value: unknown, rootDigest: Digest): Chunk {
    const isValid = isRecord(value) && typeof value.digest === "string" && isDigest(value.digest) &&
        typeof value.size === "number" && Number.isSafeInteger(value.size) &&
        value.size > 0 && value.size <= MAX_CHUNK_BYTES;
    if (!isValid) throw manifestError("manifest %s has an invalid chunk", rootDigest);
    return { digest: value.digest as string, size: value.size as number };
}

/** Rejects absolute paths and `..`, which could write outside the version's directory. */
function isSafePath(path: string): boolean {
    const parts = path.split("/");
    return path.length <= 1024 && !path.includes("\0") && !path.includes("\\") &&
        parts.every(part => part !== "" && part !== "." && part !== "..");
}

function isRecord(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null;
}

function manifestError(format: string, ...args: unknown[]): VError {
    return new VError({ name: "ManifestError" }, format, ...args);
}
