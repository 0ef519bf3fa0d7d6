import assert from "node:assert/strict";
import { test } from "node:test";
import { createInFlightRequests } from "../../../lib/core/serving/index.js";

const REQUEST = { serverId: "s", account: "a", promptTokens: 100, answerTokens: 0, sentAt: 0, hasFirstEvent: false };

// Guards against streams that still count as prefilling after their first event, which made predicted latencies several
// times too long.
test("a request counts as prefilling until its first event and as decoding until its end", () => {
    const inFlight = createInFlightRequests();
    inFlight.add({ ...REQUEST, id: "1" });
    assert.deepEqual(inFlight.loadOf("s", 0), { decoding: 0, prefilling: 1, prefillTokens: 100, contextTokens: 0 });
    inFlight.recordFirstEvent("1");
    assert.deepEqual(inFlight.loadOf("s", 0), { decoding: 1, prefilling: 0, prefillTokens: 0, contextTokens: 100 });
    inFlight.remove("1");
    assert.deepEqual(inFlight.loadOf("s", 0), { decoding: 0, prefilling: 0, prefillTokens: 0, contextTokens: 0 });
    assert.equal(inFlight.countEverywhere("a", 0), 0);
});

// Guards against reservations that count as load forever because no report of their sender arrives.
test("a change that another entry announced counts only as long as a report", () => {
    const inFlight = createInFlightRequests();
    inFlight.recordPeerChange("other", "s", [0, 1, 50, 0], 0);
    assert.equal(inFlight.loadOf("s", 0).prefilling, 1);
    inFlight.recordPeerChange("other", "s", [0, 1, 50, 0], 500);
    assert.equal(inFlight.loadOf("s", 900).prefilling, 2);
    assert.equal(inFlight.loadOf("s", 1200).prefilling, 1);
    assert.equal(inFlight.loadOf("s", 5000).prefilling, 0);
});

// Guards against two entries that fill the same server, and against counting the load of an entry that has stopped.
test("the load of other entries counts while their reports are recent", () => {
    const inFlight = createInFlightRequests();
    inFlight.recordPeerReport("other", { s: [3, 1, 50, 900] }, 0);
    inFlight.add({ ...REQUEST, id: "1" });
    assert.deepEqual(inFlight.loadOf("s", 500), { decoding: 3, prefilling: 2, prefillTokens: 150, contextTokens: 900 });
    assert.equal(inFlight.loadOf("s", 5000).decoding, 0);
});

// Guards against an account whose requests at other entries don't count, and against those of an entry that has stopped.
test("the requests of an account count at all entries while their reports are recent", () => {
    const inFlight = createInFlightRequests();
    inFlight.add({ ...REQUEST, id: "1" });
    inFlight.recordPeerReport("other", {}, 0, { a: 2, b: 1 });
    assert.deepEqual(["a", "b", "c"].map(account => inFlight.countEverywhere(account, 500)), [3, 1, 0]);
    assert.deepEqual(inFlight.accountReport(["other"], 500), { a: 3, b: 1 });
    assert.deepEqual(inFlight.accountReport([], 500), { a: 1 });
    // An entry of an earlier version reports no accounts.
    inFlight.recordPeerReport("other", {}, 600);
    assert.equal(inFlight.countEverywhere("a", 700), 1);
    inFlight.recordPeerReport("other", {}, 800, { a: 2 });
    assert.equal(inFlight.countEverywhere("a", 5000), 1);
});
