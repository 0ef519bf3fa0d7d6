import assert from "node:assert/strict";
import { test } from "node:test";
import { ENGINE_SPEC } from "../../../harness/enginePoolSimulation.js";
import { type PlacementCandidate, type PlacementRequest, placeOnEngine } from "../../../lib/core/serving/index.js";

const IDLE = { decoding: 0, prefilling: 0, prefillTokens: 0, contextTokens: 0 };

function candidateOf(id: string, changes: Partial<PlacementCandidate>): PlacementCandidate {
    return {
        id,
        roundTripMs: 1,
        isLocal: true,
        slots: 16,
        isOwn: true,
        load: IDLE,
        slowdown: 1,
        failureRate: 0,
        freeConnections: 10,
        ...changes,
    };
}

const REQUEST: PlacementRequest = {
    promptTokens: 300,
    outputTokens: 120,
    timeToDueMs: 400,
    timeToExpiryMs: 6000,
    maxEventGapMs: 400,
    slotFraction: 1,
    mustBeOnTime: true,
};

const busy = { ...IDLE, decoding: 6, contextTokens: 6000 };

// Guards against answers that begin in time at a slow server and don't end before the caller's deadline: on a day with
// slow servers of gomgol-orders-grown, 105 of 106 streams that their deadline or their caller ended were at these.
test("a long answer goes to a server that can finish it, a short one to the server that begins first", () => {
    const slow = candidateOf("slow", { slowdown: 2.5 });
    const remote = candidateOf("remote", { roundTripMs: 7, isLocal: false, load: busy });
    const placeWith = (outputTokens: number, timeToExpiryMs: number) => {
        return placeOnEngine(ENGINE_SPEC, [slow, remote], { ...REQUEST, outputTokens, timeToExpiryMs })?.id;
    };
    assert.equal(placeWith(300, 6000), "slow");
    assert.equal(placeWith(300, 4000), "remote");
    // Neither can finish it.
    assert.equal(placeWith(3000, 4000), "slow");
});

// Guards against a slow idle server that is preferred to a fast one in use, where the answer ends much earlier.
test("of two servers that begin at about the same time, the one that answers faster gets a long answer", () => {
    const slow = candidateOf("slow", { slowdown: 1.3 });
    const fast = candidateOf("fast", { load: busy });
    const placeWith = (outputTokens: number) => {
        return placeOnEngine(ENGINE_SPEC, [slow, fast], { ...REQUEST, outputTokens })?.id;
    };
    assert.deepEqual([placeWith(6), placeWith(300)], ["slow", "fast"]);
});
