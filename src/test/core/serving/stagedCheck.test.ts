import assert from "node:assert/strict";
import { test } from "node:test";
import { elapsedMs, mayOrder, wasOrderInTime } from "../../../lib/core/serving/index.js";

// Guards against a check that seems young after the VM was suspended, because the monotonic clock stood still.
test("time counts that either clock has counted", () => {
    const start = { monotonicMs: 0, wallMs: 1_000_000 };
    assert.equal(elapsedMs(start, { monotonicMs: 100, wallMs: 1_004_000 }), 4000, "suspended");
    assert.equal(elapsedMs(start, { monotonicMs: 4000, wallMs: 990_000 }), 4000, "the time of day jumped back");
});

// Guards against an order whose check of the staged pieces may be older than the time for which a piece may be corrupt.
test("an order and its response are in time for less than 3 s after the start of the check", () => {
    const start = { monotonicMs: 0, wallMs: 0 };
    const after = (ms: number) => ({ monotonicMs: ms, wallMs: ms });
    assert.ok(mayOrder(start, after(200)) && wasOrderInTime(start, after(200)));
    assert.ok(!mayOrder(start, after(2000)));
    assert.ok(!wasOrderInTime(start, after(2999)));
});
