/**
 * Deterministic subsetting: assigns a bounded subset of agents to each entry. Every entry computes the whole
 * assignment from the list of VMs, so equal lists give equal assignments without communication. Pairs of an entry
 * and an agent are linked in the order of their weight while both have capacity, pairs within a failure domain
 * first. The total capacity of the agents equals the total demand of the entries, which balances the load. The loss
 * of a VM affects only the pairs that compete for the capacity it frees.
 */
import { createHash } from "node:crypto";
import { orderMembers } from "./rendezvous.js";

export interface SubsetMember {
    readonly name: string;
    readonly failureDomain: string;
}

/**
 * Number of agents whose state an entry receives. 40 reports of 40 bytes a second are 1.6 KB/s, half of the limit
 * for control traffic.
 */
export const SUBSET_SIZE = 40;

/** An entry or an agent in the bipartite graph of links. */
interface Vertex {
    readonly name: string;
    readonly failureDomain: string;
    /** First 32 bits of the SHA-256 of the name. */
    readonly hash: number;
    readonly linked: Set<Vertex>;
    /** Number of further links that the vertex may have. */
    remainingCapacity: number;
}

interface Pair {
    readonly entry: Vertex;
    readonly agent: Vertex;
}

/** Names of the agents in each entry's subset, keyed by the entry's name. */
export type Subsets = Map<string, Set<string>>;

/** Assigns subsets of at most `size` agents. Use `assignSubsetsInSteps` where this would block other work. */
export function assignSubsets(
    entries: readonly SubsetMember[],
    agents: readonly SubsetMember[],
    size: number,
): Subsets {
    const steps = assignSubsetsInSteps(entries, agents, size);
    for (;;) {
        const step = steps.next();
        if (step.done === true) return step.value;
    }
}

/** As `assignSubsets`, but yields after each failure domain so that the caller can do other work in between. */
export function assignSubsetsInSteps(
    entries: readonly SubsetMember[],
    agents: readonly SubsetMember[],
    size: number,
): Generator<undefined, Subsets> {
    // Pairs of equal weight are linked in the order of the members, which must not depend on the order of the list.
    return assign(sortedByName(entries), sortedByName(agents), size);
}

function sortedByName(members: readonly SubsetMember[]): SubsetMember[] {
    return [...members].sort((a, b) => (a.name < b.name ? -1 : 1));
}

function* assign(
    entries: readonly SubsetMember[],
    agents: readonly SubsetMember[],
    size: number,
): Generator<undefined, Subsets> {
    const subsetSize = Math.min(size, agents.length);
    const agentCapacities = distributeCapacity(agents.map(({ name }) => name), entries.length * subsetSize);
    const entryVertices = entries.map(member => createVertex(member, subsetSize));
    const agentVertices = agents.map(member => createVertex(member, agentCapacities.get(member.name) ?? 0));
    const agentsByDomain = groupByDomain(agentVertices);
    for (const [domain, entriesOfDomain] of groupByDomain(entryVertices)) {
        // Pairs of different failure domains don't compete for capacity here.
        yield;
        linkPairs(pairsOf(entriesOfDomain, agentsByDomain.get(domain) ?? []));
    }
    yield;
    const openAgents = agentVertices.filter(({ remainingCapacity }) => remainingCapacity > 0);
    const openEntries = entryVertices.filter(({ remainingCapacity }) => remainingCapacity > 0);
    linkPairs(pairsOf(openEntries, openAgents));
    yield;
    linkRemainingBySwaps(entryVertices, agentVertices);
    return new Map(entryVertices.map(({ linked, name }) => [name, new Set([...linked].map(agent => agent.name))]));
}

/** Returns up to `count` replacements for lost agents of the subset, those of the entry's failure domain first. */
export function chooseSubstitutes(
    entry: SubsetMember,
    agents: readonly SubsetMember[],
    subset: ReadonlySet<string>,
    count: number,
): string[] {
    if (count === 0) return [];
    const outside = agents.filter(({ name }) => !subset.has(name));
    const sameDomain = outside.filter(({ failureDomain }) => failureDomain === entry.failureDomain);
    const otherDomains = outside.filter(({ failureDomain }) => failureDomain !== entry.failureDomain);
    const ordered = [sameDomain, otherDomains].flatMap(group =>
        orderMembers(entry.name, group.map(({ name }) => name))
    );
    return ordered.slice(0, count);
}

