import assert from "node:assert/strict";
import { test } from "node:test";
import { createEventLog } from "../../lib/observability/index.js";
import { createPlatformStore } from "../../lib/platform/index.js";
import { startStager } from "../../lib/stager/index.js";
import { configurationRow, engineParameters, serverRow } from "../platform/fakeRunner.js";
import { startFakeStore } from "../platform/fakeStore.js";
import { createVmSettings, findFreePortRange, startTestRouter, waitUntil } from "../router/routerHarness.js";
import { PIECE_BYTES, PIECE_COUNT, startTestEngine } from "./testEngine.js";

const MODELS = ["model-a", "model-b"];

// Guards against engines that load the pieces of another model, which an entry relays under the same version number
// (review/7).
test("two pools load the weights of their own models", { timeout: 20_000 }, async () => {
    const store = await startFakeStore();
    const origin = await startTestEngine();
    origin.state.isCorruptingPieces = false;
    const ips = MODELS.map((_, index) => `127.0.0.${index + 2}`);
    // The entry finds an agent at the address of its engine.
    const engines = await Promise.all(ips.map(ip => startTestEngine(ip)));
    const services = MODELS.map(model => ({
        name: `pool of ${model}`,
        "health-path": "/h",
        "max-connections": 10,
        engine: engineParameters(model, PIECE_COUNT, PIECE_BYTES),
    }));
    const originService = { name: "weights", origin: origin.address, zone: "a", "max-connections": 10 };
    store.put("op", "config", configurationRow(1, { services: [...services, originService] }));
    const entryPort = await findFreePortRange("127.0.0.1", ...ips);
    const router = await startTestRouter(createVmSettings(store.address, entryPort));
    const stagers = await Promise.all(MODELS.map((model, index) => {
        const engine = engines[index];
        assert.ok(engine !== undefined);
        engine.state.model = model;
        const service = services[index]?.name ?? "";
        store.put("servers", `i-${index}`, serverRow(engine.address, { service }));
        const settings = createVmSettings(store.address, entryPort, {
            ip: ips[index] ?? "",
            backendAddress: engine.address,
            backendService: service,
            seeds: ["127.0.0.1"],
        });
        const log = createEventLog({ process: "agent", role: "agent", now: () => 0, write: () => undefined });
        return startStager(settings, createPlatformStore(store.address), log);
    }));
    try {
        for (const [index, model] of MODELS.entries()) {
            store.put("op", `version/${model}`, { model, version: 2 });
            await waitUntil(() => engines[index]?.state.version === 2);
            engines[index]?.assertLoaded(2, model);
        }
    }
    finally {
        for (const stager of stagers) stager.stop();
        await router.stop();
        for (const engine of [origin, ...engines]) engine.close();
        store.close();
    }
});
