import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSharedRetryBudget, type SharedRetryBudgetOptions } from "../../../lib/core/serving/index.js";

const RATIO = 0.2;
const SLACK = 100;
const WINDOW_MS = 10_000;

// Guards against entries that together send more retries than the operator allows: in every sliding window the retries
// of all entries stay within the ratio of the requests plus the slack.
test("all entries together keep within the budget in every window", () => {
    const events = fc.array(
        fc.record({ entryIndex: fc.nat(3), isRequest: fc.boolean(), afterMs: fc.nat(200) }),
        { minLength: 100, maxLength: 600 },
    );
    fc.assert(
        fc.property(events, list => {
            const limits = () => ({ ratio: RATIO, slack: SLACK, windowMs: WINDOW_MS });
            const options: SharedRetryBudgetOptions = { limits, entryCount: () => 4 };
            const budgets = [0, 1, 2, 3].map(() => createSharedRetryBudget(options));
            const requests: number[] = [];
            const retries: number[] = [];
            let now = 0;
            for (const { entryIndex, isRequest, afterMs } of list) {
                now += afterMs;
                const budget = budgets[entryIndex];
                if (isRequest) {
                    budget?.recordRequest("s", now);
                    requests.push(now);
                }
                else if (budget?.tryTake("s", now) === true) retries.push(now);
                const inWindow = (times: number[]) => times.filter(time => time > now - WINDOW_MS).length;
                assert.ok(inWindow(retries) <= RATIO * inWindow(requests) + SLACK);
            }
        }),
        { seed: 1, numRuns: 50 },
    );
});

// Guards against a single entry that can't retry anything while the others are down.
test("the slack is shared by the live entries", () => {
    let entryCount = 4;
    const budget = createSharedRetryBudget({
        limits: () => ({ ratio: 0, slack: SLACK, windowMs: WINDOW_MS }),
        entryCount: () => entryCount,
    });
    const takeAll = () => {
        let taken = 0;
        while (budget.tryTake("s", 0)) taken++;
        return taken;
    };
    const takenOfFour = takeAll();
    entryCount = 1;
    assert.ok(takenOfFour > 0 && takeAll() > takenOfFour);
});
