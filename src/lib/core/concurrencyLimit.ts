/**
 * Adaptive limit on the number of concurrent requests on a backend server (additive increase, multiplicative
 * decrease). The limit falls by a tenth when more than 5% of the samples in a window exceed their latency target.
 * Otherwise it rises by one if it was reached during the window.
 */
import { FIRST_TOKEN_TARGET_MS, INTER_TOKEN_TARGET_MS } from "./rank.js";

export interface ConcurrencyLimit {
    readonly current: () => number;
    /** Records the time from sending a request to the backend server until its first token. */
    recordFirstToken(elapsedMs: number, running: number, now: number): void;
    /** Records the mean time between the tokens of one answer. */
    recordTokenInterval(meanMs: number, running: number, now: number): void;
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
    let samples = 0;
    let lateSamples = 0;
    let saturated = false;
    let windowStartedAt = Number.NEGATIVE_INFINITY;

    function recordSample(isLate: boolean, running: number, now: number): void {
        if (samples === 0) windowStartedAt = now;
        samples++;
        if (isLate) lateSamples++;
        if (running >= Math.floor(limit)) saturated = true;
        if (samples >= MIN_WINDOW_SAMPLES && now - windowStartedAt >= MIN_WINDOW_MS) adjustLimit();
    }

    function adjustLimit(): void {
        if (lateSamples > samples * ALLOWED_LATE_FRACTION) limit = Math.max(1, limit * DECREASE_FACTOR);
        else if (saturated) limit = Math.min(max, limit + 1);
        samples = 0;
        lateSamples = 0;
        saturated = false;
    }

    return {
        current: () => Math.floor(limit),
        recordFirstToken: (elapsedMs, running, now) => recordSample(elapsedMs > FIRST_TOKEN_TARGET_MS, running, now),
        recordTokenInterval: (meanMs, running, now) => recordSample(meanMs > INTER_TOKEN_TARGET_MS, running, now),
    };
}
