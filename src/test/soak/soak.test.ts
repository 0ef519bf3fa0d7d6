import assert from "node:assert/strict";
import { test } from "node:test";
import { bodyOf, type CallEnd, type CallKind, createLedger, type Run } from "./ledger.js";
import { runSoak } from "./soak.js";

const END: CallEnd = {
    status: 200,
    body: bodyOf("book", "c1"),
    isSigned: true,
    isWhole: true,
    at: 100,
    hasLeft: false,
    isDisturbed: false,
    isPlannedStop: false,
};

const RUN: Run = { id: "c1", account: "a", at: 50, isTooLate: false, isDisturbed: false, isSound: true };

function violationsOf(kind: CallKind, end: Partial<CallEnd>, ...runs: Partial<Run>[]): string {
    const ledger = createLedger();
    ledger.sent({ id: "c1", kind, account: "a", sentAt: 0 });
    ledger.ended("c1", { ...END, ...end });
    for (const run of runs) ledger.ran({ ...RUN, ...run });
    return ledger.violations().join();
}

// Guards against a soak that passes because its checks see nothing.
test("the ledger names each broken promise and no kept one", () => {
    assert.equal(violationsOf("book", {}, {}), "");
    assert.equal(violationsOf("read", { body: bodyOf("read", "c1") }, {}, {}), "");
    assert.equal(violationsOf("book", { status: 502, body: "" }, {}), "");
    assert.equal(violationsOf("book", { status: 503, body: "" }), "");
    assert.equal(violationsOf("talk", { isWhole: false, body: bodyOf("talk", "c1").slice(0, 20) }, {}), "");
    assert.match(violationsOf("book", {}, {}, {}), /doubled/);
    assert.match(violationsOf("book", { status: 503 }, {}), /untrue refusal/);
    assert.match(violationsOf("book", { body: "answer to c2" }, {}), /mixed/);
    assert.match(violationsOf("book", { isSigned: false }, {}), /mixed: no signature/);
    assert.match(violationsOf("book", {}), /nothing ran/);
    assert.match(violationsOf("talk", { body: bodyOf("talk", "c1").slice(0, 20) }, {}), /mixed/);
    assert.match(violationsOf("talk", { isWhole: false, body: "id: 2" }, {}), /order/);
    assert.match(violationsOf("book", {}, { account: "b" }), /foreign account/);
    assert.match(violationsOf("book", {}, { isTooLate: true }), /drained/);
    assert.match(violationsOf("book", { status: 504, at: 4000 }), /held/);
    assert.match(violationsOf("book", {}, { id: "c9" }), /unasked/);
});

// Guards against calls that begin after their callers left, and that planned stops cut, beyond the few that may.
test("the ledger counts calls that began too late and calls that a planned stop cut", () => {
    const ledger = createLedger();
    for (let index = 0; index < 4; index++) {
        for (const name of ["late", "cut"]) {
            const id = `${name}-${index}`;
            ledger.sent({ id, kind: "book", account: "a", sentAt: 0 });
            const end = { ...END, status: 0, body: "", isWhole: false };
            ledger.ended(id, name === "late" ? { ...end, hasLeft: true } : { ...end, isPlannedStop: true });
            ledger.ran({ ...RUN, id, at: name === "late" ? 900 : 50 });
        }
    }
    const violations = ledger.violations().join();
    assert.match(violations, /gone: 4/);
    assert.match(violations, /lost: 4/);
});

/** Seeds of the short run. A seed that fails is added with a line on its cause. */
const SEEDS = [
    1,
    3,
    // A SIGHUP ended a process that was still starting.
    22,
    // A second SIGTERM ended a process that was stopping in order.
    16,
];

// Guards against promises that break when faults of the store, of links, of servers and of processes overlap.
for (const seed of SEEDS) {
    test(`entries keep their promises under the faults of seed ${seed}`, async () => {
        const lines: string[] = [];
        const { violations, answered } = await runSoak({
            seed,
            seconds: 8,
            entries: 3,
            servers: 6,
            callers: 8,
            log: line => void lines.push(line),
        });
        assert.deepEqual(violations, [], lines.join("\n"));
        assert.ok(answered > 100, `${answered} answers`);
    });
}
