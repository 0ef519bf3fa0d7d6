/**
 * Finds the borders of chunks while a file is read. Fixed borders are fast and share content that changes in
 * place; content-defined borders also share what follows inserted or removed bytes, at the cost of reading
 * more slowly.
 */
import { create } from "rabin-wasm";

/** Finds the borders in one file. */
export interface Chunker {
    /** Returns the sizes of the chunks that end in this block, in bytes. The rest belongs to the next chunk. */
    push(block: Uint8Array): readonly number[];
}

export type ChunkerFactory = () => Promise<Chunker>;

/** The window of the rolling hash in bytes. */
const WINDOW_BYTES = 64;

/** Sizes of content-defined chunks lie between these fractions of the mean size. */
const MIN_FRACTION = 1 / 4;
export const MAX_FRACTION = 4;

/** Chunks of one size, except for the last one of a file. */
export function fixedSizeChunkers(chunkBytes: number): ChunkerFactory {
    return async () => {
        let pending = 0;
        return {
            push: block => {
                pending += block.length;
                const complete = Math.floor(pending / chunkBytes);
                pending -= complete * chunkBytes;
                return Array.from({ length: complete }, () => chunkBytes);
            },
        };
    };
}

/** Chunks with content-defined borders by Rabin fingerprints. The mean size is rounded down to a power of two. */
export function contentDefinedChunkers(meanBytes: number): ChunkerFactory {
    return async () => {
        const bits = Math.floor(Math.log2(meanBytes));
        const rabin = await create(bits, meanBytes * MIN_FRACTION, meanBytes * MAX_FRACTION, WINDOW_BYTES);
        return { push: block => [...rabin.fingerprint(block)] };
    };
}
