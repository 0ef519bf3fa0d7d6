import assert from "node:assert/strict";
import { test } from "node:test";
import { simulateTrace } from "../../../harness/enginePoolSimulation.js";
import { LOAD_TRACES } from "../../../harness/loadTraces.js";
import { createDispatcherPlacer, SINGLE_ENTRY } from "../../../harness/placers.js";
import { createServerSpeed } from "../../../lib/core/serving/index.js";

/** Sends one request every 50 ms to a server that is slower by `factor`, and returns the resulting estimate. */
function learnSlowdown(factor: number, durationMs: number): number {
    const speed = createServerSpeed();
    for (let now = 0; now < durationMs; now += 50) {
        const assumedSlowdown = speed.slowdown("s", now);
        speed.recordFirstEvent(
            "s",
            { predictedMs: 100 * assumedSlowdown, measuredMs: 100 * factor, assumedSlowdown },
            now,
        );
    }
    return speed.slowdown("s", durationMs);
}

// Guards against an estimate that compares measurements with predictions that already include it: for a server that is
// four times slower it settled at two.
test("the estimated slowdown of a server approaches the real one", () => {
    for (const factor of [1, 2, 4]) {
        const estimate = learnSlowdown(factor, 4000);
        // Placements allow for an error of 15 % anyway.
        assert.ok(estimate >= 0.8 * factor && estimate <= 1.05 * factor, `${estimate} for ${factor}`);
    }
});

// Guards against a server at a quarter of its speed that gets the work of one at full speed until its first late answers
// arrive, and against a single report of many per second that decides alone.
test("reported slowdowns count at once, are averaged and expire", () => {
    const speed = createServerSpeed();
    speed.recordReport("s", 4, 0);
    assert.equal(speed.slowdown("s", 0), 4);
    speed.recordReport("s", 1, 20);
    assert.ok(speed.slowdown("s", 20) > 3.5);
    for (let now = 40; now < 2000; now += 20) speed.recordReport("s", now % 40 === 0 ? 4 : 1, now);
    const average = speed.slowdown("s", 2000);
    assert.ok(average > 2.2 && average < 2.8, String(average));
    assert.equal(speed.slowdown("s", 10_000), 1);
});

// Guards against counting the slowdown twice if a server reports it and its answers are late accordingly.
test("an answer that is as late as the reported slowdown explains changes nothing", () => {
    const speed = createServerSpeed();
    for (let now = 0; now < 3000; now += 50) {
        speed.recordReport("s", 3, now);
        speed.recordFirstEvent("s", { predictedMs: 300, measuredMs: 300, assumedSlowdown: 3 }, now);
    }
    assert.ok(Math.abs(speed.slowdown("s", 3000) - 3) < 0.01);
});

// Guards against a server that seems slow, gets no requests and therefore seems slow for ever.
test("a slowdown that isn't measured again is forgotten", () => {
    const speed = createServerSpeed();
    for (let now = 0; now < 4000; now += 50) {
        const assumedSlowdown = speed.slowdown("s", now);
        speed.recordFirstEvent("s", { predictedMs: 100 * assumedSlowdown, measuredMs: 500, assumedSlowdown }, now);
    }
    assert.ok(speed.slowdown("s", 4000) > 3.5);
    assert.ok(speed.slowdown("s", 14_000) < 1.5);
});

// Guards against entries that take a server for fast because each of them measures it rarely, and against a slowdown that
// outlives the agent which reports it.
test("the lasting slowdown that an agent reports counts on top of the current one, and expires", () => {
    const speed = createServerSpeed();
    speed.recordEngineSlowdown("s", 2.5, 0);
    assert.equal(speed.slowdown("s", 0), 2.5);
    // Measurements that it explains change nothing.
    speed.recordFirstEvent("s", { predictedMs: 250, measuredMs: 250, assumedSlowdown: 2.5 }, 10);
    assert.ok(Math.abs(speed.slowdown("s", 10) - 2.5) < 0.01);
    speed.recordReport("s", 2, 20);
    assert.ok(Math.abs(speed.slowdown("s", 20) - 5) < 0.01);
    speed.recordEngineSlowdown("s", 1, 30);
    assert.ok(Math.abs(speed.slowdown("s", 30) - 2) < 0.01);
    speed.recordEngineSlowdown("s", 2.5, 40);
    assert.equal(speed.slowdown("s", 20_000), 1);
});

// Guards against a large pool whose slow engines make the requests of all entries late. Each entry alone measures an
// engine too rarely to learn its speed.
test("a pool with slow engines behind many entries is served better if their agents tell it", () => {
    const trace = LOAD_TRACES.find(({ name }) => name === "unevenEngines");
    assert.ok(trace !== undefined);
    const lostFraction = (tellsEngineSlowdown: boolean) => {
        const group = { entryCount: 12, heartbeatIntervalMs: 100, tellsEngineSlowdown };
        const { total } = simulateTrace(trace, createDispatcherPlacer(trace, group), 1);
        return 1 - total.utility / total.maxUtility;
    };
    const [untold, told] = [lostFraction(false), lostFraction(true)];
    assert.ok(told < untold / 2, `${told} against ${untold}`);
});

// Guards against reports of the servers' speed that are read and not used.
test("a pool whose engines slow down in turn is served better if they report it", () => {
    const trace = LOAD_TRACES.find(({ name }) => name === "unsteadyEngines");
    assert.ok(trace !== undefined);
    const utilityOf = (reportsSlowdown: boolean) => {
        return [1, 2, 3].reduce((sum, seed) => {
            const placer = createDispatcherPlacer(trace, { ...SINGLE_ENTRY, reportsSlowdown });
            return sum + simulateTrace(trace, placer, seed).total.utility;
        }, 0);
    };
    const [ignored, used] = [utilityOf(false), utilityOf(true)];
    assert.ok(used > 1.02 * ignored, `${used} against ${ignored}`);
});
