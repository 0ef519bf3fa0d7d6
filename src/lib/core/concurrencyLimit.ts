/**
 * Adaptive limit on the number of concurrent requests on a backend server (additive increase, multiplicative
 * decrease). The limit falls by a tenth when more than 5% of the samples in a window exceed their latency target.
 * Otherwise it rises by one if it was reached during the window.
 */
import { FIRST_TOKEN_TARGET_MS, INTER_TOKEN_TARGET_MS } from "./rank.js";

export interface ConcurrencyLimit {
    readonly current: () => number;
    /** Records the time from sending a request to the backend server until its first token. */
    recordFirstToken(elapsedMs: number, runningCount: number, now: number): void;
    /** Records the mean time between the tokens of one answer. */
    recordTokenInterval(meanMs: number, runningCount: number, now: number): void;
}

export interface ConcurrencyLimitOptions {
    /** Upper bound and initial value of the limit. */
    readonly max: number;
}

/** Fraction of samples that may exceed their target. */
const ALLOWED_LATE_FRACTION = 0.05;
const DECREASE_FACTOR = 0.9;
/** A window ends once it has both this many samples and this age. */
const MIN_WINDOW_SAMPLES = 20;
const MIN_WINDOW_MS = 500;

export function createConcurrencyLimit({ max }: ConcurrencyLimitOptions): ConcurrencyLimit {
    let limit = max;
    let sampleCount = 0;
    let lateSampleCount = 0;
    let wasReached = false;
    let windowStartedAt = Number.NEGATIVE_INFINITY;

    function recordSample(isLate: boolean, runningCount: number, now: number): void {
        if (sampleCount === 0) windowStartedAt = now;
        sampleCount++;
        if (isLate) lateSampleCount++;
        if (runningCount >= Math.floor(limit)) wasReached = true;
        if (sampleCount >= MIN_WINDOW_SAMPLES && now - windowStartedAt >= MIN_WINDOW_MS) adjustLimit();
    }

    function adjustLimit(): void {
        if (lateSampleCount > sampleCount * ALLOWED_LATE_FRACTION) limit = Math.max(1, limit * DECREASE_FACTOR);
        else if (wasReached) limit = Math.min(max, limit + 1);
        sampleCount = 0;
        lateSampleCount = 0;
        wasReached = false;
    }

    return {
        current: () => Math.floor(limit),
        recordFirstToken: (elapsedMs, runningCount, now) =>
            recordSample(elapsedMs > FIRST_TOKEN_TARGET_MS, runningCount, now),
        recordTokenInterval: (meanMs, runningCount, now) =>
            recordSample(meanMs > INTER_TOKEN_TARGET_MS, runningCount, now),
    };
}
