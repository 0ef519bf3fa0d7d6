/**
 * Keeps a replica of one of the store's tables up to date with a complete read followed by the change feed. While the
 * store can't be reached, the replica keeps its rows, and changes from peers are added by the caller. When the store has
 * been restored from a copy, the table is read completely again.
 *
 * A connection may fall silent without an error. A waiting call is therefore given up as soon as nothing has confirmed
 * the replica for too long, or as soon as a peer knows a change that the call hasn't returned, and the store is asked
 * again on a new connection.
 */
import { setTimeout as sleep } from "node:timers/promises";
import VError from "verror";
import {
    comparePositions,
    laterPosition,
    NON_READER_RECHECK_DELAY_MS,
    type Row,
    type StorePosition,
    type TableFreshness,
} from "../core/serving/index.js";
import type { EventLog, ServingMetrics } from "../observability/index.js";
import type { FeedResult, MetadataStore } from "./metadataStore.js";
import type { SharedTable } from "./sharedTable.js";

/** Limits the rate of feed calls that return changes, so that many changes in succession are fetched in batches. */
export interface FeedRateLimit {
    /** Mean time between such calls once the burst is used up. */
    readonly intervalMs: number;
    /** Number of calls allowed in a burst. A few changes at a time are common and cost little. */
    readonly burst: number;
}

export interface TableFeedOptions extends SharedTable {
    readonly store: MetadataStore;
    /**
     * Returns the maximum time that the store holds a feed call open when there are no changes. `followsChanges` is true
     * for the first call and for one after a response with changes.
     */
    readonly waitMs: (followsChanges: boolean) => number;
    /** Returns the age of the replica at which the store is asked again. */
    readonly recheckAgeMs: () => number;
    readonly rateLimit: FeedRateLimit;
    /**
     * Returns whether this process currently reads the feed itself; otherwise the caller adds changes from peers to
     * the replica. By default it always reads.
     */
    readonly isReader?: () => boolean;
    /**
     * Called with the new changes in the order of their positions. `isRestoration` is true for those by which the
     * replica enters a later epoch of the store.
     */
    readonly onChange: (rows: readonly Row[], isRestoration: boolean) => void;
    readonly log: EventLog;
    readonly metrics: ServingMetrics;
    /** Monotonic clock, in milliseconds. */
    readonly now: () => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}

export interface TableFeed {
    /**
     * Returns the time of the last failed call, of the recovery after it, of the last call for a replica that nothing
     * had confirmed for too long, or of the last restoration of the store; `undefined` if none of them has happened.
     */
    lastOutageAt(): number | undefined;
    /** Returns whether the last call succeeded; true before the first one ends. */
    isConnected(): boolean;
    /** Gives up a call whose connection may be silent. Call it every few hundred milliseconds at most. */
    checkSilence(): void;
    stop(): void;
}

/** Exponential backoff with jitter, so that processes that fail at the same time don't retry at the same time. */
const MIN_BACKOFF_MS = 150;
const MAX_BACKOFF_MS = 1200;

/** Interval at which a process that isn't a reader checks whether it has become one. */
const READER_CHECK_INTERVAL_MS = 100;

/** Time within which a waiting call returns a change that a peer has delivered. */
const CHANGE_DELAY_MS = 200;

/** A feed call that waits for changes. */
interface WaitingCall {
    readonly after: StorePosition;
    readonly abortion: AbortController;
    /** Time since when a peer has known a change that the call hasn't returned. */
    overtakenAt: number | undefined;
}

