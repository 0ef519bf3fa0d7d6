/**
 * Splits a server-sent event stream into complete events and records the id of the last one, so that a broken stream
 * can be resumed exactly after it. Partial events are never returned.
 */
import VError from "verror";
import { createByteCollector } from "../core/byteCollector.js";
import { EVENT_END, takeCompleteEvents } from "../core/eventStream.js";

export interface EventStreamParser {
    /**
     * Returns the bytes of the events that the chunk completes; empty if there are none.
     *
     * @throws VError if an incomplete event exceeds 256 KiB.
     */
    push(chunk: Buffer): Buffer;
    /** Returns the number of complete events so far; blocks that hold only comments aren't counted. */
    eventCount(): number;
    /** Returns the number of buffered bytes of an incomplete event. */
    pendingBytes(): number;
    lastEventId(): string | undefined;
    /** Returns the last weights version that an event named, if any did. */
    weightsVersion(): number | undefined;
}

export interface EventFieldReaders {
    readonly parseId: (event: string) => string | undefined;
    readonly parseWeightsVersion: (event: string) => number | undefined;
}

/** Matches a line that isn't a comment. */
const ANY_FIELD = /^[^:\n]/m;

/** Largest incomplete event that is buffered. */
const MAX_EVENT_BYTES = 256 * 1024;

/** `previous` is the parser of the stream that this one resumes. */
export function createEventStreamParser(
    { parseId, parseWeightsVersion }: EventFieldReaders,
    previous?: EventStreamParser,
): EventStreamParser {
    const pending = createByteCollector();
    let lastId = previous?.lastEventId();
    let weightsVersion = previous?.weightsVersion();
    let eventCount = 0;

    function push(chunk: Buffer): Buffer {
        const complete = takeCompleteEvents(pending, chunk);
        if (pending.byteCount() > MAX_EVENT_BYTES) throw new VError("an event exceeds %d bytes", MAX_EVENT_BYTES);
        if (complete.length === 0) return complete;
        for (const event of complete.toString("latin1").split(EVENT_END)) {
            lastId = parseId(event) ?? lastId;
            weightsVersion = parseWeightsVersion(event) ?? weightsVersion;
            if (ANY_FIELD.test(event)) eventCount++;
        }
        return complete;
    }

    return {
        push,
        eventCount: () => eventCount,
        pendingBytes: pending.byteCount,
        lastEventId: () => lastId,
        weightsVersion: () => weightsVersion,
    };
}
