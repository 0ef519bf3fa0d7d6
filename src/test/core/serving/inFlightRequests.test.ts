import assert from "node:assert/strict";
import { test } from "node:test";
import {
    createInFlightRequests,
    createNeighbourhood,
    ENTRY_HEARTBEAT_TIMEOUT_MS,
} from "../../../lib/core/serving/index.js";

const flight = { serverId: "s", account: "a", promptTokens: 100, sentAt: 0, hasStarted: false };

// Guards against streams that count as unread prompts after their first event, which made predictions several times
// too long.
test("a request counts as reading until its first event and as writing until its end", () => {
    const flights = createInFlightRequests();
    flights.add({ ...flight, id: "1" });
    assert.deepEqual(flights.loadOf("s", 0), { decoding: 0, prefilling: 1, prefillTokens: 100, contextTokens: 0 });
    flights.recordFirstEvent("1");
    assert.deepEqual(flights.loadOf("s", 0), { decoding: 1, prefilling: 0, prefillTokens: 0, contextTokens: 100 });
    flights.remove("1");
    assert.deepEqual(flights.loadOf("s", 0), { decoding: 0, prefilling: 0, prefillTokens: 0, contextTokens: 0 });
    assert.equal(flights.countForAccount("a"), 0);
});

// Guards against two entries that fill the same server, and against the load of an entry that is gone.
test("the load of other entries counts as long as their reports are recent", () => {
    const flights = createInFlightRequests();
    flights.hear("other", { s: [3, 1, 50, 900] }, 0);
    flights.add({ ...flight, id: "1" });
    assert.deepEqual(flights.loadOf("s", 500), { decoding: 3, prefilling: 2, prefillTokens: 150, contextTokens: 900 });
    assert.equal(flights.loadOf("s", 5000).decoding, 0);
});

// Guards against budgets and connections that are shared with entries that are gone.
test("an entry that is silent doesn't count as living and is still told of this one", () => {
    const neighbourhood = createNeighbourhood({ name: "a", ip: "1", failureDomain: "d" });
    const other = { name: "b", ip: "2", failureDomain: "d" };
    neighbourhood.mention(other);
    assert.deepEqual(neighbourhood.living(0), []);
    neighbourhood.hear(other, 0);
    assert.deepEqual(neighbourhood.living(100), [other]);
    assert.deepEqual(neighbourhood.recipients(1, 100), [other]);
    assert.deepEqual(neighbourhood.living(ENTRY_HEARTBEAT_TIMEOUT_MS), []);
    assert.deepEqual(neighbourhood.recipients(10, ENTRY_HEARTBEAT_TIMEOUT_MS), [other]);
    assert.deepEqual(neighbourhood.recipients(1, ENTRY_HEARTBEAT_TIMEOUT_MS), []);
});
