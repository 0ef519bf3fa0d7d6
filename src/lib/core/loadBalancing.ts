/**
 * Load balancing between agents by the power of two choices: of two random candidates, the one with less predicted
 * work is chosen. Load reports lag, so requests sent since the last report are added. An agent that has the prompt's
 * prefix cached is compared as well, with a bonus that decays with age and is withdrawn while it is overloaded. An agent
 * that has just switched versions is compared without that bonus, because its first requests show whether the version
 * works.
 */

/** An agent that may be chosen, with its load. */
export interface AgentCandidate {
    readonly address: string;
    /** This and the next three fields come from the agent's last report. */
    readonly running: number;
    readonly queued: number;
    readonly limit: number;
    /** Predicted wait of a request of the rank in question. */
    readonly predictedWaitMs: number;
    /** Requests that this process sent to the agent since that report. */
    readonly sentSinceReport: number;
    /** Whether the agent switched versions so recently that its first requests may not have been evaluated yet. */
    readonly isObserved: boolean;
}

export interface PrefixAffinity {
    readonly address: string;
    /** Time since a request with the prefix was last sent to the agent. */
    readonly ageMs: number;
}

/** Typical time that a request occupies a slot, used to convert in-flight requests to a predicted wait. */
const TYPICAL_REQUEST_MS = 1000;

/** Predicted work by which an agent with the cached prefix may exceed another one and still be chosen. */
const AFFINITY_BONUS_MS = 400;

/** Age of the prefix's last use at which the bonus has halved. */
const AFFINITY_HALF_LIFE_MS = 60_000;

/** Predicted wait above which a candidate is overloaded. */
const OVERLOAD_WAIT_MS = 500;

/** Chooses a candidate, or returns `undefined` if there are none. `random` returns numbers in [0, 1). */
export function chooseAgent<T extends AgentCandidate>(
    candidates: readonly T[],
    affinity: PrefixAffinity | undefined,
    random: () => number,
): T | undefined {
    if (candidates.length === 0) return undefined;
    const first = Math.floor(random() * candidates.length);
    const offset = 1 + Math.floor(random() * (candidates.length - 1));
    const sampled = [candidates[first], candidates[(first + offset) % candidates.length]];
    const usedAffinity = sampled.some(candidate => candidate?.isObserved === true) ? undefined : affinity;
    return [...sampled, candidates.find(({ address }) => address === usedAffinity?.address)]
        .filter(candidate => candidate !== undefined)
        .reduce((best, candidate) => scoreOf(candidate, usedAffinity) < scoreOf(best, usedAffinity) ? candidate : best);
}

/** Returns the predicted work ahead of a new request, in milliseconds. */
export function predictedWorkMs({ running, limit, predictedWaitMs, sentSinceReport }: AgentCandidate): number {
    return predictedWaitMs + TYPICAL_REQUEST_MS * (running + sentSinceReport) / Math.max(1, limit);
}

function scoreOf(candidate: AgentCandidate, affinity: PrefixAffinity | undefined): number {
    const workMs = predictedWorkMs(candidate);
    if (affinity === undefined || affinity.address !== candidate.address || isOverloaded(candidate)) return workMs;
    return workMs - AFFINITY_BONUS_MS * 0.5 ** (affinity.ageMs / AFFINITY_HALF_LIFE_MS);
}

function isOverloaded({ running, limit, predictedWaitMs, sentSinceReport }: AgentCandidate): boolean {
    return predictedWaitMs > OVERLOAD_WAIT_MS || running + sentSinceReport >= limit;
}

/** Table of the agents at which prompt prefixes were last used. The least recently used prefix is evicted. */
export interface AffinityTable {
    find(prefix: string, now: number): PrefixAffinity | undefined;
    record(prefix: string, address: string, now: number): void;
}

export function createAffinityTable(capacity: number): AffinityTable {
    // A Map keeps insertion order, so its first key is the least recently used.
    const uses = new Map<string, { address: string; usedAt: number; }>();

    function find(prefix: string, now: number): PrefixAffinity | undefined {
        const use = uses.get(prefix);
        return use && { address: use.address, ageMs: now - use.usedAt };
    }

    function record(prefix: string, address: string, now: number): void {
        uses.delete(prefix);
        uses.set(prefix, { address, usedAt: now });
        const [oldest] = uses.keys();
        if (uses.size > capacity && oldest !== undefined) uses.delete(oldest);
    }

    return { find, record };
}
