/**
 * Queues attempts until they can run. Each attempt leaves the queue exactly once: it is taken to run, refused
 * with `notRun` because of its deadline or the queue limits, or cancelled by its entry.
 */
import {
    createRankedQueue,
    isRank,
    MAX_QUEUE_WAIT_MS,
    type QueueItem,
    type QueuePolicy,
    Rank,
    type StartPredicate,
    Verdict,
} from "../core/index.js";
import type { DispatchRequest } from "../rpc/index.js";
import { type AnswerSink, refuse } from "./answerSink.js";

export interface QueuedAttempt {
    readonly request: DispatchRequest;
    readonly sink: AnswerSink;
    /** Called when the attempt has ended. */
    readonly onEnded: () => void;
}

export type AttemptItem = QueueItem<QueuedAttempt>;

export interface AttemptQueue {
    /** Returns whether the attempt was queued; otherwise it was refused and `onEnded` was called. */
    add(attempt: QueuedAttempt): boolean;
    take(mayStart: StartPredicate): AttemptItem | undefined;
    /** Replaces the estimated cost of a taken attempt by its actual cost. */
    correctCost(item: AttemptItem, actualCost: number): void;
    /** Refuses every queued attempt. */
    refuseAll(reason: string): void;
    readonly length: () => number;
    /** Predicts the wait of a new attempt of the rank. */
    predictWaitMs(rank: Rank, cost: number): number;
}

export interface AttemptQueueOptions {
    readonly policy: () => QueuePolicy;
    /** `false` queues attempts first in, first out and doesn't refuse them because of a long predicted wait. */
    readonly ranked: boolean;
    /**
     * Throughput of the backend server. Infinite while it is unknown, so that nothing is refused without an estimate.
     */
    readonly tokensPerSecond: () => number;
    /** Called after a queued attempt was cancelled. */
    readonly onCancel: () => void;
    readonly now: () => number;
}

const MAX_QUEUED_PER_CLIENT = 64;
const MAX_QUEUED_PER_RANK = 256;
const NO_WAIT_LIMIT = { urgent: Infinity, standard: Infinity, overnight: Infinity };

/** Interval at which queued attempts are checked for passed deadlines. */
const EXPIRY_INTERVAL_MS = 250;

export function createAttemptQueue(options: AttemptQueueOptions): AttemptQueue {
    const { now, ranked, tokensPerSecond } = options;
    const queue = createRankedQueue<QueuedAttempt>({
        policy: options.policy,
        maxPerClient: ranked ? MAX_QUEUED_PER_CLIENT : Infinity,
        maxPerRank: MAX_QUEUED_PER_RANK,
        maxWaitMs: ranked ? MAX_QUEUE_WAIT_MS : NO_WAIT_LIMIT,
    });
    let expiryTimer: NodeJS.Timeout | undefined;

    function add(attempt: QueuedAttempt): boolean {
        const { sink, onEnded } = attempt;
        const item = createItem(attempt);
        const offer = queue.offer(item, now(), tokensPerSecond());
        if (offer.kind === "refused") {
            refuse(sink, Verdict.notRun, offer.reason, offer.retryAfterMs);
            onEnded();
            return false;
        }
        if (offer.displaced !== undefined) refuseRemoved(offer.displaced, "the queue of the rank is full");
        sink.signal.addEventListener("abort", () => cancel(item), { once: true });
        expiryTimer ??= setInterval(refuseExpired, EXPIRY_INTERVAL_MS);
        return true;
    }

    function createItem(value: QueuedAttempt): AttemptItem {
        const { attemptId, rank, client, estimatedTokens, remainingMs } = value.request;
        return {
            id: attemptId,
            rank: ranked && isRank(rank) ? rank : Rank.standard,
            client: ranked ? client : "",
            cost: Math.max(1, estimatedTokens),
            deadline: now() + remainingMs,
            value,
        };
    }

    function cancel({ id, value }: AttemptItem): void {
        if (!queue.remove(id)) return;
        value.sink.end();
        value.onEnded();
        options.onCancel();
    }

    /** Refuses an attempt that was removed from the queue, so it has certainly not run. */
    function refuseRemoved({ value }: AttemptItem, reason: string): void {
        refuse(value.sink, Verdict.notRun, reason);
        value.onEnded();
    }

    function refuseExpired(): void {
        for (const item of queue.expire(now())) refuseRemoved(item, "the deadline has passed");
        if (queue.length() === 0) stopExpiryTimer();
    }

    function stopExpiryTimer(): void {
        clearInterval(expiryTimer);
        expiryTimer = undefined;
    }

    function refuseAll(reason: string): void {
        for (const item of queue.clear()) refuseRemoved(item, reason);
        stopExpiryTimer();
    }

    return {
        add,
        take: mayStart => queue.take(now(), mayStart),
        correctCost: (item, actualCost) => queue.correctCost(item, actualCost, now()),
        refuseAll,
        length: queue.length,
        predictWaitMs: (rank, cost) => queue.predictWaitMs(rank, now(), tokensPerSecond(), "", cost),
    };
}
