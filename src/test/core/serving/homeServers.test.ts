import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { findHomes, type Placed } from "../../../lib/core/serving/index.js";

const placed = (kind: string, count: number, failureDomain: string): Placed[] => {
    return Array.from({ length: count }, (_, index) => ({ name: `${kind}-${failureDomain}-${index}`, failureDomain }));
};

const homesOfAll = (entries: readonly Placed[], servers: readonly Placed[]) => {
    return entries.map(self => findHomes(self, entries, servers));
};

// Guards against servers that no entry fills, and against ones that several fill though there are enough for all.
test("every server is home to one entry of its failure domain, in even parts", () => {
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 8 }), fc.integer({ min: 8, max: 40 }), (entryCount, serverCount) => {
            const entries = [...placed("entry", entryCount, "a"), ...placed("entry", 1, "b")];
            const servers = placed("server", serverCount, "a");
            const homes = homesOfAll(entries, servers);
            assert.equal(homes.reduce((sum, { size }) => sum + size, 0), serverCount);
            assert.equal(new Set(homes.flatMap(names => [...names])).size, serverCount);
            assert.equal(homes.at(-1)?.size, 0, "the other domain's entry has none");
            const sizes = homes.slice(0, -1).map(({ size }) => size);
            assert.ok(Math.max(...sizes) - Math.min(...sizes) <= 1);
        }),
        { seed: 1 },
    );
});

// Guards against a failure domain that loses all of its entries and whose servers then get half of the work.
test("servers of a domain without entries are divided among all entries", () => {
    const entries = [...placed("entry", 2, "a"), ...placed("entry", 1, "b")];
    const homes = homesOfAll(entries, placed("server", 9, "c"));
    assert.deepEqual(homes.map(({ size }) => size), [3, 3, 3]);
});

// Guards against an entry without any home where entries are more than servers.
test("several entries share a server if there are fewer servers than entries", () => {
    const homes = homesOfAll(placed("entry", 5, "a"), placed("server", 2, "a"));
    assert.deepEqual(homes.map(({ size }) => size), [1, 1, 1, 1, 1]);
    assert.equal(new Set(homes.flatMap(names => [...names])).size, 2);
});
