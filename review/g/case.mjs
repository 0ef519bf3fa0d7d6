/**
 * Two of three entries of a region are partitioned from the store, silently, while all entries reach each other and the
 * third one reaches the store. Right afterwards a key is taken away, and requests with it are sent to the third one.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { bookRoute, configuration, HOST, plainService } from "../lib/configuration.mjs";
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
import { startProxy } from "../lib/proxy.mjs";
import { startRunner } from "../lib/runner.mjs";
import { startStore } from "../lib/store.mjs";

const ZONES = { "zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-a" };
const SERVICE = "booking-desk";
const KEPT_KEY = "key-that-is-kept";
const REVOKED_KEY = "key-that-is-taken-away";

const CUT_AFTER_CHANGE_MS = 300;
const REVOCATION_DELAY_MS = 200;
const MARGIN_MS = 100;
const JUDGED_MS = 3000;
const REQUEST_INTERVAL_MS = 50;

const configurationOf = (version, keys) =>
    configuration(version, {
        routes: [bookRoute(SERVICE)],
        services: [plainService(SERVICE)],
        tenants: [{ name: "tenant-a", "api-keys": [KEPT_KEY] }, { name: "tenant-b", "api-keys": keys }],
    });

await runCase(dirname(fileURLToPath(import.meta.url)), async context => {
    const { write } = context;
    const store = await startStore(context);
    const runs = new Set();
    const onRun = ({ id, runner, tenant }) => {
        runs.add(id);
        write(`${runner} runs ${id} of ${tenant}`);
    };
    for (const [index, zone] of Object.keys(ZONES).entries()) {
        await startRunner(context, store, { id: `i-book-${index}`, service: SERVICE, ip: "127.0.0.1", zone, onRun });
    }
    store.put("op", "config", configurationOf(1, [REVOKED_KEY]));
    const specifications = Object.keys(ZONES).map((zone, index) => ({
        name: `front-${zone}`,
        role: "entry",
        ip: `127.0.50.${index + 1}`,
        zone,
    }));
    const links = new Map();
    for (const { name } of specifications) links.set(name, await startProxy(context, store.address));
    const entries = await createMachines(context, specifications, ({ name }) => links.get(name).address, {
        zones: ZONES,
    });
    for (const entry of entries) entry.start();
    const areReady = async () => (await Promise.all(entries.map(entry => entry.isReady()))).every(Boolean);
    if (!await waitUntil(areReady, 15_000)) return NOT_RUN;
    const send = (entry, key) => {
        const id = nextAttemptId();
        write(`client sends ${id} with ${key} to ${entry.name}`);
        return sendRequest({
            ip: entry.ip,
            port: entry.ports.front,
            host: HOST,
            method: "POST",
            path: "/book/1",
            headers: { "Attempt-Id": id, "Deadline-Ms": "2000", Key: key },
            body: "a booking",
        }).then(answer => {
            write(`client has ${answer.status ?? answer.error} for ${id}`);
            return { id, ...answer };
        });
    };
    await sleep(BOUNDS.stabilityMs + 6000);
    const before = await Promise.all(entries.flatMap(entry => [send(entry, KEPT_KEY), send(entry, REVOKED_KEY)]));
    if (before.some(({ status }) => status !== 200)) return NOT_RUN;
    // The two machines that read from the store last are cut off.
    const byLastRead = entries.toSorted((a, b) => links.get(b.name).lastRequestAt() - links.get(a.name).lastRequestAt());
    const [first, second, calm] = byLastRead;
    write(`operator: version 2 acknowledged as ${store.put("op", "config", configurationOf(2, [REVOKED_KEY]))}`);
    await sleep(CUT_AFTER_CHANGE_MS);
    if (hasTrouble) {
        for (const { name } of [first, second]) {
            links.get(name).cut();
            write(`${name} is partitioned from the store`);
        }
    }
    await sleep(REVOCATION_DELAY_MS);
    write(`operator: version 3, without the key, acknowledged as ${store.put("op", "config", configurationOf(3, []))}`);
    const acknowledgedAt = now();
    const judgedFrom = acknowledgedAt + BOUNDS.configurationMs + MARGIN_MS;
    await sleep(judgedFrom - now());
    write("the configuration's bound is over");
    const pending = [];
    while (now() < judgedFrom + JUDGED_MS) {
        pending.push(send(calm, REVOKED_KEY));
        await sleep(REQUEST_INTERVAL_MS);
    }
    const answers = await Promise.all(pending);
    const late = answers.filter(({ id }) => runs.has(id));
    const latestMs = Math.max(0, ...late.map(({ sentAt }) => Math.round(sentAt - acknowledgedAt)));
    write(
        `${late.length} of ${answers.length} requests with the key that were sent to ${calm.name} ran; the last one was ` +
            `sent ${latestMs} ms after the acknowledgement`,
    );
    const { status } = await send(calm, REVOKED_KEY);
    write(`at the end ${calm.name} answers ${status}`);
    return late.length > 0 || status !== 401 ? BROKEN : HELD;
});