export function startTableFeed(options: TableFeedOptions): TableFeed {
    const { store, table, replica, freshness, log, metrics } = options;
    let isStopped = false;
    let lastOutageAt: number | undefined;
    let failures = 0;
    let cursor: StorePosition | undefined;
    /** Newest epoch in which this feed has had a cursor. */
    let epoch: number | undefined;
    /**
     * Whether the replica has every change up to its newest row. After a complete read it may not: later pages can
     * include changes newer than the read's position. The first feed response fills the gap.
     */
    let isContiguous = false;
    /** Whether other processes have read for this one since its last call, so that the store may have been restored. */
    let hasSkippedCalls = false;
    /** State of the generic cell rate algorithm: when the next call would be due at exactly one call per interval. */
    let theoreticalArrivalTime = 0;
    let callStartedAt = 0;
    let waitingCall: WaitingCall | undefined;
    /** The last call was given up, so the next one must not wait. */
    let isRechecking = false;
    let followsChanges = true;

    async function run(): Promise<void> {
        while (!isStopped) {
            try {
                await readNext();
                recordSuccess();
            }
            catch (error) {
                if (isStopped) return;
                if (isRechecking && wasAborted(error as Error)) continue;
                isRechecking = false;
                await backOff(error as Error);
            }
        }
    }

    async function readTable(): Promise<void> {
        callStartedAt = options.now();
        const { rows, position, storeTime } = await store.readTable(table);
        metrics.storeCalls.inc({ result: "read" });
        const previous = replica.newestPosition();
        if (position.epoch < previous.epoch) throw outdatedError(position, previous);
        const isRestoration = replica.hasSnapshot() && position.epoch > previous.epoch;
        if (isRestoration) log.warn("store restored", { table, ...position, previous });
        enterEpoch(position);
        options.onChange(replica.applySnapshot(rows, position), isRestoration);
        freshness.recordResponse(callStartedAt, storeTime, options.now());
        cursor = position;
        isContiguous = false;
        log.info("table read", { table, ...position, rows: rows.length });
    }

    /** A restoration counts as an outage even if no call has failed: rows may lapse meanwhile. */
    function enterEpoch(position: StorePosition): void {
        if (epoch !== undefined && position.epoch > epoch) lastOutageAt = options.now();
        epoch = position.epoch;
    }

    async function readNext(): Promise<void> {
        // A peer may have delivered a later epoch, in which the cursor denotes another state or none.
        if (cursor !== undefined && !isContiguous && cursor.epoch < replica.newestPosition().epoch) cursor = undefined;
        if (cursor === undefined) {
            await readTable();
            return;
        }
        if (isContiguous) {
            // A process that has lost the store keeps calling it, so that it detects when the store is back.
            if (failures === 0 && options.isReader?.() === false && !isInDoubt(NON_READER_RECHECK_DELAY_MS)) {
                hasSkippedCalls = true;
                await sleep(READER_CHECK_INTERVAL_MS);
                return;
            }
            // Skips changes that peers have already supplied.
            cursor = laterPosition(cursor, replica.newestPosition());
            enterEpoch(cursor);
        }
        // Without waiting for changes, the call detects a recovery or a restoration at once.
        const waitMs = failures > 0 || hasSkippedCalls || isRechecking ? 0 : options.waitMs(followsChanges);
        const feedResult = await callFeed(cursor, waitMs);
        hasSkippedCalls = false;
        isRechecking = false;
        metrics.storeCalls.inc({ result: "feed" });
        if (feedResult.kind === "changes" && feedResult.position.epoch < cursor.epoch) {
            throw outdatedError(feedResult.position, cursor);
        }
        if (feedResult.kind === "historyLost" || feedResult.position.epoch > cursor.epoch) {
            log.info("feed history lost", { table, after: cursor });
            cursor = undefined;
            await limitCallRate();
            return;
        }
        cursor = laterPosition(cursor, feedResult.position);
        isContiguous = true;
        const newRows = replica.apply(feedResult.rows);
        replica.recordCovered(feedResult.position);
        // A call that doesn't wait ends at a time of its own, like one with changes.
        followsChanges = feedResult.rows.length > 0 || waitMs === 0;
        recordConfirmation(feedResult.rows.length > 0, waitMs, feedResult.storeTime);
        if (newRows.length > 0) options.onChange(newRows, false);
        if (feedResult.rows.length > 0) await limitCallRate();
    }

    async function callFeed(after: StorePosition, waitMs: number): Promise<FeedResult> {
        callStartedAt = options.now();
        // The store may have been away since, and rows may have lapsed meanwhile.
        if (isInDoubt()) lastOutageAt = callStartedAt;
        const abortion = new AbortController();
        waitingCall = waitMs === 0 ? undefined : { after, abortion, overtakenAt: undefined };
        try {
            return await store.readFeed(table, after.revision, waitMs, abortion.signal);
        }
        finally {
            waitingCall = undefined;
        }
    }

    function isInDoubt(delayMs = 0): boolean {
        return freshness.ageMs(options.now()) > options.recheckAgeMs() + delayMs;
    }

    function isOvertaken(call: WaitingCall): boolean {
        if (comparePositions(replica.newestPosition(), call.after) <= 0) return false;
        call.overtakenAt ??= options.now();
        return options.now() - call.overtakenAt >= CHANGE_DELAY_MS;
    }

    function checkSilence(): void {
        const call = waitingCall;
        if (call === undefined || !(isInDoubt() || isOvertaken(call))) return;
        // What arrived while this process was paused is read first.
        setImmediate(() => {
            if (waitingCall !== call || !(isInDoubt() || isOvertaken(call))) return;
            isRechecking = true;
            log.info("store asked again", {
                table,
                callMs: Math.round(options.now() - callStartedAt),
                ageMs: loggedAge(freshness, options.now()),
                isOvertaken: isOvertaken(call),
            });
            call.abortion.abort();
        });
    }

    /** A response without changes has left the store when the wait was over, and may have been delayed since. */
    function recordConfirmation(hasChanges: boolean, waitMs: number, storeTime: number | undefined): void {
        const now = options.now();
        freshness.recordResponse(hasChanges ? now : Math.min(now, callStartedAt + waitMs), storeTime, now);
    }

    /** Waits until the rate limit allows the next call; returns at once while the burst isn't used up. */
    async function limitCallRate(): Promise<void> {
        const { intervalMs, burst } = options.rateLimit;
        const now = options.now();
        theoreticalArrivalTime = Math.max(theoreticalArrivalTime, now) + intervalMs;
        const delayMs = theoreticalArrivalTime - now - burst * intervalMs;
        if (delayMs > 0) await sleep(delayMs);
    }

    function recordSuccess(): void {
        if (failures === 0) return;
        log.info("store regained", { table, failures, ...cursor });
        failures = 0;
        lastOutageAt = options.now();
    }

    async function backOff(error: Error): Promise<void> {
        metrics.storeCalls.inc({ result: "failed" });
        lastOutageAt = options.now();
        if (failures === 0) {
            log.warn("store lost", {
                table,
                error: error.message,
                reusedConnection: VError.info(error).reusedConnection,
                callMs: Math.round(options.now() - callStartedAt),
                ageMs: loggedAge(freshness, options.now()),
                ...cursor,
            });
        }
        failures++;
        const maxPauseMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** failures);
        const pauseMs = MIN_BACKOFF_MS + options.random() * (maxPauseMs - MIN_BACKOFF_MS);
        await sleep(pauseMs);
    }

    void run();
    return {
        lastOutageAt: () => lastOutageAt,
        isConnected: () => failures === 0,
        checkSilence,
        stop: () => {
            isStopped = true;
        },
    };
}

function wasAborted(error: Error): boolean {
    for (let cause: Error | null = error; cause !== null; cause = VError.cause(cause)) {
        if (cause.name === "AbortError") return true;
    }
    return false;
}

/** Returns the age of a table in whole milliseconds, or `undefined` if the table was never confirmed. */
export function loggedAge(freshness: TableFreshness, now: number): number | undefined {
    const ageMs = Math.round(freshness.ageMs(now));
    return Number.isFinite(ageMs) ? ageMs : undefined;
}

function outdatedError(received: StorePosition, held: StorePosition): VError {
    return new VError(
        { name: "StoreError" },
        "the store responded from epoch %d, and a peer knows epoch %d",
        received.epoch,
        held.epoch,
    );
}
