import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { type ReceivedRequest } from "../platform/fakeRunner.js";
import { formatRequest } from "./rawCaller.js";
import { waitUntil } from "./routerHarness.js";
import { CHANGE_MS, configurationWithLimits, respondOk, sleep, startTestEntry, type TestEntry } from "./testEntry.js";

let entry: TestEntry;
let respond: (request: ReceivedRequest) => void;

beforeEach(async () => {
    respond = respondOk;
    entry = await startTestEntry({ respond: request => respond(request) });
});

afterEach(() => entry.close());

/** Writes a configuration with changed limits and leaves time for the entry to apply it. */
async function changeLimits(version: number, changes: object): Promise<void> {
    entry.store.put("op", "config", configurationWithLimits(version, changes));
    await sleep(CHANGE_MS);
}

function advertisedIdleMs(head: string): number {
    return 1000 * Number(/^keep-alive: ?timeout=(\d+)/im.exec(head)?.[1]);
}

// Guards against a connection that closes earlier than its caller was told, so that its next request is lost.
test("a lower idle timeout applies to a connection only after its caller was told of it", async () => {
    const caller = await entry.openCaller();
    respond = () => undefined;
    caller.send(formatRequest({ path: "/read/", id: "a", body: "x" }));
    await waitUntil(() => entry.runner.requests.length === 1);
    await changeLimits(2, { "idle-timeout-ms": 1000 });
    const [request] = entry.runner.requests;
    assert.ok(request !== undefined);
    respondOk(request);
    const first = await caller.nextResponse();
    assert.equal(first.status, 200);
    assert.ok(advertisedIdleMs(first.head) > 2500, first.head);
    await sleep(2200);
    respond = respondOk;
    caller.send(formatRequest({ path: "/read/", id: "b", body: "x" }));
    const second = await caller.nextResponse();
    assert.equal(second.status, 200);
    assert.equal(advertisedIdleMs(second.head), 1000);
});

// Guards against a connection that closes while a request which its caller sent in time is on its way.
test("a connection outlasts the advertised idle timeout by the time that a request is on its way", async () => {
    await changeLimits(2, { "idle-timeout-ms": 1000 });
    const caller = await entry.openCaller();
    caller.send(formatRequest({ path: "/read/", id: "a", body: "x" }));
    const first = await caller.nextResponse();
    await sleep(advertisedIdleMs(first.head) + 300);
    caller.send(formatRequest({ path: "/read/", id: "b", body: "x" }));
    assert.equal((await caller.nextResponse()).status, 200);
});

// Guards against an idle connection that closes although its caller may keep it longer since the last configuration.
test("a higher idle timeout applies to connections that are idle already", async () => {
    await changeLimits(2, { "idle-timeout-ms": 1000 });
    const caller = await entry.openCaller();
    caller.send(formatRequest({ path: "/read/", id: "a", body: "x" }));
    assert.equal((await caller.nextResponse()).status, 200);
    await changeLimits(3, { "idle-timeout-ms": 10_000 });
    await sleep(2500);
    caller.send(formatRequest({ path: "/read/", id: "b", body: "x" }));
    assert.equal((await caller.nextResponse()).status, 200);
});

// Guards against idle connections that are kept for good.
test("an idle connection is closed after its idle timeout", async () => {
    await changeLimits(2, { "idle-timeout-ms": 1000 });
    const caller = await entry.openCaller();
    caller.send(formatRequest({ path: "/read/", id: "a", body: "x" }));
    await caller.nextResponse();
    await waitUntil(() => caller.isClosed());
});

// Guards against the idle timeout of one request that closes the connection during the next one.
test("a request that takes longer than the idle timeout is answered", async () => {
    await changeLimits(2, { "idle-timeout-ms": 500 });
    const caller = await entry.openCaller();
    caller.send(formatRequest({ path: "/read/", id: "a", body: "x" }));
    await caller.nextResponse();
    respond = request => void setTimeout(() => respondOk(request), 2200);
    caller.send(formatRequest({ path: "/book/", id: "b", body: "x" }));
    assert.equal((await caller.nextResponse()).status, 200);
});

// Guards against a request that gets neither an answer nor a refusal: it arrived on an idle connection in time, but the
// process was paused, and its idle timer ran before the request was read.
test("a request that arrives during a pause is read before its idle connection is closed", async () => {
    await changeLimits(2, { "idle-timeout-ms": 1000 });
    const caller = await entry.openCaller();
    caller.send(formatRequest({ path: "/read/", id: "a", body: "x" }));
    assert.equal((await caller.nextResponse()).status, 200);
    await sleep(500);
    // After the check phase, the event loop runs timers before it reads.
    await new Promise(resolve => setImmediate(resolve));
    caller.send(formatRequest({ path: "/read/", id: "b", body: "x" }));
    const pauseEnd = performance.now() + 2500;
    while (performance.now() < pauseEnd);
    assert.equal((await caller.nextResponse()).status, 200);
    await waitUntil(() => caller.isClosed());
});
