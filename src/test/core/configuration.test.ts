import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    applyUpdate,
    type Configuration,
    decideChange,
    EMPTY_CONFIGURATION,
    isEvacuated,
    parseConfiguration,
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

// Guards against an evacuation that is lost by a change of a profile or in an old row, and against a repeated or
// concurrent change that is applied twice or undoes another operator's change.
test("evacuations change, survive changes of profiles, and take effect once", () => {
    const change = (changeId: string, name: string, evacuated: boolean) => {
        return { changeId, name, action: { kind: "setEvacuated", evacuated }, expectedRevision: "any" } as const;
    };
    const apply = (current: Configuration, applied: ReturnType<typeof change>) => {
        const decision = decideChange(current, applied);
        assert.ok(decision.kind === "apply", decision.kind);
        return decision.next;
    };
    const [oldRow = EMPTY_CONFIGURATION] = historyOf([{ name: "a", retire: false }]).slice(-1);
    assert.equal(parseConfiguration(JSON.parse(JSON.stringify(oldRow)))?.evacuatedDomains, undefined);
    const first = apply(oldRow, change("e1", "hall-2", true));
    assert.deepEqual(decideChange(first, change("e1", "hall-2", true)), { kind: "alreadyApplied", revision: 2 });
    assert.deepEqual(decideChange(first, change("e2", "hall-2", true)), { kind: "unchanged", revision: 2 });
    // The second of two operators decides again on the row that the first has written.
    const both = apply(first, change("e3", "hall-1", true));
    assert.deepEqual(both.evacuatedDomains, ["hall-1", "hall-2"]);
    const retired = decideChange(both, { changeId: "c", name: "a", action: { kind: "retire" }, expectedRevision: 1 });
    assert.ok(retired.kind === "apply");
    const row = parseConfiguration(JSON.parse(JSON.stringify(retired.next)));
    assert.deepEqual([row?.evacuatedDomains, row?.revision], [["hall-1", "hall-2"], 4]);
    const withdrawn = apply(retired.next, change("e4", "hall-2", false));
    assert.deepEqual([isEvacuated(withdrawn, "hall-1"), isEvacuated(withdrawn, "hall-2")], [true, false]);
    assert.deepEqual(decideChange(withdrawn, change("e5", "hall-2", false)), { kind: "unchanged", revision: 5 });
    for (const name of ["", " ", "hall 2", "-h", "h\n", "x".repeat(101)]) {
        assert.equal(decideChange(withdrawn, change("e6", name, true)).kind, "invalid", name);
    }
});
