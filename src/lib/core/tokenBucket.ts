/**
 * Token bucket for rate-limiting a link. A caller reserves its whole amount at once, even beyond the available
 * tokens, and is told how long to wait. This serves callers in order of arrival and needs no timer.
 */

export interface TokenBucket {
    /** Reserves `amount` tokens and returns how many milliseconds to wait before using them. */
    reserve(amount: number, now: number): number;
    /** Returns the current delay in milliseconds without reserving any tokens. */
    delayMs(now: number): number;
}

export interface TokenBucketOptions {
    /** Tokens, usually bytes, added each second. */
    readonly ratePerSecond: number;
    /** Capacity of the bucket: the largest amount that passes without a wait after an idle period. */
    readonly burst: number;
}

export function createTokenBucket(options: TokenBucketOptions): TokenBucket {
    const msPerToken = 1000 / options.ratePerSecond;
    const burstMs = options.burst * msPerToken;
    // Time at which the bucket has been refilled for all tokens reserved so far.
    let nextFreeAt = Number.NEGATIVE_INFINITY;

    function delayMs(now: number): number {
        return Math.max(0, nextFreeAt - now);
    }

    function reserve(amount: number, now: number): number {
        nextFreeAt = Math.max(nextFreeAt, now - burstMs);
        const waitMs = delayMs(now);
        nextFreeAt += amount * msPerToken;
        return waitMs;
    }

    return { reserve, delayMs };
}
