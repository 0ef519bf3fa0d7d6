import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { createRowReplica, type Row } from "../../lib/core/serving/index.js";
import type { MetadataStore } from "../../lib/node/metadataStore.js";
import { startTableFeed, type TableFeed } from "../../lib/node/tableFeed.js";
import { createEventLog, createServingMetrics } from "../../lib/observability/index.js";
import { createPlatformStore } from "../../lib/platform/index.js";
import { until } from "../router/routerHarness.js";
import { type StandInStore, startStandInStore } from "./standInStore.js";

let standIn: StandInStore;
let store: MetadataStore;
let feed: TableFeed;
let seen: Row[];
let lines: string[];
const replica = () => seen.at(-1);

beforeEach(async () => {
    standIn = await startStandInStore();
    store = createPlatformStore(standIn.address);
    seen = [];
    lines = [];
    standIn.put("t", "a", "1");
    feed = startTableFeed({
        store,
        table: "t",
        replica: createRowReplica(),
        pace: { intervalMs: 250, quickCalls: 4 },
        waitMs: 500,
        onChange: rows => void seen.push(...rows),
        log: createEventLog({
            process: "p",
            role: "r",
            now: () => performance.now(),
            write: line => void lines.push(line),
        }),
        metrics: createServingMetrics(),
        now: () => performance.now(),
        random: () => 0,
    });
    await until(() => replica()?.value === "1");
});

afterEach(() => {
    feed.stop();
    store.close();
    standIn.close();
});

// Guards against changes that are missed while a store refuses, drops calls or forgets its history.
test("a feed delivers what changed during each kind of trouble", async () => {
    for (const trouble of ["busy", "reset", "silent"] as const) {
        standIn.setTrouble(trouble);
        standIn.put("t", "a", `during ${trouble}`);
        await new Promise(resolve => setTimeout(resolve, 100));
        standIn.setTrouble("none");
        await until(() => replica()?.value === `during ${trouble}`);
    }
    standIn.put("t", "b", "2");
    await until(() => replica()?.value === "2");
    standIn.remove("t", "b");
    standIn.compact();
    await until(() => replica()?.key === "b" && replica()?.value === undefined);
    assert.ok(lines.some(line => line.includes("store lost")) && lines.some(line => line.includes("store regained")));
});

// Guards against a process that calls a store in trouble as fast as it can.
test("failed calls are spread by growing pauses", async () => {
    standIn.setTrouble("busy");
    await until(() => !feed.isConnected());
    const count = () => [...standIn.calls.values()].reduce((sum, calls) => sum + calls, 0);
    const before = count();
    await new Promise(resolve => setTimeout(resolve, 1000));
    assert.ok(count() - before <= 8, `${count() - before} calls in 1 s`);
    assert.equal(lines.filter(line => line.includes("store lost")).length, 1);
});

// Guards against a write whose failure is taken for a success.
test("a refused write throws", async () => {
    await store.putRow("own", "k", "v");
    standIn.setTrouble("busy");
    await assert.rejects(store.putRow("own", "k", "w"), { name: "StoreError" });
});
