/** The timeline: a bounded ring of events per process, the merge of several rings, and their trace format. */
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

/** An event of the Chrome trace format, which trace viewers such as Perfetto open. */
export interface TraceEvent {
    readonly name: string;
    readonly cat: string;
    /** "b" and "e" begin and end a span, "i" is an instant, "M" names a process. */
    readonly ph: "b" | "e" | "i" | "M";
    /** Microseconds since the epoch. */
    readonly ts: number;
    readonly pid: number;
    readonly tid: number;
    /** Joins the begin and the end of a span. */
    readonly id?: string;
    readonly s?: "p";
    readonly args: Readonly<Record<string, unknown>>;
}

/**
 * Converts merged events to the Chrome trace format. Events named `X.started` and `X.ended` become a span
 * per subject or attempt, all others become instants.
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
