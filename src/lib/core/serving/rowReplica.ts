/**
 * Local replica of a table in the platform's store. Changes are applied in the order of their positions, from the store
 * or from a peer that is ahead, so a replica always holds every change of its epoch up to its newest position, and an
 * older value never replaces a newer one.
 *
 * A replica enters a later epoch only with a full snapshot, because the store's history has lost changes that the
 * replica holds. A row that the restored store lacks, or holds with an older value, may still be the last word of its
 * writer, who will write it again; `outlives` decides whether the replica retains it until then.
 */
import { comparePositions, INITIAL_POSITION, laterPosition, type StorePosition } from "./storePosition.js";

/** A row with the position of its last change. */
export interface Row extends StorePosition {
    readonly key: string;
    /** `undefined` for a deleted row. */
    readonly value: string | undefined;
}

/** Part of a table that a peer sends. */
export interface RowChanges {
    readonly rows: readonly Row[];
    /** Newest position of the sender. */
    readonly position: StorePosition;
    /**
     * Whether `rows` is the whole table instead of the changes after a position. The sender may have forgotten removals,
     * so what a snapshot lacks has been removed.
     */
    readonly isSnapshot: boolean;
}

export interface RowReplica {
    /** Applies changes of the same epoch, or retained by a peer, and returns those that were new. */
    apply(rows: readonly Row[]): Row[];
    /**
     * Replaces the content by a full snapshot taken at `position`. Rows that are missing from it are deleted, unless
     * they changed later or are retained. Ignores a snapshot of an earlier epoch. Returns the changes.
     */
    applySnapshot(snapshot: readonly Row[], position: StorePosition): Row[];
    /**
     * Returns the changes after a position for a peer that is behind, oldest first; the whole table if the peer is in
     * an earlier epoch or so far behind that removals since may have been forgotten, and nothing if it is in a later one. `retained` is the peer's newest retained position.
     */
    changesSince(position: StorePosition, retained?: StorePosition): RowChanges;
    /** Returns the position of the newest change; `INITIAL_POSITION` for an empty replica. */
    newestPosition(): StorePosition;
    /** Records that, up to this position of the present epoch, the table has no changes that the replica lacks. */
    recordCovered(position: StorePosition): void;
    /** Returns the latest position up to which the replica is known to hold every change. */
    coveredPosition(): StorePosition;
    /**
     * Returns the position after which the replica shows every change as a row or a tombstone. A change before it may
     * have left no trace: a row that was removed before a snapshot, or whose tombstone is forgotten.
     */
    tracedPosition(): StorePosition;
    /** Returns the newest position among the rows that are retained from earlier epochs, or `undefined` without any. */
    retainedPosition(): StorePosition | undefined;
    /** Returns whether a full snapshot was ever applied. */
    hasSnapshot(): boolean;
}

/**
 * Returns whether a row of an earlier epoch stays in force against the row of the restored store; `undefined` if that
 * has none.
 */
export type OutlivesRestoration = (earlier: Row, restored: Row | undefined) => boolean;

/** Number of deleted rows that are kept, so that peers learn of deletions. */
const MAX_TOMBSTONES = 500;

