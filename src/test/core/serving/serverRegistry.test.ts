import assert from "node:assert/strict";
import { test } from "node:test";
import { type BackendServer, createServerRegistry, suspicionTimeoutMs } from "../../../lib/core/serving/index.js";

const DRAIN_MS = 2000;

function serverOf(id: string, overrides: Partial<BackendServer> = {}): BackendServer {
    return {
        id,
        service: "s",
        address: "127.0.0.1:1",
        failureDomain: "d",
        slots: 4,
        isLeaving: false,
        startedAt: 1,
        remainingWarmupMs: 0,
        weights: undefined,
        ...overrides,
    };
}

const idsOf = (servers: readonly BackendServer[]) => servers.map(({ id }) => id);

// Guards against new requests to a server that is leaving, even if a delayed row lists it as ready again.
test("a leaving server isn't usable again until it restarts", () => {
    const registry = createServerRegistry(() => DRAIN_MS);
    registry.put(serverOf("a", { isLeaving: true }));
    registry.put(serverOf("a"));
    assert.deepEqual(idsOf(registry.usable("s", 0)), []);
    registry.put(serverOf("a", { startedAt: 2 }));
    assert.deepEqual(idsOf(registry.usable("s", 0)), ["a"]);
});

// Guards against new requests to a server that announced its leaving in a response, when its row is rewritten, lapses
// and returns, or arrives after the response.
test("a server that announced its leaving in a response isn't usable again until it restarts", () => {
    const registry = createServerRegistry(() => DRAIN_MS);
    registry.put(serverOf("a"));
    const usableIds = () => idsOf(registry.usable("s", 0));
    assert.deepEqual(usableIds(), ["a"]);
    assert.equal(registry.markLeaving(serverOf("a")), true);
    assert.equal(registry.markLeaving(serverOf("a")), false, "a second time");
    assert.deepEqual(usableIds(), []);
    registry.put(serverOf("a", { slots: 5 }));
    assert.deepEqual(usableIds(), [], "after a row that says ready");
    registry.remove("a", 0, undefined);
    registry.put(serverOf("a"));
    assert.deepEqual(usableIds(), [], "after the row's return");
    registry.markLeaving(serverOf("b"));
    registry.put(serverOf("b"));
    assert.deepEqual(usableIds(), [], "before its row");
    registry.put(serverOf("a", { startedAt: 2 }));
    assert.equal(registry.markLeaving(serverOf("a")), false, "a response of the earlier incarnation");
    assert.deepEqual(usableIds(), ["a"]);
});

// Guards against a server without a start time that stays out of use after its row was removed.
test("a server whose start is unknown is usable again once its row was removed", () => {
    const registry = createServerRegistry(() => DRAIN_MS);
    registry.put(serverOf("a", { startedAt: 0, isLeaving: true }));
    registry.put(serverOf("a", { startedAt: 0 }));
    assert.deepEqual(idsOf(registry.usable("s", 0)), []);
    registry.remove("a", 0, undefined);
    assert.equal(registry.markLeaving(serverOf("a", { startedAt: 0 })), false, "a response of a removed server");
    registry.put(serverOf("a", { startedAt: 0 }));
    assert.deepEqual(idsOf(registry.usable("s", 0)), ["a"]);
});

// Guards against losing the whole pool at all entries because the registry's rows lapsed while the store was down.
test("a server whose row lapsed in an outage is kept until live servers have registered again", () => {
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

// Guards against requests to a server that left some seconds after an outage, and against requests to a suspect server
// for longer than its drain time.
test("an outage that is over doesn't explain a missing row", () => {
    const registry = createServerRegistry(() => DRAIN_MS);
    registry.put(serverOf("a"));
    registry.remove("a", 4000, 1100);
    assert.deepEqual(registry.all(), []);
    for (const drainMs of [100, 500, 2000, 5000]) assert.ok(suspicionTimeoutMs(drainMs) < drainMs);
});

// Guards against requests to a server that has left without an outage, or after announcing it.
test("a server that left is removed at once", () => {
    const registry = createServerRegistry(() => DRAIN_MS);
    registry.put(serverOf("a"));
    registry.put(serverOf("b", { isLeaving: true }));
    registry.remove("a", 1000, undefined);
    registry.remove("b", 1000, 990);
    assert.deepEqual(registry.all(), []);
});

// Guards against requests to a server that had ended, when a restored registry has its row again for a while.
test("a server that was removed before the registry's restoration is used again only once its row has lasted", () => {
    const registry = createServerRegistry(() => DRAIN_MS);
    registry.put(serverOf("ended"));
    registry.put(serverOf("sound"));
    registry.remove("ended", 0, undefined);
    registry.recordRestoration(1000);
    registry.put(serverOf("ended"));
    registry.put(serverOf("sound"));
    assert.deepEqual(idsOf(registry.usable("s", 1000)), ["sound"]);
    assert.deepEqual(idsOf(registry.usable("s", 5900)), ["sound"]);
    assert.deepEqual(idsOf(registry.usable("s", 6100)).sort(), ["ended", "sound"]);
    registry.recordRestoration(7000);
    assert.deepEqual(idsOf(registry.usable("s", 7000)).sort(), ["ended", "sound"], "it has come back since");
    registry.put(serverOf("ended", { startedAt: 2 }));
    assert.deepEqual(idsOf(registry.usable("s", 7000)).sort(), ["ended", "sound"]);
});

// Guards against a server that is out of use because a restored registry has its row from before it loaded new weights.
test("the weights of a server never become older", () => {
    const registry = createServerRegistry(() => DRAIN_MS);
    const withWeights = (version: number, startedAt = 1) =>
        registry.put(serverOf("a", { startedAt, weights: { model: "m", version } }));
    withWeights(3);
    withWeights(2);
    assert.equal(registry.get("a")?.weights?.version, 3);
    withWeights(1, 2);
    assert.equal(registry.get("a")?.weights?.version, 1, "after a restart");
});

// Guards against requests to the earlier start of a server that restarted, when a restored registry has its row again.
test("an incarnation that was replaced before the registry's restoration isn't used when its row returns", () => {
    const registry = createServerRegistry(() => DRAIN_MS);
    registry.put(serverOf("a", { address: "127.0.0.1:1" }));
    registry.put(serverOf("a", { address: "127.0.0.1:2", startedAt: 2 }));
    registry.recordRestoration(1000);
    registry.put(serverOf("a", { address: "127.0.0.1:1" }));
    assert.deepEqual(idsOf(registry.usable("s", 1000)), []);
    registry.put(serverOf("a", { address: "127.0.0.1:2", startedAt: 2 }));
    assert.deepEqual(registry.usable("s", 1500).map(({ address }) => address), ["127.0.0.1:2"]);
});
