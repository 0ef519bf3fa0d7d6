import assert from "node:assert/strict";
import { test } from "node:test";
import { createTableFreshness } from "../../../lib/core/serving/index.js";

// Guards against a replica that counts as current although nothing has confirmed it.
test("a replica is as old as its last confirmation", () => {
    const freshness = createTableFreshness();
    assert.equal(freshness.ageMs(100), Number.POSITIVE_INFINITY);
    freshness.recordResponse(1000, undefined, 1020);
    assert.equal(freshness.ageMs(1500), 500);
    freshness.recordResponse(900, undefined, 1600);
    assert.equal(freshness.ageMs(1600), 600);
});

// Guards against two entries that confirm each other's knowledge for ever, a little younger each time.
test("knowledge that is passed back and forth grows old", () => {
    const entries = [createTableFreshness(), createTableFreshness()] as const;
    entries[0].recordResponse(1000, 50_000, 1000);
    for (let now = 1000; now < 5000; now += 200) {
        entries[1].recordPeerConfirmation(entries[0].storeTime() ?? 0, now + 90);
        entries[0].recordPeerConfirmation(entries[1].storeTime() ?? 0, now + 180);
    }
    assert.equal(entries[0].ageMs(5000), 4000);
    assert.ok(entries[1].ageMs(5000) >= 3900);
});

// Guards against a pause that the monotonic clock doesn't count, as in a suspended VM, which makes knowledge look young.
test("after a pause that the own clock doesn't count, the next confirmation dates the earlier ones", () => {
    const freshness = createTableFreshness();
    freshness.recordResponse(1000, 50_000, 1000);
    // The store's clock has advanced by 5 s, and this process's by 0.5 s.
    freshness.recordPeerConfirmation(51_000, 1500);
    assert.equal(freshness.ageMs(1500), 0);
    freshness.recordPeerConfirmation(55_000, 1500);
    assert.equal(freshness.ageMs(1600), 100);
    freshness.recordPeerConfirmation(52_000, 1600);
    assert.equal(freshness.ageMs(1600), 100);
});
