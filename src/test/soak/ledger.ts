/**
 * Compares what callers got with what backend servers ran and names each broken promise. It performs no I/O, so that
 * the checks themselves are tested.
 */

export type CallKind = "read" | "book" | "talk";

export interface SentCall {
    readonly id: string;
    readonly kind: CallKind;
    readonly account: string;
    readonly sentAt: number;
}

export interface CallEnd {
    /** 0 if the connection ended without an answer. */
    readonly status: number;
    readonly body: string;
    readonly isSigned: boolean;
    /** False if the answer broke off. */
    readonly isWhole: boolean;
    readonly at: number;
    /** The caller left before the answer was there. */
    readonly hasLeft: boolean;
    /** The entry or a link to it was disturbed while the call lasted, or shortly before. */
    readonly isDisturbed: boolean;
    /** The entry was told to stop and nothing else had disturbed it. */
    readonly isPlannedStop: boolean;
}

export interface Run {
    readonly id: string;
    readonly account: string;
    readonly at: number;
    /** The server was draining or gone for longer than callers' entries may need to notice. */
    readonly isTooLate: boolean;
    /** The link of the server was disturbed shortly before. */
    readonly isDisturbed: boolean;
    /** The server gives a whole answer. */
    readonly isSound: boolean;
}

export interface Ledger {
    sent(call: SentCall): void;
    ended(id: string, end: CallEnd): void;
    ran(run: Run): void;
    /** The broken promises so far; complete when nothing is in progress. */
    violations(): string[];
    counts(): { readonly calls: number; readonly answered: number; readonly runs: number; };
}

/** A server may begin a call this long after its caller left: half a second, and the noise of a busy machine. */
const GONE_AFTER_MS = 750;

/** Calls that may begin so late in a run, as on the users' pages ("a few"). */
const MAX_GONE = 3;

/** Calls that a planned stop may cut off though a sound server runs them, as on the users' pages. */
const MAX_LOST = 3;

/** Time of the route, half a second, and the noise of a busy machine. */
const HELD_AFTER_MS = 3750;

/** The whole body that a server makes for a call. */
export function bodyOf(kind: CallKind, id: string): string {
    return kind === "talk" ? eventsFor(id, 1) : `answer to ${id}`;
}

const LAST_EVENT = 6;

/** The events of a stream from one on, each as a text of its own. */
export function eventTexts(id: string, first: number): string[] {
    return Array.from({ length: LAST_EVENT - first + 1 }, (_, index) => {
        const number = first + index;
        return `id: ${number}\ndata: ${id}/${number}\n\n`;
    });
}

export function eventsFor(id: string, first: number): string {
    return eventTexts(id, first).join("");
}

export function createLedger(): Ledger {
    const calls = new Map<string, SentCall>();
    const ends = new Map<string, CallEnd>();
    const runs = new Map<string, Run[]>();

    function problemsOf(call: SentCall): string[] {
        const end = ends.get(call.id);
        const ran = runs.get(call.id) ?? [];
        const problems: string[] = [];
        if (call.kind === "book" && ran.length > 1) problems.push(`doubled: ran ${ran.length} times`);
        for (const { account } of ran) {
            if (account !== call.account) problems.push(`foreign account: ran as ${account || "none"}`);
        }
        if (ran.some(({ isTooLate }) => isTooLate)) problems.push("drained: ran at a server that had left");
        if (end === undefined) return problems;
        if (call.kind === "book" && [408, 421, 429, 503].includes(end.status) && ran.length > 0) {
            problems.push(`untrue refusal: ${end.status}, but it ran`);
        }
        if (end.status === 200 && end.isWhole) {
            if (!end.isSigned) problems.push("mixed: no signature");
            if (end.body !== bodyOf(call.kind, call.id)) problems.push(`mixed: ${JSON.stringify(end.body)}`);
            if (ran.length === 0) problems.push("mixed: an answer that nothing ran");
        }
        const isPart = call.kind === "talk" && !bodyOf("talk", call.id).startsWith(end.body);
        if (end.status === 200 && !end.isWhole && isPart) problems.push(`order: ${JSON.stringify(end.body)}`);
        if (!end.hasLeft && !end.isDisturbed && end.at - call.sentAt > HELD_AFTER_MS) {
            problems.push(`held: ${Math.round(end.at - call.sentAt)} ms`);
        }
        return problems;
    }

    function gone(): string[] {
        const late = [...calls.keys()].filter(id => {
            const end = ends.get(id);
            if (end?.hasLeft !== true || end.isDisturbed) return false;
            return runs.get(id)?.some(run => !run.isDisturbed && run.at - end.at > GONE_AFTER_MS);
        });
        return late.length > MAX_GONE ? [`gone: ${late.length} calls began after their callers had left`] : [];
    }

    function lost(): string[] {
        const cut = [...calls.keys()].filter(id => {
            const end = ends.get(id);
            if (end === undefined || end.isWhole || end.hasLeft || !end.isPlannedStop) return false;
            return runs.get(id)?.some(run => run.isSound && !run.isDisturbed);
        });
        return cut.length > MAX_LOST ? [`lost: ${cut.length} calls cut off by planned stops`] : [];
    }

    return {
        sent: call => void calls.set(call.id, call),
        ended: (id, end) => void ends.set(id, end),
        ran: run => {
            const known = runs.get(run.id);
            if (known === undefined) runs.set(run.id, [run]);
            else known.push(run);
        },
        violations: () => [
            ...[...runs.keys()].filter(id => !calls.has(id)).map(id => `${id} unasked: no caller sent it`),
            ...[...calls.values()].flatMap(call => problemsOf(call).map(text => `${call.kind} ${call.id} ${text}`)),
            ...gone(),
            ...lost(),
        ],
        counts: () => ({
            calls: calls.size,
            answered: [...ends.values()].filter(({ status, isWhole }) => status === 200 && isWhole).length,
            runs: [...runs.values()].reduce((sum, { length }) => sum + length, 0),
        }),
    };
}
