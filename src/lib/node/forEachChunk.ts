/**
 * Reads a stream chunk by chunk with backpressure. Does the same as `for await`, without its promise and microtasks for
 * each chunk: an entry relays hundreds of small chunks per second.
 */
import type { Readable } from "node:stream";
import VError from "verror";

/**
 * Calls `onChunk` for each chunk, in order, and resolves at the end of the stream. While a promise that `onChunk`
 * returned is pending, no further chunk is read. Rejects, and destroys the stream, if the stream fails, is closed before
 * its end, or `onChunk` throws or rejects.
 */
export function forEachChunk(stream: Readable, onChunk: (chunk: Buffer) => Promise<void> | undefined): Promise<void> {
    return new Promise((resolve, reject) => {
        const fail = (error: Error) => {
            reject(error);
            stream.destroy();
        };
        stream.on("data", (chunk: Buffer) => {
            try {
                const pending = onChunk(chunk);
                if (pending === undefined) return;
                stream.pause();
                pending.then(() => void stream.resume(), fail);
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
