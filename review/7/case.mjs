/**
 * Two pools serve two models, and the operator names version 2 of both, one after the other. Each pool must make its
 * tokens with the pieces of its own model.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { configuration, draftRoute, engineService, HOST, originService } from "../lib/configuration.mjs";
import {
    BOUNDS,
    BROKEN,
    createMachines,
    hasTrouble,
    HELD,
    nextAttemptId,
    NOT_RUN,
    runCase,
    sendRequest,
    sleep,
    waitUntil,
} from "../lib/harness.mjs";
import { startRunner } from "../lib/runner.mjs";
import { startStore } from "../lib/store.mjs";
import { createModelWeights, stageAll, startOriginOfModels } from "../lib-2/models.mjs";

const ZONES = { "zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c" };
const KEY = "key-of-the-tenant";
const WEIGHTS_SIZE = { chunks: 16, chunkBytes: 32_768 };
const POOLS = [
    { service: "pool-a", prefix: "/draft/", weights: createModelWeights({ model: "model-a", ...WEIGHTS_SIZE }) },
    { service: "pool-b", prefix: "/explain/", weights: createModelWeights({ model: "model-b", ...WEIGHTS_SIZE }) },
];

const REQUEST_INTERVAL_MS = 50;
/** The time between the two namings; more than the bound within which the first one is in force. */
const NAMING_INTERVAL_MS = 10_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async context => {
    const { write } = context;
    const store = await startStore(context);
    const originReads = new Map();
    const origin = await startOriginOfModels(context, POOLS.map(({ weights }) => weights), {
        ip: "127.0.0.1",
        onRead: ({ kind, model, version }) => {
            const key = `${kind}s of ${model} version ${version}`;
            originReads.set(key, (originReads.get(key) ?? 0) + 1);
        },
    });
    const spoilt = [];
    let begunCount = 0;
    const specifications = Object.keys(ZONES).map((zone, index) => ({
        name: `front-${zone}`,
        role: "entry",
        ip: `127.0.80.${index + 1}`,
        zone,
    }));
    for (const { service, weights } of POOLS) {
        for (const zone of Object.keys(ZONES)) {
            const ip = `127.0.80.${specifications.length + 11}`;
            const engine = await startRunner(context, store, {
                id: `i-${service}-${zone}`,
                service,
                ip,
                zone,
                weights,
                initialVersion: 1,
                onBegin: ({ id, runner, version, isWhole }) => {
                    begunCount++;
                    if (isWhole) return;
                    if (spoilt.length < 20) {
                        write(`${runner} begins ${id} on version ${version} of ${weights.model}, its pieces aren't sound`);
                    }
                    spoilt.push({ id, runner });
                },
            });
            await stageAll(engine.address, weights, 1);
            specifications.push({
                name: `side-${service}-${zone}`,
                role: "agent",
                ip,
                zone,
                app: engine.address,
                service,
            });
        }
    }
    store.put(
        "op",
        "config",
        configuration(1, {
            routes: POOLS.map(({ service, prefix }) => draftRoute(service, { name: service, prefix })),
            services: [
                ...POOLS.map(({ service, weights }) => engineService(service, weights)),
                originService("member-portal", { address: origin.address, zone: "zone-a" }),
            ],
            tenants: [{ name: "tenant-a", "api-keys": [KEY] }],
        }),
    );
    const machines = await createMachines(context, specifications, () => store.address, { zones: ZONES });
    const entries = machines.filter(({ role }) => role === "entry");
    for (const machine of machines) machine.start();
    const areReady = async () => (await Promise.all(entries.map(entry => entry.isReady()))).every(Boolean);
    if (!await waitUntil(areReady, 20_000)) return NOT_RUN;
    await sleep(BOUNDS.stabilityMs + 2000);

    let count = 0;
    async function send({ prefix, weights }) {
        const entry = entries[count++ % entries.length];
        const id = nextAttemptId();
        const answer = await sendRequest({
            ip: entry.ip,
            port: entry.ports.front,
            host: HOST,
            method: "POST",
            path: `${prefix}1`,
            headers: {
                "Attempt-Id": id,
                "Deadline-Ms": "6000",
                Key: KEY,
                Model: weights.model,
                "Token-Usage": "460,60",
                "Prompt-Prefix": `a1:300,${id}:160`,
            },
            body: "a request",
        });
        return answer.status === 200;
    }
    const pending = [];
    let isSending = true;
    const sending = (async () => {
        for (let index = 0; isSending; index++) {
            pending.push(send(POOLS[index % POOLS.length]));
            await sleep(REQUEST_INTERVAL_MS);
        }
    })();
    await sleep(2000);
    for (const { weights: { model } } of POOLS) {
        if (hasTrouble) {
            origin.name(model, 2);
            store.put("op", `version/${model}`, { model, version: 2 });
            write(`the operator names version 2 of ${model}`);
        }
        await sleep(NAMING_INTERVAL_MS);
    }
    isSending = false;
    await sending;
    const served = (await Promise.all(pending)).filter(Boolean).length;
    write(`${served} of ${pending.length} requests were served, ${begunCount} began`);
    for (const [key, readCount] of originReads) write(`the origin was asked ${readCount} times for ${key}`);
    write(`${spoilt.length} requests began on layers that were taken while a piece was spoilt`);
    if (served === 0) return NOT_RUN;
    return spoilt.length > 0 ? BROKEN : HELD;
});
