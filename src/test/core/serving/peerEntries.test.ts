import assert from "node:assert/strict";
import { test } from "node:test";
import { createNeighbourhood, ENTRY_HEARTBEAT_TIMEOUT_MS } from "../../../lib/core/serving/index.js";

// Guards against sharing retry budgets and connections with entries that have stopped.
test("an entry without recent heartbeats isn't live and still gets heartbeats now and then", () => {
    const peers = createNeighbourhood({ name: "a", ip: "1", failureDomain: "d" });
    const other = { name: "b", ip: "2", failureDomain: "d" };
    peers.mention(other);
    assert.deepEqual(peers.living(0), []);
    peers.hear(other, 0);
    assert.deepEqual(peers.living(100), [other]);
    assert.deepEqual(peers.recipients(1, 100), [other]);
    assert.deepEqual(peers.living(ENTRY_HEARTBEAT_TIMEOUT_MS), []);
    assert.deepEqual(peers.recipients(10, ENTRY_HEARTBEAT_TIMEOUT_MS), [other]);
    assert.deepEqual(peers.recipients(1, ENTRY_HEARTBEAT_TIMEOUT_MS), []);
});
