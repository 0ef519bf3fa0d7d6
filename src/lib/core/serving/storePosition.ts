/**
 * Positions in the history of the platform's store. A store that is restored from a copy loses its latest writes and
 * assigns their revisions again, to other writes. Each restoration begins a new epoch, so positions are ordered by epoch
 * first; revisions of different epochs can't be compared.
 */

export interface StorePosition {
    /** Number that rises with each restoration of the store; 0 if the store states none. */
    readonly epoch: number;
    /** Counter that the store increments with each transaction on any table. */
    readonly revision: number;
}

/** Precedes every change of the store. */
export const INITIAL_POSITION: StorePosition = { epoch: 0, revision: 0 };

/** Returns a negative number if `a` precedes `b`, a positive one if it follows, and 0 if they are the same. */
export function comparePositions(a: StorePosition, b: StorePosition): number {
    return a.epoch - b.epoch || a.revision - b.revision;
}

/** How far a replica of a table has come; see `RowReplica` for the two positions. */
export interface ReplicaProgress {
    readonly newestPosition: StorePosition;
    readonly tracedPosition: StorePosition;
}

/**
 * Returns whether a replica that holds every change up to `covered` holds everything that a peer's does. The peer may have
 * read a snapshot that doesn't show a removal.
 */
export function holdsChangesOf(peer: ReplicaProgress, covered: StorePosition): boolean {
    const lastChange = laterPosition(peer.newestPosition, peer.tracedPosition);
    return covered.epoch === lastChange.epoch && comparePositions(covered, lastChange) >= 0;
}

export function laterPosition(a: StorePosition, b: StorePosition): StorePosition {
    return comparePositions(a, b) < 0 ? b : a;
}
