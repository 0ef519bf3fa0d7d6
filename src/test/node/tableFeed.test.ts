import assert from "node:assert/strict";
import { test } from "node:test";
import { createRowReplica, type Row } from "../../lib/core/serving/index.js";
import type { FeedAnswer, MetadataStore } from "../../lib/node/metadataStore.js";
import { startTableFeed } from "../../lib/node/tableFeed.js";
import { createEventLog, createServingMetrics } from "../../lib/observability/index.js";

const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms));

/** A store in memory whose feed answers as soon as there is a change. */
function createMemoryStore() {
    const rows: Row[] = [];
    let calls = 0;
    const store: MetadataStore = {
        readTable: () => Promise.resolve({ rows, revision: rows.length }),
        readFeed: async (_table, after, waitMs): Promise<FeedAnswer> => {
            calls++;
            const end = Date.now() + waitMs;
            while (rows.length <= after && Date.now() < end) await sleep(2);
            return { kind: "changes", rows: rows.slice(after), revision: rows.length };
        },
        putRow: () => Promise.resolve(),
        close: () => undefined,
    };
    const change = (key: string) => void rows.push({ key, revision: rows.length + 1, value: "x" });
    return { store, change, calls: () => calls };
}

// Guards against a call to the store for every change of every server, which in a rollout grows with the product of
// entries and servers, and against a lone change that is noticed late.
test("changes in quick succession are fetched together, a lone one at once", async () => {
    const { store, change, calls } = createMemoryStore();
    const seen: string[] = [];
    let firstAt = 0;
    const feed = startTableFeed({
        store,
        table: "servers",
        replica: createRowReplica(),
        waitMs: 300,
        pace: { intervalMs: 250, quickCalls: 4 },
        onChange: rows => {
            firstAt ||= rows.length === 0 ? 0 : Date.now();
            seen.push(...rows.map(({ key }) => key));
        },
        log: createEventLog({ process: "p", role: "entry", now: () => 0, write: () => undefined }),
        metrics: createServingMetrics(),
        now: () => performance.now(),
        random: Math.random,
    });
    await sleep(50);
    const since = Date.now();
    for (let index = 0; index < 50; index++) {
        change(`i-${index}`);
        await sleep(10);
    }
    assert.ok(firstAt - since < 100, `the first change was noticed after ${firstAt - since} ms`);
    await sleep(400);
    feed.stop();
    assert.equal(seen.length, 50);
    assert.ok(calls() <= 10, `${calls()} calls`);
});
