/** Reads request bodies up to a limit. */
import type { IncomingMessage } from "node:http";

export type BodyResult =
    | { readonly kind: "complete"; readonly body: Buffer; }
    /** `overloaded` tells that the body is too large only for the memory that is free now. */
    | { readonly kind: "tooLarge"; readonly overloaded?: boolean; }
    | { readonly kind: "aborted"; };

/** Reads a body; `reserve` is asked for each piece and may refuse it for lack of memory. */
export async function readLimitedBody(
    request: IncomingMessage,
    maxBytes: number,
    reserve: (bytes: number) => boolean = () => true,
): Promise<BodyResult> {
    if (Number(request.headers["content-length"] ?? 0) > maxBytes) return { kind: "tooLarge" };
    const pieces: Buffer[] = [];
    let size = 0;
    try {
        // Destroying the request would close the connection before the caller reads the answer.
        for await (const piece of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            size += piece.length;
            if (size > maxBytes) return { kind: "tooLarge" };
            if (!reserve(piece.length)) return { kind: "tooLarge", overloaded: true };
            pieces.push(piece);
        }
    }
    catch {
        return { kind: "aborted" };
    }
    return { kind: "complete", body: Buffer.concat(pieces) };
}

/** Parses a JSON object; returns `undefined` for anything else. */
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
