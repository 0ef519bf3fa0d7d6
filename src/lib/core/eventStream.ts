/**
 * Parser that splits a server-sent event stream into complete events. It counts the events with output, so that an
 * interrupted answer can be resumed at an exact position. Memory use is bounded by the longest event.
 */

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

const EVENT_END = "\n\n";
const DONE_EVENT_TEXT = "data: [DONE]";

/** The event that ends a complete answer. */
export const DONE_EVENT = Buffer.from(DONE_EVENT_TEXT + EVENT_END);

const MAX_EVENT_BYTES = 256 * 1024;

export function createEventSplitter(maxEventBytes = MAX_EVENT_BYTES): EventSplitter {
    let pending = Buffer.alloc(0);
    let outputCount = 0;
    let hasEnded = false;

    function push(received: Buffer): Buffer {
        const buffered = pending.length === 0 ? received : Buffer.concat([pending, received]);
        const lastBoundary = buffered.lastIndexOf(EVENT_END);
        const completeLength = lastBoundary < 0 ? 0 : lastBoundary + EVENT_END.length;
        // Copied, so that a short remainder doesn't retain a large buffer.
        pending = Buffer.from(buffered.subarray(completeLength));
        if (pending.length > maxEventBytes) throw new Error(`an event exceeds ${maxEventBytes} bytes`);
        const complete = buffered.subarray(0, completeLength);
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
