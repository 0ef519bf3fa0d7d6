/**
 * Protocol of idempotency-key claims. A claim is one row per key in the table service, and only the agent whose
 * token is in the row may dispatch the call. This module decides the next step from the table service's response;
 * `agent/claims` performs the I/O.
 *
 * A claim that was certainly not dispatched is overwritten with the state `released` instead of being deleted. An
 * insert whose response was lost may still take effect later, which an existing row prevents.
 */
import * as z from "zod";
import { Verdict } from "./verdict.js";

const resultSchema = z.strictObject({
    status: z.int(),
    headers: z.array(z.strictObject({ name: z.string(), value: z.string() })),
    /** Base64-encoded body; `undefined` if it exceeded the size limit. */
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

/** Outcomes of a read and of a write, as `clients/tableService` reports them. */
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
    /** Time until which the attempt waits for the result of another holder. */
    readonly waitUntil: number;
    /** Number of writes so far whose outcome is unknown. */
    readonly unclearWrites: number;
    /** Whether one of these writes may have taken effect or may still do so. */
    readonly mayTakeEffect: boolean;
}

export type ClaimWriteStep =
    | { readonly kind: "insert"; }
    /** Replaces a released row if it still has the entity tag. */
    | { readonly kind: "takeOver"; readonly etag: string; };

/** The last step of an attempt to claim. */
export type TerminalClaimStep =
    /** The row holds this attempt's token, so the call may be dispatched. */
    | { readonly kind: "run"; readonly etag: string; }
    | { readonly kind: "replay"; readonly result: ClaimResult; }
    | { readonly kind: "refuse"; readonly refusal: ClaimRefusal; };

export type ClaimStep =
    | ClaimWriteStep
    | TerminalClaimStep
    | { readonly kind: "read"; }
    /** Read again after a delay. */
    | { readonly kind: "wait"; };

export interface ClaimRefusal {
    readonly verdict: Verdict;
    readonly reason: string;
    /** HTTP status of a final refusal; 0 if another attempt may succeed. */
    readonly status: number;
}

/** After this many writes with an unknown outcome, the table service is considered unavailable. */
const MAX_UNCLEAR_WRITES = 3;

const TABLE_UNAVAILABLE: ClaimRefusal = {
    verdict: Verdict.notRun,
    reason: "the table service is unavailable, so the Idempotency-Key can't be claimed",
    status: 0,
};

export function isTerminalClaimStep(step: ClaimStep): step is TerminalClaimStep {
    return step.kind === "run" || step.kind === "replay" || step.kind === "refuse";
}

/** Decides the step after an insert or a takeover. A write with an unknown outcome is resolved by reading the row. */
export function afterClaimWrite(write: ClaimWrite): ClaimStep {
    return write.kind === "written" ? { kind: "run", etag: write.etag } : { kind: "read" };
}

/** Decides the step after the row was read. */
export function afterClaimRead(attempt: ClaimAttempt, read: ClaimRead, now: number): ClaimStep {
    if (read.kind === "unavailable") return { kind: "refuse", refusal: TABLE_UNAVAILABLE };
    if (read.kind === "found") {
        const row = parseClaimRow(read.value);
        if (row?.token === attempt.token && row.state === "claimed") return { kind: "run", etag: read.etag };
        if (row?.state !== "released") return afterOtherHoldersRow(attempt, row, now);
    }
    if (now >= attempt.deadline) {
        return { kind: "refuse", refusal: { verdict: Verdict.notRun, reason: "the deadline has passed", status: 0 } };
    }
    if (attempt.unclearWrites >= MAX_UNCLEAR_WRITES) return { kind: "refuse", refusal: TABLE_UNAVAILABLE };
    return read.kind === "found" ? { kind: "takeOver", etag: read.etag } : { kind: "insert" };
}

function afterOtherHoldersRow(attempt: ClaimAttempt, row: ClaimRow | undefined, now: number): ClaimStep {
    if (row === undefined) return refuseAsConflict("the row of the Idempotency-Key is invalid; use another key");
    if (row.fingerprint !== attempt.fingerprint) {
        const reason = "the Idempotency-Key was used for another request; use a new key";
        return { kind: "refuse", refusal: { verdict: Verdict.notRun, reason, status: 422 } };
    }
    if (row.state === "done" && row.result !== undefined) return replayOrRefuse(row.result);
    if (now < Math.min(attempt.waitUntil, attempt.deadline)) return { kind: "wait" };
    return refuseAsConflict("another attempt with the Idempotency-Key has no result yet");
}

function refuseAsConflict(reason: string): ClaimStep {
    return { kind: "refuse", refusal: { verdict: Verdict.mayHaveRun, reason, status: 409 } };
}

function replayOrRefuse(result: ClaimResult): ClaimStep {
    if (result.body !== undefined) return { kind: "replay", result };
    const reason = "the call ran, but its answer is too large to be replayed";
    return { kind: "refuse", refusal: { verdict: Verdict.ran, reason, status: 409 } };
}

/** How a claim of this process ends: with the result of the call, or released because it was not dispatched. */
export type Settlement = { readonly kind: "release"; } | { readonly kind: "record"; readonly result: ClaimResult; };

export type SettleStep =
    | { readonly kind: "insert"; readonly row: ClaimRow; }
    | { readonly kind: "replace"; readonly row: ClaimRow; readonly etag: string; }
    | { readonly kind: "settled"; }
    | { readonly kind: "retryLater"; };

/**
 * Decides how to settle a claim of this process after its row was read. It also writes to a missing row and over another
 * attempt's released row: a release, because an insert or takeover with an unknown outcome may still take effect, and a
 * result, because a table service that was restored from a copy may have lost the claim.
 */
export function afterSettleRead(
    attempt: Pick<ClaimAttempt, "token" | "fingerprint">,
    settlement: Settlement,
    read: ClaimRead,
): SettleStep {
    if (read.kind === "unavailable") return { kind: "retryLater" };
    const row = createSettledRow(attempt, settlement);
    if (read.kind === "missing") return { kind: "insert", row };
    const foundRow = parseClaimRow(read.value);
    const isOwn = foundRow?.token === attempt.token;
    // A takeover of a released row can still take effect as long as the row's entity tag doesn't change.
    const mayBeTakenOver = !isOwn && foundRow?.state === "released";
    const isOwnUnsettled = isOwn && foundRow.state === "claimed";
    return isOwnUnsettled || mayBeTakenOver ? { kind: "replace", row, etag: read.etag } : { kind: "settled" };
}

function createSettledRow(
    { token, fingerprint }: Pick<ClaimAttempt, "token" | "fingerprint">,
    settlement: Settlement,
): ClaimRow {
    if (settlement.kind === "release") return { token, fingerprint, state: "released" };
    return { token, fingerprint, state: "done", result: settlement.result };
}

/** Parses a row. Returns `undefined` if it isn't a claim, for example because another program wrote it. */
export function parseClaimRow(value: unknown): ClaimRow | undefined {
    const parsed = rowSchema.safeParse(value);
    return parsed.success ? parsed.data : undefined;
}
