/**
 * Judges a replica by its first requests after a switch of versions. The rollout is halted when most of
 * them fail. Requests before the first switch don't count: no rollout caused their failures.
 */

export type RolloutJudgement = "open" | "healthy" | "failing";

/** Requests that are looked at. */
const FIRST_REQUESTS = 5;

/** Failures among them that halt the rollout; fewer can come from a single bad request that is retried. */
const FAILURES_TO_HALT = 3;

/** Judges the outcomes of the first requests in order; `true` stands for success. */
export function judgeRollout(outcomes: readonly boolean[]): RolloutJudgement {
    const first = outcomes.slice(0, FIRST_REQUESTS);
    const failures = first.filter(succeeded => !succeeded).length;
    if (failures >= FAILURES_TO_HALT) return "failing";
    return first.length - failures > FIRST_REQUESTS - FAILURES_TO_HALT ? "healthy" : "open";
}
