import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { completeResponse, configurationRow, serverRow, startFakeRunner } from "../platform/fakeRunner.js";
import { startFakeStore } from "../platform/fakeStore.js";
import { startFaultProxy } from "../soak/faultProxy.js";
import { createVmSettings, findFreePortRange, sendCall, startTestRouter } from "./routerHarness.js";

const cleanups: (() => void | Promise<void>)[] = [];

afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

// Guards against idle connections to a server that fell silent together and are given to one request after another.
test("after a request found its connection silent, the next one to the same server gets a new connection", async () => {
    const store = await startFakeStore();
    const runner = await startFakeRunner(request => {
        setTimeout(() => request.socket.write(completeResponse(request, "ok")), 50);
    });
    const link = await startFaultProxy(() => runner.address);
    cleanups.push(store.close, runner.close, link.close);
    store.put("servers", "i-1", serverRow(link.address));
    store.put("op", "config", configurationRow(1));
    const router = await startTestRouter(createVmSettings(store.address, await findFreePortRange()));
    cleanups.push(router.stop);
    const send = () => sendCall(router.callerPort, { path: "/read/" });
    const statuses = (await Promise.all([send(), send(), send(), send()])).map(({ status }) => status);
    assert.deepEqual(statuses, [200, 200, 200, 200]);
    link.setFault("silence open", performance.now());
    const silent = send();
    await sleep(1500);
    const startedAt = performance.now();
    const { status } = await send();
    const elapsedMs = performance.now() - startedAt;
    assert.equal(status, 200);
    assert.ok(elapsedMs < 500, `answered after ${elapsedMs} ms`);
    await silent;
});
