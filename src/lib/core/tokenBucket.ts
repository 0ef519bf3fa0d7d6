/**
 * A token bucket that paces a link. It lends: a caller takes its whole amount at once and is told how
 * long to wait, which keeps callers in order of arrival and needs no timer of its own.
 */

export interface TokenBucket {
    /** Takes `amount` tokens and returns the milliseconds to wait before using them. */
    take(amount: number, now: number): number;
    /** Returns the milliseconds that a taker of no tokens would wait at `now`. */
    delay(now: number): number;
}

export interface TokenBucketOptions {
    /** Tokens (usually bytes) a second. */
    readonly ratePerSecond: number;
    /** Largest amount that passes without a wait after a pause. */
    readonly burst: number;
}

export function createTokenBucket(options: TokenBucketOptions): TokenBucket {
    const msPerToken = 1000 / options.ratePerSecond;
    const burstMs = options.burst * msPerToken;
    // The time at which every token taken so far has been paid for.
    let paidAt = Number.NEGATIVE_INFINITY;

    function delay(now: number): number {
        return Math.max(0, paidAt - now);
    }

    function take(amount: number, now: number): number {
        paidAt = Math.max(paidAt, now - burstMs);
        const wait = delay(now);
        paidAt += amount * msPerToken;
        return wait;
    }

    return { take, delay };
}
