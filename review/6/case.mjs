/**
 * Some runners of one service spoil a few of their answers: the body comes without end, a few bytes in each chunk. The
 * callers of another service, whose runners are sound, must get their answers.
 */
import * as http from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { bookRoute, configuration, HOST, lookupRoute, plainService } from "../lib/configuration.mjs";
import {
    BOUNDS,
    BROKEN,
    createMachines,
    hasTrouble,
    HELD,
    nextAttemptId,
    NOT_RUN,
    runCase,
    sleep,
    waitUntil,
} from "../lib/harness.mjs";
import { startStore } from "../lib/store.mjs";
import { startPlainRunner } from "../lib-2/plainRunner.mjs";

const ZONES = { "zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c" };
const KEY = "key-of-the-tenant";
const BOOKING_SERVICE = "booking-desk";
const LOOKUP_SERVICE = "stock-desk";
const LOOKUP_RUNNERS_PER_ZONE = 2;
/** Half of the runners spoil one answer in fifty; see `garble` of `fleetbench kinds`. */
const SPOILT_EVERY = 50;

const BOOKING_CALLERS_PER_ENTRY = 8;
const BOOKING_PAUSE_MS = 100;
const LOOKUP_INTERVAL_MS = 25;
const DURATION_MS = 30_000;
/** More requests than this one break the rule. */
const ALLOWED_REQUESTS = 3;

await runCase(dirname(fileURLToPath(import.meta.url)), async context => {
    const { write } = context;
    const store = await startStore(context);
    const arrivedIds = new Set();
    let spoiltCount = 0;
    const specifications = [];
    for (const [index, zone] of Object.keys(ZONES).entries()) {
        specifications.push({ name: `front-${zone}`, role: "entry", ip: `127.0.83.${index + 1}`, zone });
        const ip = `127.0.83.${index + 11}`;
        await startPlainRunner(context, store, {
            id: `i-booking-${zone}`,
            service: BOOKING_SERVICE,
            ip,
            zone,
            slots: 6,
            onRun: id => arrivedIds.add(id),
        });
        for (let count = 0; count < LOOKUP_RUNNERS_PER_ZONE; count++) {
            await startPlainRunner(context, store, {
                id: `i-lookup-${zone}-${count}`,
                service: LOOKUP_SERVICE,
                ip,
                zone,
                slots: 6,
                spoiltEvery: hasTrouble && count === 0 ? SPOILT_EVERY : undefined,
                onSpoilt: id => {
                    spoiltCount++;
                    write(`${id} sends a body without end`);
                },
            });
        }
    }
    store.put(
        "op",
        "config",
        configuration(1, {
            routes: [bookRoute(BOOKING_SERVICE), lookupRoute(LOOKUP_SERVICE)],
            services: [plainService(BOOKING_SERVICE), plainService(LOOKUP_SERVICE)],
            tenants: [{ name: "tenant-a", "api-keys": [KEY] }],
        }),
    );
    const machines = await createMachines(context, specifications, () => store.address, { zones: ZONES });
    for (const machine of machines) machine.start();
    const areReady = async () => (await Promise.all(machines.map(machine => machine.isReady()))).every(Boolean);
    if (!await waitUntil(areReady, 20_000)) return NOT_RUN;
    await sleep(BOUNDS.stabilityMs + 2000);

    function send(machine, path, agent) {
        const id = nextAttemptId();
        return new Promise(resolve => {
            const request = http.request({
                host: machine.ip,
                port: machine.ports.front,
                method: "POST",
                path,
                agent,
                headers: { Host: HOST, "Attempt-Id": id, "Deadline-Ms": "6000", Key: KEY, "Content-Length": 9 },
            }, response => {
                response.resume();
                response.once("close", () => {
                    resolve({ id, status: response.complete ? response.statusCode : undefined });
                });
            });
            request.setTimeout(8000, () => request.destroy(new Error("the client gave up")));
            request.on("error", ({ message }) => resolve({ id, error: message, isKept: request.reusedSocket }));
            request.end("a request");
        });
    }

    let isSending = true;
    const bookings = [];
    async function book(machine) {
        const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
        context.onEnd(() => agent.destroy());
        while (isSending) {
            const result = await send(machine, "/book/1", agent);
            bookings.push(result);
            const { id, error, isKept } = result;
            if (error !== undefined && isKept && arrivedIds.has(id)) {
                write(`${machine.name} closes a kept connection without an answer to ${id}, which a sound runner got: ${error}`);
            }
            await sleep(BOOKING_PAUSE_MS);
        }
    }
    const callers = machines.flatMap(machine =>
        Array.from({ length: BOOKING_CALLERS_PER_ENTRY }, () => book(machine))
    );
    const lookups = [];
    const endAt = performance.now() + DURATION_MS;
    for (let index = 0; performance.now() < endAt; index++) {
        lookups.push(send(machines[index % machines.length], "/lookup/1", false));
        await sleep(LOOKUP_INTERVAL_MS);
    }
    isSending = false;
    await Promise.all(callers);
    const lookupResults = await Promise.all(lookups);

    const countServed = results => results.filter(({ status }) => status === 200).length;
    const exits = machines.flatMap(machine => machine.exits.filter(({ isExpected }) => !isExpected));
    const lost = bookings.filter(({ id, error, isKept }) =>
        error !== undefined && error !== "the client gave up" && isKept && arrivedIds.has(id)
    );
    write(`${spoiltCount} spoilt answers`);
    write(`${exits.length} entries ended by themselves (${exits.map(({ code, signal }) => code ?? signal).join(", ")})`);
    write(`${countServed(lookupResults)} of ${lookupResults.length} lookups were served`);
    write(`${countServed(bookings)} of ${bookings.length} bookings were served`);
    const counts = new Map();
    for (const { status, error = "cut off" } of bookings) {
        const key = status ?? error;
        counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    write(`bookings by result: ${[...counts].map(([key, count]) => `${key}: ${count}`).join(", ")}`);
    write(`${lost.length} requests that a sound runner got ended with a kept connection and no answer`);
    return lost.length > ALLOWED_REQUESTS ? BROKEN : HELD;
});
