import assert from "node:assert/strict";
import { test } from "node:test";
import { createConfigurationLedger, type KeyCheck } from "./configurationLedger.js";

const ACTIVE = { addedIn: 5, removedIn: undefined };
const REMOVED = { addedIn: 1, removedIn: 5 };
const CHECK: KeyCheck = { life: "entry-0/1", sentAt: 0, endedAt: 10, versions: ACTIVE, isAccepted: true };

function recordAll(...checks: Partial<KeyCheck>[]): string {
    const ledger = createConfigurationLedger();
    return checks.map(check => ledger.record({ ...CHECK, ...check }) ?? "").join();
}

// Guards against a soak that doesn't notice a process which goes back to an older configuration.
test("a process that has applied a version and acts as before it is reported", () => {
    const later = { sentAt: 1000, endedAt: 1010 };
    assert.match(recordAll({}, { ...later, isAccepted: false }), /regressed: denied a key as before version 5/);
    assert.match(recordAll({}, { ...later, versions: REMOVED }), /regressed: accepted a key as before version 5/);
    const removal = { versions: REMOVED, isAccepted: false, sentAt: 500, endedAt: 510 };
    assert.match(recordAll({ versions: REMOVED }, removal, { ...later, versions: REMOVED }), /regressed: accepted/);
    assert.equal(recordAll({}, later), ",");
    assert.equal(recordAll({}, { ...later, versions: REMOVED, isAccepted: false }), ",");
    assert.equal(recordAll({}, { sentAt: 200, endedAt: 220, isAccepted: false }), ",", "within the slack");
    assert.equal(recordAll({}, { ...later, life: "entry-0/2", isAccepted: false }), ",", "another process");
});
