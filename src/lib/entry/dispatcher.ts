/**
 * Dispatches a request to an agent and relays the response. A failed attempt is retried at another agent if its
 * verdict allows it and the caller has received nothing yet or the event stream can be resumed.
 */
import { canRetry, combineVerdicts, createRetryBudget, RANKS, Verdict } from "../core/index.js";
import { createLog } from "../observability/index.js";
import type { Connections } from "../rpc/index.js";
import { startAttemptMonitor } from "./attemptMonitor.js";
import { createAttemptRunner } from "./attemptRunner.js";
import type { Delivery } from "./frameRelay.js";
import { createSlotSelector, type SlotSelectorOptions } from "./slotSelector.js";
import { type DispatchResult, failure, isRetryable, type ResponseReceiver, type Work } from "./work.js";

const log = createLog("entry:dispatcher");

export interface Dispatcher {
    /** Runs the request in up to `MAX_ATTEMPTS` attempts. A failed request resolves; it doesn't reject. */
    dispatch(work: Work, receiver: ResponseReceiver): Promise<DispatchResult>;
    /** Returns the number of requests in progress. */
    readonly inProgressCount: () => number;
    stop(): void;
}

export interface DispatcherOptions extends SlotSelectorOptions {
    readonly connections: Connections;
}

const MAX_ATTEMPTS = 4;
const RETRY_BUDGET = { ratio: 0.1, burst: 20 };

export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { now } = options;
    const slotSelector = createSlotSelector(options);
    const monitor = startAttemptMonitor(options.directory, now);
    const runAttempt = createAttemptRunner({ ...options, monitor });
    // One budget per rank, so that refused overnight requests don't use up the retries of urgent ones.
    const retryBudgets = new Map(RANKS.map(rank => [rank, createRetryBudget(RETRY_BUDGET)]));
    let inProgressCount = 0;

    async function dispatch(work: Work, receiver: ResponseReceiver): Promise<DispatchResult> {
        inProgressCount++;
        try {
            return await runAttempts(work, receiver);
        }
        finally {
            inProgressCount--;
        }
    }

    async function runAttempts(work: Work, receiver: ResponseReceiver): Promise<DispatchResult> {
        const verdicts: Verdict[] = [];
        const triedAddresses = new Set<string>();
        const delivery: Delivery = { hasStarted: false, outputEventCount: 0 };
        let lastFailure = failure(Verdict.notRun, `no agent of ${work.service} can take the request`);
        // Once part of the response has been delivered, only the version that produced it may continue it.
        let nextWork = work;
        while (verdicts.length < MAX_ATTEMPTS && now() < work.deadline) {
            const slot = await slotSelector.select(nextWork, triedAddresses, receiver.signal);
            if (slot.kind === "refused") {
                if (verdicts.length === 0) lastFailure = slot.failure;
                break;
            }
            if (verdicts.length > 0 && !retryBudgets.get(work.rank)?.tryTake()) {
                slot.release();
                break;
            }
            triedAddresses.add(slot.address);
            const attemptWork = { ...nextWork, rootDigest: slotSelector.digestAt(nextWork, slot.address) };
            const result = await runAttempt(attemptWork, slot.address, delivery, receiver).finally(slot.release);
            if (delivery.hasStarted && attemptWork.rootDigest !== "") {
                nextWork = { ...attemptWork, servedDigests: [attemptWork.rootDigest] };
            }
            if (result.kind === "complete") {
                retryBudgets.get(work.rank)?.recordSuccess();
                slotSelector.recordAffinity(work, slot.address);
                return result;
            }
            verdicts.push(result.verdict);
            lastFailure = result;
            log.info(
                "an attempt of request %s at agent %s failed: %s (%s)",
                work.requestId,
                slot.address,
                result.reason,
                result.verdict,
            );
            const canResume = !delivery.hasStarted ||
                (work.buildResumedRequest !== undefined && delivery.outputEventCount > 0);
            if (
                result.status !== 0 || !canResume || receiver.signal.aborted ||
                !canRetry(result.verdict, isRetryable(work))
            ) break;
        }
        return { ...lastFailure, verdict: verdicts.length === 0 ? lastFailure.verdict : combineVerdicts(verdicts) };
    }

    return { dispatch, inProgressCount: () => inProgressCount, stop: monitor.stop };
}
