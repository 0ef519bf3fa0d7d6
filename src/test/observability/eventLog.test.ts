import assert from "node:assert/strict";
import { test } from "node:test";
import { createEventLog, MAX_INFO_LINES_PER_SECOND } from "../../lib/observability/index.js";

// Guards against logging that uses up the CPU under load, and against lines that are suppressed without being counted.
test("the rate of an event is limited and its next line has the number of suppressed lines", () => {
    const lines: Record<string, unknown>[] = [];
    let now = 0;
    const log = createEventLog({
        process: "p",
        role: "entry",
        now: () => now,
        write: line => void lines.push(JSON.parse(line)),
    });
    for (let index = 0; index < 1000; index++) log.info("flood", { index });
    log.info("other", { id: "x" });
    assert.equal(lines.filter(({ event }) => event === "flood").length, MAX_INFO_LINES_PER_SECOND);
    assert.equal(lines.at(-1)?.event, "other");
    now = 1000;
    log.info("flood", {});
    assert.equal(lines.at(-1)?.suppressed, 1000 - MAX_INFO_LINES_PER_SECOND);
});
