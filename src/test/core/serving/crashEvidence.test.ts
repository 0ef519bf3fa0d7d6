import assert from "node:assert/strict";
import { test } from "node:test";
import { type CrashEvidence, createCrashEvidence, type ImplicatedPrompt } from "../../../lib/core/serving/index.js";

let promptCount = 0;

function prompt(...parts: string[]): ImplicatedPrompt {
    return { id: ++promptCount, parts };
}

function recordCrash(evidence: CrashEvidence, at: number, ...prompts: ImplicatedPrompt[]): void {
    evidence.recordCrash({ incarnation: `crash at ${at}`, prompts }, at);
}

/** Returns the parts of the strongest cause, joined. */
const causeOf = (evidence: CrashEvidence, parts: string[], now: number) =>
    evidence.findCauses(new Set(parts), now)[0]?.parts.join("+");

// Guards against blaming a common part when several servers are lost at once.
test("crashes at the same time count once", () => {
    const evidence = createCrashEvidence();
    for (let at = 0; at < 8; at++) recordCrash(evidence, at, prompt("common"));
    assert.equal(causeOf(evidence, ["common"], 10), undefined);
});

// Guards against adding up crashes that sound requests with the part were near, over a long time.
test("a survival clears the crashes before it and not those after it", () => {
    const evidence = createCrashEvidence();
    for (let at = 0; at < 20_000; at += 1000) {
        recordCrash(evidence, at, prompt("sound"));
        assert.equal(evidence.recordSurvival("sound", at + 500), true);
        assert.equal(evidence.recordSurvival("sound", at + 600), false);
    }
    assert.equal(causeOf(evidence, ["sound"], 20_000), undefined);
    recordCrash(evidence, 30_000, prompt("sound"));
    assert.equal(evidence.recordSurvival("sound", 29_000), false);
});

// Guards against a crash that is reported late and held against a part that has survived since.
test("a crash before the last survival is no evidence", () => {
    const evidence = createCrashEvidence();
    evidence.recordSurvival("sound", 1000);
    for (let at = 0; at < 1000; at += 100) recordCrash(evidence, at, prompt("sound"));
    assert.equal(causeOf(evidence, ["sound"], 1000), undefined);
});

// Guards against trusting a part for ever because it was sound before.
test("a part that survived before needs a few more crashes", () => {
    const evidence = createCrashEvidence();
    evidence.recordSurvival("turned", 0);
    for (let at = 100; at <= 500; at += 100) {
        assert.equal(causeOf(evidence, ["turned"], at), undefined, `after the crashes before ${at}`);
        recordCrash(evidence, at, prompt("turned"));
    }
    assert.equal(causeOf(evidence, ["turned"], 500), "turned");
});

// Guards against blaming one of several parts that the same crashes implicate: nothing tells which of them it was.
test("parts with the same crashes that aren't known to survive are one cause", () => {
    const evidence = createCrashEvidence();
    evidence.recordSurvival("known", 0);
    for (let at = 100; at <= 600; at += 100) recordCrash(evidence, at, prompt("first", "deadly", "known"));
    const parts = ["known", "first", "deadly"];
    assert.equal(causeOf(evidence, parts, 600), "deadly+first");
    assert.equal(evidence.findCauses(new Set(parts), 600).length, 2, "the known part is another cause");
    evidence.confirmCause(["deadly", "first"]);
    assert.deepEqual(evidence.findCauses(new Set(parts), 600).map(cause => cause.parts), [["deadly", "first"]]);
    evidence.confirmCause(["deadly"]);
    assert.equal(causeOf(evidence, parts, 600), undefined);
});

// Guards against evidence that is deleted while several parts are suspected, so that the right one is never found.
test("a further crash without one of the suspected parts leaves the others", () => {
    const evidence = createCrashEvidence();
    for (const at of [100, 200, 300]) recordCrash(evidence, at, prompt("deadly", "session1"));
    evidence.confirmCause(["deadly", "session1"]);
    recordCrash(evidence, 400, prompt("deadly", "session2"));
    assert.equal(causeOf(evidence, ["deadly", "session1", "session2"], 400), "deadly");
});

// Guards against a part that is never found because its crashes were once ascribed to a part that turned out to be sound.
test("a cause that is withdrawn leaves its crashes as evidence against other parts", () => {
    const evidence = createCrashEvidence();
    for (const at of [100, 200, 300]) recordCrash(evidence, at, prompt("deadly", "sound"));
    evidence.confirmCause(["sound"]);
    assert.equal(causeOf(evidence, ["deadly", "sound"], 300), undefined);
    evidence.recordSurvival("sound", 400);
    assert.deepEqual([...evidence.retractCause(["sound"])], ["deadly"]);
    assert.equal(causeOf(evidence, ["deadly", "sound"], 400), "deadly");
});

// Guards against new evidence from prompts that another entry reports after the cause has been found.
test("a crash with a known cause is no evidence, whenever its prompts are reported", () => {
    const evidence = createCrashEvidence();
    for (let at = 0; at < 1000; at += 100) {
        evidence.explainCrash(`crash at ${at}`, ["cause"]);
        recordCrash(evidence, at, prompt("late"));
    }
    assert.equal(causeOf(evidence, ["late"], 1000), undefined);
});

// Guards against blaming the parts of one request that is repeated at servers that crash for another reason.
test("repetitions of one prompt need one more crash", () => {
    const evidence = createCrashEvidence();
    const repeated = prompt("part");
    for (let at = 0; at < 300; at += 100) recordCrash(evidence, at, repeated);
    assert.equal(causeOf(evidence, ["part"], 300), undefined);
    recordCrash(evidence, 300, repeated);
    assert.equal(causeOf(evidence, ["part"], 300), "part");
});

// Guards against evidence that the many other parts of long prompts push out, so that the cause is never found (review/10).
test("the cause is found among tens of thousands of parts that each crash implicates", () => {
    const evidence = createCrashEvidence();
    for (let crash = 0; crash < 3; crash++) {
        const prompts = Array.from({ length: 8 }, (_, request) => {
            const others = Array.from({ length: 4000 }, (__, index) => `${crash}/${request}/${index}`);
            return prompt(...request === 0 ? ["deadly", ...others] : others);
        });
        recordCrash(evidence, crash * 1000, ...prompts);
    }
    assert.equal(causeOf(evidence, ["deadly", "0/0/0"], 3000), "deadly");
});
