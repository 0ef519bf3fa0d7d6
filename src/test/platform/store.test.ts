import assert from "node:assert/strict";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { createRowReplica, createTableFreshness, type Row } from "../../lib/core/serving/index.js";
import type { MetadataStore } from "../../lib/node/metadataStore.js";
import { startTableFeed, type TableFeed } from "../../lib/node/tableFeed.js";
import { createEventLog, createServingMetrics } from "../../lib/observability/index.js";
import { createPlatformStore } from "../../lib/platform/index.js";
import { waitUntil } from "../router/routerHarness.js";
import { startFaultProxy } from "../soak/faultProxy.js";
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
        freshness: createTableFreshness(),
        recheckAgeMs: () => 1200,
        rateLimit: { intervalMs: 250, burst: 4 },
        waitMs: () => 500,
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

// Guards against idle connections that fell silent together and are tried one after another, each until it times out.
test("after a connection fell silent, the next call uses a new one", async () => {
    const link = await startFaultProxy(() => fakeStore.address);
    const client = createPlatformStore(link.address);
    try {
        await Promise.all(Array.from({ length: 4 }, () => client.readTable("t")));
        link.setFault("silence open", performance.now());
        await assert.rejects(client.readFeed("t", 0, 0), { name: "StoreError" });
        const startedAt = performance.now();
        await client.readFeed("t", 0, 0);
        const elapsedMs = performance.now() - startedAt;
        assert.ok(elapsedMs < 500, `the next call took ${elapsedMs} ms`);
    }
    finally {
        client.close();
        link.close();
    }
});

// Guards against a change that is never delivered because the restored store has given its revision out before.
test("a feed delivers the changes after a restoration", async () => {
    const copy = fakeStore.copy();
    for (let index = 0; index < 5; index++) fakeStore.put("t", "a", `lost ${index}`);
    await waitUntil(() => lastRow()?.value === "lost 4");
    fakeStore.restore(copy);
    fakeStore.put("t", "a", "written again");
    await waitUntil(() => lastRow()?.value === "written again");
    for (let index = 0; index < 9; index++) fakeStore.put("t", "b", `later ${index}`);
    await waitUntil(() => lastRow()?.value === "later 8");
    const restorations = logLines.filter(line => line.includes("store restored"));
    assert.equal(restorations.length, 1);
    assert.match(restorations[0] ?? "", /"epoch":1/);
});

/** Starts a store that responds to each call with the next of these eras; `undefined` for no header. */
async function startStoreOfEras(eras: readonly (string | undefined)[], page: object = { rows: [], ver: 7 }) {
    const remaining = [...eras];
    const server = http.createServer((_request, response) => {
        if (remaining.length === 0) {
            response.writeHead(500).end();
            return;
        }
        const era = remaining.shift();
        response.writeHead(200, era === undefined ? {} : { "store-era": era }).end(JSON.stringify(page));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const client = createPlatformStore(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    const close = () => {
        client.close();
        server.close();
        server.closeAllConnections();
    };
    return { client, close };
}

// Guards against a late response from before a restoration that is taken for the present state, or for the proof of a
// write.
test("responses of an earlier epoch, or with an unreadable one, are rejected", async () => {
    const { client, close } = await startStoreOfEras(["4", "3", "3", "x", "4", undefined]);
    const positions = [await client.readTable("t")];
    await assert.rejects(client.readTable("t"), { name: "StoreError", message: /epoch 3/ });
    await assert.rejects(client.putRow("t", "k", "v"), { name: "StoreError", message: /epoch 3/ });
    await assert.rejects(client.readTable("t"), { name: "StoreError", message: /whole number/ });
    positions.push(await client.readTable("t"), await client.readTable("t"));
    close();
    for (const { position } of positions) assert.deepEqual(position, { epoch: 4, revision: 7 });
});

// Guards against a table that is put together from the states before and after a restoration.
test("a read in several pages fails if the store is restored in between", async () => {
    const page = { rows: [{ key: "a", ver: 1, value: "" }], ver: 1, "has-more": true };
    const { client, close } = await startStoreOfEras(["4", "4", "5"], page);
    await assert.rejects(client.readTable("t"), { name: "StoreError", message: /restored while table t was read/ });
    close();
});
