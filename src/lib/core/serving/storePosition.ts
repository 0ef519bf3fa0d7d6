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

export function laterPosition(a: StorePosition, b: StorePosition): StorePosition {
    return comparePositions(a, b) < 0 ? b : a;
}
