import assert from "node:assert/strict";
import { test } from "node:test";
import { AgentState, applyReport, differsBesidesLoad, loadReport } from "../../lib/rpc/index.js";

const STATE = AgentState.fromPartial({
    process: "runner-0",
    service: "models",
    servingDigest: "d".repeat(64),
    running: 3,
    queued: 2,
    predictedWaitMs: [1, 2, 3],
});

// Guards against a load report that clears the fields it omits or leaves an old load in place.
test("a load report replaces the load and nothing else", () => {
    const next = { ...STATE, running: 0, queued: 5, predictedWaitMs: [] };
    const received = AgentState.decode(AgentState.encode(loadReport(next)).finish());
    assert.deepEqual(applyReport(STATE, received), next);
    assert.equal(applyReport(undefined, received), undefined);
});

// Guards against reporting a drain or a new version only as a change of the load, which omits it.
test("a change of anything besides the load needs a full state", () => {
    assert.equal(differsBesidesLoad(STATE, { ...STATE, running: 9, queued: 9, concurrencyLimit: 9 }), false);
    assert.equal(differsBesidesLoad(STATE, { ...STATE, leaving: true }), true);
    assert.equal(differsBesidesLoad(STATE, { ...STATE, servingDigest: "" }), true);
});
