/**
 * Dispatches a request to an agent and relays the response. A failed attempt is retried at another agent if its
 * verdict allows it and the caller has received nothing yet or the event stream can be resumed. A silent agent may go
 * on, so its attempt is given up only for another agent that has a free slot, and if the retry budget allows it.
 */
import { type AttemptPhase, canRetry, combineVerdicts, createRetryBudget, RANKS, Verdict } from "../core/index.js";
import { createLog } from "../observability/index.js";
import type { Connections } from "../rpc/index.js";
import { startAttemptMonitor } from "./attemptMonitor.js";
import { createAttemptRunner } from "./attemptRunner.js";
import type { Delivery } from "./frameRelay.js";
import { type ChosenSlot, createSlotSelector, type SlotSelectorOptions } from "./slotSelector.js";
import { type DispatchResult, failure, isRetryable, type ResponseReceiver, type Work } from "./work.js";

const log = createLog("entry:dispatcher");

export interface Dispatcher {
    /** Runs the request in up to `MAX_ATTEMPTS` attempts. A failed request resolves; it doesn't reject. */
    dispatch(work: Work, receiver: ResponseReceiver): Promise<DispatchResult>;
    /** Returns the number of requests in progress. */
    readonly inProgressCount: () => number;
    /** Returns the number of requests in progress at the agents that the predicate selects. */
    inProgressAt(isSelected: (address: string) => boolean): number;
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
        const retryBudget = retryBudgets.get(work.rank);
        let lastFailure = failure(Verdict.notRun, `no agent of ${work.service} can take the request`);
        let attemptWork = work;
        /** Slot for the next attempt, whose retry has been taken from the budget. */
        let successor: ChosenSlot | undefined;
        /**
         * Whether the last attempt was at an evacuated agent. The next one then takes nothing from the retry budget:
         * evacuated agents get no new attempts, so this happens about once for each request.
         */
        let isMoved = false;

        function claimSuccessor(phase: AttemptPhase): boolean {
            // The attempt in progress has no verdict yet.
            if (verdicts.length + 1 >= MAX_ATTEMPTS || now() >= work.deadline) return false;
            if (!mayMove(work, phase) || !canContinue(work, delivery)) return false;
            const slot = slotSelector.selectFree(nextWork(), triedAddresses);
            if (slot.kind === "refused") return false;
            if (!retryBudget?.tryTake()) {
                slot.release();
                return false;
            }
            successor = slot;
            return true;
        }

        function takeSuccessor(): ChosenSlot | undefined {
            const taken = successor;
            successor = undefined;
            return taken;
        }

        /** Once part of the response has been delivered, only the version that produced it may continue it. */
        function nextWork(): Work {
            const { rootDigest } = attemptWork;
            return delivery.hasStarted && rootDigest !== "" ? { ...attemptWork, servedDigests: [rootDigest] } : work;
        }

        while (verdicts.length < MAX_ATTEMPTS && now() < work.deadline) {
            const claimedSlot = takeSuccessor();
            const slot = claimedSlot ?? await slotSelector.select(nextWork(), triedAddresses, receiver.signal);
            if (slot.kind === "refused") {
                if (verdicts.length === 0) lastFailure = slot.failure;
                break;
            }
            if (verdicts.length > 0 && claimedSlot === undefined && !isMoved && !retryBudget?.tryTake()) {
                slot.release();
                break;
            }
            triedAddresses.add(slot.address);
            attemptWork = { ...nextWork(), rootDigest: slotSelector.digestAt(nextWork(), slot.address) };
            const result = await runAttempt(attemptWork, slot.address, delivery, receiver, claimSuccessor)
                .finally(slot.release);
            if (result.kind === "complete") {
                retryBudget?.recordSuccess();
                slotSelector.recordAffinity(work, slot.address);
                return result;
            }
            verdicts.push(result.verdict);
            isMoved = options.directory.isEvacuated(slot.address);
            lastFailure = result;
            log.info(
                "an attempt of request %s at agent %s failed: %s (%s)",
                work.requestId,
                slot.address,
                result.reason,
                result.verdict,
            );
            if (
                result.status !== 0 || !canContinue(work, delivery) || receiver.signal.aborted ||
                !canRetry(result.verdict, isRetryable(work))
            ) break;
        }
        takeSuccessor()?.release();
        return { ...lastFailure, verdict: verdicts.length === 0 ? lastFailure.verdict : combineVerdicts(verdicts) };
    }

    return { dispatch, inProgressCount: () => inProgressCount, inProgressAt: monitor.countAt, stop: monitor.stop };
}

/** Returns whether another attempt can send the response, or the rest of it. */
function canContinue(work: Work, delivery: Delivery): boolean {
    return !delivery.hasStarted || (work.buildResumedRequest !== undefined && delivery.outputEventCount > 0);
}

/**
 * Returns whether another agent can run a request whose attempt has no result. A call with an idempotency key that was
 * admitted can be run only by the agent that holds the claim.
 */
function mayMove(work: Work, phase: AttemptPhase): boolean {
    return work.idempotencyKey === "" ? isRetryable(work) : phase === "queued";
}
