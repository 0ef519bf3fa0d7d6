import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import {
    configurationRow,
    engineParameters,
    loadedWeights,
    serverRow,
    startFakeRunner,
} from "../platform/fakeRunner.js";
import { startFakeStore } from "../platform/fakeStore.js";
import { createVmSettings, findFreePortRange, sendCall, startTestRouter, waitUntil } from "./routerHarness.js";

const cleanups: (() => void | Promise<void>)[] = [];

afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

const MODEL = "m";
const WEIGHTS_BOUND_MS = 2000;

// Guards against a request that is queued at an engine with older weights and starts after the switch deadline.
test("a request that hasn't started when its server's weights become outdated is cancelled there", async () => {
    const store = await startFakeStore();
    cleanups.push(store.close);
    const baseConfiguration = configurationRow(1) as { routes: { name: string; service: string; }[]; };
    // With this target the response timeout is half of the caller's deadline, so it doesn't fire first.
    const talkRoute = { service: "llm", "target-latency-ms": 2000 };
    const routes = baseConfiguration.routes.map(route => route.name === "talk" ? { ...route, ...talkRoute } : route);
    const services = [{
        name: "llm",
        "health-path": "/h",
        "max-connections": 10,
        engine: engineParameters(MODEL, 1, 1),
    }];
    store.put("op", "config", { ...baseConfiguration, routes, services });
    const hangingRunner = await startFakeRunner(() => undefined);
    cleanups.push(hangingRunner.close);
    const rowChanges = { service: "llm", ...loadedWeights(MODEL) };
    store.put("servers", "i-1", serverRow(hangingRunner.address, rowChanges));
    const settings = createVmSettings(store.address, await findFreePortRange());
    const bounds = { ...settings.bounds, weightsMs: WEIGHTS_BOUND_MS };
    const router = await startTestRouter({ ...settings, bounds });
    cleanups.push(router.stop);
    store.put("op", `version/${MODEL}`, { model: MODEL, version: 2 });
    const namedAt = Date.now();
    await new Promise(resolve => setTimeout(resolve, 900));
    const call = sendCall(router.callerPort, { path: "/talk/", method: "POST", body: "x" });
    await waitUntil(() => hangingRunner.requests.length === 1);
    await waitUntil(() => hangingRunner.resetCount() === 1);
    const afterMs = Date.now() - namedAt;
    assert.ok(afterMs > WEIGHTS_BOUND_MS / 2 && afterMs < WEIGHTS_BOUND_MS, `${afterMs} ms`);
    assert.equal((await call).status, 502);
});
