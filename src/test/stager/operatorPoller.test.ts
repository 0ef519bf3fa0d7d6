import assert from "node:assert/strict";
import { mock, test } from "node:test";
import type { Row } from "../../lib/core/serving/index.js";
import { createEventLog, createServingMetrics } from "../../lib/observability/index.js";
import { startOperatorPoller } from "../../lib/stager/operatorPoller.js";
import type { TableReader } from "../../lib/stager/sharedReads.js";

const CONFIGURATION: Row = { key: "config", epoch: 0, revision: 1, value: "c" };

const STEP_MS = 50;

/** Runs a poller against an in-memory store on a clock that the test advances. */
function startPoller(readRows: (keyPrefix: string) => Row[]) {
    mock.timers.enable({ apis: ["setTimeout"] });
    const reads: string[] = [];
    let now = 0;
    const tables: TableReader = {
        readTable: async (_table, keyPrefix = "") => {
            reads.push(keyPrefix);
            return { rows: readRows(keyPrefix), position: { epoch: 0, revision: 1 } };
        },
    };
    const seen: Row[] = [];
    const poller = startOperatorPoller({
        tables,
        onRows: rows => {
            seen.push(...rows);
            return seen.some(({ key }) => key === CONFIGURATION.key);
        },
        log: createEventLog({ process: "p", role: "agent", now: () => 0, write: () => undefined }),
        metrics: createServingMetrics(),
        now: () => now,
        random: () => 0.5,
    });
    const advance = async (ms: number) => {
        for (let step = 0; step < ms / STEP_MS; step++) {
            now += STEP_MS;
            mock.timers.tick(STEP_MS);
            // Lets a poll that has become due finish.
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    const stop = () => {
        poller.stop();
        mock.timers.reset();
    };
    return { reads, seen, advance, stop };
}

// Guards against agents that saturate the links between regions by reading the full configuration at every poll.
test("an agent reads the configuration once a minute and named weights in between", async () => {
    const { reads, advance, stop } = startPoller(() => [CONFIGURATION]);
    await advance(125_000);
    stop();
    assert.equal(reads.filter(prefix => prefix === "").length, 2, "full reads");
    assert.ok(reads.length >= 11 && reads.length <= 14, `${reads.length} reads`);
});

// Guards against named weights that are never loaded because no entry can reach the agent.
test("an agent that no entry can reach finds named weights within 12.5 s", async () => {
    let named: Row[] = [];
    const { seen, advance, stop } = startPoller(keyPrefix => keyPrefix === "" ? [CONFIGURATION] : named);
    await advance(1000);
    named = [{ key: "version/m", epoch: 0, revision: 2, value: "v" }];
    await advance(12_500);
    stop();
    assert.ok(seen.some(({ key }) => key === "version/m"));
});

// Guards against an agent that starts while the store is down and then waits for a whole regular poll interval.
test("an agent without a configuration reads the table again within 1.2 s", async () => {
    let isDown = true;
    const { seen, advance, stop } = startPoller(() => {
        if (isDown) throw new Error("down");
        return [CONFIGURATION];
    });
    await advance(5000);
    isDown = false;
    await advance(1250);
    stop();
    assert.equal(seen.length, 1);
});
