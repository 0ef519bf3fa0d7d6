/**
 * Local replica of a table in the platform's store. Changes are applied in revision order, from the store or from a
 * peer that is ahead, so a replica always holds every change up to its newest revision, and an older value never
 * replaces a newer one.
 */

export interface Row {
    readonly key: string;
    /** Revision of the change; revisions increase across all tables. */
    readonly revision: number;
    /** `undefined` for a deleted row. */
    readonly value: string | undefined;
}

export interface RowReplica {
    /** Applies changes and returns those that were new. */
    apply(rows: readonly Row[]): Row[];
    /**
     * Replaces the content by a full snapshot taken at `revision`. Rows that are missing from it are deleted, unless
     * they changed later. Returns the changes.
     */
    applySnapshot(snapshot: readonly Row[], revision: number): Row[];
    /** Returns the changes after a revision, oldest first, for a peer that is behind. */
    changesSince(revision: number): Row[];
    /** Returns the revision of the newest change; 0 for an empty replica. */
    newestRevision(): number;
    /** Returns whether a full snapshot was ever applied. */
    hasSnapshot(): boolean;
}

/** Number of deleted rows that are kept, so that peers learn of deletions. */
const MAX_TOMBSTONES = 500;

export function createRowReplica(): RowReplica {
    const rows = new Map<string, Row>();
    let newestRevision = 0;
    let hasSnapshot = false;

    function applyRow(row: Row): boolean {
        const current = rows.get(row.key);
        if (current !== undefined && current.revision >= row.revision) return false;
        // Deleting first moves the row to the end, which keeps the map in revision order.
        rows.delete(row.key);
        rows.set(row.key, row);
        newestRevision = Math.max(newestRevision, row.revision);
        return true;
    }

    function apply(changes: readonly Row[]): Row[] {
        const applied = changes.filter(applyRow);
        trimTombstones();
        return applied;
    }

    function applySnapshot(snapshot: readonly Row[], revision: number): Row[] {
        const presentKeys = new Set(snapshot.map(row => row.key));
        const removed = [...rows.values()]
            .filter(row => row.value !== undefined && !presentKeys.has(row.key) && row.revision <= revision)
            .map(row => ({ key: row.key, revision, value: undefined }));
        hasSnapshot = true;
        return apply([...snapshot.toSorted((a, b) => a.revision - b.revision), ...removed]);
    }

    function trimTombstones(): void {
        const tombstones = [...rows.values()].filter(row => row.value === undefined);
        for (const row of tombstones.slice(0, Math.max(0, tombstones.length - MAX_TOMBSTONES))) rows.delete(row.key);
    }

    return {
        apply,
        applySnapshot,
        changesSince: revision => {
            return [...rows.values()]
                .filter(row => row.revision > revision)
                .sort((a, b) => a.revision - b.revision);
        },
        newestRevision: () => newestRevision,
        hasSnapshot: () => hasSnapshot,
    };
}
