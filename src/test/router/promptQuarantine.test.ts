import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import type { Router } from "../../lib/router/index.js";
import {
    configurationRow,
    encodeChunk,
    type FakeRunner,
    numberedEvents,
    type ReceivedRequest,
    serverRow,
    startFakeRunner,
    streamResponseHead,
} from "../platform/fakeRunner.js";
import { type FakeStore, startFakeStore } from "../platform/fakeStore.js";
import { createVmSettings, findFreePortRange, sendCall, startTestRouter } from "./routerHarness.js";

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

async function startStore(): Promise<FakeStore> {
    const store = await startFakeStore();
    cleanups.push(() => store.close());
    store.put("op", "config", configurationRow(1));
    return store;
}

async function startRouterAt(store: FakeStore, peerPort: number, ip: string): Promise<Router> {
    const router = await startTestRouter(createVmSettings(store.address, peerPort, { ip }));
    cleanups.push(router.stop);
    return router;
}

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

const isDeadly = (request: ReceivedRequest) => request.header("prompt-prefix").includes("deadly");

/** Answers with two events after the time for reading the prompt; `onDeadly` is called instead for a deadly prompt. */
async function addRunner(
    store: FakeStore,
    id: string,
    onDeadly: (runner: FakeRunner, request: ReceivedRequest) => void,
    row: object = {},
): Promise<FakeRunner> {
    const runner = await startFakeRunner(request => {
        request.socket.write(streamResponseHead(request));
        setTimeout(() => {
            if (isDeadly(request)) onDeadly(runner, request);
            else request.socket.write(encodeChunk(numberedEvents(1, 1)));
        }, 20);
        setTimeout(() => {
            if (!isDeadly(request)) request.socket.write(`${encodeChunk(numberedEvents(2, 2))}0\r\n\r\n`);
        }, 60);
    });
    cleanups.push(() => runner.close());
    store.put("servers", id, serverRow(runner.address, row));
    return runner;
}

let promptCount = 0;

function sendPrompt(ip: string, { callerPort }: Router, sharedParts: string) {
    const prompt = `${sharedParts},own${++promptCount}:5`;
    return sendCall(callerPort, {
        path: "/talk/",
        ip,
        method: "POST",
        body: "x",
        headers: { "prompt-prefix": prompt },
    });
}

// Guards against requests with one part of a prompt that crash one server after the other, at any entry, and against
// refusing sound requests that share their other parts. The part may stand behind hundreds of others (review/10).
for (const partCount of [1, 1000]) {
    const name =
        "a part that crashes servers is refused at all entries, and sound requests with its other parts are answered";
    test(`${name}: ${partCount}`, async () => {
        const common = Array.from({ length: partCount }, (_, index) => `common${index}:40`).join();
        const store = await startStore();
        const peerPort = await findFreePortRange();
        let crashCount = 0;
        const runners: FakeRunner[] = [];
        for (let index = 0; index < 10; index++) {
            runners.push(
                await addRunner(store, `i-${index}`, runner => {
                    crashCount++;
                    runner.crash();
                }),
            );
        }
        const routers: [string, Router][] = [];
        for (const ip of ["127.0.0.1", "127.0.0.2"]) routers.push([ip, await startRouterAt(store, peerPort, ip)]);
        // Lets the entries hear of each other; those that have just started send to silent ones once a second.
        await sleep(1500);
        const deadlyCalls = [];
        const soundCalls = [];
        for (let index = 0; index < 40; index++) {
            const [ip, router] = routers[index % 2] as [string, Router];
            if (index % 2 === 0) soundCalls.push(sendPrompt(ip, router, common));
            if (index % 3 === 0) deadlyCalls.push(sendPrompt(ip, router, `${common},deadly:30`));
            await sleep(50);
        }
        const deadlyStatuses = (await Promise.all(deadlyCalls)).map(({ status }) => status);
        const soundStatuses = (await Promise.all(soundCalls)).map(({ status }) => status);
        const deadlySends = runners.flatMap(({ requests }) => requests.filter(isDeadly)).length;
        assert.ok(crashCount <= 5, `${crashCount} crashes by ${deadlySends} sends: ${deadlyStatuses}`);
        assert.deepEqual(new Set(deadlyStatuses.slice(-5)), new Set([503]));
        assert.ok(
            soundStatuses.filter(status => status === 200).length >= soundStatuses.length / 2,
            soundStatuses.join(),
        );
        assert.deepEqual(new Set(soundStatuses.slice(-10)), new Set([200]));
        // An entry that starts later learns of the quarantine from heartbeats.
        const lateIp = "127.0.0.3";
        const lateRouter = await startRouterAt(store, peerPort, lateIp);
        await sleep(1500);
        assert.match((await sendPrompt(lateIp, lateRouter, `${common},deadly:30`)).body, /quarantined prompt/);
    });
}

// Guards against a quarantine because of a server that resets connections but goes on.
test("a part whose requests are reset by servers that still run isn't quarantined", async () => {
    const store = await startStore();
    const runner = await addRunner(store, "i-1", (_, request) => request.socket.resetAndDestroy());
    await addRunner(store, "i-2", (_, request) => request.socket.resetAndDestroy());
    const router = await startRouterAt(store, await findFreePortRange(), "127.0.0.1");
    for (let index = 0; index < 8; index++) {
        const response = await sendPrompt("127.0.0.1", router, "deadly:30");
        assert.doesNotMatch(response.body, /quarantined/);
        // Lets the servers return from their ejection.
        await sleep(100);
    }
    assert.ok(runner.requests.length > 0);
});

// Guards against requests that crash servers because they waited for one while their part was quarantined.
test("a waiting request is refused at once when its part is quarantined", async () => {
    const store = await startStore();
    const crashDelaysMs = [100, 200, 300];
    let requestCount = 0;
    for (let index = 0; index < 4; index++) {
        const onDeadly = (runner: FakeRunner) => {
            const delayMs = crashDelaysMs[requestCount++];
            // The last server goes on and has no free slot.
            if (delayMs !== undefined) setTimeout(() => runner.crash(), delayMs);
        };
        await addRunner(store, `i-${index}`, onDeadly, { slots: 1 });
    }
    const router = await startRouterAt(store, await findFreePortRange(), "127.0.0.1");
    const calls = Array.from({ length: 5 }, () => sendPrompt("127.0.0.1", router, "common:40,deadly:30"));
    const responses = await Promise.all(calls);
    assert.deepEqual(responses.slice(0, 3).map(({ status }) => status), [502, 502, 502]);
    const waiting = responses.at(-1);
    assert.match(waiting?.body ?? "", /quarantined prompt/);
    assert.equal(waiting?.status, 503);
    assert.ok(Number(waiting?.headers["retry-after"]) > 1);
});
