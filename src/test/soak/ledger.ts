/**
 * Compares the responses that callers got with the calls that backend servers executed, and reports each violated
 * guarantee. It performs no I/O, so that the checks themselves can be tested.
 */

export type CallKind = "read" | "book" | "talk";

export interface SentCall {
    readonly id: string;
    readonly kind: CallKind;
    readonly account: string;
    readonly sentAt: number;
}

export interface CallResult {
    /** HTTP status, or 0 if the connection ended without a response. */
    readonly status: number;
    readonly body: string;
    /** The response has the backend server's `response-seal` header. */
    readonly isSigned: boolean;
    /** False if the response ended early. */
    readonly isComplete: boolean;
    readonly endedAt: number;
    /** The caller closed the connection before the response was complete. */
    readonly isCancelled: boolean;
    /** Nothing but reloads and configuration changes affected the entry, and no server or link failed. */
    readonly isUndisturbed: boolean;
    /** A fault affected the entry or its link to the store during the call or shortly before. */
    readonly isAffectedByFault: boolean;
    /** The entry got SIGTERM, and no other fault affected the call. */
    readonly isGracefulStop: boolean;
}

export interface Run {
    readonly id: string;
    readonly account: string;
    readonly startedAt: number;
    /** The server had been draining or stopped for longer than entries may take to notice. */
    readonly isAfterDrain: boolean;
    /** A fault affected the link to the server shortly before. */
    readonly isAffectedByFault: boolean;
    /** The server sends a complete response. */
    readonly isCompletelyAnswered: boolean;
}

export interface Ledger {
    recordSent(call: SentCall): void;
    recordResult(id: string, result: CallResult): void;
    recordRun(run: Run): void;
    /** Returns the violations found so far. The result is final when no call is in progress. */
    listViolations(): string[];
    counts(): { readonly calls: number; readonly answered: number; readonly runs: number; };
}

/** Time after its cancellation during which a call may still start: 500 ms, and 250 ms for scheduling delays. */
const MAX_START_AFTER_CANCEL_MS = 750;

/** Number of calls per soak that may start later than that. The requirement allows "a few". */
const MAX_LATE_START_COUNT = 3;

/**
 * Number of calls per soak that graceful stops may interrupt although a healthy server executes them. The requirements
 * allow some.
 */
const MAX_GRACEFUL_STOP_CUT_COUNT = 3;

/** Number of calls per soak that may end without a response although nothing affected the entry. */
const MAX_UNANSWERED_COUNT = 3;

/** Timeout of the route (3000 ms), 500 ms more, and 250 ms for scheduling delays. */
const MAX_CALL_DURATION_MS = 3750;

/** Returns the complete body that a server sends for a call. */
export function expectedBody(kind: CallKind, id: string): string {
    return kind === "talk" ? eventStreamText(id, 1) : `answer to ${id}`;
}

const EVENT_COUNT = 6;

/** Returns the events of a stream, each as a separate text, from event number `first` on. */
export function eventTexts(id: string, first: number): string[] {
    return Array.from({ length: EVENT_COUNT - first + 1 }, (_, index) => {
        const number = first + index;
        return `id: ${number}\ndata: ${id}/${number}\n\n`;
    });
}

export function eventStreamText(id: string, first: number): string {
    return eventTexts(id, first).join("");
}

export function createLedger(): Ledger {
    const calls = new Map<string, SentCall>();
    const results = new Map<string, CallResult>();
    const runs = new Map<string, Run[]>();

    function findCallViolations(call: SentCall): string[] {
        const result = results.get(call.id);
        const callRuns = runs.get(call.id) ?? [];
        const violations: string[] = [];
        if (call.kind === "book" && callRuns.length > 1) violations.push(`doubled: ran ${callRuns.length} times`);
        for (const { account } of callRuns) {
            if (account !== call.account) violations.push(`foreign account: ran with the account ${account || "none"}`);
        }
        if (callRuns.some(({ isAfterDrain }) => isAfterDrain)) {
            violations.push("drained: ran on a server that had been drained");
        }
        if (result === undefined) return violations;
        if (call.kind === "book" && [408, 421, 429, 503].includes(result.status) && callRuns.length > 0) {
            violations.push(`untrue refusal: ${result.status}, but it ran`);
        }
        if (result.status === 200 && result.isComplete) {
            if (!result.isSigned) violations.push("mixed: no response seal");
            if (result.body !== expectedBody(call.kind, call.id)) {
                violations.push(`mixed: unexpected body ${JSON.stringify(result.body)}`);
            }
            if (callRuns.length === 0) violations.push("mixed: a response although no server ran the call");
        }
        const hasWrongEvents = call.kind === "talk" && !expectedBody("talk", call.id).startsWith(result.body);
        if (result.status === 200 && !result.isComplete && hasWrongEvents) {
            violations.push(`order: unexpected events ${JSON.stringify(result.body)}`);
        }
        if (!result.isCancelled && !result.isAffectedByFault && result.endedAt - call.sentAt > MAX_CALL_DURATION_MS) {
            violations.push(`held: took ${Math.round(result.endedAt - call.sentAt)} ms`);
        }
        return violations;
    }

    function findLateStarts(): string[] {
        const lateStarts = [...calls.keys()].filter(id => {
            const result = results.get(id);
            if (result?.isCancelled !== true || result.isAffectedByFault) return false;
            return runs.get(id)?.some(run =>
                !run.isAffectedByFault && run.startedAt - result.endedAt > MAX_START_AFTER_CANCEL_MS
            );
        });
        return lateStarts.length > MAX_LATE_START_COUNT ?
            [`gone: ${lateStarts.length} calls started after their callers had cancelled them`] :
            [];
    }

    function findGracefulStopCuts(): string[] {
        const interrupted = [...calls.keys()].filter(id => {
            const result = results.get(id);
            if (result === undefined || result.isComplete || result.isCancelled || !result.isGracefulStop) return false;
            return runs.get(id)?.some(run => run.isCompletelyAnswered && !run.isAffectedByFault);
        });
        return interrupted.length > MAX_GRACEFUL_STOP_CUT_COUNT ?
            [`lost: ${interrupted.length} calls interrupted by graceful stops`] :
            [];
    }

    function findUnanswered(): string[] {
        const unanswered = [...results.values()].filter(({ status, isCancelled, isUndisturbed }) =>
            status === 0 && !isCancelled && isUndisturbed
        );
        return unanswered.length > MAX_UNANSWERED_COUNT ?
            [`lost: ${unanswered.length} calls without a response by entries that nothing affected`] :
            [];
    }

    return {
        recordSent: call => void calls.set(call.id, call),
        recordResult: (id, result) => void results.set(id, result),
        recordRun: run => {
            const existing = runs.get(run.id);
            if (existing === undefined) runs.set(run.id, [run]);
            else existing.push(run);
        },
        listViolations: () => [
            ...[...runs.keys()].filter(id => !calls.has(id)).map(id => `${id} unasked: ran although no caller sent it`),
            ...[...calls.values()].flatMap(call =>
                findCallViolations(call).map(text => `${call.kind} ${call.id} ${text}`)
            ),
            ...findLateStarts(),
            ...findGracefulStopCuts(),
            ...findUnanswered(),
        ],
        counts: () => ({
            calls: calls.size,
            answered: [...results.values()].filter(({ status, isComplete }) => status === 200 && isComplete).length,
            runs: [...runs.values()].reduce((sum, { length }) => sum + length, 0),
        }),
    };
}
