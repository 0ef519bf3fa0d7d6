/**
 * Runs a request on an agent and relays the answer. An attempt that fails before any part of the answer
 * was delivered is followed by another one where the verdict allows it.
 */
import { canRetry, combineVerdicts, createRetryBudget, RANKS, Verdict } from "../core/index.js";
import { createLog } from "../observability/index.js";
import type { Connections } from "../rpc/index.js";
import { createAttemptRun } from "./attemptRun.js";
import { startAttemptWatch } from "./attemptWatch.js";
import type { Delivery } from "./frameRelay.js";
import { createSlotChoice, type SlotChoiceOptions } from "./slotChoice.js";
import { type AnswerReceiver, type DispatchResult, failure, isRepeatable, type Work } from "./work.js";

const log = createLog("entry:dispatcher");

export interface Dispatcher {
    dispatch(work: Work, receiver: AnswerReceiver): Promise<DispatchResult>;
    readonly inProgress: () => number;
    stop(): void;
}

export interface DispatcherOptions extends SlotChoiceOptions {
    readonly connections: Connections;
}

const MAX_ATTEMPTS = 4;
const RETRY_BUDGET = { ratio: 0.1, burst: 20 };

export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { now } = options;
    const slots = createSlotChoice(options);
    const watch = startAttemptWatch(options.directory, now);
    const run = createAttemptRun({ ...options, watch });
    // Separate per rank, so that refusals of overnight work don't use up the retries of urgent work.
    const budgets = new Map(RANKS.map(rank => [rank, createRetryBudget(RETRY_BUDGET)]));
    let inProgress = 0;

    async function dispatch(work: Work, receiver: AnswerReceiver): Promise<DispatchResult> {
        inProgress++;
        try {
            return await runAttempts(work, receiver);
        }
        finally {
            inProgress--;
        }
    }

    async function runAttempts(work: Work, receiver: AnswerReceiver): Promise<DispatchResult> {
        const verdicts: Verdict[] = [];
        const tried = new Set<string>();
        const delivery: Delivery = { started: false, outputs: 0 };
        let last = failure(Verdict.notRun, `no agent of ${work.service} can take the request`);
        // Once a part of the answer was delivered, only the version that made it may continue it.
        let open = work;
        while (verdicts.length < MAX_ATTEMPTS && now() < work.deadline) {
            const slot = await slots.choose(open, tried, receiver.signal);
            if (slot.kind === "refused") {
                if (verdicts.length === 0) last = slot.failure;
                break;
            }
            if (verdicts.length > 0 && !budgets.get(work.rank)?.take()) {
                slot.release();
                break;
            }
            tried.add(slot.address);
            const bound = { ...open, rootDigest: slots.digestAt(open, slot.address) };
            const result = await run(bound, slot.address, delivery, receiver).finally(slot.release);
            if (delivery.started && bound.rootDigest !== "") open = { ...bound, servedDigests: [bound.rootDigest] };
            if (result.kind === "complete") {
                budgets.get(work.rank)?.success();
                slots.recordUse(work, slot.address);
                return result;
            }
            verdicts.push(result.verdict);
            last = result;
            log.info("request %s: %s (%s)", work.requestId, result.reason, result.verdict);
            const resumable = !delivery.started || (work.resumedBody !== undefined && delivery.outputs > 0);
            if (
                result.status !== 0 || !resumable || receiver.signal.aborted ||
                !canRetry(result.verdict, isRepeatable(work))
            ) break;
        }
        return { ...last, verdict: verdicts.length === 0 ? last.verdict : combineVerdicts(verdicts) };
    }

    return { dispatch, inProgress: () => inProgress, stop: watch.stop };
}
