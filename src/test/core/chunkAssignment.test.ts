import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    createChunkAssigner,
    MAX_TAKEOVER_STEPS,
    orderRegions,
    type Participant,
    takeoverDelayMs,
} from "../../lib/core/chunkAssignment.js";
import { longTestParameters } from "../longTest.js";

const SEED = 1;
const REGIONS = ["etela", "lansi", "pohjoinen"];
const fleets = fc.uniqueArray(
    fc.record({ name: fc.string({ minLength: 1, maxLength: 8 }), region: fc.constantFrom(...REGIONS) }),
    { minLength: 1, maxLength: 30, selector: vm => vm.name },
);
const digests = fc.stringMatching(/^[0-9a-f]{64}$/);

function assignChunk(digest: string, self: Participant, vms: readonly Participant[], originRegion: string) {
    return createChunkAssigner(self, vms, originRegion)(digest);
}

// Guards against a chunk that no VM of a region fetches, or that several VMs fetch at once.
test("the positions of a region's VMs are 0, 1, 2 and so on", () => {
    fc.assert(
        fc.property(fleets, digests, (vms, digest) => {
            for (const region of REGIONS) {
                const members = vms.filter(vm => vm.region === region);
                const positions = members
                    .map(vm => assignChunk(digest, vm, vms, "etela").position)
                    .sort((a, b) => a - b);
                assert.deepEqual(positions, members.map((_, index) => index));
            }
        }),
        longTestParameters({ seed: SEED, numRuns: 100 }),
    );
});

// Guards against regions that wait for each other, and against sources that don't fetch the chunk.
test("sources are first in their region and in a region that comes earlier", () => {
    fc.assert(
        fc.property(fleets, digests, (vms, digest) => {
            const order = orderRegions(digest, "etela", vms.map(vm => vm.region));
            for (const vm of vms) {
                const { sources } = assignChunk(digest, vm, vms, "etela");
                assert.equal(sources.length, order.indexOf(vm.region));
                for (const name of sources) {
                    const source = vms.find(other => other.name === name);
                    assert.ok(source !== undefined);
                    assert.ok(order.indexOf(source.region) < order.indexOf(vm.region));
                    assert.equal(assignChunk(digest, source, vms, "etela").position, 0);
                }
            }
        }),
        longTestParameters({ seed: SEED, numRuns: 100 }),
    );
});

// Guards against a region without any source when it can reach neither the origin nor the earlier regions.
test("sources and fallback sources together name the first VM of every other region", () => {
    fc.assert(
        fc.property(fleets, digests, (vms, digest) => {
            for (const vm of vms) {
                const { sources, fallbackSources } = assignChunk(digest, vm, vms, "etela");
                const named = vms.filter(({ name }) => [...sources, ...fallbackSources].includes(name));
                const others = new Set(vms.map(({ region }) => region).filter(region => region !== vm.region));
                assert.deepEqual(new Set(named.map(({ region }) => region)), others);
                assert.equal(sources.length + fallbackSources.length, others.size);
                for (const source of named) assert.equal(assignChunk(digest, source, vms, "etela").position, 0);
            }
        }),
        longTestParameters({ seed: SEED, numRuns: 100 }),
    );
});

// Guards against a takeover that is never due, or that is due before the takeover of an earlier VM.
test("takeover delays grow with the position up to a bound", () => {
    const jitter = fc.double({ min: 0, max: 0.999, noNaN: true });
    fc.assert(
        fc.property(fc.nat(1000), jitter, jitter, (position, a, b) => {
            assert.ok(takeoverDelayMs(position, a) <= takeoverDelayMs(MAX_TAKEOVER_STEPS, 1));
            if (position < MAX_TAKEOVER_STEPS) {
                assert.ok(takeoverDelayMs(position, a) < takeoverDelayMs(position + 1, b));
            }
        }),
        longTestParameters({ seed: SEED, numRuns: 100 }),
    );
});
