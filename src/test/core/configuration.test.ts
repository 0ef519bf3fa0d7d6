import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    applyUpdate,
    type Configuration,
    decideChange,
    EMPTY_CONFIGURATION,
    updateSince,
} from "../../lib/core/configuration.js";
import { longTestParameters } from "../longTest.js";

const NAMES = ["a", "b", "c", "d"];

/** Returns the snapshots that a sequence of changes produces, oldest first. */
function historyOf(steps: readonly { name: string; retire: boolean; }[]): Configuration[] {
    const snapshots = [EMPTY_CONFIGURATION];
    steps.forEach(({ name, retire }, index) => {
        const current = snapshots.at(-1) ?? EMPTY_CONFIGURATION;
        const profile = { name, model: `m${index}`, rootDigest: "a".repeat(64), service: "models" };
        const action = retire ? { kind: "retire" } as const : { kind: "put", profile } as const;
        const decision = decideChange(current, { changeId: `c${index}`, name, action, expectedRevision: "any" });
        if (decision.kind === "apply") snapshots.push(decision.next);
    });
    return snapshots;
}

const steps = fc.array(fc.record({ name: fc.constantFrom(...NAMES), retire: fc.boolean() }), { maxLength: 15 });

// Guards against profiles that differ from the table's after lost or reordered updates.
test("an update brings every snapshot from its base on to exactly the sender's profiles", () => {
    fc.assert(
        fc.property(steps, fc.nat(), fc.nat(), (selectedSteps, x, y) => {
            const snapshots = historyOf(selectedSteps);
            const latest = snapshots.at(-1) ?? EMPTY_CONFIGURATION;
            const [base, held] = [snapshots[x % snapshots.length], snapshots[y % snapshots.length]];
            assert.ok(base && held);
            const result = applyUpdate(held, JSON.parse(JSON.stringify(updateSince(latest, base.revision))));
            if (held.revision >= latest.revision) return assert.equal(result.kind, "notNewer");
            if (held.revision < base.revision) return assert.equal(result.kind, "gap");
            assert.ok(result.kind === "adopted");
            assert.deepEqual(result.configuration, { ...latest, changes: [] });
        }),
        longTestParameters({ seed: 11, numRuns: 300 }),
    );
});

// Guards against a faulty or malicious process that removes profiles from the configuration.
test("an invalid update is rejected as a whole", () => {
    const update = updateSince(historyOf([{ name: "a", retire: false }])[1] ?? EMPTY_CONFIGURATION, 0);
    const invalidUpdates: unknown[] = [
        undefined,
        "text",
        { ...update, revision: -1 },
        { ...update, revision: Number.MAX_VALUE },
        { ...update, names: ["a", "missing"] },
        { ...update, changed: [{ profile: { name: "a" }, revision: 1 }] },
        { ...update, changed: update.changed.map(changed => ({ ...changed, revision: 9 })) },
    ];
    for (const input of invalidUpdates) assert.equal(applyUpdate(EMPTY_CONFIGURATION, input).kind, "invalid");
    assert.equal(applyUpdate(EMPTY_CONFIGURATION, update).kind, "adopted");
});
