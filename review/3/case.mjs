/** The operator names seven versions of the weights, one each 0.8 s. Streams are sent all the time. */
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

const ZONES = { "zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c" };
const ENGINES_PER_ZONE = 2;
const ENGINE_SERVICE = "endive-pool";
const ORIGIN_SERVICE = "member-portal";
const KEY = "key-of-the-tenant";
const WEIGHTS = createWeights({ model: "model-a", chunks: 64, chunkBytes: 32_768 });

/** Without the disruption only one version is named. */
const NAMING_COUNT = hasTrouble ? 7 : 1;
const NAMING_INTERVAL_MS = 800;
/** Links of the origin and of the engines' machines, as the sheet has them. */
const ORIGIN_LINK_MBPS = 9.9;
const AGENT_LINK_MBPS = 5.32;
/** Runs are judged from this much after the bound on. */
const MARGIN_MS = 150;
/** Time for which streams are sent after the bound. */
const JUDGED_MS = 8000;
const REQUEST_INTERVAL_MS = 40;

await runCase(dirname(fileURLToPath(import.meta.url)), async context => {
    const { write } = context;
    const store = await startStore(context);
    const origin = await startOrigin(context, WEIGHTS, { ip: "127.0.0.1", linkMbps: ORIGIN_LINK_MBPS });
    const runs = [];
    const onBegin = ({ id, runner, version }) => {
        runs.push({ id, runner, version, at: now() });
        write(`${runner} begins ${id} on version ${version}`);
    };
    const specifications = Object.keys(ZONES).map((zone, index) => ({
        name: `front-${zone}`,
        role: "entry",
        ip: `127.0.26.${index + 1}`,
        zone,
    }));
    const engines = [];
    for (const zone of Object.keys(ZONES)) {
        for (let count = 0; count < ENGINES_PER_ZONE; count++) {
            const ip = `127.0.26.${engines.length + 11}`;
            const engine = await startRunner(context, store, {
                id: `i-engine-${engines.length}`,
                service: ENGINE_SERVICE,
                ip,
                zone,
                weights: WEIGHTS,
                initialVersion: 1,
                onBegin,
            });
            specifications.push({
                name: `side-${engines.length}`,
                role: "agent",
                ip,
                zone,
                app: engine.address,
                service: ENGINE_SERVICE,
            });
            engines.push(engine);
        }
    }
    const operatorConfiguration = version =>
        configuration(version, {
            routes: [draftRoute(ENGINE_SERVICE)],
            services: [
                engineService(ENGINE_SERVICE, WEIGHTS),
                originService(ORIGIN_SERVICE, { address: origin.address, zone: "zone-a" }),
            ],
            tenants: [{ name: "tenant-a", "api-keys": [KEY] }],
        });
    store.put("op", "config", operatorConfiguration(1));
    const machines = await createMachines(context, specifications, () => store.address, {
        zones: ZONES,
        agentLinkMbps: AGENT_LINK_MBPS,
    });
    const entries = machines.filter(({ role }) => role === "entry");
    for (const machine of machines) machine.start();
    const areReady = async () => (await Promise.all(entries.map(entry => entry.isReady()))).every(Boolean);
    if (!await waitUntil(areReady, 15_000)) return NOT_RUN;
    await sleep(BOUNDS.stabilityMs + 2000);

    let count = 0;
    async function send() {
        const entry = entries[count++ % entries.length];
        const id = nextAttemptId();
        write(`client sends ${id} to ${entry.name}`);
        const answer = await sendRequest({
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
        });
        write(`client has ${answer.status ?? answer.error} for ${id}`);
        return { id, ...answer };
    }
    const pending = [];
    let isSending = true;
    const sending = (async () => {
        while (isSending) {
            pending.push(send());
            await sleep(REQUEST_INTERVAL_MS);
        }
    })();
    await sleep(2000);
    /** Times of the acknowledgements, by version. */
    const namedAt = new Map();
    for (let version = 2; version < 2 + NAMING_COUNT; version++) {
        origin.announce(version);
        const row = { model: WEIGHTS.model, version };
        write(`operator: weights version ${version} acknowledged as ${store.put("op", `version/${WEIGHTS.model}`, row)}`);
        namedAt.set(version, now());
        await sleep(NAMING_INTERVAL_MS);
    }
    await sleep(namedAt.get(2) + BOUNDS.weightsMs - now());
    write("version_ms of version 2 is over");
    await sleep(JUDGED_MS);
    isSending = false;
    await sending;
    const answers = await Promise.all(pending);
    const servedCount = answers.filter(({ status }) => status === 200).length;
    write(`${servedCount} of ${answers.length} streams were served`);
    const isLate = ({ version, at }) =>
        [...namedAt].some(([newer, ackAt]) => newer > version && at > ackAt + BOUNDS.weightsMs + MARGIN_MS);
    const late = runs.filter(isLate);
    const latestMs = Math.max(0, ...late.map(({ at }) => Math.round(at - namedAt.get(2))));
    write(
        `${late.length} requests began on a version whose successor had been named more than version_ms before, the last ` +
            `one ${latestMs} ms after the naming of version 2`,
    );
    write(`versions of the engines at the end: ${engines.map(engine => engine.loadedVersion()).join(", ")}`);
    return late.length > 0 ? BROKEN : HELD;
});
