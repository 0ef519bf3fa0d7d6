/** The time line: a bounded ring of events per process and the merge of several rings. */
import { compareTimestamps, type Timestamp } from "./hybridClock.js";

export interface TimelineEvent extends Timestamp {
    readonly process: string;
    /** Dotted name such as `request.admitted` or `rollout.chunkCorrupted`. */
    readonly kind: string;
    /** Request, root digest or profile that the event belongs to. */
    readonly subject: string;
    readonly attributes: Readonly<Record<string, string | number | boolean>>;
}

export interface EventRing {
    add(event: TimelineEvent): void;
    /** Returns the events of a subject, or all if it is empty, oldest first. */
    read(subject: string): TimelineEvent[];
}

export function createEventRing(capacity: number): EventRing {
    const events: TimelineEvent[] = [];
    let next = 0;

    function add(event: TimelineEvent): void {
        events[next % capacity] = event;
        next++;
    }

    function read(subject: string): TimelineEvent[] {
        const start = next % capacity;
        const ordered = events.length < capacity ? events : [...events.slice(start), ...events.slice(0, start)];
        return ordered.filter(event => subject === "" || event.subject === subject);
    }

    return { add, read };
}

/** Merges the events of several processes into one order. */
export function mergeEvents(rings: readonly (readonly TimelineEvent[])[]): TimelineEvent[] {
    return rings.flat().sort((a, b) => compareTimestamps(a, b) || (a.process < b.process ? -1 : 1));
}
