import assert from "node:assert/strict";
import { test } from "node:test";
import {
    originFallbackDelayMs,
    planSwitch,
    precedenceMs,
    predictRemainingTransferMs,
    shouldFinishFirst,
    type TransferProgress,
    TYPICAL_SWITCH_MS,
    typicalTransferMs,
} from "../../../lib/core/serving/index.js";

const ALLOWED_MS = 8000;

// Guards against aborting a nearly complete transfer for a newer version, which left no replica with acceptable weights
// between the two deadlines, and against a transfer that has just begun and delays the newer version.
test("a transfer is finished first only if both versions meet their deadlines", () => {
    const usualMs = typicalTransferMs(64 * 32_768, 5.32);
    const times = { usualMs, allowedMs: ALLOWED_MS, loadMs: 1500 };
    assert.equal(shouldFinishFirst({ ...times, elapsedMs: 3000 }), true);
    assert.equal(shouldFinishFirst({ ...times, elapsedMs: 500 }), false);
});

// Guards against a transfer that can't end and keeps its precedence over all newer versions (review/2).
test("a transfer loses its precedence when the newer version would be late", () => {
    const times = { usualMs: 3800, allowedMs: ALLOWED_MS, loadMs: 1500, untilOutdatedMs: Number.POSITIVE_INFINITY };
    assert.equal(precedenceMs({ ...times, elapsedMs: 500 }), 0);
    assert.equal(precedenceMs({ ...times, elapsedMs: 3000 }), ALLOWED_MS - 3800 - 1500);
});

// Guards against versions that follow each other so fast that each transfer is aborted for the next one, until the loaded
// weights are outdated and there is nothing to load.
test("one of many versions in quick succession is finished before the loaded weights are outdated", () => {
    for (const intervalMs of [500, 800, 1000, 1200, 2000]) {
        let startedAt = 0;
        let precedenceUntil = 0;
        let firstCompletedAt = Number.POSITIVE_INFINITY;
        const usualMs = 3800;
        for (let namedAt = intervalMs; namedAt < 20_000; namedAt += intervalMs) {
            if (startedAt + usualMs <= namedAt) firstCompletedAt = Math.min(firstCompletedAt, startedAt + usualMs);
            const untilOutdatedMs = ALLOWED_MS - namedAt;
            const times = {
                elapsedMs: namedAt - startedAt,
                usualMs,
                allowedMs: ALLOWED_MS,
                loadMs: 1500,
                untilOutdatedMs,
            };
            if (namedAt < precedenceUntil) continue;
            precedenceUntil = namedAt + precedenceMs(times);
            if (precedenceUntil <= namedAt) startedAt = namedAt;
        }
        assert.ok(firstCompletedAt <= ALLOWED_MS - 1500, `every ${intervalMs} ms: ${firstCompletedAt} ms`);
    }
});

// Guards against replicas that drain while the last piece is unavailable, because the transfer looks nearly complete.
test("a stalled transfer isn't near completion, however little is missing", () => {
    const progressing: TransferProgress = { completedFraction: 63 / 64, elapsedMs: 3000, sinceLastPieceMs: 100 };
    assert.ok(predictRemainingTransferMs(progressing) < TYPICAL_SWITCH_MS);
    const stalled: TransferProgress = { ...progressing, elapsedMs: 6000, sinceLastPieceMs: 3000 };
    assert.equal(predictRemainingTransferMs(stalled), Number.POSITIVE_INFINITY);
    const group = { self: "a", replicas: ["a", "b"], failureDomain: "d", failureDomains: ["d"] };
    const drainsWith = (progress: TransferProgress) => {
        const version = { version: 2, namedAt: 0, remainingTransferMs: predictRemainingTransferMs(progress) };
        return planSwitch(1, [version], group, ALLOWED_MS, ALLOWED_MS - 1000).shouldDrain;
    };
    assert.equal(drainsWith(progressing), true);
    assert.equal(drainsWith(stalled), false);
    assert.equal(predictRemainingTransferMs({ ...stalled, completedFraction: 1 }), 0);
});

// Guards against agents that take all connections of the origin when all processes start at once, so that the entries
// can't fetch anything for them.
test("agents leave the origin to the entries at first, and spread their own requests to it", () => {
    const [first, last] = [originFallbackDelayMs(true, 0), originFallbackDelayMs(true, 0.999)];
    assert.ok(first >= 2000 && last - first > 1900);
    assert.ok(originFallbackDelayMs(false, 0) === 0 && originFallbackDelayMs(false, 0.999) < 1000);
});
