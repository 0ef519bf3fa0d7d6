import assert from "node:assert/strict";
import { mock, test } from "node:test";
import type { Row } from "../../lib/core/serving/index.js";
import type { MetadataStore } from "../../lib/node/metadataStore.js";
import { createEventLog, createServingMetrics } from "../../lib/observability/index.js";
import { startOperatorWatch } from "../../lib/stager/operatorWatch.js";

const CONFIGURATION: Row = { key: "config", revision: 1, value: "c" };

const STEP_MS = 50;

/** Plays looks at a store in memory on a clock that the test moves. */
function startWatch(readRows: (keyPrefix: string) => Row[]) {
    mock.timers.enable({ apis: ["setTimeout"] });
    const reads: string[] = [];
    let now = 0;
    const store: MetadataStore = {
        readFeed: () => Promise.reject(new Error("not used")),
        putRow: () => Promise.resolve(),
        close: () => undefined,
        readTable: async (_table, keyPrefix = "") => {
            reads.push(keyPrefix);
            return { rows: readRows(keyPrefix), revision: 1 };
        },
    };
    const seen: Row[] = [];
    const watch = startOperatorWatch({
        store,
        onRows: rows => {
            seen.push(...rows);
            return seen.some(({ key }) => key === CONFIGURATION.key);
        },
        log: createEventLog({ process: "p", role: "agent", now: () => 0, write: () => undefined }),
        metrics: createServingMetrics(),
        now: () => now,
        random: () => 0.5,
    });
    const pass = async (ms: number) => {
        for (let step = 0; step < ms / STEP_MS; step++) {
            now += STEP_MS;
            mock.timers.tick(STEP_MS);
            // Lets the look that has become due finish.
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    const stop = () => {
        watch.stop();
        mock.timers.reset();
    };
    return { reads, seen, pass, stop };
}

// Guards against agents that fill the links between regions with configurations that they don't need.
test("an agent reads the configuration once a minute and named weights in between", async () => {
    const { reads, pass, stop } = startWatch(() => [CONFIGURATION]);
    await pass(125_000);
    stop();
    assert.equal(reads.filter(prefix => prefix === "").length, 2, "whole reads after the first");
    assert.ok(reads.length >= 11 && reads.length <= 14, `${reads.length} reads`);
});

// Guards against weights that are never loaded because no entry reaches the agent.
test("an agent that no entry reaches finds named weights within 12.5 s", async () => {
    let named: Row[] = [];
    const { seen, pass, stop } = startWatch(keyPrefix => keyPrefix === "" ? [CONFIGURATION] : named);
    await pass(1000);
    named = [{ key: "version/m", revision: 2, value: "v" }];
    await pass(12_500);
    stop();
    assert.ok(seen.some(({ key }) => key === "version/m"));
});

// Guards against an agent that starts while the store is down and then waits for its next regular look.
test("an agent without a configuration asks again within 1.2 s", async () => {
    let isDown = true;
    const { seen, pass, stop } = startWatch(() => {
        if (isDown) throw new Error("down");
        return [CONFIGURATION];
    });
    await pass(5000);
    isDown = false;
    await pass(1250);
    stop();
    assert.equal(seen.length, 1);
});
