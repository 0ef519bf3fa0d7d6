/**
 * All machines lose power at the same time, and the model engines fetch their weights anew. One answer of the origin, the
 * first manifest after the loss, arrives with one wrong digit in a digest; all its other answers are sound.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
    bookRoute,
    configuration,
    draftRoute,
    engineService,
    HOST,
    originService,
    plainService,
} from "../lib/configuration.mjs";
import {
    BOUNDS,
    BROKEN,
    createMachines,
    hasTrouble,
    HELD,
    nextAttemptId,
    NOT_RUN,
    now,
    runCase,
    sendRequest,
    sleep,
    waitUntil,
} from "../lib/harness.mjs";
import { createWeights, startOrigin, startRunner } from "../lib/runner.mjs";
import { startStore } from "../lib/store.mjs";

const ZONES = { "zone-a": "region-a", "zone-b": "region-b" };
const ENGINE_SERVICE = "endive-pool";
const BOOKING_SERVICE = "booking-desk";
const ORIGIN_SERVICE = "member-portal";
const KEY = "key-of-the-tenant";
const WEIGHTS = createWeights({ model: "model-a", chunks: 64, chunkBytes: 32_768 });

/** Streams and bookings, in about the proportion of the sites' sheets. */
const REQUEST_INTERVAL_MS = 60;
const STREAMS_PER_BOOKING = 8;

const STEADY_MS = 5000;
const DOWN_MS = 1000;
/** Time for which requests are judged after the bound. */
const JUDGED_MS = 8000;

await runCase(dirname(fileURLToPath(import.meta.url)), async context => {
    const { write } = context;
    const store = await startStore(context);
    let mayGarble = false;
    const origin = await startOrigin(context, WEIGHTS, {
        ip: "127.0.0.1",
        garble: (kind, _index, bytes) => {
            if (kind !== "manifest" || !mayGarble) return bytes;
            mayGarble = false;
            const manifest = JSON.parse(bytes.toString());
            const digest = manifest.digests[7];
            manifest.digests[7] = (digest.startsWith("0") ? "1" : "0") + digest.slice(1);
            write(`the origin's answer with the manifest of version ${manifest.version} is corrupted in one digit`);
            return Buffer.from(JSON.stringify(manifest));
        },
    });
    const machineSpecifications = [
        { name: "front-a", role: "entry", ip: "127.0.20.1", zone: "zone-a" },
        { name: "front-b", role: "entry", ip: "127.0.20.2", zone: "zone-b" },
    ];
    const engines = [];
    for (const [index, zone] of ["zone-a", "zone-a", "zone-a"].entries()) {
        const ip = `127.0.20.${index + 11}`;
        const engine = await startRunner(context, store, {
            id: `i-engine-${index}`,
            service: ENGINE_SERVICE,
            ip,
            zone,
            weights: WEIGHTS,
            initialVersion: 1,
        });
        engines.push(engine);
        machineSpecifications.push({
            name: `side-${index}`,
            role: "agent",
            ip,
            zone,
            app: engine.address,
            service: ENGINE_SERVICE,
        });
    }
    await startRunner(context, store, { id: "i-book", service: BOOKING_SERVICE, ip: "127.0.0.1", zone: "zone-a" });
    const operatorConfiguration = version =>
        configuration(version, {
            routes: [draftRoute(ENGINE_SERVICE), bookRoute(BOOKING_SERVICE)],
            services: [
                engineService(ENGINE_SERVICE, WEIGHTS),
                plainService(BOOKING_SERVICE),
                originService(ORIGIN_SERVICE, { address: origin.address, zone: "zone-a" }),
            ],
            tenants: [{ name: "tenant-a", "api-keys": [KEY] }],
        });
    store.put("op", "config", operatorConfiguration(1));
    const machines = await createMachines(context, machineSpecifications, () => store.address, { zones: ZONES });
    const entries = machines.filter(({ role }) => role === "entry");
    for (const machine of machines) machine.start();
    const areReady = async () => (await Promise.all(entries.map(entry => entry.isReady()))).every(Boolean);
    if (!await waitUntil(areReady, 15_000)) return NOT_RUN;
    await sleep(BOUNDS.stabilityMs);

    let count = 0;
    async function send() {
        const entry = entries[count % entries.length];
        const isStream = count++ % (STREAMS_PER_BOOKING + 1) !== 0;
        const id = nextAttemptId();
        const answer = await sendRequest({
            ip: entry.ip,
            port: entry.ports.front,
            host: HOST,
            method: "POST",
            path: isStream ? "/draft/1" : "/book/1",
            headers: {
                "Attempt-Id": id,
                "Deadline-Ms": "6000",
                Key: KEY,
                ...isStream ?
                    { Model: WEIGHTS.model, "Token-Usage": "200,60", "Prompt-Prefix": `aa01:40,${id}:160` } :
                    {},
            },
            body: "a request",
        });
        write(`${isStream ? "stream" : "booking"} ${id} by ${entry.name}: ${answer.status ?? answer.error}`);
        return { isServed: answer.status === 200 && answer.headers["response-seal"] !== undefined, isStream };
    }
    async function sendFor(durationMs) {
        const pending = [];
        for (const end = now() + durationMs; now() < end;) {
            pending.push(send());
            await sleep(REQUEST_INTERVAL_MS);
        }
        const results = await Promise.all(pending);
        const servedCount = results.filter(({ isServed }) => isServed).length;
        write(`${servedCount} of ${results.length} requests were served`);
        return servedCount / results.length;
    }

    const servedBefore = await sendFor(STEADY_MS);
    if (servedBefore < 0.25) return NOT_RUN;
    write(`operator: version 2 acknowledged as ${store.put("op", "config", operatorConfiguration(2))}`);
    for (const machine of machines) machine.kill();
    await Promise.all(engines.map(engine => engine.powerOff()));
    mayGarble = hasTrouble;
    await sleep(DOWN_MS);
    await Promise.all(engines.map(engine => engine.powerOn()));
    for (const machine of machines) machine.startAgain();
    const backAt = now();
    write("the machines are back");
    await sleep(backAt + BOUNDS.recoveryMs - now());
    write(`${BOUNDS.recoveryMs / 1000} s after the machines are back`);
    const servedAfter = await sendFor(JUDGED_MS);
    write(`versions of the engines: ${engines.map(engine => engine.loadedVersion()).join(", ")}`);
    write(`answers of the origin: ${origin.counts.manifest} manifests, ${origin.counts.piece} pieces`);
    if (hasTrouble && mayGarble) return NOT_RUN;
    return servedAfter < 0.25 ? BROKEN : HELD;
});
