import assert from "node:assert/strict";
import { test } from "node:test";
import { createConcurrencyLimit } from "../../lib/core/index.js";

// Guards against a limit that stays high while tokens are late, or that doesn't recover afterwards.
test("the limit falls while tokens are late and rises again to its maximum", () => {
    const limit = createConcurrencyLimit({ max: 16 });
    let now = 0;
    for (let i = 0; i < 400; i++) limit.recordTokenInterval(100, limit.current(), now += 30);
    assert.ok(limit.current() <= 4, `limit ${limit.current()}`);
    for (let i = 0; i < 800; i++) limit.recordFirstToken(300, limit.current(), now += 30);
    assert.equal(limit.current(), 16);
});

// Guards against a limit that reacts to occasional slow answers, which the targets allow.
test("5 late samples in 100 don't lower the limit", () => {
    const limit = createConcurrencyLimit({ max: 8 });
    for (let i = 0; i < 1000; i++) limit.recordFirstToken(i % 20 === 0 ? 3000 : 100, 8, i * 30);
    assert.equal(limit.current(), 8);
});
