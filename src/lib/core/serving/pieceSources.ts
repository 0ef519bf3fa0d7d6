/**
 * Decides from where an entry fetches a piece of weights, and in which order it tries its sources.
 *
 * Each piece has one owner in a region, which fetches it from outside for the whole region: from the origin in the
 * origin's region, elsewhere from an owner in the origin's region. The origin's link is the bottleneck of a rollout, so
 * it should carry each piece once. An entry that turned to the origin as soon as a piece was late would make all other
 * pieces later, and a large fleet would then load the origin with several copies. So an entry that only lacks the piece
 * is asked again, and the origin is the last resort.
 */
import { orderMembers } from "../rendezvous.js";

/** An entry that relays pieces. */
export interface RelayEntry {
    readonly ip: string;
    readonly region: string;
}

export interface PieceSourceOptions {
    readonly self: RelayEntry;
    /** Live entries except this one. */
    readonly entries: readonly RelayEntry[];
    readonly originRegion: string;
    /** Identifies the piece among all pieces of all versions. */
    readonly key: string;
}

/** IP address of an entry, or `ORIGIN`. */
export type PieceSource = string;

export const ORIGIN: PieceSource = "origin";

/** Entries of the origin's region that are tried, so that the loss of one costs no copy from the origin. */
const MAX_ORIGIN_REGION_ENTRIES = 3;

/** Returns the entry that fetches the piece for this region. */
export function pieceOwner({ self, entries, key }: PieceSourceOptions): string {
    return ownersInRegion(key, [self, ...entries], self.region)[0] ?? self.ip;
}

/** Returns the sources of a piece in the order in which they are tried; the last one is always the origin. */
export function pieceSources(options: PieceSourceOptions): PieceSource[] {
    const { self, entries, originRegion, key } = options;
    const owner = pieceOwner(options);
    const sources = owner === self.ip ? [] : [owner];
    if (self.region !== originRegion) {
        sources.push(...ownersInRegion(key, entries, originRegion).slice(0, MAX_ORIGIN_REGION_ENTRIES));
    }
    return [...sources, ORIGIN];
}

function ownersInRegion(key: string, entries: readonly RelayEntry[], region: string): string[] {
    return orderMembers(key, entries.filter(entry => entry.region === region).map(({ ip }) => ip));
}

export const FetchFailure = {
    /** The source responds but doesn't have the piece yet. */
    unavailable: "unavailable",
    /** The source can't be reached or failed. */
    failed: "failed",
} as const;

export type FetchFailure = (typeof FetchFailure)[keyof typeof FetchFailure];

/** Progress of the fetch of one piece. */
export interface FetchProgress {
    /** Index of the present source. */
    readonly position: number;
    /** When the fetch began to use the present source. */
    readonly sourceSince: number;
    readonly startedAt: number;
}

/** A source that doesn't have the piece yet is asked again for this long. */
const SOURCE_PATIENCE_MS = 2500;

/**
 * Entries turn to the origin directly only this long after they needed a piece, unless no other source responds. The
 * origin needs about as long for a whole copy.
 */
const ORIGIN_FALLBACK_MS = 4000;

/** Returns where to continue after a failed request to the present source. */
export function advanceFetch(
    progress: FetchProgress,
    failure: FetchFailure,
    sourceCount: number,
    now: number,
): FetchProgress {
    const isPatient = failure === FetchFailure.unavailable && now - progress.sourceSince < SOURCE_PATIENCE_MS;
    if (isPatient && progress.position < sourceCount) return progress;
    const originPosition = sourceCount - 1;
    let next = progress.position + 1;
    // While other entries respond, the origin's link is left to them.
    const mayUseOrigin = failure === FetchFailure.failed || now - progress.startedAt >= ORIGIN_FALLBACK_MS;
    if (next === originPosition && !mayUseOrigin) next = 0;
    return { ...progress, position: next >= sourceCount ? 0 : next, sourceSince: now };
}
