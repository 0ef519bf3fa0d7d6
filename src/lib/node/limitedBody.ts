/** Reads message bodies up to a size limit and within a memory budget that all bodies of a process share. */
import type { IncomingMessage } from "node:http";

export type BodyResult =
    | { readonly kind: "complete"; readonly body: Buffer; }
    /** `isMemoryExhausted` is true if the body is within the limit but exceeds the memory that is free now. */
    | { readonly kind: "tooLarge"; readonly isMemoryExhausted?: boolean; }
    | { readonly kind: "aborted"; };

/** Reads a body. `reserve` is called with the size of each buffer and returns false if there is no memory for it. */
export async function readLimitedBody(
    message: IncomingMessage,
    maxBytes: number,
    reserve: (bytes: number) => boolean = () => true,
): Promise<BodyResult> {
    if (Number(message.headers["content-length"] ?? 0) > maxBytes) return { kind: "tooLarge" };
    const buffers: Buffer[] = [];
    let size = 0;
    try {
        // Destroying a request would close the connection before the caller reads the response.
        for await (const buffer of message.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            size += buffer.length;
            if (size > maxBytes) return { kind: "tooLarge" };
            if (!reserve(buffer.length)) return { kind: "tooLarge", isMemoryExhausted: true };
            buffers.push(buffer);
        }
    }
    catch {
        return { kind: "aborted" };
    }
    return { kind: "complete", body: Buffer.concat(buffers) };
}

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
                    if (usedBytes + bytes > maxBytes) return false;
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
