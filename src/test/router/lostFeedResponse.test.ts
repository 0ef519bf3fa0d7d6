import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { completeResponse, configurationRow, serverRow, startFakeRunner } from "../platform/fakeRunner.js";
import { startFakeStore } from "../platform/fakeStore.js";
import { createVmSettings, findFreePortRange, sendCall, startTestRouter, waitUntil } from "./routerHarness.js";

/** Time after an outage of the store from which on changes must be applied in time (`stability-window-ms`). */
const STABILITY_WINDOW_MS = 3000;

/** Time within which an entry applies a change (`config-apply-ms`). */
const APPLY_MS = 2000;

const cleanups: (() => void | Promise<void>)[] = [];

afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

// Guards against a change that comes into force only when a waiting feed call times out, whose response was lost in an
// outage of the store that has long ended.
test("a change is applied in time after an outage in which the response to a waiting feed call was lost", async () => {
    const store = await startFakeStore();
    const runner = await startFakeRunner(request => void request.socket.write(completeResponse(request, "ok")));
    cleanups.push(store.close, runner.close);
    store.put("servers", "i-1", serverRow(runner.address));
    store.put("op", "config", configurationRow(1));
    const router = await startTestRouter(createVmSettings(store.address, await findFreePortRange()));
    cleanups.push(router.stop);
    await sleep(500);
    store.setFault("silent");
    store.put("op", "config", configurationRow(2));
    await sleep(500);
    store.setFault("none");
    await sleep(STABILITY_WINDOW_MS);
    store.put("op", "config", configurationRow(3, { tenants: [{ name: "b", "api-keys": ["key-b"] }] }));
    const startedAt = Date.now();
    await waitUntil(async () => {
        return (await sendCall(router.callerPort, { path: "/read/", headers: { key: "key-b" } })).status === 200;
    });
    assert.ok(Date.now() - startedAt < APPLY_MS, `applied after ${Date.now() - startedAt} ms`);
});
