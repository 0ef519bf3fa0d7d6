/** Retry budget, which limits retries to a fraction of recent successes so that they don't amplify an overload. */

export interface RetryBudget {
    /** Adds to the budget for one successful request. */
    success(): void;
    /** Takes one retry from the budget; returns false if none is left. */
    take(): boolean;
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
        success: () => {
            available = Math.min(burst, available + ratio);
        },
        take: () => {
            if (available < 1) return false;
            available -= 1;
            return true;
        },
    };
}
