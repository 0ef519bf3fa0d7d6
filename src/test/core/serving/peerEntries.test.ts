import assert from "node:assert/strict";
import { test } from "node:test";
import { createPeerEntries, ENTRY_HEARTBEAT_TIMEOUT_MS } from "../../../lib/core/serving/index.js";

// Guards against sharing retry budgets and connections with entries that have stopped.
test("an entry without recent heartbeats isn't live and still gets heartbeats now and then", () => {
    const peers = createPeerEntries({ name: "a", ip: "1", failureDomain: "d" });
    const peer = { name: "b", ip: "2", failureDomain: "d" };
    peers.addUnconfirmed(peer);
    assert.deepEqual(peers.live(0), []);
    peers.recordHeartbeat(peer, 0);
    assert.deepEqual(peers.live(100), [peer]);
    assert.deepEqual(peers.heartbeatTargets(1, 100), [peer]);
    assert.deepEqual(peers.live(ENTRY_HEARTBEAT_TIMEOUT_MS), []);
    assert.deepEqual(peers.heartbeatTargets(10, ENTRY_HEARTBEAT_TIMEOUT_MS), [peer]);
    assert.deepEqual(peers.heartbeatTargets(1, ENTRY_HEARTBEAT_TIMEOUT_MS), []);
});
