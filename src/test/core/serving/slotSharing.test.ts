import assert from "node:assert/strict";
import { test } from "node:test";
import { simulateTrace } from "../../../harness/enginePoolSimulation.js";
import { LOAD_TRACES } from "../../../harness/loadTraces.js";
import { createDispatcherPlacer } from "../../../harness/placers.js";
import { type BackendServer, createSlotSharing } from "../../../lib/core/serving/index.js";

const serverOf = (index: number): BackendServer => ({
    id: `server-${index}`,
    service: "s",
    address: `10.0.0.${index}:80`,
    failureDomain: `domain-${index % 3}`,
    slots: 8,
    isLeaving: false,
    startedAt: 1,
    remainingWarmupMs: 0,
    weights: undefined,
});

// Guards against entries that prefer no server at all, or against a server that two entries prefer.
test("each server is preferred by one entry, and the entries prefer about equally many", () => {
    const servers = Array.from({ length: 17 }, (_, index) => serverOf(index));
    const entries = Array.from({ length: 8 }, (_, index) => `entry-${index}`);
    const preferred = entries.map(self => {
        const fractions = createSlotSharing(self, () => entries).slotFractions(servers);
        return servers.filter((_, index) => fractions[index] === 1).map(({ id }) => id);
    });
    assert.equal(new Set(preferred.flat()).size, servers.length);
    assert.equal(preferred.flat().length, servers.length);
    assert.ok(preferred.every(ids => ids.length >= 2 && ids.length <= 3), JSON.stringify(preferred));
});

// Guards against limits that cost capacity where hardly any two entries choose the same server at once.
test("one or two entries may fill all slots", () => {
    const servers = [serverOf(0), serverOf(1)];
    for (const entries of [["a"], ["a", "b"]]) {
        assert.deepEqual(createSlotSharing("a", () => entries).slotFractions(servers), [1, 1]);
    }
});

// Guards against entries that see the same free slot and all fill it: without the division, 8 entries got 0.61 of the
// worth and 12 got 0.56 on this trace, and one entry that sees all requests gets 0.95.
test("many entries serve a large pool at its capacity nearly as well as few", () => {
    const trace = LOAD_TRACES.find(({ name }) => name === "largePool");
    assert.ok(trace !== undefined);
    for (const entryCount of [8, 12]) {
        for (const skew of [0, 0.15]) {
            const group = { entryCount, heartbeatIntervalMs: 100, skew };
            const { total } = simulateTrace(trace, createDispatcherPlacer(trace, group), 1);
            const fraction = total.utility / total.maxUtility;
            assert.ok(fraction >= 0.75, `${fraction} with ${entryCount} entries and skew ${skew}`);
        }
    }
});
