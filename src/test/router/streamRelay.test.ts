import assert from "node:assert/strict";
import * as http from "node:http";
import { afterEach, beforeEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Router } from "../../lib/router/index.js";
import {
    configurationRow,
    encodeChunk,
    type FakeRunner,
    serverRow,
    startFakeRunner,
    streamResponseHead,
} from "../platform/fakeRunner.js";
import { type FakeStore, startFakeStore } from "../platform/fakeStore.js";
import { createVmSettings, findFreePortRange, startTestRouter } from "./routerHarness.js";

const EVENT_COUNT = 400;
const EVENT_BYTES = 64 * 1024;

/** Longer than the pause after which a server counts as failed, and well within the request's timeout. */
const CALLER_PAUSE_MS = 1600;

let store: FakeStore;
let router: Router;
let runner: FakeRunner;

beforeEach(async () => {
    store = await startFakeStore();
    store.put("op", "config", configurationRow(1));
    runner = await startFakeRunner(request => {
        request.socket.write(streamResponseHead(request));
        for (let id = 1; id <= EVENT_COUNT; id++) {
            request.socket.write(encodeChunk(`id: ${id}\ndata: ${"x".repeat(EVENT_BYTES)}\n\n`));
        }
        request.socket.write("0\r\n\r\n");
    });
    store.put("servers", "i-1", serverRow(runner.address));
    router = await startTestRouter(createVmSettings(store.address, await findFreePortRange()));
});

afterEach(async () => {
    runner.close();
    store.close();
    await router.stop();
});

// Guards against a stream that is cut off because its caller reads slowly: the server isn't read from meanwhile, which
// is not a pause of the server.
test("a caller that reads slowly gets the whole stream", async () => {
    await sleep(100);
    const request = http.request({
        host: "127.0.0.1",
        port: router.callerPort,
        path: "/talk/x",
        headers: { host: "site.example", "attempt-id": "a-1", "deadline-ms": "3000", key: "key-a" },
    });
    request.end();
    const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
        request.on("response", resolve);
        request.on("error", reject);
    });
    await sleep(CALLER_PAUSE_MS);
    let text = "";
    for await (const chunk of response) text += String(chunk);
    assert.ok(response.complete);
    assert.equal(text.match(/^id: \d+$/gm)?.length, EVENT_COUNT);
    assert.equal(runner.requests.length, 1);
});
