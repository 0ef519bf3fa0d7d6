import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { assignSubsets, chooseSubstitutes, type SubsetMember } from "../../lib/core/subset.js";
import { longTestParameters } from "../longTest.js";

function members(prefix: string, count: number, domains: number): SubsetMember[] {
    return Array.from({ length: count }, (_, index) => {
        return { name: `${prefix}-${index}`, failureDomain: `domain-${index % domains}` };
    });
}

const sizes = fc.record({
    entries: fc.integer({ min: 1, max: 30 }),
    agents: fc.integer({ min: 1, max: 80 }),
    domains: fc.integer({ min: 1, max: 4 }),
    size: fc.integer({ min: 1, max: 12 }),
});

// Guards against entries with too many or too few agents, and against agents with an uneven share of the entries.
test("subsets have their size, and the loads of agents differ by one at most", () => {
    fc.assert(
        fc.property(sizes, ({ agents, domains, entries, size }) => {
            const pool = members("agent", agents, domains);
            const subsets = assignSubsets(members("entry", entries, domains), pool, size);
            const loads = new Map(pool.map(({ name }) => [name, 0]));
            for (const subset of subsets.values()) {
                assert.equal(subset.size, Math.min(size, agents));
                for (const name of subset) loads.set(name, (loads.get(name) ?? 0) + 1);
            }
            assert.ok(Math.max(...loads.values()) - Math.min(...loads.values()) <= 1);
        }),
        longTestParameters({ seed: 3, numRuns: 300 }),
    );
});

// Guards against entries that compute different assignments because their lists are in different orders.
test("the order of the list doesn't matter", () => {
    const [entries, agents] = [members("entry", 20, 3), members("agent", 60, 3)];
    const forwards = assignSubsets(entries, agents, 7);
    const backwards = assignSubsets(entries.toReversed(), agents.toReversed(), 7);
    for (const [name, subset] of forwards) assert.deepEqual([...subset].sort(), [...backwards.get(name) ?? []].sort());
});

// Guards against substitutes from other failure domains while the entry's own domain has agents available.
test("substitutes come from the own failure domain first", () => {
    const [entry, agents] = [{ name: "entry", failureDomain: "domain-1" }, members("agent", 9, 3)];
    const names = chooseSubstitutes(entry, agents, new Set(["agent-1"]), 3);
    assert.deepEqual(names.slice(0, 2).sort(), ["agent-4", "agent-7"]);
    assert.equal(names.length, 3);
});
