/** Interface of the store for all persistent data: tables of rows with revisions, and a change feed. */
import type { Row, StorePosition } from "../core/serving/index.js";

export interface TableSnapshot {
    readonly rows: readonly Row[];
    /** `rows` includes every change of this epoch up to this position. */
    readonly position: StorePosition;
    /** The store's clock when it responded, in milliseconds; `undefined` if it states none. */
    readonly storeTime?: number | undefined;
}

export type FeedResult =
    | {
        readonly kind: "changes";
        readonly rows: readonly Row[];
        readonly position: StorePosition;
        /** The store's clock when it responded, in milliseconds; `undefined` if it states none. */
        readonly storeTime?: number | undefined;
    }
    /** The store no longer has the changes after the revision; the table must be read again. */
    | { readonly kind: "historyLost"; };

/**
 * Every call throws a VError named `StoreError` if the store refuses it, can't be reached or doesn't respond, or if the
 * response is from an earlier epoch than another one before it.
 */
export interface MetadataStore {
    /** Reads the rows whose keys start with the prefix; the whole table by default. */
    readTable(table: string, keyPrefix?: string): Promise<TableSnapshot>;
    /**
     * Long-polls up to `waitMs` for changes after a revision. If the store has been restored, the changes are those of
     * the new epoch, in which the revision may denote another state. Aborting the call closes its connection.
     */
    readFeed(table: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<FeedResult>;
    /** Writes a row unconditionally. After an error it is unknown whether the write took effect. */
    putRow(table: string, key: string, value: string): Promise<void>;
    /** Removes a row if it hasn't changed since the revision. After an error it is unknown whether it was removed. */
    removeRow(table: string, key: string, revision: number): Promise<void>;
    close(): void;
}
