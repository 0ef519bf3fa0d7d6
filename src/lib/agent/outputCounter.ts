/** Counts the output tokens of a backend server's response while it is forwarded. */
import type { IncomingMessage } from "node:http";
import { createEventSplitter, DONE_EVENT } from "../core/index.js";

export interface OutputCounter {
    /** Returns the bytes to forward now: the complete events of an event stream, or all bytes of other responses. */
    push(data: Buffer): Buffer;
    readonly outputCount: () => number;
    readonly isComplete: () => boolean;
    /** Bytes to append to a valid response: the final event of an event stream, or nothing. */
    readonly closing: Buffer;
}

/** Size of the buffered end of a response that isn't streamed, which contains its token usage. */
const TAIL_BYTES = 2048;

export function createOutputCounter(response: IncomingMessage): OutputCounter {
    if ((response.headers["content-type"] ?? "").startsWith("text/event-stream")) {
        const splitter = createEventSplitter();
        return {
            push: splitter.push,
            outputCount: splitter.outputCount,
            isComplete: splitter.hasEnded,
            closing: DONE_EVENT,
        };
    }
    let tail = "";
    return {
        push: data => {
            tail = (tail + data.toString("latin1", Math.max(0, data.length - TAIL_BYTES))).slice(-TAIL_BYTES);
            return data;
        },
        outputCount: () => Number(/"completion_tokens":\s*(\d{1,9})/.exec(tail)?.[1] ?? 0),
        isComplete: () => true,
        closing: Buffer.alloc(0),
    };
}
