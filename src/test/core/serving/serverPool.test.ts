import assert from "node:assert/strict";
import { test } from "node:test";
import {
    type BackendServer,
    createEvacuations,
    createInFlightRequests,
    createServerBackoff,
    createServerHealth,
    createServerOwnership,
    createServerPool,
    createServerRegistry,
    createServerSpeed,
    createWeightsPolicy,
} from "../../../lib/core/serving/index.js";

const SERVICE = {
    name: "s",
    healthPath: "/",
    maxConnections: 100,
    engine: undefined,
    origin: undefined,
    coldMs: 0,
    coldRequestsPerSecond: 0,
};

const SERVER: BackendServer = {
    id: "a",
    service: "s",
    address: "10.0.0.1:80",
    failureDomain: "d",
    slots: 1,
    isLeaving: false,
    startedAt: 2,
    remainingWarmupMs: 0,
    weights: undefined,
};

function createPool() {
    const registry = createServerRegistry(() => 2000);
    const pool = createServerPool({
        registry,
        backoff: createServerBackoff(),
        health: createServerHealth(),
        speed: createServerSpeed(),
        weights: createWeightsPolicy(() => 8000),
        inFlight: createInFlightRequests(() => 0),
        evacuations: createEvacuations(),
        ownership: createServerOwnership(() => []),
        self: "entry",
        failureDomain: "d",
        roundTripMs: () => 1,
        entryCount: () => 1,
    });
    const usableIds = (now: number) => pool.takeSnapshot(SERVICE, now).withCapacity().map(({ server }) => server.id);
    return { registry, pool, usableIds };
}

// Guards against a server that isn't used because an earlier one at its address was loading weights, and against
// requests to an address whose new server loads weights before its row is known.
test("a server's pause doesn't apply to later servers at its address", () => {
    const { registry, pool, usableIds } = createPool();
    registry.put(SERVER);
    pool.pauseServer(SERVER.address, SERVER.startedAt, 1000);
    assert.deepEqual(usableIds(0), []);
    assert.equal(pool.isPaused(SERVER, 0), true);
    registry.remove(SERVER.id, 0, undefined);
    registry.put({ ...SERVER, id: "b", startedAt: 3 });
    assert.deepEqual(usableIds(0), ["b"]);
    pool.pauseServer(SERVER.address, 4, 1000);
    assert.deepEqual([usableIds(999), usableIds(1000)], [[], ["b"]]);
});

// Guards against a pause that outlasts the end of the load.
test("a pause ends when the agent reports that its server no longer loads", () => {
    const { registry, pool, usableIds } = createPool();
    registry.put(SERVER);
    pool.pauseServer(SERVER.address, SERVER.startedAt, 1000);
    pool.pauseServer(SERVER.address, SERVER.startedAt, 0);
    assert.deepEqual(usableIds(0), ["a"]);
});
