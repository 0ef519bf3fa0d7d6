/**
 * Chooses an agent: two random candidates are compared by predicted work. Load reports lag, so requests
 * that were sent since the last report are added. An agent that has the prompt's prefix cached joins the
 * comparison with a bonus that decays with age and doesn't count once the agent is overloaded.
 */

export interface Candidate {
    readonly address: string;
    /** From the agent's last report. */
    readonly running: number;
    readonly queued: number;
    readonly limit: number;
    /** Predicted wait of a request of this rank. */
    readonly predictedWaitMs: number;
    /** Own requests sent to the agent since that report. */
    readonly sentSinceReport: number;
}

export interface PrefixAffinity {
    readonly address: string;
    /** Time since the prefix was last used there. */
    readonly ageMs: number;
}

/** Typical time that a request occupies a slot; it weighs requests in flight against predicted waits. */
const REQUEST_MS = 1000;
const AFFINITY_BONUS_MS = 400;
const AFFINITY_HALF_LIFE_MS = 60_000;
/** A candidate with a longer predicted wait counts as overloaded. */
const OVERLOAD_WAIT_MS = 500;

/** `random` returns numbers in [0, 1). Returns `undefined` if there are no candidates. */
export function chooseAgent<T extends Candidate>(
    candidates: readonly T[],
    affinity: PrefixAffinity | undefined,
    random: () => number,
): T | undefined {
    if (candidates.length === 0) return undefined;
    const first = Math.floor(random() * candidates.length);
    const offset = 1 + Math.floor(random() * (candidates.length - 1));
    const compared = [candidates[first], candidates[(first + offset) % candidates.length]];
    compared.push(candidates.find(({ address }) => address === affinity?.address));
    return compared
        .filter(candidate => candidate !== undefined)
        .reduce((best, candidate) => scoreOf(candidate, affinity) < scoreOf(best, affinity) ? candidate : best);
}

/** Predicted work ahead of a new request, in milliseconds. */
export function predictedWorkMs({ running, limit, predictedWaitMs, sentSinceReport }: Candidate): number {
    return predictedWaitMs + REQUEST_MS * (running + sentSinceReport) / Math.max(1, limit);
}

function scoreOf(candidate: Candidate, affinity: PrefixAffinity | undefined): number {
    const work = predictedWorkMs(candidate);
    if (affinity === undefined || affinity.address !== candidate.address || isOverloaded(candidate)) return work;
    return work - AFFINITY_BONUS_MS * 0.5 ** (affinity.ageMs / AFFINITY_HALF_LIFE_MS);
}

function isOverloaded({ running, limit, predictedWaitMs, sentSinceReport }: Candidate): boolean {
    return predictedWaitMs > OVERLOAD_WAIT_MS || running + sentSinceReport >= limit;
}

/** Remembers where prefixes were used last. Bounded: the prefix that was used longest ago is forgotten. */
export interface AffinityTable {
    find(prefix: string, now: number): PrefixAffinity | undefined;
    record(prefix: string, address: string, now: number): void;
}

export function createAffinityTable(capacity: number): AffinityTable {
    // A Map keeps the order of insertion, so its first key is the oldest.
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
