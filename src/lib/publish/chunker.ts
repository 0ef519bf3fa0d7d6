/**
 * Splits files into chunks while they are read. Fixed-size chunks are fast and deduplicate content between versions
 * if bytes change in place. Content-defined chunks also deduplicate content after inserted or removed bytes, but
 * are slower to compute.
 */
import { create } from "rabin-wasm";

/** Finds the chunk boundaries in one file. */
export interface Chunker {
    /** Returns the sizes in bytes of the chunks that end in this block. The remainder belongs to the next chunk. */
    push(block: Uint8Array): readonly number[];
}

export type ChunkerFactory = () => Promise<Chunker>;

/** Window size of the rolling hash. */
const WINDOW_BYTES = 64;

/** Sizes of content-defined chunks lie between these fractions of the mean size. */
const MIN_FRACTION = 1 / 4;
export const MAX_FRACTION = 4;

/** Creates chunkers for chunks of one size. Only the last chunk of a file may be smaller. */
export function fixedSizeChunkers(chunkBytes: number): ChunkerFactory {
    return async () => {
        let pendingBytes = 0;
        return {
            push: block => {
                pendingBytes += block.length;
                const chunkCount = Math.floor(pendingBytes / chunkBytes);
                pendingBytes -= chunkCount * chunkBytes;
                return Array.from({ length: chunkCount }, () => chunkBytes);
            },
        };
    };
}

/**
 * Creates chunkers with content-defined boundaries, based on Rabin fingerprints. The mean size is rounded down to a
 * power of two.
 */
export function contentDefinedChunkers(meanBytes: number): ChunkerFactory {
    return async () => {
        const bits = Math.floor(Math.log2(meanBytes));
        const rabin = await create(bits, meanBytes * MIN_FRACTION, meanBytes * MAX_FRACTION, WINDOW_BYTES);
        return { push: block => [...rabin.fingerprint(block)] };
    };
}
