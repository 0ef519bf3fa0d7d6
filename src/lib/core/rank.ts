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

export function isRank(text: string): text is Rank {
    return RANKS.some(rank => rank === text);
}

/** Returns the less urgent of two ranks: an account can't exceed its highest allowed rank. */
export function capRank(requested: Rank, highest: Rank): Rank {
    return RANKS.indexOf(requested) < RANKS.indexOf(highest) ? highest : requested;
}
