/**
 * Who reads a table's changes from the store, and when a process takes them from a neighbour instead.
 *
 * A configuration is read whole, and the links between regions carry requests too. So a few entries of each region
 * read it, and the others take it from these. An entry that can't reach the store says so and is replaced as a
 * reader; while none can, every entry tries.
 */
import { rankOf } from "../rendezvous.js";

/** Entries of a region that read; one can fail without a pause. */
export const STORE_READERS = 2;

/** Decides whether a process reads itself. `others` are the living entries of its region that reach the store. */
export function isStoreReader(self: string, others: readonly string[]): boolean {
    return rankOf("store readers", self, [self, ...others]) < STORE_READERS;
}

/** A neighbour's word of how far it has read a table. */
export interface NeighbourProgress {
    readonly table: string;
    readonly revision: number;
    /** The neighbour is in the own region, where reading from it costs little. */
    readonly isNear: boolean;
}

/** How far this process has read the same table. */
export interface OwnProgress {
    readonly revision: number;
    /** The table was read completely once. */
    readonly isComplete: boolean;
    /** This process reads the table's changes from the store itself. */
    readonly isReader: boolean;
}

export interface CatchUp {
    /** Decides whether to read the changes from the neighbour now. The caller calls `finish` afterwards. */
    isDue(theirs: NeighbourProgress, own: OwnProgress, now: number): boolean;
    /** Ends a read; the next one from any neighbour has to wait again. */
    finish(table: string): void;
}

/** A reader's own feed delivers a change within this time, the pace of its calls included, if it delivers it at all. */
const READER_PATIENCE_MS = 400;

/** The readers of the own region have a change this much later than those of another one, unless both are cut off. */
const FAR_PATIENCE_MS = 800;

export function createCatchUp(): CatchUp {
    /** The first revision that this process lacked, and since when, by table. */
    const behind = new Map<string, { readonly revision: number; readonly since: number; }>();
    const reading = new Set<string>();

    return {
        isDue: ({ table, revision, isNear }, own, now) => {
            if (revision <= own.revision || reading.has(table)) return false;
            let lack = behind.get(table);
            // A neighbour that is behind as well says nothing about a change that another one has seen.
            if (lack === undefined || lack.revision <= own.revision) {
                lack = { revision, since: now };
                behind.set(table, lack);
            }
            if (own.isComplete && now - lack.since < patienceFor(own.isReader, isNear)) return false;
            reading.add(table);
            return true;
        },
        finish: table => {
            reading.delete(table);
            behind.delete(table);
        },
    };
}

function patienceFor(isReader: boolean, isNear: boolean): number {
    if (isReader) return READER_PATIENCE_MS;
    return isNear ? 0 : FAR_PATIENCE_MS;
}
