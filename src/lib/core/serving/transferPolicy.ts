/**
 * Transfer decisions of an agent: whether a transfer in progress is finished when a newer version of the weights is
 * named, when a transfer is likely to complete, and when to fall back to the origin.
 *
 * Each version has its own deadline. Aborting a nearly complete transfer leaves no replica with acceptable weights
 * until the newer version has arrived, while finishing one that has just begun delays the newer version. This matters
 * when versions are named in quick succession. The decision depends only on times that all agents know, so that they
 * all decide alike and can keep serving pieces to each other. It lapses when the newer version would be late, so that a
 * transfer that can't end doesn't hold up the newer ones.
 */

/** Times that decide which of two versions is transferred first. They are logged under these names. */
export interface TransferTimes {
    /** Time between the naming of the older and of the newer version. */
    readonly elapsedMs: number;
    /** Typical duration of a transfer. */
    readonly usualMs: number;
    /** Time within which the newer version must be in use. */
    readonly allowedMs: number;
    /** Duration of a load, including the requests that have to finish before it. */
    readonly loadMs: number;
}

/** Returns whether both versions can be in use in time if the older one is finished first. */
export function shouldFinishFirst({ elapsedMs, usualMs, allowedMs, loadMs }: TransferTimes): boolean {
    const remainingMs = Math.max(0, usualMs - elapsedMs);
    return remainingMs + usualMs + loadMs <= allowedMs;
}

/** Times that decide how long the transfer of an older version has precedence over a newer one. */
export interface PrecedenceTimes extends TransferTimes {
    /**
     * Time until the loaded weights may answer no more requests, after which the replica is idle until newer ones are
     * loaded; infinite if it holds none.
     */
    readonly untilOutdatedMs: number;
}

/**
 * Returns for how long, from the naming of the newer version, the transfer of the older one is to be finished first; 0
 * if it isn't.
 *
 * If versions follow each other faster than a transfer takes, each transfer would be aborted for the next one, and the
 * replica would have nothing to load when its weights are outdated. So a transfer that ends in time for that is
 * finished if one of the newer version wouldn't.
 */
export function precedenceMs(times: PrecedenceTimes): number {
    const { elapsedMs, usualMs, allowedMs, loadMs, untilOutdatedMs } = times;
    if (shouldFinishFirst(times)) return allowedMs - usualMs - loadMs;
    const remainingMs = Math.max(0, usualMs - elapsedMs);
    const isOnlyOneInTime = remainingMs + loadMs <= untilOutdatedMs && usualMs + loadMs > untilOutdatedMs;
    return isOnlyOneInTime && Number.isFinite(untilOutdatedMs) ? untilOutdatedMs - loadMs : 0;
}

/** Fraction of an agent's link bandwidth that a transfer from a relay achieves. */
const LINK_UTILIZATION = 0.82;

/** Returns the typical duration of a transfer of `bytes` over links of `linkMbps`, in milliseconds. */
export function typicalTransferMs(bytes: number, linkMbps: number): number {
    return bytes * 8 / (linkMbps * 1000 * LINK_UTILIZATION);
}

/** Progress of a transfer. */
export interface TransferProgress {
    /** Fraction of the pieces that have arrived, 0 to 1. */
    readonly completedFraction: number;
    readonly elapsedMs: number;
    readonly sinceLastPieceMs: number;
}

/**
 * Pieces normally arrive every 50 to 100 ms; if none has arrived for this long, their source is unavailable, possibly
 * for seconds.
 */
const STALL_TIMEOUT_MS = 800;

/**
 * Returns the predicted time until all pieces have arrived, in milliseconds; infinite while none arrive.
 *
 * The rate so far says nothing about a stalled transfer, such as when the origin stops with only a few pieces missing:
 * a transfer with one missing piece would look nearly complete for as long as the stall lasts, and engines waiting for
 * it would serve no requests.
 */
export function predictRemainingTransferMs(
    { completedFraction, elapsedMs, sinceLastPieceMs }: TransferProgress,
): number {
    if (completedFraction >= 1) return 0;
    if (completedFraction === 0 || sinceLastPieceMs > STALL_TIMEOUT_MS) return Number.POSITIVE_INFINITY;
    return elapsedMs / completedFraction - elapsedMs;
}

/**
 * Delay before agents fall back to the origin because no entry of their region delivers the version; a random delay of
 * up to as much again is added.
 */
const ORIGIN_FALLBACK_DELAY_MS = 2000;

/** Maximum random delay before agents ask the origin in a region without entries. */
const NO_ENTRY_JITTER_MS = 500;

/**
 * Returns how long an agent asks the entries of its region for a version before it asks the origin itself, in
 * milliseconds. `random` is in [0, 1).
 *
 * When all processes start at once, the origin accepts fewer connections than there are agents. If agents took all of
 * them before the entries are ready, the entries could not fetch anything for the region.
 */
export function originFallbackDelayMs(hasEntries: boolean, random: number): number {
    return hasEntries ? ORIGIN_FALLBACK_DELAY_MS * (1 + random) : NO_ENTRY_JITTER_MS * random;
}
