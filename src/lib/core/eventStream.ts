/**
 * Splits a server-sent event stream into whole events and counts those that carry output, so that an
 * answer can be resumed at an exact position. Memory is bounded by the longest event.
 */

export interface EventSplitter {
    /**
     * Returns the bytes of the events that are complete now. The closing event is kept back: whoever passes the
     * stream on sends `CLOSING_EVENT` once it knows that the answer is valid. Throws if an event is too long, is
     * malformed or follows the closing event.
     */
    push(piece: Buffer): Buffer;
    /** Number of output events returned so far, without the closing `[DONE]`. */
    readonly outputs: () => number;
    readonly done: () => boolean;
}

const EVENT_END = "\n\n";
const CLOSING_TEXT = "data: [DONE]";

/** The last event of a complete answer. */
export const CLOSING_EVENT = Buffer.from(CLOSING_TEXT + EVENT_END);

const MAX_EVENT_BYTES = 256 * 1024;

export function createEventSplitter(maxEventBytes = MAX_EVENT_BYTES): EventSplitter {
    let pending = Buffer.alloc(0);
    let outputs = 0;
    let done = false;

    function push(piece: Buffer): Buffer {
        const all = pending.length === 0 ? piece : Buffer.concat([pending, piece]);
        const last = all.lastIndexOf(EVENT_END);
        const end = last < 0 ? 0 : last + EVENT_END.length;
        // Copies, so that a short rest doesn't keep a large buffer alive.
        pending = Buffer.from(all.subarray(end));
        if (pending.length > maxEventBytes) throw new Error(`an event exceeds ${maxEventBytes} bytes`);
        const complete = all.subarray(0, end);
        for (const event of complete.toString("latin1").split(EVENT_END)) {
            if (event === "") continue;
            if (done) throw new Error("an event follows the end of the stream");
            if (event === CLOSING_TEXT) done = true;
            else if (event.startsWith("data:")) {
                checkJson(event);
                outputs++;
            }
            else if (!event.startsWith(":")) throw new Error("an event has no data");
        }
        return done ? complete.subarray(0, Math.max(0, complete.length - CLOSING_EVENT.length)) : complete;
    }

    return { push, outputs: () => outputs, done: () => done };
}

function checkJson(event: string): void {
    try {
        JSON.parse(event.slice("data:".length));
    }
    catch {
        throw new Error("an event isn't valid JSON");
    }
}
