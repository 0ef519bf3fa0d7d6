/**
 * Reads tables for an agent from the entries of its region, which hold them anyway, and from the store only if no entry
 * delivers them. When all VMs lose power, every agent needs the configuration at the same moment; read from the store,
 * it saturated the links between regions for seconds, and no engine got its weights meanwhile.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { INITIAL_POSITION, type RowReplica } from "../core/serving/index.js";
import type { MetadataStore, TableSnapshot } from "../node/metadataStore.js";
import { fetchPeerChanges } from "../node/peerMessages.js";
import type { EventLog, ServingMetrics } from "../observability/index.js";
import { createTableReplica } from "../platform/index.js";
import type { EntryResponses } from "./entryResponses.js";

export interface SharedReadsOptions {
    readonly store: Pick<MetadataStore, "readTable">;
    /** Returns the IP addresses of the entries of the region; empty if none is known. */
    readonly entryIps: () => Promise<readonly string[]>;
    readonly entryPort: number;
    readonly entryResponses: EntryResponses;
    readonly log: EventLog;
    readonly metrics: ServingMetrics;
    /** Monotonic clock, in milliseconds. */
    readonly now: () => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}

export type TableReader = Pick<MetadataStore, "readTable">;

/** Entries that start at the same time as the agent have no table yet, so the agent asks them for this long. */
const STORE_FALLBACK_DELAY_MS = 1500;

/** An entry needs a few hundred milliseconds to start and to read the tables. */
const MEAN_RETRY_PAUSE_MS = 150;

export function createSharedReads(options: SharedReadsOptions): TableReader {
    const { store, log, metrics, now } = options;
    const replicas = new Map<string, RowReplica>();
    /** The last read ended at the store, because the entries didn't deliver. */
    let areEntriesFailing = false;
    let requestCount = 0;
    async function readTable(table: string, keyPrefix = ""): Promise<TableSnapshot> {
        const startedAt = now();
        for (;;) {
            const allIps = await options.entryIps();
            const reachableIps = allIps.filter(ip => options.entryResponses.mayAsk(ip, now()));
            const entryIps = reachableIps.length > 0 || areEntriesFailing ? reachableIps : allIps;
            const ip = entryIps[requestCount++ % Math.max(1, entryIps.length)];
            if (ip === undefined) break;
            try {
                const snapshot = await readFromEntry(ip, table, keyPrefix);
                areEntriesFailing = false;
                options.entryResponses.recordSuccess(ip);
                return snapshot;
            }
            catch (error) {
                options.entryResponses.recordFailure(ip, error as Error, now());
                log.info("table not read from an entry", { table, entry: ip, error: (error as Error).message });
            }
            if (areEntriesFailing || now() - startedAt >= STORE_FALLBACK_DELAY_MS) break;
            await sleep(MEAN_RETRY_PAUSE_MS * (0.5 + options.random()));
        }
        areEntriesFailing = true;
        const snapshot = await store.readTable(table, keyPrefix);
        metrics.storeCalls.inc({ result: "read" });
        return snapshot;
    }

    async function readFromEntry(ip: string, table: string, keyPrefix: string): Promise<TableSnapshot> {
        const replica = replicas.get(table) ?? createTableReplica(table);
        const { isComplete, isSnapshot, position, rows } = await fetchPeerChanges(
            ip,
            options.entryPort,
            table,
            replica.newestPosition(),
            replica.retainedPosition(),
        );
        if (!isComplete) throw new Error("the entry hasn't read the table yet");
        if (position.epoch < replica.newestPosition().epoch) {
            throw new Error("the entry doesn't know yet that the store was restored");
        }
        if (isSnapshot || !replica.hasSnapshot()) replica.applySnapshot(rows, position);
        else replica.apply(rows);
        replicas.set(table, replica);
        const present = replica.changesSince(INITIAL_POSITION).rows.filter(({ key, value }) => {
            return value !== undefined && key.startsWith(keyPrefix);
        });
        return { rows: present, position: replica.newestPosition() };
    }

    return { readTable };
}
