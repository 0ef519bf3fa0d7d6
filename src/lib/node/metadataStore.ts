/** The interface of the store in which everything lasting lives: tables of rows with revisions and a change feed. */
import type { Row } from "../core/serving/index.js";

export interface TableSnapshot {
    readonly rows: readonly Row[];
    /** Everything up to this revision is in `rows`. */
    readonly revision: number;
}

export type FeedAnswer =
    | { readonly kind: "changes"; readonly rows: readonly Row[]; readonly revision: number; }
    /** The store no longer knows the changes after the revision; read the table again. */
    | { readonly kind: "historyLost"; };

export interface MetadataStore {
    /** Every call throws a VError named `StoreError` if the store refuses, can't be reached or doesn't answer. */
    /** Reads the rows whose keys begin with the prefix; by default the whole table. */
    readTable(table: string, keyPrefix?: string): Promise<TableSnapshot>;
    /** Waits up to `waitMs` for changes after a revision. */
    readFeed(table: string, after: number, waitMs: number): Promise<FeedAnswer>;
    /** Writes a row whatever it holds. An error leaves it open whether the write was done. */
    putRow(table: string, key: string, value: string): Promise<void>;
    close(): void;
}
