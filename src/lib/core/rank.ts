/** The ranks of work, most urgent first, and the service targets that hold for all of them. */

export const Rank = {
    urgent: "urgent",
    standard: "standard",
    overnight: "overnight",
} as const;

export type Rank = (typeof Rank)[keyof typeof Rank];

/** All ranks, most urgent first. */
export const RANKS: readonly Rank[] = [Rank.urgent, Rank.standard, Rank.overnight];

/** Time to the first token that 95 in 100 requests must meet. */
export const FIRST_TOKEN_TARGET_MS = 2000;

/** Time between tokens that 95 in 100 requests must meet. */
export const INTER_TOKEN_TARGET_MS = 74;

/**
 * Longest predicted wait with which a request is admitted. Urgent work keeps a quarter of the time to the
 * first token for the engine; the others may wait as long as a caller usually does.
 */
export const MAX_QUEUE_WAIT_MS: Readonly<Record<Rank, number>> = {
    urgent: 1500,
    standard: 8000,
    overnight: 60_000,
};

export function isRank(text: string): text is Rank {
    return RANKS.some(rank => rank === text);
}

/** Returns the less urgent of two ranks: an account can't exceed its highest allowed rank. */
export function capRank(requested: Rank, highest: Rank): Rank {
    return RANKS.indexOf(requested) < RANKS.indexOf(highest) ? highest : requested;
}
