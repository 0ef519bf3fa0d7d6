/** Reads and parses request bodies up to a size limit. */
import type { IncomingMessage } from "node:http";

export type BodyResult =
    | { readonly kind: "complete"; readonly body: Buffer; }
    /** `isMemoryExhausted` is true if the body is within the limit but exceeds the memory that is free now. */
    | { readonly kind: "tooLarge"; readonly isMemoryExhausted?: boolean; }
    | { readonly kind: "aborted"; };

/** Reads a body. `reserve` is called with the size of each buffer and returns false if there is no memory for it. */
export async function readLimitedBody(
    request: IncomingMessage,
    maxBytes: number,
    reserve: (bytes: number) => boolean = () => true,
): Promise<BodyResult> {
    if (Number(request.headers["content-length"] ?? 0) > maxBytes) return { kind: "tooLarge" };
    const buffers: Buffer[] = [];
    let size = 0;
    try {
        // Destroying the request would close the connection before the caller reads the response.
        for await (const buffer of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
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

/** Returns `undefined` for anything but a JSON object. */
export function parseJsonObject(body: Buffer): Record<string, unknown> | undefined {
    try {
        const value: unknown = JSON.parse(body.toString("utf8"));
        const isObject = typeof value === "object" && value !== null && !Array.isArray(value);
        return isObject ? value as Record<string, unknown> : undefined;
    }
    catch {
        return undefined;
    }
}
