/**
 * Keeps a replica of one of the store's tables up to date: a complete read, then the feed. While the store can't be
 * reached the replica keeps what it has, and neighbours add what they know.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Row, RowReplica } from "../core/serving/index.js";
import type { EventLog, ServingMetrics } from "../observability/index.js";
import type { MetadataStore } from "./metadataStore.js";

/** Bounds the calls that bring changes in long succession, which are then fetched together. */
export interface FeedPace {
    /** Time between two such calls. */
    readonly intervalMs: number;
    /** Calls that may follow each other at once: a few changes together are usual and cost little. */
    readonly quickCalls: number;
}

export interface TableFeedOptions {
    readonly store: MetadataStore;
    readonly table: string;
    readonly replica: RowReplica;
    readonly waitMs: number;
    readonly pace: FeedPace;
    /**
     * Tells whether this process reads changes itself at present; otherwise others add them to the replica. Default:
     * always.
     */
    readonly isReader?: () => boolean;
    /** Called with the changes that were new, in the order of their revisions. */
    readonly onChange: (rows: readonly Row[]) => void;
    readonly log: EventLog;
    readonly metrics: ServingMetrics;
    readonly now: () => number;
    readonly random: () => number;
}

export interface TableFeed {
    /** Last time at which the store was seen not to answer as it should. */
    disturbedAt(): number | undefined;
    /** Tells whether the last call succeeded. */
    isConnected(): boolean;
    stop(): void;
}

/** Pauses after failed calls are spread, so that processes that fail together don't return together. */
const MIN_BACKOFF_MS = 150;
const MAX_BACKOFF_MS = 1200;

/** Time between two looks whether a process that doesn't read has to. */
const READER_CHECK_INTERVAL_MS = 100;

export function startTableFeed(options: TableFeedOptions): TableFeed {
    const { store, table, replica, log, metrics } = options;
    let stopped = false;
    let disturbedAt: number | undefined;
    let failures = 0;
    let cursor: number | undefined;
    /**
     * The replica lacks nothing before its newest row. A complete read may show later changes on its later pages, and
     * the first answer of the feed fills the gap.
     */
    let isContiguous = false;
    /** Time until which the calls so far would last at one in each interval. */
    let theoreticalArrivalTime = 0;

    async function run(): Promise<void> {
        while (!stopped) {
            try {
                await step();
                recordSuccess();
            }
            catch (error) {
                if (stopped) return;
                await backOff(error as Error);
            }
        }
    }

    async function step(): Promise<void> {
        if (cursor === undefined) {
            const { rows, revision } = await store.readTable(table);
            metrics.storeCalls.inc({ result: "read" });
            options.onChange(replica.reset(rows, revision));
            cursor = revision;
            isContiguous = false;
            log.info("table read", { table, revision, rows: rows.length });
            return;
        }
        if (isContiguous) {
            // A process that has lost the store goes on trying, so that it knows when it reaches it again.
            if (failures === 0 && options.isReader?.() === false) {
                await sleep(READER_CHECK_INTERVAL_MS);
                return;
            }
            // What neighbours have brought isn't read once more.
            cursor = Math.max(cursor, replica.newest());
        }
        // After a failure the answer is wanted for what it tells of the store.
        const feedAnswer = await store.readFeed(table, cursor, failures > 0 ? 0 : options.waitMs);
        metrics.storeCalls.inc({ result: "feed" });
        if (feedAnswer.kind === "historyLost") {
            log.info("feed history lost", { table, after: cursor });
            cursor = undefined;
            return;
        }
        cursor = Math.max(cursor, feedAnswer.revision);
        isContiguous = true;
        const newRows = replica.apply(feedAnswer.rows);
        if (newRows.length > 0) options.onChange(newRows);
        if (feedAnswer.rows.length > 0) await limitCallRate();
    }

    /** Waits as long as more than the quick calls were made of late. */
    async function limitCallRate(): Promise<void> {
        const { intervalMs, quickCalls } = options.pace;
        const now = options.now();
        theoreticalArrivalTime = Math.max(theoreticalArrivalTime, now) + intervalMs;
        const delayMs = theoreticalArrivalTime - now - quickCalls * intervalMs;
        if (delayMs > 0) await sleep(delayMs);
    }

    function recordSuccess(): void {
        if (failures === 0) return;
        log.info("store regained", { table, failures, revision: cursor });
        failures = 0;
        disturbedAt = options.now();
    }

    async function backOff(error: Error): Promise<void> {
        metrics.storeCalls.inc({ result: "failed" });
        disturbedAt = options.now();
        if (failures === 0) log.warn("store lost", { table, error: error.message, revision: cursor });
        failures++;
        const maxPauseMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** failures);
        const pauseMs = MIN_BACKOFF_MS + options.random() * (maxPauseMs - MIN_BACKOFF_MS);
        await sleep(pauseMs);
    }

    void run();
    return {
        disturbedAt: () => disturbedAt,
        isConnected: () => failures === 0,
        stop: () => {
            stopped = true;
        },
    };
}
