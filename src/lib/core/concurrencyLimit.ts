/**
 * Adapts the number of requests that run at the same time on a backend server. The limit falls by a tenth
 * when more than 5 in 100 samples of a window exceed a target, and rises by one while it is the bottleneck.
 */
import { FIRST_TOKEN_TARGET_MS, INTER_TOKEN_TARGET_MS } from "./rank.js";

export interface ConcurrencyLimit {
    readonly current: () => number;
    /** Time from sending a request to the backend server until its first token. */
    firstToken(elapsedMs: number, running: number, now: number): void;
    /** Mean time between the tokens of one answer. */
    betweenTokens(meanMs: number, running: number, now: number): void;
}

export interface ConcurrencyLimitOptions {
    /** Greatest limit, and the first one. */
    readonly max: number;
}

/** Fraction of late samples that the targets allow. */
const ALLOWED_LATE = 0.05;
const DECREASE = 0.9;
/** A window ends when it has this many samples and is this old. */
const WINDOW_SAMPLES = 20;
const WINDOW_MS = 500;

export function createConcurrencyLimit({ max }: ConcurrencyLimitOptions): ConcurrencyLimit {
    let limit = max;
    let samples = 0;
    let late = 0;
    let saturated = false;
    let startedAt = Number.NEGATIVE_INFINITY;

    function add(isLate: boolean, running: number, now: number): void {
        if (samples === 0) startedAt = now;
        samples++;
        if (isLate) late++;
        if (running >= Math.floor(limit)) saturated = true;
        if (samples >= WINDOW_SAMPLES && now - startedAt >= WINDOW_MS) adapt();
    }

    function adapt(): void {
        if (late > samples * ALLOWED_LATE) limit = Math.max(1, limit * DECREASE);
        else if (saturated) limit = Math.min(max, limit + 1);
        samples = 0;
        late = 0;
        saturated = false;
    }

    return {
        current: () => Math.floor(limit),
        firstToken: (elapsedMs, running, now) => add(elapsedMs > FIRST_TOKEN_TARGET_MS, running, now),
        betweenTokens: (meanMs, running, now) => add(meanMs > INTER_TOKEN_TARGET_MS, running, now),
    };
}
