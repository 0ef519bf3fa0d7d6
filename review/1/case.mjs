/**
 * The machines are stopped and started in turn. One answer of the origin, the first manifest after that, arrives with a
 * wrong digit in its version number; all its other answers are sound. Later new weights are named.
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
const ORIGIN_SERVICE = "member-portal";
const KEY = "key-of-the-tenant";
const WEIGHTS = createWeights({ model: "model-a", chunks: 64, chunkBytes: 32_768 });
const REQUEST_INTERVAL_MS = 60;

/** Time between two stops of machines. */
const RESTART_GAP_MS = 2000;
/** Time for which requests are judged. */
const JUDGED_MS = 6000;

await runCase(dirname(fileURLToPath(import.meta.url)), async context => {
    const { write } = context;
    const store = await startStore(context);
    let mayGarble = false;
    const origin = await startOrigin(context, WEIGHTS, {
        ip: "127.0.0.1",
        linkMbps: 9.9,
        garble: (kind, _index, bytes) => {
            if (kind !== "manifest" || !mayGarble) return bytes;
            mayGarble = false;
            write("the origin's answer with the manifest of version 2 is corrupted in one digit: it names version 3");
            return Buffer.from(bytes.toString().replace("\"version\":2", "\"version\":3"));
        },
    });
    const specifications = [
        { name: "front-a", role: "entry", ip: "127.0.30.1", zone: "zone-a" },
        { name: "front-b", role: "entry", ip: "127.0.30.2", zone: "zone-b" },
    ];
    const engines = [];
    let spoiltCount = 0;
    let beginCount = 0;
    for (let index = 0; index < 3; index++) {
        const ip = `127.0.30.${index + 11}`;
        const engine = await startRunner(context, store, {
            id: `i-engine-${index}`,
            service: ENGINE_SERVICE,
            ip,
            zone: "zone-a",
            weights: WEIGHTS,
            initialVersion: 1,
            onBegin: ({ id, runner, version, isWhole }) => {
                beginCount++;
                if (!isWhole) spoiltCount++;
                write(`${runner} makes tokens for ${id} with ${isWhole ? "whole" : "foreign"} weights as version ${version}`);
            },
        });
        engines.push(engine);
        specifications.push({
            name: `side-${index}`,
            role: "agent",
            ip,
            zone: "zone-a",
            app: engine.address,
            service: ENGINE_SERVICE,
        });
    }
    store.put("op", "config", configuration(1, {
        routes: [draftRoute(ENGINE_SERVICE)],
        services: [
            engineService(ENGINE_SERVICE, WEIGHTS),
            originService(ORIGIN_SERVICE, { address: origin.address, zone: "zone-a" }),
        ],
        tenants: [{ name: "tenant-a", "api-keys": [KEY] }],
    }));
    const machines = await createMachines(context, specifications, () => store.address, { zones: ZONES });
    const entries = machines.filter(({ role }) => role === "entry");
    for (const machine of machines) machine.start();
    const areReady = async () => (await Promise.all(entries.map(entry => entry.isReady()))).every(Boolean);
    if (!await waitUntil(areReady, 15_000)) return NOT_RUN;
    await sleep(BOUNDS.stabilityMs);

    const nameWeights = version => {
        origin.announce(version);
        const acknowledged = store.put("op", `version/${WEIGHTS.model}`, { model: WEIGHTS.model, version });
        write(`operator: weights ${version} acknowledged as ${acknowledged}`);
    };
    const haveLoaded = version => engines.every(engine => engine.loadedVersion() === version);
    nameWeights(2);
    if (!await waitUntil(() => haveLoaded(2), 20_000)) return NOT_RUN;
    await sleep(BOUNDS.stabilityMs);

    mayGarble = hasTrouble;
    for (const machine of machines) {
        machine.signal("SIGTERM");
        await sleep(RESTART_GAP_MS);
    }
    const haveRestarted = () => machines.every(({ exits, pid }) => exits.length > 0 && pid() !== undefined);
    if (!await waitUntil(haveRestarted, 15_000) || !await waitUntil(areReady, 15_000)) return NOT_RUN;
    if (hasTrouble && !await waitUntil(() => !mayGarble, 10_000)) return NOT_RUN;
    await sleep(2 * BOUNDS.stabilityMs);

    nameWeights(3);
    await waitUntil(() => haveLoaded(3), 20_000);
    write(`versions of the engines: ${engines.map(engine => engine.loadedVersion()).join(", ")}`);
    let count = 0;
    const pending = [];
    for (const end = now() + JUDGED_MS; now() < end;) {
        const entry = entries[count++ % entries.length];
        const id = nextAttemptId();
        pending.push(sendRequest({
            ip: entry.ip,
            port: entry.ports.front,
            host: HOST,
            method: "POST",
            path: "/draft/1",
            headers: {
                "Attempt-Id": id,
                "Deadline-Ms": "6000",
                Key: KEY,
                Model: WEIGHTS.model,
                "Token-Usage": "200,60",
                "Prompt-Prefix": `aa01:40,${id}:160`,
            },
            body: "a request",
        }).then(answer => {
            const version = answer.headers?.["weight-versions"];
            write(`stream ${id} by ${entry.name}: ${answer.status ?? answer.error}, weights ${version ?? "none"}`);
        }));
        await sleep(REQUEST_INTERVAL_MS);
    }
    await Promise.all(pending);
    write(`${spoiltCount} of ${beginCount} streams began with foreign weights`);
    write(`answers of the origin: ${origin.counts.manifest} manifests, ${origin.counts.piece} pieces`);
    return spoiltCount > 0 ? BROKEN : HELD;
});
