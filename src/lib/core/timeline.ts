/** Timeline of events: a bounded ring buffer per process, merging several processes' events, and trace export. */
import { compareTimestamps, type Timestamp } from "./hybridClock.js";

export interface TimelineEvent extends Timestamp {
    readonly process: string;
    /** Dotted name such as `request.admitted` or `rollout.chunkCorrupted`. */
    readonly kind: string;
    /** Identifier of the request, version or profile that the event belongs to. */
    readonly subject: string;
    readonly attributes: Readonly<Record<string, string | number | boolean>>;
}

export interface EventRing {
    add(event: TimelineEvent): void;
    /** Returns the events of a subject, oldest first; all events if `subject` is empty. */
    read(subject: string): TimelineEvent[];
}

export function createEventRing(capacity: number): EventRing {
    const events: TimelineEvent[] = [];
    let addedCount = 0;

    function add(event: TimelineEvent): void {
        events[addedCount % capacity] = event;
        addedCount++;
    }

    function read(subject: string): TimelineEvent[] {
        const oldestIndex = addedCount % capacity;
        const ordered = events.length < capacity ?
            events :
            [...events.slice(oldestIndex), ...events.slice(0, oldestIndex)];
        return ordered.filter(event => subject === "" || event.subject === subject);
    }

    return { add, read };
}

/** Merges the events of several processes, ordered by timestamp. */
export function mergeEvents(rings: readonly (readonly TimelineEvent[])[]): TimelineEvent[] {
    return rings.flat().sort((a, b) => compareTimestamps(a, b) || (a.process < b.process ? -1 : 1));
}

/** An event in the Chrome trace format, which viewers such as Perfetto can open. */
export interface TraceEvent {
    readonly name: string;
    readonly cat: string;
    /** Phase: "b" and "e" begin and end an async span, "i" is an instant event, "M" is metadata (a process name). */
    readonly ph: "b" | "e" | "i" | "M";
    /** Microseconds since the epoch. */
    readonly ts: number;
    readonly pid: number;
    readonly tid: number;
    /** Matches the begin and end events of a span. */
    readonly id?: string;
    readonly s?: "p";
    readonly args: Readonly<Record<string, unknown>>;
}

/**
 * Converts merged events to the Chrome trace format. Events named `X.started` and `X.ended` become a span for each
 * attempt, or for each subject if they have no attempt. All other events become instant events.
 */
export function toChromeTrace(events: readonly TimelineEvent[]): { readonly traceEvents: readonly TraceEvent[]; } {
    const processes = [...new Set(events.map(({ process }) => process))].sort();
    const names = processes.map((name, pid): TraceEvent => {
        return { name: "process_name", cat: "", ph: "M", ts: 0, pid, tid: 0, args: { name } };
    });
    const traced = events.map((event): TraceEvent => {
        const { kind, subject, attributes } = event;
        const [, span, edge] = /^(.+)\.(started|ended)$/.exec(kind) ?? [];
        const common = {
            cat: kind.split(".")[0] ?? kind,
            ts: event.physicalMs * 1000,
            pid: processes.indexOf(event.process),
            tid: 0,
            args: { subject, ...attributes },
        };
        if (span === undefined) return { ...common, name: kind, ph: "i", s: "p" };
        return {
            ...common,
            name: span,
            ph: edge === "started" ? "b" : "e",
            id: String(attributes.attemptId ?? subject),
        };
    });
    return { traceEvents: [...names, ...traced] };
}
