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

/** How far a transfer has come. */
export interface TransferProgress {
    /** Part of the pieces that are here, 0 to 1. */
    readonly share: number;
    readonly elapsedMs: number;
    /** Time since the last piece arrived. */
    readonly sinceLastMs: number;
}

/** Pieces usually arrive every 50 to 100 ms; without one for this long their source is away, maybe for seconds. */
const STALLED_AFTER_MS = 800;

/**
 * Returns the predicted time until all pieces are here; infinite while none arrive. The pace so far tells nothing of a
 * transfer that has stalled: with one piece missing it would seem to be nearly complete for as long as that lasts, and
 * engines that wait for it serve nobody.
 *
 * Answers an origin that ends when only a few pieces are missing.
 */
export function predictMissingMs({ share, elapsedMs, sinceLastMs }: TransferProgress): number {
    if (share >= 1) return 0;
    if (share === 0 || sinceLastMs > STALLED_AFTER_MS) return Number.POSITIVE_INFINITY;
    return elapsedMs / share - elapsedMs;
}

/** Without a working entry agents go to the origin after this time, spread over as much again. */
const ORIGIN_PATIENCE_MS = 2000;

/** Where there is no entry they go at once, spread over this time. */
const LONE_SPREAD_MS = 500;

/**
 * Returns how long an agent asks the entries of its region for a version before it asks the origin itself. `random` is
 * in [0, 1).
 *
 * Answers a start of all processes at once: the origin accepts fewer connections than there are agents, and if these
 * take all of them as long as the entries are not ready, the entries can't fetch anything for anybody.
 */
export function originPatienceMs(hasEntries: boolean, random: number): number {
    return hasEntries ? ORIGIN_PATIENCE_MS * (1 + random) : LONE_SPREAD_MS * random;
}