export function createRowReplica(outlives: OutlivesRestoration = () => false): RowReplica {
    const rows = new Map<string, Row>();
    let newestPosition = INITIAL_POSITION;
    let hasSnapshot = false;
    /** Position of the newest snapshot. A row that changed before and isn't in the replica has been deleted. */
    let snapshotPosition = INITIAL_POSITION;
    /** Removals up to this position may have been forgotten. */
    let removalsKnownAfter = INITIAL_POSITION;
    /** Up to this position, no change is missing; later pages of a snapshot may include changes after it. */
    let completePosition = INITIAL_POSITION;
    /** See `recordCovered`. */
    let coveredPosition = INITIAL_POSITION;

    const isRetained = (row: Row) => row.epoch < newestPosition.epoch;

    function replaces(row: Row, current: Row | undefined): boolean {
        if (current !== undefined && current.epoch === row.epoch) return row.revision > current.revision;
        if (row.epoch < (current?.epoch ?? newestPosition.epoch)) return outlives(row, current);
        return current === undefined || !outlives(current, row);
    }

    function applyRow(row: Row): boolean {
        // The changes of a later epoch are incomplete without its snapshot.
        if (row.epoch > newestPosition.epoch && hasSnapshot) return false;
        newestPosition = laterPosition(newestPosition, { epoch: row.epoch, revision: row.revision });
        const current = rows.get(row.key);
        if (current === undefined && wasDeletedSince(row)) return false;
        if (!replaces(row, current)) return false;
        // Deleting first moves the row to the end, which keeps the map in the order of positions.
        rows.delete(row.key);
        rows.set(row.key, row);
        return true;
    }

    /** Without a tombstone: a snapshot lists no deleted rows. */
    function wasDeletedSince({ epoch, revision }: Row): boolean {
        return epoch === snapshotPosition.epoch && revision <= snapshotPosition.revision;
    }

    function apply(changes: readonly Row[]): Row[] {
        const applied = changes.filter(applyRow);
        completePosition = newestPosition;
        trimTombstones();
        return applied;
    }

    function applySnapshot(snapshot: readonly Row[], position: StorePosition): Row[] {
        const { epoch, revision } = position;
        if (epoch < newestPosition.epoch) return [];
        const previouslyComplete = completePosition;
        if (epoch > newestPosition.epoch) enterEpoch(epoch);
        const presentKeys = new Set(snapshot.map(row => row.key));
        const removed = [...rows.values()]
            .filter(row => row.value !== undefined && !presentKeys.has(row.key))
            .filter(row => isRetained(row) ? !outlives(row, undefined) : row.revision <= revision)
            .map(row => ({ key: row.key, epoch, revision, value: undefined }));
        hasSnapshot = true;
        const applied = apply([...snapshot.toSorted(comparePositions), ...removed]);
        snapshotPosition = laterPosition(snapshotPosition, position);
        // A row that was written and removed between two snapshots is in neither of them.
        removalsKnownAfter = laterPosition(removalsKnownAfter, position);
        completePosition = laterPosition(previouslyComplete, position);
        return applied;
    }

    function enterEpoch(epoch: number): void {
        newestPosition = { epoch, revision: 0 };
        // A row that was deleted before the restoration may exist in the restored store.
        for (const { key, value } of rows.values()) {
            if (value === undefined) rows.delete(key);
        }
    }

    function changesSince(position: StorePosition, retained = INITIAL_POSITION): RowChanges {
        const sorted = [...rows.values()].sort(comparePositions);
        if (position.epoch < newestPosition.epoch) {
            const present = sorted.filter(({ value }) => value !== undefined);
            return { rows: present, position: newestPosition, isSnapshot: true };
        }
        if (comparePositions(position, removalsKnownAfter) < 0) {
            // The removals that are known bring the receiver to the same newest position.
            const isComplete = comparePositions(newestPosition, completePosition) <= 0;
            return { rows: sorted, position: isComplete ? newestPosition : completePosition, isSnapshot: true };
        }
        const changes = position.epoch > newestPosition.epoch ?
            [] :
            sorted.filter(row => comparePositions(row, isRetained(row) ? retained : position) > 0);
        return { rows: changes, position: newestPosition, isSnapshot: false };
    }

    function trimTombstones(): void {
        const tombstones = [...rows.values()].filter(row => row.value === undefined);
        for (const row of tombstones.slice(0, Math.max(0, tombstones.length - MAX_TOMBSTONES))) {
            rows.delete(row.key);
            removalsKnownAfter = laterPosition(removalsKnownAfter, { epoch: row.epoch, revision: row.revision });
        }
    }

    function retainedPosition(): StorePosition | undefined {
        let newest: StorePosition | undefined;
        for (const row of rows.values()) {
            if (isRetained(row)) newest = laterPosition(newest ?? row, row);
        }
        return newest && { epoch: newest.epoch, revision: newest.revision };
    }

    return {
        apply,
        applySnapshot,
        changesSince,
        newestPosition: () => newestPosition,
        recordCovered: position => {
            if (position.epoch === newestPosition.epoch) coveredPosition = laterPosition(coveredPosition, position);
        },
        coveredPosition: () => laterPosition(coveredPosition, laterPosition(completePosition, snapshotPosition)),
        tracedPosition: () => removalsKnownAfter,
        retainedPosition,
        hasSnapshot: () => hasSnapshot,
    };
}
