/** Events of the stand-in engine's prefix cache, which are published late and with gaps. */

export interface CacheEvent {
    /** Counts all events, so that a reader sees a gap. */
    readonly sequence: number;
    readonly kind: "stored" | "removed";
    readonly block: string;
}

export interface CacheEvents {
    add(kind: CacheEvent["kind"], block: string, now: number): void;
    /** Returns the events after a sequence number that are at least `delayMs` old, without the lost ones. */
    read(after: number, delayMs: number, now: number): CacheEvent[];
}

const CAPACITY = 4096;

/** `isLost` is asked once for each event. */
export function createCacheEvents(isLost: () => boolean): CacheEvents {
    const events: (CacheEvent & { readonly at: number; })[] = [];
    let sequence = 0;

    function add(kind: CacheEvent["kind"], block: string, now: number): void {
        sequence++;
        if (isLost()) return;
        events.push({ sequence, kind, block, at: now });
        if (events.length > CAPACITY) events.shift();
    }

    function read(after: number, delayMs: number, now: number): CacheEvent[] {
        return events
            .filter(event => event.sequence > after && now - event.at >= delayMs)
            .map(event => ({ sequence: event.sequence, kind: event.kind, block: event.block }));
    }

    return { add, read };
}
