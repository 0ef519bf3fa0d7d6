import assert from "node:assert/strict";
import { test } from "node:test";
import { createNoticeLedger } from "./noticeLedger.js";

// Guards against a soak that doesn't notice calls to servers which said that they are leaving.
test("calls to a leaving server are reported from the end of its drain time on, for each span of a process", () => {
    const ledger = createNoticeLedger();
    ledger.recordSent("a", "entry-0/1", 0);
    ledger.recordLeavingAnswer("a", "i-1");
    ledger.recordAnswered("a", "i-1", 100);
    ledger.recordSent("in time", "entry-0/1", 2000);
    ledger.recordSent("late", "entry-0/1", 2200);
    ledger.recordSent("other span", "entry-0/2", 2200);
    ledger.recordArrival("in time", "i-1", 2300);
    ledger.recordArrival("other span", "i-1", 2300);
    ledger.recordArrival("late", "i-2", 2300);
    assert.deepEqual(ledger.listViolations(), []);
    ledger.recordArrival("late", "i-1", 2300);
    ledger.endSpan("entry-0/1");
    ledger.recordArrival("late", "i-1", 2400);
    assert.equal(ledger.listViolations().length, 1);
    assert.match(ledger.listViolations().join(), /^late drained: reached i-1/);
});

// Guards against a soak that doesn't notice calls to servers whose rows said that they are leaving.
test("calls to a server whose row said that it is leaving are reported for the spans that know", () => {
    const ledger = createNoticeLedger();
    ledger.recordLeavingRow(["entry-0/1"], "i-1", 2500);
    for (const span of ["entry-0/1", "entry-1/1"]) {
        ledger.recordSent(span, span, 2600);
        ledger.recordArrival(span, "i-1", 2600);
    }
    assert.match(ledger.listViolations().join(), /^entry-0\/1 drained[^,]*, though sent 100 ms[^,]*$/);
});

// Guards against a soak that doesn't notice calls to servers which asked for a pause.
test("more than two calls of an entry in a pause are reported", () => {
    const ledger = createNoticeLedger();
    for (let index = 0; index < 3; index++) ledger.recordSent(`c${index}`, "entry-0/1", 0);
    ledger.recordPause("c0", "i-1", 0, 3000);
    for (const at of [100, 400, 3100]) ledger.recordArrival("c0", "i-1", at);
    ledger.recordArrival("c0", "i-1", 1000);
    ledger.recordArrival("c1", "i-1", 1500);
    assert.deepEqual(ledger.listViolations(), []);
    ledger.recordArrival("c2", "i-1", 2900);
    assert.match(ledger.listViolations().join(), /entry-0\/1 i-1 budget: 3 calls/);
});
