/**
 * Shares the time of a process between messages that arrive in many small chunks and everything else. Each chunk takes
 * some processor time whatever its size, so a few such messages, if they come fast enough, would keep the process from
 * its other requests. Their readers take turns, one at a time, and between two turns the process is free for as long as
 * the last one took.
 */

/** Call it after each chunk of one message. If it returns a promise, read no further chunk until that resolves. */
export type ChunkPace = (chunk: Buffer) => Promise<void> | undefined;

export interface ReadTurns {
    /** Returns the pace of a new message. */
    start(): ChunkPace;
}

/** Chunks that a message may have in one turn, and before its reader has to wait for a turn. */
export const TURN_CHUNKS = 2048;

/** Chunks that are larger on average, in bytes, take little time for each byte, and are read without turns. */
const MAX_SMALL_CHUNK_BYTES = 512;

/** If so many chunks take longer to arrive, in milliseconds, they take little of the time of the process. */
const SLOW_TURN_MS = 200;

/** `now` is a monotonic clock, in milliseconds. */
export function createReadTurns(now: () => number): ReadTurns {
    const waiting: (() => void)[] = [];
    let isTurnTaken = false;

    function waitForTurn(): Promise<void> {
        return new Promise(resolve => {
            waiting.push(resolve);
            if (!isTurnTaken) beginTurn();
        });
    }

    function beginTurn(): void {
        const resolve = waiting.shift();
        isTurnTaken = resolve !== undefined;
        if (resolve === undefined) return;
        const startedAt = now();
        resolve();
        // The event loop first handles the chunks that have arrived and what else is due.
        setTimeout(() => setImmediate(() => setTimeout(beginTurn, now() - startedAt)), 0);
    }

    function start(): ChunkPace {
        let chunkCount = 0;
        let byteCount = 0;
        let startedAt = now();
        return chunk => {
            chunkCount++;
            byteCount += chunk.length;
            if (chunkCount < TURN_CHUNKS) return undefined;
            const isFast = now() - startedAt < SLOW_TURN_MS;
            const isSmall = byteCount < chunkCount * MAX_SMALL_CHUNK_BYTES;
            chunkCount = 0;
            byteCount = 0;
            startedAt = now();
            if (!isFast || !isSmall) return undefined;
            return waitForTurn().then(() => {
                startedAt = now();
            });
        };
    }

    return { start };
}
