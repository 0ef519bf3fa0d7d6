/** Limits retries to a fraction of recent successes, so that an overload isn't multiplied by retries. */

export interface RetryBudget {
    success(): void;
    /** Takes one retry out of the budget; returns false if there is none left. */
    take(): boolean;
}

export interface RetryBudgetOptions {
    /** Retries earned by one success. */
    readonly ratio: number;
    /** Budget at the start, and the most that can be saved up. */
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
