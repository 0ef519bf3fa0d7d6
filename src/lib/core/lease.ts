/**
 * Leases in rows of the table service, decided without I/O and without synchronized clocks. A holder
 * counts its time from before it sent the write. Another process takes over only after it has seen the
 * same entity tag for longer than that, by its own clock. Only the rates of the clocks must agree.
 */

/** The content of a lease's row. It is never removed, so that `epoch` never decreases. */
export interface LeaseRow {
    /** Token of the holder; empty if the lease is free. */
    readonly holder: string;
    /** Increases each time the holder changes. */
    readonly epoch: number;
}

/** When this process first saw the row with an entity tag, in milliseconds of its own clock. */
export interface LeaseObservation {
    readonly etag: string;
    readonly since: number;
}

export type LeaseDecision =
    | { readonly kind: "take"; readonly next: LeaseRow; }
    /** The row names this process already, after a write whose answer was lost. */
    | { readonly kind: "held"; readonly row: LeaseRow; }
    | { readonly kind: "wait"; readonly observation: LeaseObservation; };

export const LEASE_MS = 10_000;

/** Covers the difference of two clocks' rates and the time from the check until an order is sent. */
export const LEASE_MARGIN_MS = 2000;

/** Decides what a process that wants the lease does after it has read the row. */
export function decideLease(
    read: { readonly row: LeaseRow; readonly etag: string; } | undefined,
    token: string,
    observation: LeaseObservation | undefined,
    now: number,
): LeaseDecision {
    if (read === undefined) return { kind: "take", next: { holder: token, epoch: 1 } };
    const { etag, row } = read;
    if (row.holder === token) return { kind: "held", row };
    const next = { holder: token, epoch: row.epoch + 1 };
    if (row.holder === "") return { kind: "take", next };
    if (observation?.etag !== etag) return { kind: "wait", observation: { etag, since: now } };
    return now - observation.since >= LEASE_MS ? { kind: "take", next } : { kind: "wait", observation };
}

/** Tells whether a holder whose last write was sent at `writtenAt` may still act. */
export function isLeaseValid(writtenAt: number | undefined, now: number): boolean {
    return writtenAt !== undefined && now - writtenAt < LEASE_MS - LEASE_MARGIN_MS;
}
