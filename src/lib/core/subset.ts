/**
 * Bounded subsets of agents for entries. Every entry computes the whole assignment from the VM list, so
 * that equal lists give equal assignments without any exchange. Pairs of entry and agent are taken in the
 * order of their weight while both have room; pairs of one failure domain come first. The room of all
 * agents together equals the need of all entries, which keeps the load even, and a lost VM moves only the
 * pairs that compete for the room that it leaves.
 */
import { createHash } from "node:crypto";
import { rankMembers } from "./rendezvous.js";

export interface SubsetMember {
    readonly name: string;
    readonly failureDomain: string;
}

/**
 * Agents of which an entry receives the state: 40 reports of 40 bytes a second are 1.6 KB/s, half of what
 * control functions may use.
 */
export const SUBSET_SIZE = 40;

interface Node {
    readonly name: string;
    readonly failureDomain: string;
    /** First word of the SHA-256 of the name. */
    readonly hash: number;
    readonly linked: Set<Node>;
    room: number;
}

interface Pair {
    readonly entry: Node;
    readonly agent: Node;
}

/** Names of each entry's agents, by the entry's name. */
export type Subsets = Map<string, Set<string>>;

/** Returns the subsets. `size` bounds each. Use `assignInSteps` where a long computation delays other work. */
export function assignSubsets(
    entries: readonly SubsetMember[],
    agents: readonly SubsetMember[],
    size: number,
): Subsets {
    const steps = assignInSteps(entries, agents, size);
    for (;;) {
        const step = steps.next();
        if (step.done === true) return step.value;
    }
}

/** Computes the same as `assignSubsets` and pauses after each failure domain, so that the caller can do other work. */
export function assignInSteps(
    entries: readonly SubsetMember[],
    agents: readonly SubsetMember[],
    size: number,
): Generator<undefined, Subsets> {
    // Pairs of equal weight are taken in the order of the members, which must not depend on that of the list.
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
    const bounded = Math.min(size, agents.length);
    const agentRooms = shareRoom(agents.map(({ name }) => name), entries.length * bounded);
    const entryNodes = entries.map(member => createNode(member, bounded));
    const agentNodes = agents.map(member => createNode(member, agentRooms.get(member.name) ?? 0));
    const agentsByDomain = byDomain(agentNodes);
    for (const [domain, entriesOfDomain] of byDomain(entryNodes)) {
        // Pairs of different failure domains don't compete for room here.
        yield;
        takePairs(pairsOf(entriesOfDomain, agentsByDomain.get(domain) ?? []));
    }
    yield;
    const openAgents = agentNodes.filter(({ room }) => room > 0);
    const openEntries = entryNodes.filter(({ room }) => room > 0);
    takePairs(pairsOf(openEntries, openAgents));
    yield;
    fillBySwaps(entryNodes, agentNodes);
    return new Map(entryNodes.map(({ linked, name }) => [name, new Set([...linked].map(agent => agent.name))]));
}

/** Returns the agents to use in place of lost ones, in order: own failure domain first. */
export function substitutesFor(
    entry: SubsetMember,
    agents: readonly SubsetMember[],
    subset: ReadonlySet<string>,
    count: number,
): string[] {
    if (count === 0) return [];
    const others = agents.filter(({ name }) => !subset.has(name));
    const near = others.filter(({ failureDomain }) => failureDomain === entry.failureDomain);
    const far = others.filter(({ failureDomain }) => failureDomain !== entry.failureDomain);
    const ranked = [near, far].flatMap(group => rankMembers(entry.name, group.map(({ name }) => name)));
    return ranked.slice(0, count);
}

function createNode({ failureDomain, name }: SubsetMember, room: number): Node {
    const hash = createHash("sha256").update(name).digest().readUInt32BE(0);
    return { name, failureDomain, hash, linked: new Set(), room };
}

/** Shares the need among the agents; those that take one more are the first in rendezvous order. */
function shareRoom(agents: readonly string[], need: number): Map<string, number> {
    const least = Math.floor(need / agents.length);
    const more = need % agents.length;
    return new Map(rankMembers("room", agents).map((name, index) => [name, index < more ? least + 1 : least]));
}

function byDomain(nodes: readonly Node[]): Map<string, Node[]> {
    const groups = new Map<string, Node[]>();
    for (const node of nodes) {
        const group = groups.get(node.failureDomain);
        if (group === undefined) groups.set(node.failureDomain, [node]);
        else group.push(node);
    }
    return groups;
}

function pairsOf(entries: readonly Node[], agents: readonly Node[]): Pair[] {
    return entries.flatMap(entry => agents.map(agent => ({ entry, agent })));
}

/** Links pairs in the order of their weight while both have room. */
function takePairs(pairs: readonly Pair[]): void {
    // A number holds a pair's weight and its index, so that a million pairs sort without comparator calls.
    const scale = Math.floor(Number.MAX_SAFE_INTEGER / Math.max(1, pairs.length) / 2 ** 32);
    const keys = Float64Array.from(pairs, (pair, index) => weightOf(pair) * scale * pairs.length + index);
    keys.sort();
    for (const key of keys) {
        const pair = pairs[key % pairs.length];
        if (pair === undefined || pair.entry.linked.has(pair.agent)) continue;
        if (pair.entry.room > 0 && pair.agent.room > 0) link(pair);
    }
}

/** Mixes both hashes with the finalizer of MurmurHash3: a SHA-256 for each of a million pairs takes seconds. */
function weightOf({ agent, entry }: Pair): number {
    let mixed = entry.hash ^ Math.imul(agent.hash, 0x9e3779b1);
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * The last entries with room can be linked to all agents with room already. Such an entry takes an agent
 * from another entry, which takes the agent with room.
 */
function fillBySwaps(entries: readonly Node[], agents: readonly Node[]): void {
    const open = agents.filter(({ room }) => room > 0);
    for (const entry of entries) {
        for (const agent of open) {
            while (entry.room > 0 && agent.room > 0 && swap(entry, agent, entries));
        }
    }
}

function swap(entry: Node, agent: Node, entries: readonly Node[]): boolean {
    if (!entry.linked.has(agent)) {
        link({ entry, agent });
        return true;
    }
    const donor = entries.find(other => !other.linked.has(agent) && givableTo(entry, other) !== undefined);
    const given = donor && givableTo(entry, donor);
    if (donor === undefined || given === undefined) return false;
    donor.linked.delete(given);
    donor.linked.add(agent);
    agent.room--;
    entry.linked.add(given);
    entry.room--;
    return true;
}

function givableTo(entry: Node, donor: Node): Node | undefined {
    if (donor === entry) return undefined;
    return [...donor.linked].find(agent => !entry.linked.has(agent));
}

function link({ agent, entry }: Pair): void {
    entry.linked.add(agent);
    entry.room--;
    agent.room--;
}
