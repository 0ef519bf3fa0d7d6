/**
 * Both entries of a zone are removed for good, one after the other. Later all machines that are left lose power at the
 * same time, and the model engines of that zone fetch their weights anew. Taken from the history of the first review
 * (c9a5c79).
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
import { removeForGood } from "../lib-2/removal.mjs";

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
/** Time between the removals, and between the second one and the final fault. */
const REMOVAL_INTERVAL_MS = 3000;
const DOWN_MS = 1000;
/** Links of the origin and of the engines' machines, as the sheet has them. */
const ORIGIN_LINK_MBPS = 9.9;
const AGENT_LINK_MBPS = 5.32;
/** Time for which requests are judged after the bound. */
const JUDGED_MS = 8000;

await runCase(dirname(fileURLToPath(import.meta.url)), async context => {
    const { write } = context;
    const store = await startStore(context);
    const origin = await startOrigin(context, WEIGHTS, { ip: "127.0.0.1", linkMbps: ORIGIN_LINK_MBPS });
    const machineSpecifications = [
        { name: "front-a-1", role: "entry", ip: "127.0.77.1", zone: "zone-a" },
        { name: "front-a-2", role: "entry", ip: "127.0.77.2", zone: "zone-a" },
        { name: "front-b-1", role: "entry", ip: "127.0.77.3", zone: "zone-b" },
    ];
    const engines = [];
    for (const [index, zone] of ["zone-a", "zone-a", "zone-a"].entries()) {
        const ip = `127.0.77.${index + 11}`;
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
    let machines = await createMachines(context, machineSpecifications, () => store.address, {
        zones: ZONES,
        agentLinkMbps: AGENT_LINK_MBPS,
    });
    let entries = machines.filter(({ role }) => role === "entry");
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
    if (hasTrouble) {
        for (const removed of entries.filter(({ zone }) => zone === "zone-a")) {
            entries = entries.filter(entry => entry !== removed);
            machines = machines.filter(machine => machine !== removed);
            await removeForGood(context, removed);
            await sleep(REMOVAL_INTERVAL_MS);
        }
    }
    if (await sendFor(STEADY_MS) < 0.25) return NOT_RUN;
    write(`operator: version 2 acknowledged as ${store.put("op", "config", operatorConfiguration(2))}`);
    for (const machine of machines) machine.kill();
    await Promise.all(engines.map(engine => engine.powerOff()));
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
    return servedAfter < 0.25 ? BROKEN : HELD;
});
