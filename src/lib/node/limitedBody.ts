/** Reads message bodies up to a size limit and within a memory budget that all bodies of a process share. */
import type { IncomingMessage } from "node:http";
import { createByteCollector } from "../core/byteCollector.js";
import { holdMessage } from "./heldMessage.js";
import type { ReadTurns } from "./readTurns.js";

export type BodyResult =
    | { readonly kind: "complete"; readonly body: Buffer; }
    /** `isMemoryExhausted` is true if the body is within the limit but exceeds the memory that is free now. */
    | { readonly kind: "tooLarge"; readonly isMemoryExhausted?: boolean; }
    /** The connection ended, or `signal` was aborted, before the end of the body. */
    | { readonly kind: "aborted"; };

export interface BodyOptions {
    readonly maxBytes: number;
    /** Called with the size of each chunk; returns false if there is no memory for it. By default there always is. */
    readonly reserve?: ((bytes: number) => boolean) | undefined;
    /** Turns that the bodies of a process take if they arrive in small chunks; without them, a body is read at once. */
    readonly turns?: ReadTurns;
    /** Ends the reading. */
    readonly signal?: AbortSignal;
}

/**
 * Reads a body. The message is left paused unless its body is complete; it isn't destroyed, because that would close the
 * connection before the caller reads the response.
 */
export function readLimitedBody(message: IncomingMessage, options: BodyOptions): Promise<BodyResult> {
    const { maxBytes, reserve = () => true, signal } = options;
    if (Number(message.headers["content-length"] ?? 0) > maxBytes) return Promise.resolve({ kind: "tooLarge" });
    if (message.destroyed && !message.readableEnded) return Promise.resolve({ kind: "aborted" });
    const body = createByteCollector();
    const pace = options.turns?.start();
    return new Promise(resolve => {
        /** Set while the message waits for its turn. */
        let release: (() => void) | undefined;
        function finish(result: BodyResult): void {
            release?.();
            release = undefined;
            message.off("data", onData).off("end", onEnd).off("error", onAborted).off("close", onAborted);
            signal?.removeEventListener("abort", onAborted);
            if (result.kind !== "complete") message.pause();
            resolve(result);
        }
        function onData(chunk: Buffer): void {
            if (body.byteCount() + chunk.length > maxBytes) finish({ kind: "tooLarge" });
            else if (!reserve(chunk.length)) finish({ kind: "tooLarge", isMemoryExhausted: true });
            else {
                body.append(chunk);
                const turn = pace?.(chunk);
                if (turn !== undefined) holdUntil(turn);
            }
        }
        function holdUntil(turn: Promise<void>): void {
            release = holdMessage(message);
            void turn.then(() => {
                if (release === undefined) return;
                release();
                release = undefined;
                message.resume();
            });
        }
        const onEnd = () => finish({ kind: "complete", body: body.take() });
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
