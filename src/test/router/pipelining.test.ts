/** Requests and other bytes that a caller sends behind a request in progress on the same connection. */
import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { encodeChunk, numberedEvents, type ReceivedRequest, streamResponseHead } from "../platform/fakeRunner.js";
import { formatRequest } from "./rawCaller.js";
import { waitUntil } from "./routerHarness.js";
import { respondOk, sleep, startTestEntry, type TestEntry } from "./testEntry.js";

let entry: TestEntry;
let respond: (request: ReceivedRequest) => void;

beforeEach(async () => {
    respond = respondOk;
    entry = await startTestEntry({ respond: request => respond(request) });
});

afterEach(() => entry.close());

/** Sends a stream of two events with a pause between them. */
function respondWithPause(request: ReceivedRequest, pauseMs: number): void {
    request.socket.write(streamResponseHead(request) + encodeChunk(numberedEvents(1, 1)));
    setTimeout(() => request.socket.write(`${encodeChunk(numberedEvents(2, 2))}0\r\n\r\n`), pauseMs);
}

// Guards against a request that runs for a caller who was told that the connection ends before its answer.
test("a request behind a response that announces the end of its connection isn't run", async () => {
    const caller = await entry.openCaller();
    respond = request => request.attemptId === "a" ? respondWithPause(request, 500) : respondOk(request);
    const stopped = entry.router.stop();
    caller.send(formatRequest({ path: "/talk/", id: "a", body: "x" }));
    await waitUntil(() => caller.received().includes("word1"));
    assert.match(caller.received(), /^connection: close/im);
    caller.send(formatRequest({ path: "/read/", id: "b", body: "x" }));
    const response = await caller.nextResponse();
    assert.match(response.body, /word2/);
    await waitUntil(() => caller.isClosed());
    await stopped;
    assert.deepEqual(entry.runner.requests.map(({ attemptId }) => attemptId), ["a"]);
});

const INVALID_BYTES: Readonly<Record<string, string>> = {
    "no request": "no request\r\n\r\n",
    "a request with two lengths": formatRequest({ path: "/read/", id: "b", headers: { "Content-Length": "1, 2" } }),
    "a request with too large headers": formatRequest({
        path: "/read/",
        id: "b",
        headers: { Large: "x".repeat(70_000) },
    }),
};

// Guards against a request that is lost because of what follows it on its connection.
for (const [name, bytes] of Object.entries(INVALID_BYTES)) {
    test(`a request is answered although ${name} follows it on its connection`, async () => {
        const caller = await entry.openCaller();
        respond = request => void setTimeout(() => respondOk(request), 300);
        caller.send(formatRequest({ path: "/read/", id: "a", body: "x" }));
        await waitUntil(() => entry.runner.requests.length === 1);
        caller.send(bytes);
        assert.equal((await caller.nextResponse()).status, 200);
        await waitUntil(() => caller.isClosed());
        assert.match(caller.received(), /^HTTP\/1\.1 4\d\d [^]*\r\nConnection: close\r\n/);
        assert.equal(entry.runner.requests.length, 1);
    });
}

// Guards against a request for a tunnel that gets no answer, and ends the request before it on its connection.
test("a request for a tunnel is refused after the requests before it", async () => {
    const tunnel = "CONNECT site.example:80 HTTP/1.1\r\nHost: site.example\r\n\r\n";
    const [caller, alone] = [await entry.openCaller(), await entry.openCaller()];
    respond = request => void setTimeout(() => respondOk(request), 300);
    caller.send(formatRequest({ path: "/read/", id: "a", body: "x" }));
    await waitUntil(() => entry.runner.requests.length === 1);
    caller.send(tunnel);
    alone.send(tunnel);
    assert.equal((await alone.nextResponse()).status, 405);
    assert.deepEqual([(await caller.nextResponse()).status, (await caller.nextResponse()).status], [200, 405]);
    respond = () => undefined;
    const leaving = await entry.openCaller();
    leaving.send(formatRequest({ path: "/read/", id: "b", body: "x" }));
    await waitUntil(() => entry.runner.requests.length === 2);
    const closedBefore = entry.runner.closedCount();
    leaving.send(tunnel);
    await sleep(50);
    leaving.socket.end();
    await waitUntil(() => entry.runner.closedCount() > closedBefore);
});

