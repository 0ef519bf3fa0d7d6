/**
 * Leases in rows of the table service, without I/O and without synchronized clocks. A holder's lease starts just
 * before it sends the write. Another process takes over only after it has observed the same entity tag for the
 * lease's whole duration on its own clock. The clocks need to run at the same rate but may show different times.
 */

/** Row of a lease. Rows are never removed, so that `epoch` never decreases. */
export interface LeaseRow {
    /** Token of the holder; empty if the lease is free. */
    readonly holder: string;
    /** Increases each time the holder changes. */
    readonly epoch: number;
}

/** The row's current entity tag and when this process first saw it, in milliseconds of its own clock. */
export interface LeaseObservation {
    readonly etag: string;
    readonly firstSeenAt: number;
}

export type LeaseDecision =
    | { readonly kind: "take"; readonly next: LeaseRow; }
    /** The row already names this process, after a write whose response was lost. */
    | { readonly kind: "held"; readonly row: LeaseRow; }
    | { readonly kind: "wait"; readonly observation: LeaseObservation; };

export const LEASE_DURATION_MS = 10_000;

/**
 * Safety margin for the difference between two clocks' rates and for the time between checking the lease and
 * sending a command.
 */
export const LEASE_MARGIN_MS = 2000;

/** Decides the next step of a process that acquires or renews the lease. `read` is `undefined` if the row doesn't exist. */
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
    if (observation?.etag !== etag) return { kind: "wait", observation: { etag, firstSeenAt: now } };
    return now - observation.firstSeenAt >= LEASE_DURATION_MS ? { kind: "take", next } : { kind: "wait", observation };
}

/** Returns whether a holder that sent its last write at `writtenAt` may still act under the lease. */
export function isLeaseValid(writtenAt: number | undefined, now: number): boolean {
    return writtenAt !== undefined && now - writtenAt < LEASE_DURATION_MS - LEASE_MARGIN_MS;
}
