import assert from "node:assert/strict";
import { test } from "node:test";
import { run } from "../../bench/faults.js";

// Guards against calls that run twice, are lost, get a mixed or foreign response, are wrongly reported as not run, or
// are interrupted by a drain while separate processes fail. The benchmark `faults` makes 20,000 calls; this test makes
// fewer.
test("calls through failing processes keep every guarantee", async () => {
    const results = await run({ calls: "1500", workers: "20", seed: "3" });
    const none = { doubled: 0, lost: 0, mixed: 0, foreign: 0, notRunButRan: 0, cutByDrain: 0 };
    assert.deepEqual(results.violations, none, JSON.stringify(results));
});
