import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createSilenceTimer } from "../../lib/node/silenceTimer.js";

// Guards against a silence that is reported although the peer sends, or only once although nobody could take over.
test("a silence is reported until it ends", async () => {
    let reportCount = 0;
    const silence = createSilenceTimer(async () => void reportCount++);
    silence.start(200);
    for (let index = 0; index < 4; index++) {
        await sleep(100);
        silence.restart();
    }
    assert.deepEqual([reportCount, silence.isExpired()], [0, false]);
    await sleep(800);
    assert.ok(reportCount >= 2, `${reportCount} reports`);
    assert.equal(silence.isExpired(), true);
    silence.restart();
    assert.equal(silence.isExpired(), false);
    silence.stop();
    const reportCountBefore = reportCount;
    await sleep(400);
    assert.equal(reportCount, reportCountBefore);
});

// Guards against a report that follows a restart because the previous one was still pending.
test("a pending report doesn't cause another one after a restart", async () => {
    let reportCount = 0;
    let finishReport: (() => void) | undefined;
    const silence = createSilenceTimer(() => {
        reportCount++;
        return new Promise(resolve => finishReport = resolve);
    });
    silence.start(20);
    await sleep(100);
    assert.equal(reportCount, 1);
    silence.restart();
    silence.stop();
    finishReport?.();
    await sleep(400);
    assert.equal(reportCount, 1);
});
