import assert from "node:assert/strict";
import { test } from "node:test";
import { createRetryBudget } from "../../lib/core/index.js";

// Guards against a retry storm: without successes, the budget runs out.
test("retries are limited to the burst plus a fraction of the successes", () => {
    const budget = createRetryBudget({ ratio: 0.1, burst: 5 });
    const takeAll = () => Array.from({ length: 100 }, () => budget.tryTake()).filter(Boolean).length;
    assert.equal(takeAll(), 5);
    for (let i = 0; i < 21; i++) budget.recordSuccess();
    assert.equal(takeAll(), 2);
});
