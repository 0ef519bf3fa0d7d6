/** Event log of the fake engine's prefix cache. Events can be published with a delay and with gaps. */

export interface CacheEvent {
    /** Increases with every event, including lost ones, so that a reader detects gaps. */
    readonly sequence: number;
    readonly kind: "stored" | "removed";
    readonly block: string;
}

export interface CacheEvents {
    add(kind: CacheEvent["kind"], block: string, now: number): void;
    /** Returns the events after a sequence number that are at least `delayMs` old; lost events are missing. */
    read(after: number, delayMs: number, now: number): CacheEvent[];
}

const MAX_EVENT_COUNT = 4096;

/** `isLost` is called once per event and decides whether the event is dropped. */
export function createCacheEvents(isLost: () => boolean): CacheEvents {
    const events: (CacheEvent & { readonly recordedAt: number; })[] = [];
    let sequence = 0;

    function add(kind: CacheEvent["kind"], block: string, now: number): void {
        sequence++;
        if (isLost()) return;
        events.push({ sequence, kind, block, recordedAt: now });
        if (events.length > MAX_EVENT_COUNT) events.shift();
    }

    function read(after: number, delayMs: number, now: number): CacheEvent[] {
        return events
            .filter(event => event.sequence > after && now - event.recordedAt >= delayMs)
            .map(event => ({ sequence: event.sequence, kind: event.kind, block: event.block }));
    }

    return { add, read };
}
