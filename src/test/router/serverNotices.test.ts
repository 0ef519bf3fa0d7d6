import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import type { Router } from "../../lib/router/index.js";
import {
    completeResponse,
    configurationRow,
    encodeChunk,
    type FakeRunner,
    noticeHeaders,
    notRunResponse,
    numberedEvents,
    type ReceivedRequest,
    respondWithNotices,
    type RunnerNotices,
    serverRow,
    startFakeRunner,
    streamResponseHead,
} from "../platform/fakeRunner.js";
import { type FakeStore, startFakeStore } from "../platform/fakeStore.js";
import { createVmSettings, findFreePortRange, sendCall, startTestRouter, waitUntil } from "./routerHarness.js";

const DRAIN_MS = 300;

let store: FakeStore;
let router: Router;
const runners: FakeRunner[] = [];

beforeEach(async () => {
    store = await startFakeStore();
    store.put("op", "config", configurationRow(1));
    const settings = createVmSettings(store.address, await findFreePortRange());
    router = await startTestRouter({ ...settings, bounds: { ...settings.bounds, drainMs: DRAIN_MS } });
});

afterEach(async () => {
    for (const runner of runners.splice(0)) runner.close();
    store.close();
    await router.stop();
});

async function addRunner(id: string, respond: (request: ReceivedRequest) => void) {
    const runner = await startFakeRunner(respond);
    runners.push(runner);
    store.put("servers", id, serverRow(runner.address));
    await sleep(100);
    return runner;
}

/** Adds a runner whose notices the test can change. */
async function addNoticeRunner(id: string) {
    const notices: RunnerNotices = { isLeaving: false, retryAfterSeconds: undefined };
    const runner = await addRunner(id, request => respondWithNotices(request, notices));
    return { runner, notices };
}

const addSteadyRunner = (id: string) =>
    addRunner(id, request => void request.socket.write(completeResponse(request, "ok")));

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

const sendReads = (count: number) =>
    Promise.all(Array.from({ length: count }, () => sendCall(router.callerPort, { path: "/read/" })));

/** Sends requests until the runner has received one more. */
async function sendUntilReceived(runner: FakeRunner): Promise<void> {
    const countBefore = runner.requests.length;
    await waitUntil(async () => {
        await sendReads(2);
        return runner.requests.length > countBefore;
    });
}

// Guards against requests to a server whose own answers say that it is leaving, which its row doesn't say while the
// store is down, or when it lapses and returns after an outage.
test("a server that announces its leaving in an answer gets no more requests while its row says ready", async () => {
    await addSteadyRunner("i-steady");
    const { runner: leaving, notices } = await addNoticeRunner("i-leaving");
    notices.isLeaving = true;
    await sendUntilReceived(leaving);
    store.setFault("reset");
    await sleep(DRAIN_MS);
    const countAtDrainEnd = leaving.requests.length;
    const responses = [...await sendReads(10), ...await sendReads(10)];
    assert.deepEqual(new Set(responses.map(({ status }) => status)), new Set([200]));
    assert.equal(leaving.requests.length - countAtDrainEnd, 0, "requests while the store is down");
    store.remove("servers", "i-leaving");
    store.setFault("none");
    await sleep(1000);
    store.put("servers", "i-leaving", serverRow(leaving.address));
    await sleep(700);
    await sendReads(20);
    assert.equal(leaving.requests.length - countAtDrainEnd, 0, "requests after the row's return");
});

// Guards against answers whose announcement is missed: refusals, failures and streams whose events haven't ended.
test("every kind of answer can announce that its server is leaving", async () => {
    await addSteadyRunner("i-steady");
    const headers = noticeHeaders({ isLeaving: true, retryAfterSeconds: undefined });
    const responses: Readonly<Record<string, (request: ReceivedRequest) => string>> = {
        "a refusal": () => notRunResponse(headers),
        "another instance": () => `HTTP/1.1 421 Misdirected Request\r\n${headers}Content-Length: 0\r\n\r\n`,
        "a failure": request => completeResponse(request, "failed", "500 Internal Server Error", headers),
        "a running stream": request => streamResponseHead(request, headers) + encodeChunk(numberedEvents(1, 1)),
    };
    const counts: Record<string, number> = {};
    for (const [name, respond] of Object.entries(responses)) {
        const leaving = await addRunner(`i-${name}`, request => void request.socket.write(respond(request)));
        const ended = new AbortController();
        while (leaving.requests.length === 0) {
            const calls = ["a", "b"].map(() =>
                sendCall(router.callerPort, { path: "/talk/", method: "POST", body: "x", signal: ended.signal })
            );
            await Promise.race([Promise.all(calls), sleep(200)]);
        }
        await sleep(DRAIN_MS);
        const countAtDrainEnd = leaving.requests.length;
        for (let round = 0; round < 8; round++) {
            await sendReads(8);
            await sleep(50);
        }
        counts[name] = leaving.requests.length - countAtDrainEnd;
        ended.abort();
        store.remove("servers", `i-${name}`);
    }
    assert.deepEqual(counts, { "a refusal": 0, "another instance": 0, "a failure": 0, "a running stream": 0 });
});

// Guards against a server that stays out of use after a restart because its earlier incarnation was leaving.
test("a server that was leaving is used again after a restart", async () => {
    await addSteadyRunner("i-steady");
    const { runner, notices } = await addNoticeRunner("i-1");
    notices.isLeaving = true;
    await sendUntilReceived(runner);
    notices.isLeaving = false;
    const countBefore = runner.requests.length;
    await sendReads(10);
    assert.equal(runner.requests.length, countBefore, "before the restart");
    store.put("servers", "i-1", serverRow(runner.address, { born: 2 }));
    await sleep(700);
    await sendUntilReceived(runner);
    store.put("servers", "i-2", serverRow(runner.address, { born: 3 }));
    store.remove("servers", "i-1");
    await sleep(700);
    await sendUntilReceived(runner);
    assert.equal(runner.requests.at(-1)?.header("expect-instance"), "i-2");
});
