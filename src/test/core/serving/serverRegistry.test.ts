import assert from "node:assert/strict";
import { test } from "node:test";
import { type BackendServer, createServerRegistry, suspicionTimeoutMs } from "../../../lib/core/serving/index.js";

const DRAIN_MS = 2000;

function serverOf(id: string, changes: Partial<BackendServer> = {}): BackendServer {
    return {
        id,
        service: "s",
        address: "127.0.0.1:1",
        failureDomain: "d",
        slots: 4,
        isLeaving: false,
        startedAt: 1,
        coldMs: 0,
        weights: undefined,
        ...changes,
    };
}

const idsOf = (servers: readonly BackendServer[]) => servers.map(({ id }) => id);

// Guards against new work for a server that is leaving, also when a late entry calls it ready again.
test("a leaving server isn't usable again under the same start", () => {
    const registry = createServerRegistry(() => DRAIN_MS);
    registry.put(serverOf("a", { isLeaving: true }));
    registry.put(serverOf("a"));
    assert.deepEqual(idsOf(registry.usable("s", 0)), []);
    registry.put(serverOf("a", { startedAt: 2 }));
    assert.deepEqual(idsOf(registry.usable("s", 0)), ["a"]);
});

// Guards against a pool that is lost for all entries because the heartbeats lapsed while the store was away.
test("a server whose entry lapsed in a disturbance is kept until living ones are back", () => {
    const registry = createServerRegistry(() => DRAIN_MS);
    registry.put(serverOf("a"));
    registry.put(serverOf("b"));
    registry.remove("a", 1000, 900);
    registry.remove("b", 1000, 900);
    assert.deepEqual(idsOf(registry.usable("s", 1500)), ["a", "b"]);
    registry.put(serverOf("b"));
    assert.deepEqual(registry.expire(1000 + suspicionTimeoutMs(DRAIN_MS)), ["a"]);
    assert.deepEqual(idsOf(registry.usable("s", 10_000)), ["b"]);
});

// Guards against work for a server that left some seconds after a disturbance, and for longer than a leaving server may
// get it.
test("a disturbance that is over doesn't explain a missing entry", () => {
    const registry = createServerRegistry(() => DRAIN_MS);
    registry.put(serverOf("a"));
    registry.remove("a", 4000, 1100);
    assert.deepEqual(registry.all(), []);
    for (const drainMs of [100, 500, 2000, 5000]) assert.ok(suspicionTimeoutMs(drainMs) < drainMs);
});

// Guards against work for a server that has left in calm times or had announced it.
test("a server that left is gone at once", () => {
    const registry = createServerRegistry(() => DRAIN_MS);
    registry.put(serverOf("a"));
    registry.put(serverOf("b", { isLeaving: true }));
    registry.remove("a", 1000, undefined);
    registry.remove("b", 1000, 990);
    assert.deepEqual(registry.all(), []);
});
