/**
 * Selects the agent for an attempt: the one with the least predicted work, or one with a free slot in this entry's
 * share if requests are queued at the entry.
 */
import { chooseAgent, createAffinityTable, type Rank, RANKS, Verdict } from "../core/index.js";
import type { AgentDirectory, UsableAgent } from "./agentDirectory.js";
import type { EntryQueue } from "./entryQueue.js";
import { type DispatchFailure, failure, type Work } from "./work.js";

/** Where an attempt runs; `release` must be called when it has ended. */
export interface ChosenSlot {
    readonly kind: "chosen";
    readonly address: string;
    readonly release: () => void;
}

export type Slot =
    | ChosenSlot
    | { readonly kind: "refused"; readonly failure: DispatchFailure; };

export interface SlotSelector {
    /** Selects an untried agent that serves an eligible version. May wait if requests are queued at the entry. */
    select(work: Work, triedAddresses: ReadonlySet<string>, signal: AbortSignal): Promise<Slot>;
    /** Selects an untried agent that can start the work at once. */
    selectFree(work: Work, triedAddresses: ReadonlySet<string>): Slot;
    /** Returns the root digest that the agent serves: the work's own if the agent is gone, empty for plain services. */
    digestAt(work: Work, address: string): string;
    /** Records that the agent's engine probably has the work's prefix in its cache. */
    recordAffinity(work: Work, address: string): void;
}

export interface SlotSelectorOptions {
    readonly directory: AgentDirectory;
    /** Set if requests are queued at the entry instead of at the agents. */
    readonly queue: EntryQueue | undefined;
    /** `random` is a baseline for benchmarks. */
    readonly routing: "predictedWork" | "random";
    readonly now: () => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}

const AFFINITY_CAPACITY = 4096;

export function createSlotSelector(options: SlotSelectorOptions): SlotSelector {
    const { directory, now, random } = options;
    const affinities = createAffinityTable(AFFINITY_CAPACITY);

    async function select(work: Work, triedAddresses: ReadonlySet<string>, signal: AbortSignal): Promise<Slot> {
        const candidates = () => candidatesFor(work).filter(({ address }) => !triedAddresses.has(address));
        if (options.queue === undefined) return choose(work, candidates());
        if (candidates().length === 0) return refusedSlot(work);
        const slot = await options.queue.acquire(work, candidates, signal);
        if (slot.kind === "chosen") directory.recordDispatch(slot.address, now());
        return slot;
    }

    function selectFree(work: Work, triedAddresses: ReadonlySet<string>): Slot {
        const hasFreeSlot = ({ state, sentSinceReport }: UsableAgent) =>
            state.running + state.queued + sentSinceReport < state.concurrencyLimit;
        return choose(
            work,
            candidatesFor(work).filter(agent => {
                return !triedAddresses.has(agent.address) && hasFreeSlot(agent);
            }),
        );
    }

    function choose(work: Work, agents: readonly UsableAgent[]): Slot {
        const address = selectAddress(work, agents);
        if (address === undefined) return refusedSlot(work);
        directory.recordDispatch(address, now());
        return { kind: "chosen", address, release: () => undefined };
    }

    function candidatesFor(work: Work): UsableAgent[] {
        const { servedDigests } = work;
        return directory.usableAgents(work.service, now()).filter(({ state }) => {
            return servedDigests.length === 0 || servedDigests.includes(state.servingDigest);
        });
    }

    function digestAt(work: Work, address: string): string {
        if (work.servedDigests.length === 0) return "";
        const agent = directory.usableAgents(work.service, now()).find(candidate => candidate.address === address);
        return agent?.state.servingDigest ?? work.rootDigest;
    }

    function selectAddress(work: Work, agents: readonly UsableAgent[]): string | undefined {
        if (options.routing === "random") return agents[Math.floor(random() * agents.length)]?.address;
        const affinity = affinities.find(work.prefix, now());
        return chooseAgent(agents.map(agent => toCandidate(agent, work.rank)), affinity, random)?.address;
    }

    function recordAffinity(work: Work, address: string): void {
        if (work.prefix !== "") affinities.record(work.prefix, address, now());
    }

    return { select, selectFree, digestAt, recordAffinity };
}

function refusedSlot({ service }: Work): Slot {
    return { kind: "refused", failure: failure(Verdict.notRun, `no agent of ${service} can take the request`) };
}

function toCandidate({ address, state, sentSinceReport, isObserved }: UsableAgent, rank: Rank) {
    return {
        address,
        running: state.running,
        queued: state.queued,
        limit: state.concurrencyLimit,
        predictedWaitMs: state.predictedWaitMs[RANKS.indexOf(rank)] ?? 0,
        sentSinceReport,
        isObserved,
    };
}
