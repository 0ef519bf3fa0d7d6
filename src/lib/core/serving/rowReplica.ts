/**
 * A process's copy of a table that the platform's store keeps. Changes arrive in the order of their revision from
 * the store or from a neighbour that is ahead, so a replica always holds everything up to its newest revision,
 * and an older value never replaces a newer one.
 */

export interface Row {
    readonly key: string;
    /** Revision of the change; revisions grow over all tables. */
    readonly revision: number;
    /** `undefined` for a row that was removed. */
    readonly value: string | undefined;
}

export interface RowReplica {
    /** Takes changes; returns those that were new. */
    apply(rows: readonly Row[]): Row[];
    /**
     * Replaces the content by a complete read as of `revision`. Rows that aren't in it are removed; returns what
     * changed.
     */
    reset(rows: readonly Row[], revision: number): Row[];
    /** Returns the changes after a revision, oldest first, for a neighbour that is behind. */
    since(revision: number): Row[];
    /** Revision of the newest change held; 0 for an empty replica. */
    newest(): number;
    /** Tells whether the table was ever read completely. */
    isComplete(): boolean;
}

/** Removed rows that are remembered, so that a neighbour learns of removals. */
const MAX_TOMBSTONES = 500;

export function createRowReplica(): RowReplica {
    const rows = new Map<string, Row>();
    let newest = 0;
    let complete = false;

    function applyOne(row: Row): boolean {
        const known = rows.get(row.key);
        if (known !== undefined && known.revision >= row.revision) return false;
        // Inserting again keeps the map in the order of the revisions.
        rows.delete(row.key);
        rows.set(row.key, row);
        newest = Math.max(newest, row.revision);
        return true;
    }

    function apply(changes: readonly Row[]): Row[] {
        const fresh = changes.filter(applyOne);
        forgetTombstones();
        return fresh;
    }

    function reset(all: readonly Row[], revision: number): Row[] {
        const present = new Set(all.map(row => row.key));
        const removed = [...rows.values()]
            .filter(row => row.value !== undefined && !present.has(row.key) && row.revision <= revision)
            .map(row => ({ key: row.key, revision, value: undefined }));
        complete = true;
        return apply([...all.toSorted((a, b) => a.revision - b.revision), ...removed]);
    }

    function forgetTombstones(): void {
        const tombstones = [...rows.values()].filter(row => row.value === undefined);
        for (const row of tombstones.slice(0, Math.max(0, tombstones.length - MAX_TOMBSTONES))) rows.delete(row.key);
    }

    return {
        apply,
        reset,
        since: revision => {
            return [...rows.values()]
                .filter(row => row.revision > revision)
                .sort((a, b) => a.revision - b.revision);
        },
        newest: () => newest,
        isComplete: () => complete,
    };
}
