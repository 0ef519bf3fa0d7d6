/** Interface of the store for all persistent data: tables of rows with revisions, and a change feed. */
import type { Row } from "../core/serving/index.js";

export interface TableSnapshot {
    readonly rows: readonly Row[];
    /** `rows` includes every change up to this revision. */
    readonly revision: number;
}

export type FeedResult =
    | { readonly kind: "changes"; readonly rows: readonly Row[]; readonly revision: number; }
    /** The store no longer has the changes after the revision; the table must be read again. */
    | { readonly kind: "historyLost"; };

/** Every call throws a VError named `StoreError` if the store refuses it, can't be reached or doesn't respond. */
export interface MetadataStore {
    /** Reads the rows whose keys start with the prefix; the whole table by default. */
    readTable(table: string, keyPrefix?: string): Promise<TableSnapshot>;
    /** Long-polls up to `waitMs` for changes after a revision. */
    readFeed(table: string, afterRevision: number, waitMs: number): Promise<FeedResult>;
    /** Writes a row unconditionally. After an error it is unknown whether the write took effect. */
    putRow(table: string, key: string, value: string): Promise<void>;
    close(): void;
}
