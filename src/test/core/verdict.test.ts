import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { canRetry, combineVerdicts, parseVerdict, Verdict } from "../../lib/core/verdict.js";
import { longTestParameters } from "../longTest.js";

const verdicts = fc.array(fc.constantFrom(...Object.values(Verdict)), { maxLength: 6 });

// Guards against reporting `notRun` to a caller although an attempt may have run.
test("a combined verdict is notRun only if every attempt is notRun", () => {
    const combines = fc.property(verdicts, attempts => {
        const combined = combineVerdicts(attempts);
        assert.equal(combined === Verdict.notRun, attempts.every(verdict => verdict === Verdict.notRun));
    });
    fc.assert(combines, longTestParameters({ seed: 1, numRuns: 200 }));
});

// Guards against treating a corrupted or unknown verdict as proof that nothing ran.
test("an unknown verdict is read as mayHaveRun", () => {
    assert.equal(parseVerdict("not-run"), Verdict.mayHaveRun);
    assert.equal(parseVerdict(""), Verdict.mayHaveRun);
});

// Guards against running non-idempotent work twice when the outcome of its first attempt is unknown.
test("non-idempotent work is retried only after notRun", () => {
    assert.equal(canRetry(Verdict.mayHaveRun, false), false);
    assert.equal(canRetry(Verdict.notRun, false), true);
    assert.equal(canRetry(Verdict.mayHaveRun, true), true);
    assert.equal(canRetry(Verdict.ran, true), false);
});
