/**
 * Parameters of property tests. `npm test` uses the fixed seed. `npm run test:long` sets
 * `ENDIVEWELL_LONG_TEST_MS`: each property then runs with a fresh seed until the time is over, and
 * fast-check prints the seed and the path of a failure.
 */
export interface FixedParameters {
    readonly seed: number;
    readonly numRuns: number;
}

export function longTestParameters(fixed: FixedParameters) {
    const budget = Number(process.env.ENDIVEWELL_LONG_TEST_MS ?? 0);
    if (budget === 0) return fixed;
    return { seed: Date.now() % 2 ** 31, numRuns: Number.MAX_SAFE_INTEGER, interruptAfterTimeLimit: budget };
}
