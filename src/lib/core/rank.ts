/** Ranks (priority classes) of requests and the latency targets of the service. */

export const Rank = {
    urgent: "urgent",
    standard: "standard",
    overnight: "overnight",
} as const;

export type Rank = (typeof Rank)[keyof typeof Rank];

/** All ranks, most urgent first. */
export const RANKS: readonly Rank[] = [Rank.urgent, Rank.standard, Rank.overnight];

/** Target for the time to the first token, which 95% of requests must meet. */
export const FIRST_TOKEN_TARGET_MS = 2000;

/** Target for the time between tokens, which 95% of requests must meet. */
export const INTER_TOKEN_TARGET_MS = 74;

/**
 * Longest predicted queue wait with which a request is admitted. For urgent requests it leaves the engine a quarter
 * of the time to the first token; for the others it is as long as callers typically wait.
 */
export const MAX_QUEUE_WAIT_MS: Readonly<Record<Rank, number>> = {
    urgent: 1500,
    standard: 8000,
    overnight: 60_000,
};

export function isRank(text: string): text is Rank {
    return RANKS.some(rank => rank === text);
}

/** Returns the requested rank, limited to the highest rank that the account may use. */
export function capRank(requested: Rank, highest: Rank): Rank {
    return RANKS.indexOf(requested) < RANKS.indexOf(highest) ? highest : requested;
}
