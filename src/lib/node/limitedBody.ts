/** Reads message bodies up to a size limit and within a memory budget that all bodies of a process share. */
import type { IncomingMessage } from "node:http";

export type BodyResult =
    | { readonly kind: "complete"; readonly body: Buffer; }
    /** `isMemoryExhausted` is true if the body is within the limit but exceeds the memory that is free now. */
    | { readonly kind: "tooLarge"; readonly isMemoryExhausted?: boolean; }
    /** The connection ended, or `signal` was aborted, before the end of the body. */
    | { readonly kind: "aborted"; };

/**
 * Reads a body. `reserve` is called with the size of each buffer and returns false if there is no memory for it. The
 * message is left paused unless its body is complete; it isn't destroyed, because that would close the connection
 * before the caller reads the response.
 */
export function readLimitedBody(
    message: IncomingMessage,
    maxBytes: number,
    reserve: (bytes: number) => boolean = () => true,
    signal?: AbortSignal,
): Promise<BodyResult> {
    if (Number(message.headers["content-length"] ?? 0) > maxBytes) return Promise.resolve({ kind: "tooLarge" });
    if (message.destroyed && !message.readableEnded) return Promise.resolve({ kind: "aborted" });
    const buffers: Buffer[] = [];
    let size = 0;
    return new Promise(resolve => {
        function finish(result: BodyResult): void {
            message.off("data", onData).off("end", onEnd).off("error", onAborted).off("close", onAborted);
            signal?.removeEventListener("abort", onAborted);
            if (result.kind !== "complete") message.pause();
            resolve(result);
        }
        function onData(buffer: Buffer): void {
            size += buffer.length;
            if (size > maxBytes) finish({ kind: "tooLarge" });
            else if (!reserve(buffer.length)) finish({ kind: "tooLarge", isMemoryExhausted: true });
            else buffers.push(buffer);
        }
        const onEnd = () => finish({ kind: "complete", body: Buffer.concat(buffers) });
        const onAborted = () => finish({ kind: "aborted" });
        message.on("data", onData).once("end", onEnd).once("error", onAborted).once("close", onAborted);
        signal?.addEventListener("abort", onAborted, { once: true });
        if (signal?.aborted === true) onAborted();
    });
}

/** A body up to this size may use all memory; a usual request or answer is well below. */
const SMALL_BODY_BYTES = 256 * 1024;

/** Part of the memory that larger bodies may use, so that those which are held for long leave room for small ones. */
const LARGE_BODY_SHARE = 2 / 3;

/** Memory for buffered bodies. */
export interface BodyBudget {
    /** Opens a reservation, which grows with the bytes that are read. */
    open(): { readonly reserve: (bytes: number) => boolean; readonly release: () => void; };
}

export function createBodyBudget(maxBytes: number): BodyBudget {
    let usedBytes = 0;
    return {
        open: () => {
            let reservedBytes = 0;
            return {
                reserve: bytes => {
                    const isLarge = reservedBytes + bytes > SMALL_BODY_BYTES;
                    if (usedBytes + bytes > (isLarge ? LARGE_BODY_SHARE : 1) * maxBytes) return false;
                    usedBytes += bytes;
                    reservedBytes += bytes;
                    return true;
                },
                release: () => {
                    usedBytes -= reservedBytes;
                    reservedBytes = 0;
                },
            };
        },
    };
}
