/**
 * Idempotency-key claims. A claim is one row per key in the table service; the agent whose token stands
 * in the row is the only one that may dispatch the call. This module decides the next step from what the
 * table service answered; `agent/claims` carries the steps out.
 *
 * A claim that was certainly not dispatched is overwritten with the state `released` instead of being
 * deleted: an insert whose answer was lost may take effect later, and it can't while a row exists.
 */
import * as z from "zod";
import { Verdict } from "./verdict.js";

const resultSchema = z.strictObject({
    status: z.int(),
    headers: z.array(z.strictObject({ name: z.string(), value: z.string() })),
    /** Body in base64; `undefined` if it exceeded the limit. */
    body: z.string().optional(),
});

const rowSchema = z.strictObject({
    /** Unique for each attempt to claim the key. */
    token: z.string(),
    /** Digest of method, path and body. */
    fingerprint: z.string(),
    state: z.enum(["claimed", "released", "done"]),
    result: resultSchema.optional(),
});

export type ClaimRow = Readonly<z.infer<typeof rowSchema>>;
export type ClaimResult = Readonly<z.infer<typeof resultSchema>>;

/** What the table service answered, as `clients/tableService` reports it. */
export type ClaimRead =
    | { readonly kind: "found"; readonly value: unknown; readonly etag: string; }
    | { readonly kind: "missing"; }
    | { readonly kind: "unavailable"; };
export type ClaimWrite =
    | { readonly kind: "written"; readonly etag: string; }
    | { readonly kind: "conflict"; }
    | { readonly kind: "unclear"; };

/** One attempt to claim a key. All times are in milliseconds of the same clock. */
export interface ClaimAttempt {
    readonly token: string;
    readonly fingerprint: string;
    readonly deadline: number;
    /** Until when the attempt waits for the result of another holder. */
    readonly waitUntil: number;
    /** Writes so far without a clear answer. */
    readonly unclearWrites: number;
    /** Whether one of them may take effect, now or later. */
    readonly mayTakeEffect: boolean;
}

export type ClaimWriteStep =
    | { readonly kind: "insert"; }
    /** Replaces a released row, provided that it still has the tag. */
    | { readonly kind: "takeOver"; readonly etag: string; };

/** The last step of an attempt to claim. */
export type ClaimEnd =
    /** The row holds the own token: the call may be dispatched. */
    | { readonly kind: "run"; readonly etag: string; }
    | { readonly kind: "replay"; readonly result: ClaimResult; }
    | { readonly kind: "refuse"; readonly refusal: ClaimRefusal; };

export type ClaimStep =
    | ClaimWriteStep
    | ClaimEnd
    | { readonly kind: "read"; }
    /** Reads again after a pause. */
    | { readonly kind: "wait"; };

export interface ClaimRefusal {
    readonly verdict: Verdict;
    readonly reason: string;
    /** HTTP status that no further attempt changes; 0 if another attempt may succeed. */
    readonly status: number;
}

/** After this many writes without a clear answer, the table service counts as unavailable. */
const MAX_UNCLEAR_WRITES = 3;

const UNAVAILABLE: ClaimRefusal = {
    verdict: Verdict.notRun,
    reason: "the table service is unavailable, so the Idempotency-Key can't be claimed",
    status: 0,
};

export function isClaimEnd(step: ClaimStep): step is ClaimEnd {
    return step.kind === "run" || step.kind === "replay" || step.kind === "refuse";
}

/** Decides the step after an insert or a takeover. An unclear write is settled by reading back. */
export function afterClaimWrite(write: ClaimWrite): ClaimStep {
    return write.kind === "written" ? { kind: "run", etag: write.etag } : { kind: "read" };
}

/** Decides the step after the row was read. */
export function afterClaimRead(attempt: ClaimAttempt, read: ClaimRead, now: number): ClaimStep {
    if (read.kind === "unavailable") return { kind: "refuse", refusal: UNAVAILABLE };
    if (read.kind === "found") {
        const row = parseClaimRow(read.value);
        if (row?.token === attempt.token && row.state === "claimed") return { kind: "run", etag: read.etag };
        if (row?.state !== "released") return afterForeignRow(attempt, row, now);
    }
    if (now >= attempt.deadline) {
        return { kind: "refuse", refusal: { verdict: Verdict.notRun, reason: "the deadline has passed", status: 0 } };
    }
    if (attempt.unclearWrites >= MAX_UNCLEAR_WRITES) return { kind: "refuse", refusal: UNAVAILABLE };
    return read.kind === "found" ? { kind: "takeOver", etag: read.etag } : { kind: "insert" };
}

function afterForeignRow(attempt: ClaimAttempt, row: ClaimRow | undefined, now: number): ClaimStep {
    if (row === undefined) return hold("the row of the Idempotency-Key is invalid; use another key");
    if (row.fingerprint !== attempt.fingerprint) {
        const reason = "the Idempotency-Key was used for another request; use a new key";
        return { kind: "refuse", refusal: { verdict: Verdict.notRun, reason, status: 422 } };
    }
    if (row.state === "done" && row.result !== undefined) return replay(row.result);
    if (now < Math.min(attempt.waitUntil, attempt.deadline)) return { kind: "wait" };
    return hold("another attempt with the Idempotency-Key has no result yet");
}

function hold(reason: string): ClaimStep {
    return { kind: "refuse", refusal: { verdict: Verdict.mayHaveRun, reason, status: 409 } };
}

function replay(result: ClaimResult): ClaimStep {
    if (result.body !== undefined) return { kind: "replay", result };
    const reason = "the call ran, but its answer is too large to be replayed";
    return { kind: "refuse", refusal: { verdict: Verdict.ran, reason, status: 409 } };
}

/** What `settle` writes over an own claim: its result, or the proof that it was not dispatched. */
export type Settlement = { readonly kind: "release"; } | { readonly kind: "record"; readonly result: ClaimResult; };

export type SettleStep =
    | { readonly kind: "insert"; readonly row: ClaimRow; }
    | { readonly kind: "replace"; readonly row: ClaimRow; readonly etag: string; }
    | { readonly kind: "settled"; }
    | { readonly kind: "retryLater"; };

/**
 * Decides how to settle an own claim after its row was read. A release also overwrites a missing row and
 * another attempt's released row, because an unclear insert or takeover may still take effect.
 */
export function afterSettleRead(
    attempt: Pick<ClaimAttempt, "token" | "fingerprint">,
    settlement: Settlement,
    read: ClaimRead,
): SettleStep {
    if (read.kind === "unavailable") return { kind: "retryLater" };
    const row = settledRow(attempt, settlement);
    if (read.kind === "missing") {
        return settlement.kind === "release" ? { kind: "insert", row } : { kind: "settled" };
    }
    const found = parseClaimRow(read.value);
    const own = found?.token === attempt.token;
    // A takeover of a released row may still take effect while the row keeps its tag.
    const mayBeTaken = settlement.kind === "release" && !own && found?.state === "released";
    const open = own && found.state === "claimed";
    return open || mayBeTaken ? { kind: "replace", row, etag: read.etag } : { kind: "settled" };
}

function settledRow({ token, fingerprint }: Pick<ClaimAttempt, "token" | "fingerprint">, s: Settlement): ClaimRow {
    if (s.kind === "release") return { token, fingerprint, state: "released" };
    return { token, fingerprint, state: "done", result: s.result };
}

/** Parses a row; `undefined` if another program wrote something else under the key. */
export function parseClaimRow(value: unknown): ClaimRow | undefined {
    const parsed = rowSchema.safeParse(value);
    return parsed.success ? parsed.data : undefined;
}
