/** Parameters of property tests. */

export interface FixedParameters {
    readonly seed: number;
    readonly numRuns: number;
}

/**
 * Returns the fast-check parameters of a property test. `npm test` uses the fixed seed and number of runs. `npm run
 * test:long` sets `ENDIVEWELL_LONG_TEST_MS`: each property then runs with a new seed until that time is over, and
 * fast-check prints the seed and the path of a failure.
 */
export function longTestParameters(fixed: FixedParameters) {
    const timeLimitMs = Number(process.env.ENDIVEWELL_LONG_TEST_MS ?? 0);
    if (timeLimitMs === 0) return fixed;
    return { seed: Date.now() % 2 ** 31, numRuns: Number.MAX_SAFE_INTEGER, interruptAfterTimeLimit: timeLimitMs };
}