// Guards against an answer that is cut off by what follows its request.
test("a stream goes on to its end although bytes that are no request follow its request", async () => {
    const caller = await entry.openCaller();
    respond = request => respondWithPause(request, 300);
    caller.send(formatRequest({ path: "/talk/", id: "a", body: "x" }));
    await waitUntil(() => caller.received().includes("word1"));
    caller.send("no request\r\n\r\n");
    await sleep(50);
    caller.send("no request\r\n\r\n");
    assert.equal(
        (await caller.nextResponse()).body,
        encodeChunk(numberedEvents(1, 1)) +
            `${encodeChunk(numberedEvents(2, 2))}0\r\n\r\n`,
    );
    await waitUntil(() => caller.isClosed());
});

// Guards against work for a caller that has left after it sent bytes that are no request.
test("a caller that leaves after bytes that are no request counts as gone", async () => {
    for (const leave of ["end", "destroy"] as const) {
        const closedBefore = entry.runner.closedCount();
        const caller = await entry.openCaller();
        respond = () => undefined;
        const countBefore = entry.runner.requests.length;
        caller.send(formatRequest({ path: "/read/", id: "a", body: "x" }));
        await waitUntil(() => entry.runner.requests.length > countBefore);
        caller.send("no request\r\n\r\n");
        await sleep(50);
        caller.socket[leave]();
        await waitUntil(() => entry.runner.closedCount() > closedBefore);
    }
});

// Guards against an answer to an earlier request that is lost with one whose body can't be read.
test("the requests before one with an invalid body are answered first", async () => {
    const caller = await entry.openCaller();
    respond = request => void setTimeout(() => respondOk(request), 300);
    caller.send(formatRequest({ path: "/read/", id: "a", body: "x" }));
    caller.send(
        `${formatRequest({ path: "/read/", id: "b", headers: { "Transfer-Encoding": "chunked" } })}invalid\r\n`,
    );
    assert.deepEqual([(await caller.nextResponse()).status, (await caller.nextResponse()).status], [200, 400]);
    await waitUntil(() => caller.isClosed());
    assert.deepEqual([caller.error(), entry.runner.requests.length], [undefined, 1]);
});

// Guards against work for a caller that has left while its request waits behind another one on its connection, and
// against a stop that waits for such a request until its grace period is over.
test("all pipelined requests end when their caller leaves", async () => {
    const caller = await entry.openCaller();
    respond = () => undefined;
    for (const id of ["a", "b", "c"]) caller.send(formatRequest({ path: "/read/", id, body: "x" }));
    await waitUntil(() => entry.runner.requests.length === 3);
    caller.socket.destroy();
    const leftAt = Date.now();
    await waitUntil(() => entry.runner.closedCount() === 3);
    assert.ok(Date.now() - leftAt < 500, `${Date.now() - leftAt} ms`);
    const stoppedAt = Date.now();
    await entry.router.stop();
    assert.ok(Date.now() - stoppedAt < 3000, `${Date.now() - stoppedAt} ms`);
});

// Guards against a response that stops where its caller reads slowly, because Node no longer reports that the socket of
// a request for a tunnel has drained.
test("a stream of large events goes on to its end although a request for a tunnel follows its request", async () => {
    const caller = await entry.openCaller();
    const events = [1, 2, 3, 4, 5].map(id => encodeChunk(`id: ${id}\ndata: ${"x".repeat(40_000)}\n\n`));
    respond = request => {
        const { socket } = request;
        socket.write(streamResponseHead(request));
        setTimeout(() => socket.write(`${events.join("")}0\r\n\r\n`), 300);
    };
    caller.send(formatRequest({ path: "/talk/", id: "a", body: "x" }));
    await waitUntil(() => entry.runner.requests.length === 1);
    caller.send("CONNECT site.example:80 HTTP/1.1\r\nHost: site.example\r\n\r\n");
    const response = await caller.nextResponse();
    assert.equal(response.status, 200);
    assert.match(response.body, /id: 5\n/);
    assert.equal((await caller.nextResponse()).status, 405);
});
