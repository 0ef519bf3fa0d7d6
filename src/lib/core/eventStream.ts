/**
 * Parser that splits a server-sent event stream into complete events. It counts the events with output, so that an
 * interrupted answer can be resumed at an exact position. Memory use is bounded by the longest event, and the time by
 * the number of bytes, whatever the size of the chunks in which they arrive.
 */
import { type ByteCollector, createByteCollector } from "./byteCollector.js";

export interface EventSplitter {
    /**
     * Returns the bytes of the events that this buffer completes. The closing `[DONE]` event is withheld; the caller
     * sends `DONE_EVENT` itself once the answer is known to be valid. Throws if an event is too long, is malformed
     * or follows the closing event.
     */
    push(received: Buffer): Buffer;
    /** Number of output events returned so far, not counting the closing `[DONE]`. */
    readonly outputCount: () => number;
    /** Whether the closing event has been received. */
    readonly hasEnded: () => boolean;
}

/** Separates the events of a stream. */
export const EVENT_END = "\n\n";
const NEWLINE = 0x0a;
const NO_BYTES: Buffer = Buffer.alloc(0);

const DONE_EVENT_TEXT = "data: [DONE]";

/** The event that ends a complete answer. */
export const DONE_EVENT = Buffer.from(DONE_EVENT_TEXT + EVENT_END);

const MAX_EVENT_BYTES = 256 * 1024;

/**
 * Returns the events that the chunk completes, and keeps the bytes after them in `pending`. Only the chunk is searched,
 * because the bytes kept before it hold no separator.
 */
export function takeCompleteEvents(pending: ByteCollector, chunk: Buffer): Buffer {
    const lastSeparator = chunk.lastIndexOf(EVENT_END);
    const isSeparatorDivided = pending.lastByte() === NEWLINE && chunk[0] === NEWLINE;
    if (lastSeparator < 0 && !isSeparatorDivided) {
        pending.append(chunk);
        return NO_BYTES;
    }
    const end = lastSeparator < 0 ? 1 : lastSeparator + EVENT_END.length;
    pending.append(chunk.subarray(0, end));
    const complete = pending.take();
    pending.append(chunk.subarray(end));
    return complete;
}

export function createEventSplitter(maxEventBytes = MAX_EVENT_BYTES): EventSplitter {
    const pending = createByteCollector();
    let outputCount = 0;
    let hasEnded = false;

    function push(received: Buffer): Buffer {
        const complete = takeCompleteEvents(pending, received);
        if (pending.byteCount() > maxEventBytes) throw new Error(`an event exceeds ${maxEventBytes} bytes`);
        for (const event of complete.toString("latin1").split(EVENT_END)) {
            if (event === "") continue;
            if (hasEnded) throw new Error("an event follows the end of the stream");
            if (event === DONE_EVENT_TEXT) hasEnded = true;
            else if (event.startsWith("data:")) {
                checkJson(event);
                outputCount++;
            }
            else if (!event.startsWith(":")) throw new Error("an event has no data field");
        }
        return hasEnded ? complete.subarray(0, Math.max(0, complete.length - DONE_EVENT.length)) : complete;
    }

    return { push, outputCount: () => outputCount, hasEnded: () => hasEnded };
}

function checkJson(event: string): void {
    try {
        JSON.parse(event.slice("data:".length));
    }
    catch {
        throw new Error("the data of an event is not valid JSON");
    }
}
