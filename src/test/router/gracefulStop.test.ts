import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { completeResponse, type ReceivedRequest } from "../platform/fakeRunner.js";
import { formatRequest } from "./rawCaller.js";
import { waitUntil } from "./routerHarness.js";
import { configurationWithRoutes, respondOk, sleep, startTestEntry, type TestEntry } from "./testEntry.js";

let entry: TestEntry;
let respond: (request: ReceivedRequest) => void;

/** Time after the start of a stop at which new requests are refused. */
const DRAINING_MS = 2300;

beforeEach(async () => {
    respond = respondOk;
    entry = await startTestEntry({
        // Requests wait for the only slot within their target.
        configuration: configurationWithRoutes(1, { "target-latency-ms": 5000, "timeout-ms": 6000 }),
        server: { slots: 1 },
        respond: request => respond(request),
    });
});

afterEach(() => entry.close());

// Guards against a response that is cut off because its caller reads slowly while the process stops.
test("a response that its caller reads slowly arrives completely during a stop", async () => {
    const size = 12_000_000;
    respond = request => void request.socket.write(completeResponse(request, "x".repeat(size)));
    const caller = await entry.openCaller();
    caller.send(formatRequest({ path: "/read/", id: "a", headers: { "Deadline-Ms": "6000" }, body: "x" }));
    caller.socket.pause();
    await waitUntil(() => entry.runner.requests.length === 1);
    const stopped = entry.router.stop();
    await sleep(DRAINING_MS + 200);
    caller.socket.resume();
    const response = await caller.nextResponse();
    assert.deepEqual([response.status, response.body.length], [200, size]);
    await stopped;
});

// Guards against a connection that closes under its caller's next request, which then gets no answer.
test("a request on a kept connection is refused while the process stops", async () => {
    const [caller, keeper] = [await entry.openCaller(), await entry.openCaller()];
    caller.send(formatRequest({ path: "/read/", id: "a", body: "x" }));
    assert.equal((await caller.nextResponse()).status, 200);
    respond = request => void setTimeout(() => respondOk(request), 3000);
    // Keeps the process running beyond the time at which idle connections were closed.
    keeper.send(formatRequest({ path: "/book/", id: "k", headers: { "Deadline-Ms": "6000" }, body: "x" }));
    await waitUntil(() => entry.runner.requests.length === 2);
    const stopped = entry.router.stop();
    await sleep(DRAINING_MS + 100);
    caller.send(formatRequest({ path: "/read/", id: "b", body: "x" }));
    const refused = await caller.nextResponse();
    assert.equal(refused.status, 503);
    assert.match(refused.head, /^connection: close/im);
    assert.equal((await keeper.nextResponse()).status, 200);
    await stopped;
});

// Guards against requests that were read and end without an answer when the grace period is over.
test("requests in progress are answered before the process ends", async () => {
    respond = () => undefined;
    const [sent, waiting] = [await entry.openCaller(), await entry.openCaller()];
    const headers = { "Deadline-Ms": "6000" };
    const stopped = sleep(0).then(() => entry.router.stop());
    await sleep(1500);
    sent.send(formatRequest({ path: "/book/", id: "a", headers, body: "x" }));
    await waitUntil(() => entry.runner.requests.length === 1);
    waiting.send(formatRequest({ path: "/book/", id: "b", headers, body: "x" }));
    await stopped;
    // The first may have run; the second can't have.
    assert.deepEqual([(await sent.nextResponse()).status, (await waiting.nextResponse()).status], [502, 503]);
});

// Guards against a refusal that its caller loses because it is still sending its body.
test("a request with a long body is refused while the process stops", async () => {
    const [caller, keeper] = [await entry.openCaller(), await entry.openCaller()];
    respond = request => void setTimeout(() => respondOk(request), 3000);
    keeper.send(formatRequest({ path: "/book/", id: "k", headers: { "Deadline-Ms": "6000" }, body: "x" }));
    await waitUntil(() => entry.runner.requests.length === 1);
    const stopped = entry.router.stop();
    await sleep(DRAINING_MS - 300);
    caller.send(formatRequest({ path: "/read/", id: "a", headers: { "Content-Length": "10" } }));
    const late = await entry.openCaller();
    await sleep(400);
    caller.send("x".repeat(10));
    late.send(`${formatRequest({ path: "/read/", id: "b", headers: { "Content-Length": "10" } })}half1`);
    await sleep(200);
    late.send("half2");
    assert.equal((await late.nextResponse()).status, 503);
    assert.notEqual((await caller.nextResponse()).status, 0);
    await stopped;
    assert.deepEqual([late.error(), caller.error()], [undefined, undefined]);
});

// Guards against a pipelined request that gets no answer because the response before it closes the connection.
test("pipelined requests are all answered while the process stops", async () => {
    const caller = await entry.openCaller();
    respond = request => void setTimeout(() => respondOk(request), 500);
    for (const id of ["a", "b"]) {
        caller.send(formatRequest({ path: "/book/", id, headers: { "Deadline-Ms": "6000" }, body: "x" }));
    }
    await waitUntil(() => entry.runner.requests.length === 1);
    const stopped = entry.router.stop();
    const [first, second] = [await caller.nextResponse(), await caller.nextResponse()];
    assert.deepEqual([first.status, second.status], [200, 200]);
    assert.deepEqual([first, second].map(({ head }) => /^connection: close/im.test(head)), [false, true]);
    await stopped;
});
