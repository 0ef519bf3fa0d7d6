/**
 * Health check of a replica after it has switched versions, based on its first requests. A rollout is halted if
 * most of them fail. Requests before the first switch don't count, because no rollout caused their failures.
 */

/** `open` means that there are too few outcomes to decide. */
export type RolloutHealth = "open" | "healthy" | "failing";

/** Number of requests after a switch that are evaluated. */
const EVALUATED_REQUESTS = 5;

/** Failures that halt the rollout; fewer could be caused by one bad request and its retries. */
const FAILURE_THRESHOLD = 3;

/**
 * How long a replica is observed after a switch, in milliseconds, while too few requests have shown whether the version
 * works.
 */
export const OBSERVATION_TIMEOUT_MS = 2000;

/** Evaluates the outcomes of the requests since the switch, oldest first; `true` is a success. */
export function evaluateRollout(outcomes: readonly boolean[]): RolloutHealth {
    const evaluated = outcomes.slice(0, EVALUATED_REQUESTS);
    const failures = evaluated.filter(succeeded => !succeeded).length;
    if (failures >= FAILURE_THRESHOLD) return "failing";
    return evaluated.length - failures > EVALUATED_REQUESTS - FAILURE_THRESHOLD ? "healthy" : "open";
}
