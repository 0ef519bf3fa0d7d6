/**
 * Retry budget of one process, which limits retries to a fraction of recent successes so that they don't amplify an
 * overload. `serving/sharedRetryBudget` is the budget that all entries share.
 */

export interface RetryBudget {
    /** Adds to the budget for one successful request. */
    recordSuccess(): void;
    /** Takes one retry from the budget; returns false if none is left. */
    tryTake(): boolean;
}

export interface RetryBudgetOptions {
    /** Retries added for each success. */
    readonly ratio: number;
    /** Initial and largest budget. */
    readonly burst: number;
}

export function createRetryBudget({ ratio, burst }: RetryBudgetOptions): RetryBudget {
    let available = burst;
    return {
        recordSuccess: () => {
            available = Math.min(burst, available + ratio);
        },
        tryTake: () => {
            if (available < 1) return false;
            available -= 1;
            return true;
        },
    };
}
