/**
 * Cuts a server-sent event stream into whole events and notes the identifier of the last one, so that a broken
 * stream can be continued exactly after it. Half an event is never passed on.
 */
import VError from "verror";

export interface StreamEvents {
    /** Returns the bytes of the events that are complete now; empty if none is. */
    push(piece: Buffer): Buffer;
    /** Bytes of an event that isn't complete. */
    pendingBytes(): number;
    /** Drops half an event of a run that broke off. */
    discardPending(): void;
    lastEventId(): string | undefined;
    /** Version of the weights that the last event named, if any did. */
    weights(): number | undefined;
}

export interface EventFields {
    readonly idOf: (event: string) => string | undefined;
    readonly weightsOf: (event: string) => number | undefined;
}

const EVENT_END = "\n\n";

/** Longest event that is held. */
const MAX_EVENT_BYTES = 256 * 1024;

export function createStreamEvents({ idOf, weightsOf }: EventFields): StreamEvents {
    let pending: Buffer = Buffer.alloc(0);
    let lastId: string | undefined;
    let weights: number | undefined;

    function push(piece: Buffer): Buffer {
        const all = pending.length === 0 ? piece : Buffer.concat([pending, piece]);
        const last = all.lastIndexOf(EVENT_END);
        const end = last < 0 ? 0 : last + EVENT_END.length;
        pending = all.subarray(end);
        if (pending.length > MAX_EVENT_BYTES) throw new VError("an event exceeds %d bytes", MAX_EVENT_BYTES);
        const complete = all.subarray(0, end);
        for (const event of complete.toString("latin1").split(EVENT_END)) {
            lastId = idOf(event) ?? lastId;
            weights = weightsOf(event) ?? weights;
        }
        return complete;
    }

    return {
        push,
        pendingBytes: () => pending.length,
        discardPending: () => {
            pending = Buffer.alloc(0);
        },
        lastEventId: () => lastId,
        weights: () => weights,
    };
}
