/** Counts the output tokens of a backend server's answer while its bytes are passed on. */
import type { IncomingMessage } from "node:http";
import { CLOSING_EVENT, createEventSplitter } from "../core/index.js";

export interface OutputCounter {
    /** Returns the bytes to pass on now: whole events of an event stream, or every byte otherwise. */
    push(piece: Buffer): Buffer;
    readonly outputCount: () => number;
    readonly isComplete: () => boolean;
    /** Bytes that end a valid answer. */
    readonly closing: Buffer;
}

/** The end of a whole answer, which holds its usage. */
const TAIL_BYTES = 2048;

export function createOutputCounter(response: IncomingMessage): OutputCounter {
    if ((response.headers["content-type"] ?? "").startsWith("text/event-stream")) {
        const splitter = createEventSplitter();
        return {
            push: splitter.push,
            outputCount: splitter.outputs,
            isComplete: splitter.done,
            closing: CLOSING_EVENT,
        };
    }
    let tail = "";
    return {
        push: piece => {
            tail = (tail + piece.toString("latin1", Math.max(0, piece.length - TAIL_BYTES))).slice(-TAIL_BYTES);
            return piece;
        },
        outputCount: () => Number(/"completion_tokens":\s*(\d{1,9})/.exec(tail)?.[1] ?? 0),
        isComplete: () => true,
        closing: Buffer.alloc(0),
    };
}
