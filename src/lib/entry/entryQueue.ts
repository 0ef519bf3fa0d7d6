/**
 * The second design, for comparison: requests wait in ranked queues at the entry, which sends an agent only
 * what fits its static share of the agent's slots. The share is the agent's limit divided by the entries.
 */
import { createRankedQueue, MAX_QUEUE_WAIT_MS, type QueueItem, type QueuePolicy, Verdict } from "../core/index.js";
import type { KnownAgent } from "./agentDirectory.js";
import type { Slot } from "./slotChoice.js";
import type { Work } from "./work.js";

export interface EntryQueue {
    /** Waits for a free slot of this entry's share at one of the candidates. */
    acquire(work: Work, candidates: () => readonly KnownAgent[], signal: AbortSignal): Promise<Slot>;
}

export interface EntryQueueOptions {
    readonly policy: (service: string) => QueuePolicy;
    /** Number of entries that share the agents. */
    readonly entries: () => number;
    readonly now: () => number;
}

interface Waiting {
    readonly candidates: () => readonly KnownAgent[];
    readonly settle: (slot: Slot) => void;
}

const MAX_QUEUED_PER_CLIENT = 512;
const MAX_QUEUED_PER_RANK = 2048;

/** Agents may appear or disappear without a slot being released. */
const PUMP_INTERVAL_MS = 250;

/** Weight of a new sample in the mean rate. */
const RATE_SMOOTHING = 0.05;

export function createEntryQueue(options: EntryQueueOptions): EntryQueue {
    const { now } = options;
    const queues = new Map<string, ReturnType<typeof createRankedQueue<Waiting>>>();
    const inFlight = new Map<string, number>();
    const slotRates = new Map<string, number>();
    let lastId = 0;

    function queueOf(service: string) {
        const known = queues.get(service);
        if (known !== undefined) return known;
        const created = createRankedQueue<Waiting>({
            policy: () => options.policy(service),
            maxPerClient: MAX_QUEUED_PER_CLIENT,
            maxPerRank: MAX_QUEUED_PER_RANK,
            maxWaitMs: MAX_QUEUE_WAIT_MS,
        });
        queues.set(service, created);
        return created;
    }

    function shareOf({ state }: KnownAgent): number {
        return Math.max(1, Math.floor(state.concurrencyLimit / Math.max(1, options.entries())));
    }

    function acquire(work: Work, candidates: () => readonly KnownAgent[], signal: AbortSignal): Promise<Slot> {
        const queue = queueOf(work.service);
        return new Promise(settle => {
            const item: QueueItem<Waiting> = {
                id: String(lastId++),
                rank: work.rank,
                client: work.client,
                cost: work.estimatedTokens,
                deadline: work.deadline,
                value: { candidates, settle },
            };
            const slots = candidates().reduce((sum, agent) => sum + shareOf(agent), 0);
            const rate = slotRates.get(work.service);
            const offer = queue.offer(item, now(), rate === undefined ? Infinity : rate * slots);
            if (offer.kind === "refused") return settle(refusal(offer.reason, offer.retryAfterMs));
            offer.displaced?.value.settle(refusal("the queue of the rank is full", PUMP_INTERVAL_MS));
            signal.addEventListener("abort", () => {
                if (queue.remove(item.id)) settle(refusal("the caller disconnected", 0));
            });
            pump(work.service);
        });
    }

    function pump(service: string): void {
        const queue = queueOf(service);
        for (const item of queue.expire(now())) item.value.settle(refusal("the deadline has passed", 0));
        // Candidates differ by request only while a version is switched; then the first taken one decides.
        while (queue.length() > 0 && freeAgents(anyCandidates(service)).length > 0) {
            const item = queue.take(now());
            if (item === undefined) return;
            const [agent] = freeAgents(item.value.candidates());
            if (agent === undefined) {
                item.value.settle(refusal("no agent can take the request", PUMP_INTERVAL_MS));
                continue;
            }
            start(service, item, agent.address);
        }
    }

    function start(service: string, item: QueueItem<Waiting>, address: string): void {
        const startedAt = now();
        inFlight.set(address, (inFlight.get(address) ?? 0) + 1);
        const release = () => {
            inFlight.set(address, (inFlight.get(address) ?? 1) - 1);
            const rate = 1000 * item.cost / Math.max(1, now() - startedAt);
            const known = slotRates.get(service) ?? rate;
            slotRates.set(service, known + RATE_SMOOTHING * (rate - known));
            pump(service);
        };
        item.value.settle({ kind: "chosen", address, release });
    }

    const latestCandidates = new Map<string, () => readonly KnownAgent[]>();

    function anyCandidates(service: string): readonly KnownAgent[] {
        return latestCandidates.get(service)?.() ?? [];
    }

    /** Agents with a free slot of the share, least loaded first. */
    function freeAgents(agents: readonly KnownAgent[]): KnownAgent[] {
        const used = (agent: KnownAgent) => (inFlight.get(agent.address) ?? 0) / shareOf(agent);
        return agents.filter(agent => used(agent) < 1).sort((a, b) => used(a) - used(b));
    }

    setInterval(() => [...queues.keys()].forEach(pump), PUMP_INTERVAL_MS).unref();
    return {
        acquire: (work, candidates, signal) => {
            latestCandidates.set(work.service, candidates);
            return acquire(work, candidates, signal);
        },
    };
}

function refusal(reason: string, retryAfterMs: number): Slot {
    return { kind: "refused", failure: { kind: "failed", verdict: Verdict.notRun, reason, retryAfterMs, status: 0 } };
}
