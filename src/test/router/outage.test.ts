import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { createEventLog } from "../../lib/observability/index.js";
import { createPlatformStore } from "../../lib/platform/index.js";
import { type Router, startRouter } from "../../lib/router/index.js";
import { completeResponse, configurationRow, serverRow, startFakeRunner } from "../platform/fakeRunner.js";
import { startFakeStore } from "../platform/fakeStore.js";
import { createVmSettings, findFreePortRange, sendCall, startTestRouter, waitUntil } from "./routerHarness.js";

const cleanups: (() => void | Promise<void>)[] = [];

afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

async function startStore() {
    const store = await startFakeStore();
    cleanups.push(store.close);
    return store;
}

async function startEntry(storeAddress: string, ip: string, peerPort: number): Promise<Router> {
    const otherIp = ip === "127.0.0.1" ? "127.0.0.2" : "127.0.0.1";
    const router = await startTestRouter(createVmSettings(storeAddress, peerPort, { ip, seeds: [otherIp] }));
    cleanups.push(router.stop);
    return router;
}

async function startRunner() {
    const runner = await startFakeRunner(request => void request.socket.write(completeResponse(request, "ok")));
    cleanups.push(runner.close);
    return runner;
}

// Guards against an entry that keeps an outdated configuration because only its own VM can't reach the store. It must
// receive the change from a peer within the time allowed for a configuration to apply.
test("an entry that can't reach the store receives changes from a peer", async () => {
    const [store, silentStore, runner, peerPort] = [
        await startStore(),
        await startStore(),
        await startRunner(),
        await findFreePortRange(),
    ];
    for (const fakeStore of [store, silentStore]) {
        fakeStore.put("servers", "i-1", serverRow(runner.address));
        fakeStore.put("op", "config", configurationRow(1));
    }
    await startEntry(store.address, "127.0.0.1", peerPort);
    const isolated = await startEntry(silentStore.address, "127.0.0.2", peerPort);
    silentStore.setFault("silent");
    store.put("op", "config", configurationRow(2, { tenants: [{ name: "b", "api-keys": ["key-b"] }] }));
    const startedAt = Date.now();
    const status = async () =>
        (await sendCall(isolated.callerPort, { path: "/read/", ip: "127.0.0.2", headers: { key: "key-b" } })).status;
    await waitUntil(async () => await status() === 200);
    assert.ok(Date.now() - startedAt < 2000, `${Date.now() - startedAt} ms`);
    const revoked = await sendCall(isolated.callerPort, { path: "/read/", ip: "127.0.0.2", headers: { key: "key-a" } });
    assert.equal(revoked.status, 401);
});

// Guards against entries that each read the whole configuration, which saturates the links between regions, and against
// an entry that doesn't read and misses a change.
test("only a few entries of a region read each configuration from the store", async () => {
    const [store, runner, peerPort] = [await startStore(), await startRunner(), await findFreePortRange()];
    store.put("servers", "i-1", serverRow(runner.address));
    store.put("op", "config", configurationRow(1));
    const ips = ["127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4"];
    const entries: [string, Router][] = [];
    for (const ip of ips) entries.push([ip, await startEntry(store.address, ip, peerPort)]);
    const countFeedReads = () => store.calls.get("/-/rows-feed op") ?? 0;

    async function applyChange(version: number): Promise<number> {
        const readsBefore = countFeedReads();
        const key = `key-${version}`;
        store.put("op", "config", configurationRow(version, { tenants: [{ name: "b", "api-keys": [key] }] }));
        for (const [ip, { callerPort }] of entries) {
            const status = async () => (await sendCall(callerPort, { path: "/read/", ip, headers: { key } })).status;
            await waitUntil(async () => await status() === 200);
        }
        return countFeedReads() - readsBefore;
    }

    // Lets the entries exchange heartbeats and ends the feed calls that each entry opened before that.
    for (const version of [2, 3]) {
        await new Promise(resolve => setTimeout(resolve, 500));
        await applyChange(version);
    }
    await new Promise(resolve => setTimeout(resolve, 500));
    const startedAt = Date.now();
    assert.ok(await applyChange(4) <= 2);
    assert.ok(Date.now() - startedAt < 2000, `${Date.now() - startedAt} ms`);
});

// Guards against a restarted entry that can't serve until the store is available again.
test("an entry that starts while the store is down takes its state from a peer", async () => {
    const [store, failingStore, runner, peerPort] = [
        await startStore(),
        await startStore(),
        await startRunner(),
        await findFreePortRange(),
    ];
    store.put("servers", "i-1", serverRow(runner.address));
    store.put("op", "config", configurationRow(1));
    await startEntry(store.address, "127.0.0.1", peerPort);
    failingStore.setFault("reset");
    const restarted = await startEntry(failingStore.address, "127.0.0.2", peerPort);
    assert.equal((await sendCall(restarted.callerPort, { path: "/read/", ip: "127.0.0.2" })).status, 200);
});

// Guards against 404 and 401 from an entry without a configuration, which callers don't retry, and against a load
// balancer that sends callers to such an entry.
test("an entry without a configuration refuses with 503 and isn't ready", async () => {
    const store = await startStore();
    const settings = createVmSettings(store.address, await findFreePortRange());
    const log = createEventLog({ process: "p", role: "entry", now: () => performance.now(), write: () => undefined });
    const router = await startRouter(settings, createPlatformStore(settings.storeAddress), log);
    cleanups.push(router.stop);
    const response = await sendCall(router.callerPort, { path: "/read/" });
    assert.equal(response.status, 503);
    assert.ok(Number(response.headers["retry-after"]) > 0);
    assert.equal((await sendCall(router.readyPort, { path: "/" })).status, 503);
});

// Guards against losing all servers when their registry rows expire during a store outage.
test("an entry serves without the store and keeps servers whose rows expired meanwhile", async () => {
    const [store, runner, peerPort] = [await startStore(), await startRunner(), await findFreePortRange()];
    store.put("servers", "i-1", serverRow(runner.address));
    store.put("op", "config", configurationRow(1));
    const router = await startEntry(store.address, "127.0.0.1", peerPort);
    const status = async () => (await sendCall(router.callerPort, { path: "/read/" })).status;
    await waitUntil(async () => await status() === 200);
    store.setFault("reset");
    await new Promise(resolve => setTimeout(resolve, 300));
    store.remove("servers", "i-1");
    assert.equal(await status(), 200);
    store.setFault("none");
    await new Promise(resolve => setTimeout(resolve, 1500));
    assert.equal(await status(), 200, "shortly after the store is available again");
    store.put("servers", "i-1", serverRow(runner.address));
    await new Promise(resolve => setTimeout(resolve, 2500));
    assert.equal(await status(), 200, "after the server's row is written again");
});