function createVertex({ failureDomain, name }: SubsetMember, remainingCapacity: number): Vertex {
    const hash = createHash("sha256").update(name).digest().readUInt32BE(0);
    return { name, failureDomain, hash, linked: new Set(), remainingCapacity };
}

/** Distributes the links evenly among the agents. The remainder goes to the first agents in rendezvous order. */
function distributeCapacity(agents: readonly string[], totalLinks: number): Map<string, number> {
    const base = Math.floor(totalLinks / agents.length);
    const remainder = totalLinks % agents.length;
    return new Map(orderMembers("room", agents).map((name, index) => [name, index < remainder ? base + 1 : base]));
}

function groupByDomain(vertices: readonly Vertex[]): Map<string, Vertex[]> {
    const groups = new Map<string, Vertex[]>();
    for (const vertex of vertices) {
        const group = groups.get(vertex.failureDomain);
        if (group === undefined) groups.set(vertex.failureDomain, [vertex]);
        else group.push(vertex);
    }
    return groups;
}

function pairsOf(entries: readonly Vertex[], agents: readonly Vertex[]): Pair[] {
    return entries.flatMap(entry => agents.map(agent => ({ entry, agent })));
}

/** Links pairs in the order of their weight while both vertices have capacity. */
function linkPairs(pairs: readonly Pair[]): void {
    // Each key encodes a pair's weight and index in one number, so that a million pairs sort without a comparator.
    const scale = Math.floor(Number.MAX_SAFE_INTEGER / Math.max(1, pairs.length) / 2 ** 32);
    const keys = Float64Array.from(pairs, (pair, index) => weightOf(pair) * scale * pairs.length + index);
    keys.sort();
    for (const key of keys) {
        const pair = pairs[key % pairs.length];
        if (pair === undefined || pair.entry.linked.has(pair.agent)) continue;
        if (pair.entry.remainingCapacity > 0 && pair.agent.remainingCapacity > 0) link(pair);
    }
}

/** Mixes both hashes with the finalizer of MurmurHash3. SHA-256 would take seconds for a million pairs. */
function weightOf({ agent, entry }: Pair): number {
    let mixed = entry.hash ^ Math.imul(agent.hash, 0x9e3779b1);
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * Uses up the remaining capacity. The last entries with capacity may already be linked to all agents with capacity.
 * Such an entry takes over an agent from another entry, which is linked to an agent with capacity instead.
 */
function linkRemainingBySwaps(entries: readonly Vertex[], agents: readonly Vertex[]): void {
    const openAgents = agents.filter(({ remainingCapacity }) => remainingCapacity > 0);
    for (const entry of entries) {
        for (const agent of openAgents) {
            while (entry.remainingCapacity > 0 && agent.remainingCapacity > 0 && linkBySwap(entry, agent, entries));
        }
    }
}

function linkBySwap(entry: Vertex, agent: Vertex, entries: readonly Vertex[]): boolean {
    if (!entry.linked.has(agent)) {
        link({ entry, agent });
        return true;
    }
    const donor = entries.find(other => !other.linked.has(agent) && findTransferableAgent(entry, other) !== undefined);
    const transferred = donor && findTransferableAgent(entry, donor);
    if (donor === undefined || transferred === undefined) return false;
    donor.linked.delete(transferred);
    donor.linked.add(agent);
    agent.remainingCapacity--;
    entry.linked.add(transferred);
    entry.remainingCapacity--;
    return true;
}

/** Returns an agent of the donor that the entry isn't linked to yet. */
function findTransferableAgent(entry: Vertex, donor: Vertex): Vertex | undefined {
    if (donor === entry) return undefined;
    return [...donor.linked].find(agent => !entry.linked.has(agent));
}

function link({ agent, entry }: Pair): void {
    entry.linked.add(agent);
    entry.remainingCapacity--;
    agent.remainingCapacity--;
}
