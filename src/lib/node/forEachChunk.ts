/**
 * Reads a stream chunk by chunk with backpressure. Does the same as `for await`, without its promise and microtasks for
 * each chunk: an entry relays hundreds of small chunks per second.
 */
import type { Readable } from "node:stream";
import VError from "verror";
import { holdMessage } from "./heldMessage.js";
import type { ReadTurns } from "./readTurns.js";

/**
 * Calls `onChunk` for each chunk, in order, and resolves at the end of the stream. While a promise that `onChunk`
 * returned is pending, no further chunk is read. Rejects, and destroys the stream, if the stream fails, is closed before
 * its end, or `onChunk` throws or rejects. `turns` are those that streams take if they arrive in small chunks.
 */
export function forEachChunk(
    stream: Readable,
    onChunk: (chunk: Buffer) => Promise<void> | undefined,
    turns?: ReadTurns,
): Promise<void> {
    const pace = turns?.start();
    return new Promise((resolve, reject) => {
        const fail = (error: Error) => {
            reject(error);
            stream.destroy();
        };
        let pendingCount = 0;
        function resumeAfter(pending: Promise<void>): void {
            pendingCount++;
            pending.then(() => {
                pendingCount--;
                if (pendingCount === 0) stream.resume();
            }, fail);
        }
        stream.on("data", (chunk: Buffer) => {
            try {
                const processed = onChunk(chunk);
                if (processed !== undefined) {
                    stream.pause();
                    resumeAfter(processed);
                    return;
                }
                const turn = pace?.(chunk);
                if (turn !== undefined) resumeAfter(turn.then(holdMessage(stream)));
            }
            catch (error) {
                fail(error as Error);
            }
        });
        stream.once("end", resolve);
        stream.on("error", fail);
        stream.once("close", () => reject(new VError("the stream was closed before its end")));
    });
}
