/**
 * Chooses where an attempt runs: the agent with the least predicted work, or a free slot of the entry's share
 * if requests wait at the entry.
 */
import { chooseAgent, createAffinityTable, type Rank, RANKS, Verdict } from "../core/index.js";
import type { AgentDirectory, KnownAgent } from "./agentDirectory.js";
import type { EntryQueue } from "./entryQueue.js";
import { type DispatchFailure, failure, type Work } from "./work.js";

/** Where an attempt runs; `release` must be called when it has ended. */
export type Slot =
    | { readonly kind: "chosen"; readonly address: string; readonly release: () => void; }
    | { readonly kind: "refused"; readonly failure: DispatchFailure; };

export interface SlotChoice {
    /** Chooses among the agents that serve a version which may answer, without those that were tried before. */
    choose(work: Work, tried: ReadonlySet<string>, signal: AbortSignal): Promise<Slot>;
    /** Returns the version that the agent serves. */
    digestAt(work: Work, address: string): string;
    /** Remembers that the agent's engine probably holds the work's prefix in its cache. */
    recordUse(work: Work, address: string): void;
}

export interface SlotChoiceOptions {
    readonly directory: AgentDirectory;
    /** Set if requests wait at the entry rather than at the agents. */
    readonly queue: EntryQueue | undefined;
    /** `random` is a baseline for benches. */
    readonly routing: "predictedWork" | "random";
    readonly now: () => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}

const AFFINITY_CAPACITY = 4096;

export function createSlotChoice(options: SlotChoiceOptions): SlotChoice {
    const { directory, now, random } = options;
    const affinities = createAffinityTable(AFFINITY_CAPACITY);

    async function choose(work: Work, tried: ReadonlySet<string>, signal: AbortSignal): Promise<Slot> {
        const candidates = () => candidatesFor(work).filter(({ address }) => !tried.has(address));
        const found = candidates();
        if (found.length === 0) {
            const reason = `no agent of ${work.service} can take the request`;
            return { kind: "refused", failure: failure(Verdict.notRun, reason) };
        }
        if (options.queue !== undefined) return options.queue.acquire(work, candidates, signal);
        return { kind: "chosen", address: chooseAddress(work, found) ?? "", release: () => undefined };
    }

    function candidatesFor(work: Work): KnownAgent[] {
        const { servedDigests } = work;
        return directory.usable(work.service, now()).filter(({ state }) => {
            return servedDigests.length === 0 || servedDigests.includes(state.servingDigest);
        });
    }

    function digestAt(work: Work, address: string): string {
        if (work.servedDigests.length === 0) return "";
        const agent = directory.usable(work.service, now()).find(known => known.address === address);
        return agent?.state.servingDigest ?? work.rootDigest;
    }

    function chooseAddress(work: Work, found: readonly KnownAgent[]): string | undefined {
        if (options.routing === "random") return found[Math.floor(random() * found.length)]?.address;
        const affinity = affinities.find(work.prefix, now());
        return chooseAgent(found.map(agent => toCandidate(agent, work.rank)), affinity, random)?.address;
    }

    function recordUse(work: Work, address: string): void {
        if (work.prefix !== "") affinities.record(work.prefix, address, now());
    }

    return { choose, digestAt, recordUse };
}

function toCandidate({ address, state, sentSinceReport }: KnownAgent, rank: Rank) {
    return {
        address,
        running: state.running,
        queued: state.queued,
        limit: state.concurrencyLimit,
        predictedWaitMs: state.predictedWaitMs[RANKS.indexOf(rank)] ?? 0,
        sentSinceReport,
    };
}
