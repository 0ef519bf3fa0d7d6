/**
 * Decides whether a transfer in progress is finished when a newer version of the weights is named. Each version has
 * its own deadline: giving up a nearly complete one leaves no replica with acceptable weights until the newer one is
 * there, and finishing a young one delays the newer one. The decision uses nothing but times that all agents know, so
 * that they decide alike and go on serving each other.
 *
 * Answers versions that are named in quick succession.
 */

export interface TransferTimes {
    /** Time between the naming of the older version and that of the newer one. */
    readonly elapsedMs: number;
    /** Usual time of a transfer. */
    readonly usualMs: number;
    /** Time within which the newer version must be in use. */
    readonly allowedMs: number;
    /** Time of a load with the requests that run before it. */
    readonly loadMs: number;
}

/** Tells whether both versions can be in use in time if the older one is finished first. */
export function shouldFinishFirst({ elapsedMs, usualMs, allowedMs, loadMs }: TransferTimes): boolean {
    const remainingMs = Math.max(0, usualMs - elapsedMs);
    return remainingMs + usualMs + loadMs <= allowedMs;
}

/** Part of an agent's link that a transfer from a relay reaches. */
const TRANSFER_EFFICIENCY = 0.82;

/** Returns the usual time of a transfer of `bytes` over links of `linkMbps`. */
export function usualTransferMs(bytes: number, linkMbps: number): number {
    return bytes * 8 / (linkMbps * 1000 * TRANSFER_EFFICIENCY);
}
