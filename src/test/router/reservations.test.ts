import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import type { Router } from "../../lib/router/index.js";
import {
    configurationRow,
    encodeChunk,
    engineParameters,
    type FakeRunner,
    loadedWeights,
    numberedEvents,
    serverRow,
    startFakeRunner,
    streamResponseHead,
} from "../platform/fakeRunner.js";
import { startFakeStore } from "../platform/fakeStore.js";
import { createVmSettings, findFreePortRange, sendCall, startTestRouter } from "./routerHarness.js";

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

const SLOTS = 4;
const STREAM_MS = 400;

/** Starts an engine whose streams take `STREAM_MS`, and records how many run at the same time. */
async function startEngine(): Promise<{ readonly runner: FakeRunner; readonly maxRunning: () => number; }> {
    let running = 0;
    let maxRunning = 0;
    const runner = await startFakeRunner(request => {
        maxRunning = Math.max(maxRunning, ++running);
        request.socket.write(streamResponseHead(request) + encodeChunk(numberedEvents(1, 1)));
        setTimeout(() => {
            running--;
            request.socket.write(`${encodeChunk(numberedEvents(2, 2))}0\r\n\r\n`);
        }, STREAM_MS);
    });
    cleanups.push(() => runner.close());
    return { runner, maxRunning: () => maxRunning };
}

// Guards against entries that fill the same slots between two heartbeats.
test("entries that get requests at the same moment don't overfill the engines", async () => {
    const store = await startFakeStore();
    cleanups.push(() => store.close());
    const peerPort = await findFreePortRange();
    const engines = [await startEngine(), await startEngine(), await startEngine()];
    const [plain] = (configurationRow(1) as { services: object[]; }).services;
    const services = [{ ...plain, engine: engineParameters("m", 4, 100) }];
    store.put("op", "config", configurationRow(1, { services }));
    for (const [index, { runner }] of engines.entries()) {
        store.put("servers", `i-${index}`, serverRow(runner.address, { slots: SLOTS, ...loadedWeights("m") }));
    }
    const routers: [string, Router][] = [];
    for (const ip of ["127.0.0.1", "127.0.0.2", "127.0.0.3"]) {
        const router = await startTestRouter(createVmSettings(store.address, peerPort, { ip }));
        cleanups.push(router.stop);
        routers.push([ip, router]);
    }
    // Lets the entries hear of each other; those that have just started send to silent ones once a second.
    await new Promise(resolve => setTimeout(resolve, 2000));
    const headers = { "token-usage": "10,10" };
    const call = { path: "/talk/", method: "POST", body: "x", headers };
    // The first entry needs slots of servers that the others own; the second one uses its own at the same time.
    const callCounts = [7, 4, 1];
    const responses = await Promise.all(
        routers.flatMap(([ip, { callerPort }], index) =>
            Array.from({ length: callCounts[index] ?? 0 }, () => sendCall(callerPort, { ...call, ip }))
        ),
    );
    const maxima = engines.map(({ maxRunning }) => maxRunning());
    assert.ok(Math.max(...maxima) <= SLOTS, `${maxima} requests at once`);
    assert.ok(
        responses.filter(({ status }) => status === 200).length >= 9,
        responses.map(({ status }) => status).join(),
    );
});
