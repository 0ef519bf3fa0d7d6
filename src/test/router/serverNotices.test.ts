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

async function addRunner(id: string, respond: (request: ReceivedRequest) => void, row: object = {}) {
    const runner = await startFakeRunner(respond);
    runners.push(runner);
    store.put("servers", id, serverRow(runner.address, row));
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

// Guards against a sound server that goes out of use because a leaving one at its earlier address says that it is another
// instance, and against requests to that one.
test("a leaving server that isn't the named one is marked itself", async () => {
    const headers = noticeHeaders({ isLeaving: true, retryAfterSeconds: undefined });
    const leaving = await addRunner("i-leaving", request => {
        const isNamed = request.header("expect-instance") === "i-leaving";
        request.socket.write(
            isNamed ?
                completeResponse(request, "ok") :
                `HTTP/1.1 421 Misdirected Request\r\nAt-Server: i-leaving\r\n${headers}Content-Length: 0\r\n\r\n`,
        );
    });
    store.put("servers", "i-moved", serverRow(leaving.address));
    await sleep(100);
    const moved = await startFakeRunner(request => void request.socket.write(completeResponse(request, "ok")));
    runners.push(moved);
    await waitUntil(async () => {
        await sendReads(2);
        return leaving.requests.some(request => request.header("expect-instance") === "i-moved");
    });
    store.put("servers", "i-moved", serverRow(moved.address));
    await sleep(700);
    const countBefore = leaving.requests.length;
    await sendUntilReceived(moved);
    for (let round = 0; round < 5; round++) await sendReads(4);
    assert.equal(leaving.requests.length, countBefore);
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

/** Returns the number of requests that a runner received between two times after `startedAt`. */
function countBetween(runner: FakeRunner, startedAt: number, fromMs: number, toMs: number): number {
    return runner.requests.filter(({ receivedAt }) => {
        return receivedAt >= startedAt + fromMs && receivedAt < startedAt + toMs;
    }).length;
}

// Guards against requests to a server that has asked for a pause: new ones, queued ones, retries and probes, whether or
// not it states that it didn't run the request.
test("a burst reaches no server that has asked for a pause", async () => {
    await addSteadyRunner("i-steady");
    const responses: Readonly<Record<string, (request: ReceivedRequest) => string>> = {
        "not executed": () => notRunResponse("Retry-After: 2\r\n"),
        unsaid: request => completeResponse(request, "busy", "503 Service Unavailable", "Retry-After: 2.0\r\n"),
    };
    for (const [name, respond] of Object.entries(responses)) {
        const busy = await addRunner(`i-${name}`, request => void request.socket.write(respond(request)));
        while (busy.requests.length === 0) await sendReads(2);
        const startedAt = busy.requests[0]?.receivedAt ?? 0;
        while (performance.now() < startedAt + 2300) {
            await sendReads(6);
            await sleep(20);
        }
        assert.equal(countBetween(busy, startedAt, 200, 2000), 0, `${name}: requests in the pause`);
        assert.ok(countBetween(busy, startedAt, 2000, 2300) > 0, `${name}: no request after the pause`);
        store.remove("servers", `i-${name}`);
        await sleep(600);
    }
});

// Guards against a pause that ends early because the server's row lapses and returns, and against one that a new
// incarnation inherits.
test("a pause lasts for the incarnation that asked for it", async () => {
    await addSteadyRunner("i-steady");
    const { runner: busy, notices } = await addNoticeRunner("i-busy");
    notices.retryAfterSeconds = 30;
    await sendUntilReceived(busy);
    notices.retryAfterSeconds = undefined;
    store.remove("servers", "i-busy");
    await sleep(600);
    store.put("servers", "i-busy", serverRow(busy.address));
    await sleep(600);
    const countBefore = busy.requests.length;
    for (let round = 0; round < 10; round++) await sendReads(4);
    assert.equal(busy.requests.length, countBefore, "after the row's return");
    store.put("servers", "i-busy", serverRow(busy.address, { born: 2 }));
    await sleep(600);
    await sendUntilReceived(busy);
});

// Guards against callers that wait for servers which can't take them in time, or that are told to return too early.
test("requests are refused at once while all servers have asked for a pause, until it ends", async () => {
    const routes = (configurationRow(2) as { routes: object[]; }).routes;
    store.put("op", "config", configurationRow(2, { routes: routes.map(r => ({ ...r, "timeout-ms": 20_000 })) }));
    const first = await addNoticeRunner("i-first");
    const second = await addNoticeRunner("i-second");
    first.notices.retryAfterSeconds = 5;
    second.notices.retryAfterSeconds = 3;
    const call = { path: "/book/", method: "POST", body: "x", headers: { "deadline-ms": "20000" } };
    const turnedAway: Awaited<ReturnType<typeof sendCall>>[] = [];
    while (first.runner.requests.length + second.runner.requests.length < 2) {
        turnedAway.push(await sendCall(router.callerPort, call));
    }
    const startedAt = performance.now();
    const countOf = () => first.runner.requests.length + second.runner.requests.length;
    const countBefore = countOf();
    const last = turnedAway.at(-1);
    const refused = await sendCall(router.callerPort, call);
    const tookMs = performance.now() - startedAt;
    assert.deepEqual([last?.status, refused.status], [503, 503]);
    assert.ok(tookMs < 500, `${tookMs} ms`);
    assert.equal(countOf(), countBefore, "sends in the pause");
    for (const { headers } of [last ?? refused, refused]) {
        const retryAfterSeconds = Number(headers["retry-after"]);
        assert.ok(retryAfterSeconds >= 2.4 && retryAfterSeconds <= 4.5, `Retry-After ${retryAfterSeconds}`);
    }
    second.notices.retryAfterSeconds = undefined;
    await sleep(3000 - (performance.now() - startedAt) + 50);
    assert.equal((await sendCall(router.callerPort, call)).status, 200);
    assert.equal(first.runner.requests.length, 1);
});

// Guards against queued requests that are sent to a server, or wait in vain, once it leaves or asks for a pause.
test("queued requests are refused at once when their only server turns one away", async () => {
    const notices = [
        { isLeaving: true, retryAfterSeconds: undefined },
        { isLeaving: false, retryAfterSeconds: 2.5 },
    ];
    for (const [index, notice] of notices.entries()) {
        const id = `i-${index}`;
        const runner = await addRunner(id, ({ socket }) => {
            setTimeout(() => socket.write(notRunResponse(noticeHeaders(notice))), 150);
        }, { slots: 1 });
        const startedAt = performance.now();
        const responses = await sendReads(4);
        assert.deepEqual(new Set(responses.map(({ status }) => status)), new Set([503]));
        assert.ok(performance.now() - startedAt < 600, `${performance.now() - startedAt} ms`);
        assert.equal(runner.requests.length, 1);
        for (const { headers } of responses) {
            // A third of the deadline of 3 s, or a bit less.
            assert.ok(Number(headers["retry-after"]) > 0.8, `Retry-After ${headers["retry-after"]}`);
        }
        store.remove("servers", id);
        await sleep(600);
    }
});

// Guards against refusing requests that a server takes in time, because its pause is about to end.
test("requests wait for a pause that ends before they are due", async () => {
    const { runner, notices } = await addNoticeRunner("i-1");
    notices.retryAfterSeconds = 0.2;
    await sendCall(router.callerPort, { path: "/book/", method: "POST", body: "x" });
    notices.retryAfterSeconds = undefined;
    const startedAt = runner.requests[0]?.receivedAt ?? 0;
    const responses = await sendReads(4);
    assert.deepEqual(responses.map(({ status }) => status), [200, 200, 200, 200]);
    assert.equal(countBetween(runner, startedAt, 1, 199), 0);
});
