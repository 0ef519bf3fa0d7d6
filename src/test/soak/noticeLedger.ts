/**
 * Checks that entries act on what servers say about themselves: a server that is leaving gets no more calls once its
 * drain time is over, and one that asks for a pause hardly any until its end. Only uninterrupted spans of an entry's
 * process are judged: a restart or a freeze begins a new one. It performs no I/O, so that the checks themselves can be
 * tested.
 */
import { DRAIN_MS } from "./bounds.js";

export interface NoticeLedger {
    /** Records that a caller sends a call to an entry, whose process is in the named span. */
    recordSent(id: string, span: string, sentAt: number): void;
    /** Records that a span has ended; what belongs to it isn't judged any more. */
    endSpan(span: string): void;
    /** Records that a server's answer to a call says that the server is leaving. */
    recordLeavingAnswer(id: string, server: string): void;
    /** Records that the caller got the answer of a server. */
    recordAnswered(id: string, server: string, at: number): void;
    /** Records that a server's row said for long enough that it is leaving, so that every span knows. */
    recordLeavingRow(spans: readonly string[], server: string, at: number): void;
    /** Records that a server turned a call away and asked for a pause. */
    recordPause(id: string, server: string, at: number, durationMs: number): void;
    /** Records that a call arrived at a server, whatever it answers. */
    recordArrival(id: string, server: string, at: number): void;
    listViolations(): string[];
}

/** Time within which an entry acts on an answer. */
const PAUSE_START_MS = 500;

/** Number of calls that may reach a server from one entry during a pause. */
const MAX_CALL_COUNT_IN_PAUSE = 2;

interface Pause {
    readonly startsAt: number;
    readonly endsAt: number;
}

export function createNoticeLedger(): NoticeLedger {
    const calls = new Map<string, { readonly span: string; readonly sentAt: number; }>();
    const endedSpans = new Set<string>();
    const leavingAnswers = new Set<string>();
    /** Time from which on callers' calls may not reach a server any more, by span and server. */
    const leftAt = new Map<string, number>();
    const pauses = new Map<string, Pause[]>();
    const arrivals = new Map<string, number[]>();
    const violations: string[] = [];

    /** Returns the span of a call unless it has ended. */
    function findSpan(id: string): string | undefined {
        const span = calls.get(id)?.span;
        return span === undefined || endedSpans.has(span) ? undefined : span;
    }

    function recordLeft(key: string, at: number): void {
        leftAt.set(key, Math.min(leftAt.get(key) ?? at, at));
    }

    function recordArrival(id: string, server: string, at: number): void {
        const span = findSpan(id);
        if (span === undefined) return;
        const key = `${span} ${server}`;
        append(arrivals, key, at);
        const lateMs = (calls.get(id)?.sentAt ?? at) - (leftAt.get(key) ?? Number.POSITIVE_INFINITY);
        if (lateMs > 0) {
            violations.push(
                `${id} drained: reached ${server}, though sent ${Math.round(lateMs)} ms after its drain time`,
            );
        }
    }

    function findCallsInPauses(): string[] {
        return [...pauses].flatMap(([key, keyPauses]) =>
            keyPauses.flatMap(({ startsAt, endsAt }) => {
                const count = (arrivals.get(key) ?? []).filter(at => at > startsAt && at < endsAt).length;
                if (count <= MAX_CALL_COUNT_IN_PAUSE) return [];
                return [`${key} budget: ${count} calls in a pause of ${Math.round(endsAt - startsAt)} ms`];
            })
        );
    }

    return {
        recordSent: (id, span, sentAt) => void calls.set(id, { span, sentAt }),
        endSpan: span => void endedSpans.add(span),
        recordLeavingAnswer: (id, server) => void leavingAnswers.add(`${id} ${server}`),
        recordAnswered: (id, server, at) => {
            const span = findSpan(id);
            if (span === undefined || !leavingAnswers.has(`${id} ${server}`)) return;
            recordLeft(`${span} ${server}`, at + DRAIN_MS);
        },
        recordLeavingRow: (spans, server, at) => spans.forEach(span => recordLeft(`${span} ${server}`, at)),
        recordPause: (id, server, at, durationMs) => {
            const span = findSpan(id);
            if (span === undefined) return;
            append(pauses, `${span} ${server}`, { startsAt: at + PAUSE_START_MS, endsAt: at + durationMs });
        },
        recordArrival,
        listViolations: () => [...violations, ...findCallsInPauses()],
    };
}

function append<T>(lists: Map<string, T[]>, key: string, item: T): void {
    const list = lists.get(key);
    if (list === undefined) lists.set(key, [item]);
    else list.push(item);
}
