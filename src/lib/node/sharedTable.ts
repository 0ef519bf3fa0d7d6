/** A table of the store of which an entry holds a replica, from the store or from other entries. */
import type { RowReplica, TableFreshness } from "../core/serving/index.js";

export interface SharedTable {
    readonly table: string;
    readonly replica: RowReplica;
    readonly freshness: TableFreshness;
}
