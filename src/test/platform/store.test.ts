import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { createRowReplica, type Row } from "../../lib/core/serving/index.js";
import type { MetadataStore } from "../../lib/node/metadataStore.js";
import { startTableFeed, type TableFeed } from "../../lib/node/tableFeed.js";
import { createEventLog, createServingMetrics } from "../../lib/observability/index.js";
import { createPlatformStore } from "../../lib/platform/index.js";
import { waitUntil } from "../router/routerHarness.js";
import { type FakeStore, startFakeStore } from "./fakeStore.js";

let fakeStore: FakeStore;
let store: MetadataStore;
let feed: TableFeed;
let receivedRows: Row[];
let logLines: string[];
const lastRow = () => receivedRows.at(-1);

beforeEach(async () => {
    fakeStore = await startFakeStore();
    store = createPlatformStore(fakeStore.address);
    receivedRows = [];
    logLines = [];
    fakeStore.put("t", "a", "1");
    feed = startTableFeed({
        store,
        table: "t",
        replica: createRowReplica(),
        rateLimit: { intervalMs: 250, burst: 4 },
        waitMs: 500,
        onChange: rows => void receivedRows.push(...rows),
        log: createEventLog({
            process: "p",
            role: "r",
            now: () => performance.now(),
            write: line => void logLines.push(line),
        }),
        metrics: createServingMetrics(),
        now: () => performance.now(),
        random: () => 0,
    });
    await waitUntil(() => lastRow()?.value === "1");
});

afterEach(() => {
    feed.stop();
    store.close();
    fakeStore.close();
});

// Guards against changes that are lost while the store refuses or drops calls, or after it discards its history.
test("a feed delivers the changes made during each kind of fault", async () => {
    for (const fault of ["busy", "reset", "silent"] as const) {
        fakeStore.setFault(fault);
        fakeStore.put("t", "a", `during ${fault}`);
        await new Promise(resolve => setTimeout(resolve, 100));
        fakeStore.setFault("none");
        await waitUntil(() => lastRow()?.value === `during ${fault}`);
    }
    fakeStore.put("t", "b", "2");
    await waitUntil(() => lastRow()?.value === "2");
    fakeStore.remove("t", "b");
    fakeStore.compact();
    await waitUntil(() => lastRow()?.key === "b" && lastRow()?.value === undefined);
    assert.ok(
        logLines.some(line => line.includes("store lost")) && logLines.some(line => line.includes("store regained")),
    );
});

// Guards against retries without backoff while the store fails.
test("failed calls are retried with increasing backoff", async () => {
    fakeStore.setFault("busy");
    await waitUntil(() => !feed.isConnected());
    const countCalls = () => [...fakeStore.calls.values()].reduce((sum, calls) => sum + calls, 0);
    const callsBefore = countCalls();
    await new Promise(resolve => setTimeout(resolve, 1000));
    assert.ok(countCalls() - callsBefore <= 8, `${countCalls() - callsBefore} calls in 1 s`);
    assert.equal(logLines.filter(line => line.includes("store lost")).length, 1);
});

// Guards against a failed write that is reported as successful.
test("a refused write throws", async () => {
    await store.putRow("own", "k", "v");
    fakeStore.setFault("busy");
    await assert.rejects(store.putRow("own", "k", "w"), { name: "StoreError" });
});
