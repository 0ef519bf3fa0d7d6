/**
 * Collects bytes that arrive in chunks of any size. Each chunk is an object of its own, which takes over a hundred bytes
 * beside its content, so small ones are copied together: the memory in use follows the number of bytes, not of chunks.
 */

export interface ByteCollector {
    append(chunk: Buffer): void;
    /** Returns the number of bytes collected. */
    byteCount(): number;
    /** Returns the last byte; `undefined` if there is none. */
    lastByte(): number | undefined;
    /** Returns all bytes in order and starts again without any. */
    take(): Buffer;
}

/** Chunks of at least this size, in bytes, are kept as they are. */
const LARGE_CHUNK_BYTES = 4096;

/** Bounds of the size of the blocks, in bytes, that small chunks are copied to; each block is twice as large as the last. */
const MIN_BLOCK_BYTES = 256;
const MAX_BLOCK_BYTES = 64 * 1024;

const NO_BYTES: Buffer = Buffer.alloc(0);

export function createByteCollector(): ByteCollector {
    /** Large chunks and the used parts of full blocks, in order. */
    let segments: Buffer[] = [];
    let segmentBytes = 0;
    /** The unfinished segment is the part of the block between `segmentStart` and `blockEnd`. */
    let block = NO_BYTES;
    let segmentStart = 0;
    let blockEnd = 0;
    let last: number | undefined;

    function closeSegment(): void {
        if (blockEnd === segmentStart) return;
        segments.push(block.subarray(segmentStart, blockEnd));
        segmentBytes += blockEnd - segmentStart;
        segmentStart = blockEnd;
    }

    function copy(chunk: Buffer): void {
        for (let copied = 0; copied < chunk.length;) {
            if (blockEnd === block.length) {
                closeSegment();
                const wantedBytes = Math.max(MIN_BLOCK_BYTES, 2 * block.length, chunk.length - copied);
                block = Buffer.allocUnsafeSlow(Math.min(MAX_BLOCK_BYTES, wantedBytes));
                segmentStart = 0;
                blockEnd = 0;
            }
            const copiedNow = chunk.copy(block, blockEnd, copied);
            blockEnd += copiedNow;
            copied += copiedNow;
        }
    }

    function append(chunk: Buffer): void {
        if (chunk.length === 0) return;
        last = chunk[chunk.length - 1];
        if (chunk.length < LARGE_CHUNK_BYTES) {
            copy(chunk);
            return;
        }
        closeSegment();
        segments.push(chunk);
        segmentBytes += chunk.length;
    }

    function take(): Buffer {
        closeSegment();
        const [first = NO_BYTES] = segments;
        const bytes = segments.length <= 1 ? first : Buffer.concat(segments, segmentBytes);
        segments = [];
        segmentBytes = 0;
        block = NO_BYTES;
        segmentStart = 0;
        blockEnd = 0;
        last = undefined;
        return bytes;
    }

    return {
        append,
        byteCount: () => segmentBytes + blockEnd - segmentStart,
        lastByte: () => last,
        take,
    };
}
