/**
 * Queues requests at the entry, as a baseline for comparison with queues at the agents. Requests wait in ranked queues
 * until this entry's static share of an agent's slots has room. The share is the agent's concurrency limit divided by
 * the number of entries.
 */
import { createRankedQueue, MAX_QUEUE_WAIT_MS, type QueueItem, type QueuePolicy, Verdict } from "../core/index.js";
import type { UsableAgent } from "./agentDirectory.js";
import type { Slot } from "./slotSelector.js";
import type { Work } from "./work.js";

export interface EntryQueue {
    /** Waits for a free slot in this entry's share of a candidate. Resolves with a refusal if there is none in time. */
    acquire(work: Work, candidates: () => readonly UsableAgent[], signal: AbortSignal): Promise<Slot>;
}

export interface EntryQueueOptions {
    readonly policy: (service: string) => QueuePolicy;
    /** Number of entries that share the agents. */
    readonly entryCount: () => number;
    /** Whether any failure domain is evacuated. Requests for which no agent is left then don't wait. */
    readonly hasEvacuations: () => boolean;
    readonly now: () => number;
}

interface QueuedRequest {
    readonly candidates: () => readonly UsableAgent[];
    readonly settle: (slot: Slot) => void;
}

const MAX_QUEUED_PER_CLIENT = 512;
const MAX_QUEUED_PER_RANK = 2048;

/** Interval at which queues are checked, because agents can appear or disappear without a slot being released. */
const QUEUE_CHECK_INTERVAL_MS = 250;

/** Weight of a new sample in the moving average of the token rate. */
const RATE_SMOOTHING_FACTOR = 0.05;

export function createEntryQueue(options: EntryQueueOptions): EntryQueue {
    const { now } = options;
    const queues = new Map<string, ReturnType<typeof createRankedQueue<QueuedRequest>>>();
    const inFlightByAddress = new Map<string, number>();
    const tokensPerSecondPerSlot = new Map<string, number>();
    let nextItemId = 0;

    function getOrCreateQueue(service: string) {
        const existing = queues.get(service);
        if (existing !== undefined) return existing;
        const created = createRankedQueue<QueuedRequest>({
            policy: () => options.policy(service),
            maxPerClient: MAX_QUEUED_PER_CLIENT,
            maxPerRank: MAX_QUEUED_PER_RANK,
            maxWaitMs: MAX_QUEUE_WAIT_MS,
        });
        queues.set(service, created);
        return created;
    }

    function slotShare({ state }: UsableAgent): number {
        return Math.max(1, Math.floor(state.concurrencyLimit / Math.max(1, options.entryCount())));
    }

    function acquire(work: Work, candidates: () => readonly UsableAgent[], signal: AbortSignal): Promise<Slot> {
        const queue = getOrCreateQueue(work.service);
        return new Promise(settle => {
            const item: QueueItem<QueuedRequest> = {
                id: String(nextItemId++),
                rank: work.rank,
                client: work.client,
                cost: work.estimatedTokens,
                deadline: work.deadline,
                value: { candidates, settle },
            };
            const slotCount = candidates().reduce((sum, agent) => sum + slotShare(agent), 0);
            const rate = tokensPerSecondPerSlot.get(work.service);
            const offer = queue.offer(item, now(), rate === undefined ? Infinity : rate * slotCount);
            if (offer.kind === "refused") return settle(refusedSlot(offer.reason, offer.retryAfterMs));
            offer.displaced?.value.settle(refusedSlot("the queue of the rank is full", QUEUE_CHECK_INTERVAL_MS));
            signal.addEventListener("abort", () => {
                if (queue.remove(item.id)) settle(refusedSlot("the caller disconnected", 0));
            });
            dispatchQueued(work.service);
        });
    }

    function dispatchQueued(service: string): void {
        const queue = getOrCreateQueue(service);
        for (const item of queue.expire(now())) item.value.settle(refusedSlot("the deadline has passed", 0));
        if (options.hasEvacuations() && candidatesOfLatestRequest(service).length === 0) {
            for (const item of queue.clear()) {
                item.value.settle(refusedSlot("no agent can take the request", QUEUE_CHECK_INTERVAL_MS));
            }
        }
        // Candidates differ between requests only during a rollout; those of the latest request decide whether to
        // take the next item, which is refused if its own candidates have no free slot.
        while (queue.length() > 0 && freeAgents(candidatesOfLatestRequest(service)).length > 0) {
            const item = queue.take(now());
            if (item === undefined) return;
            const [agent] = freeAgents(item.value.candidates());
            if (agent === undefined) {
                item.value.settle(refusedSlot("no agent can take the request", QUEUE_CHECK_INTERVAL_MS));
                continue;
            }
            occupySlot(service, item, agent.address);
        }
    }

    function occupySlot(service: string, item: QueueItem<QueuedRequest>, address: string): void {
        const startedAt = now();
        inFlightByAddress.set(address, (inFlightByAddress.get(address) ?? 0) + 1);
        const release = () => {
            inFlightByAddress.set(address, (inFlightByAddress.get(address) ?? 1) - 1);
            const rate = 1000 * item.cost / Math.max(1, now() - startedAt);
            const average = tokensPerSecondPerSlot.get(service) ?? rate;
            tokensPerSecondPerSlot.set(service, average + RATE_SMOOTHING_FACTOR * (rate - average));
            dispatchQueued(service);
        };
        item.value.settle({ kind: "chosen", address, release });
    }

    const latestCandidates = new Map<string, () => readonly UsableAgent[]>();

    function candidatesOfLatestRequest(service: string): readonly UsableAgent[] {
        return latestCandidates.get(service)?.() ?? [];
    }

    /** Returns the agents with a free slot in this entry's share, least loaded first. */
    function freeAgents(agents: readonly UsableAgent[]): UsableAgent[] {
        const usedFraction = (agent: UsableAgent) => (inFlightByAddress.get(agent.address) ?? 0) / slotShare(agent);
        return agents.filter(agent => usedFraction(agent) < 1).sort((a, b) => usedFraction(a) - usedFraction(b));
    }

    setInterval(() => [...queues.keys()].forEach(dispatchQueued), QUEUE_CHECK_INTERVAL_MS).unref();
    return {
        acquire: (work, candidates, signal) => {
            latestCandidates.set(work.service, candidates);
            return acquire(work, candidates, signal);
        },
    };
}

function refusedSlot(reason: string, retryAfterMs: number): Slot {
    return { kind: "refused", failure: { kind: "failed", verdict: Verdict.notRun, reason, retryAfterMs, status: 0 } };
}
