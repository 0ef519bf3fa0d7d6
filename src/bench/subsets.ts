/**
 * Benchmark `subsets`: assignment of agents to entries at the fleet size expected in two years, without processes. It
 * measures how evenly agents are loaded and how many connections are new after the loss of one VM.
 *
 * Options: `--runners N` agents (2400), `--entries N` (420), `--size N` agents per entry, `--samples N` lost VMs of
 * each role (20), `--seed N` (1).
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { assignSubsets, assignSubsetsInSteps, SUBSET_SIZE, type SubsetMember } from "../lib/core/index.js";
import type { BenchResults } from "./bench.js";

const FAILURE_DOMAIN_COUNT = 9;

type Assignment = ReadonlyMap<string, ReadonlySet<string>>;

export async function run(options: Readonly<Record<string, string>>): Promise<BenchResults> {
    const agents = createMembers("runner", Number(options.runners ?? 2400));
    const entries = createMembers("entry", Number(options.entries ?? 420));
    const subsetSize = Number(options.size ?? SUBSET_SIZE);
    const samples = Number(options.samples ?? 20);
    const generator = xoroshiro128plus(Number(options.seed ?? 1));
    const startedAt = performance.now();
    const assignment = assignSubsets(entries, agents, subsetSize);
    const assignmentMs = performance.now() - startedAt;
    const longestMs = longestStepMs(entries, agents, subsetSize);
    const agentLosses: number[] = [];
    const entryLosses: number[] = [];
    let worstRatio = maxToMinLoadRatio(assignment, agents);
    for (let sample = 0; sample < samples; sample++) {
        const fewerAgents = agents.toSpliced(uniformInt(generator, 0, agents.length - 1), 1);
        const withoutAgent = assignSubsets(entries, fewerAgents, subsetSize);
        agentLosses.push(countNewConnections(assignment, withoutAgent));
        const fewerEntries = entries.toSpliced(uniformInt(generator, 0, entries.length - 1), 1);
        const withoutEntry = assignSubsets(fewerEntries, agents, subsetSize);
        entryLosses.push(countNewConnections(assignment, withoutEntry));
        worstRatio = Math.max(
            worstRatio,
            maxToMinLoadRatio(withoutAgent, fewerAgents),
            maxToMinLoadRatio(withoutEntry, agents),
        );
    }
    return {
        runners: agents.length,
        entries: entries.length,
        subsetSize,
        connections: entries.length * subsetSize,
        smallestSubset: Math.min(...[...assignment.values()].map(subset => subset.size)),
        mostToLeastLoaded: maxToMinLoadRatio(assignment, agents),
        mostToLeastLoadedAfterLoss: worstRatio,
        ownDomainShare: ownDomainShare(assignment, entries, agents),
        newConnectionsPerLostRunner: { mean: mean(agentLosses), most: Math.max(...agentLosses) },
        newConnectionsPerLostEntry: { mean: mean(entryLosses), most: Math.max(...entryLosses) },
        assignMilliseconds: Math.round(assignmentMs),
        longestStepMilliseconds: Math.round(longestMs),
    };
}

/** Longest time for which the stepwise assignment blocks the event loop, measured on optimized code. */
function longestStepMs(entries: readonly SubsetMember[], agents: readonly SubsetMember[], subsetSize: number): number {
    const steps = assignSubsetsInSteps(entries, agents, subsetSize);
    let longest = 0;
    for (let isDone = false; !isDone;) {
        const startedAt = performance.now();
        isDone = steps.next().done === true;
        longest = Math.max(longest, performance.now() - startedAt);
    }
    return longest;
}

function createMembers(prefix: string, count: number): SubsetMember[] {
    return Array.from({ length: count }, (_, index) => {
        return { name: `${prefix}-${index}`, failureDomain: `domain-${index % FAILURE_DOMAIN_COUNT}` };
    });
}

function maxToMinLoadRatio(assignment: Assignment, agents: readonly SubsetMember[]): number {
    const loads = new Map(agents.map(({ name }) => [name, 0]));
    for (const subset of assignment.values()) {
        for (const agent of subset) loads.set(agent, (loads.get(agent) ?? 0) + 1);
    }
    return Math.max(...loads.values()) / Math.min(...loads.values());
}

/** Counts the connections that entries open because of the change. */
function countNewConnections(before: Assignment, after: Assignment): number {
    let newCount = 0;
    for (const [entry, subset] of after) {
        for (const agent of subset) if (before.get(entry)?.has(agent) !== true) newCount++;
    }
    return newCount;
}

function ownDomainShare(
    assignment: Assignment,
    entries: readonly SubsetMember[],
    agents: readonly SubsetMember[],
): number {
    const domains = new Map([...entries, ...agents].map(({ failureDomain, name }) => [name, failureDomain]));
    const pairs = [...assignment].flatMap(([entry, subset]) => [...subset].map(agent => [entry, agent] as const));
    return pairs.filter(([entry, agent]) => domains.get(entry) === domains.get(agent)).length / pairs.length;
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
