import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { encodeChunk, numberedEvents, type ReceivedRequest, streamResponseHead } from "../platform/fakeRunner.js";
import { formatRequest } from "./rawCaller.js";
import { waitUntil } from "./routerHarness.js";
import { respondOk, startTestEntry, type TestEntry } from "./testEntry.js";

let entry: TestEntry;
let respond: (request: ReceivedRequest) => void;

beforeEach(async () => {
    respond = respondOk;
    entry = await startTestEntry({ respond: request => respond(request) });
});

afterEach(() => entry.close());

const STREAM_ENDS: Readonly<Record<string, { end: (request: ReceivedRequest) => void; isWhole: boolean; }>> = {
    "a clean end": { end: ({ socket }) => void socket.end(), isWhole: true },
    "a reset": { end: ({ socket }) => void setTimeout(() => socket.resetAndDestroy(), 30), isWhole: false },
    "an end inside an event": { end: ({ socket }) => void socket.end("id: 4\ndata: wo"), isWhole: false },
};

// Guards against a stream that ends with its connection and is taken for complete or broken although it is the other.
for (const [name, { end, isWhole }] of Object.entries(STREAM_ENDS)) {
    test(`a stream without a length that ends with ${name} is ${isWhole ? "whole" : "broken off"}`, async () => {
        const caller = await entry.openCaller();
        respond = request => {
            request.socket.write(
                `HTTP/1.1 200 OK\r\nAttempt-Id: ${request.attemptId}\r\nResponse-Seal: s\r\n` +
                    `Content-Type: text/event-stream\r\n\r\n${numberedEvents(1, 3)}`,
                () => end(request),
            );
        };
        caller.send(formatRequest({ path: "/talk/", id: "a", body: "x" }));
        const response = await caller.nextResponse();
        assert.equal(response.status, isWhole ? 200 : 0);
        assert.equal(response.body.includes("word3"), true);
        assert.equal(response.body.includes("id: 4"), false);
    });
}

// Guards against work for callers that have left: closing a connection first ends it in this direction, and nothing
// shows whether the caller would still read.
test("a caller that ends its connection after its request counts as gone", async () => {
    const caller = await entry.openCaller();
    respond = request => {
        request.socket.write(streamResponseHead(request) + encodeChunk(numberedEvents(1, 1)));
    };
    caller.send(formatRequest({ path: "/talk/", id: "a", body: "x" }));
    await waitUntil(() => entry.runner.requests.length === 1);
    caller.socket.end();
    await waitUntil(() => entry.runner.closedCount() === 1);
});

// Guards against a second request on a connection that is lost, or answered in the wrong order.
test("pipelined requests are answered in order", async () => {
    const caller = await entry.openCaller();
    respond = request => void setTimeout(() => respondOk(request), request.attemptId === "a" ? 200 : 0);
    caller.send(
        formatRequest({ path: "/read/", id: "a", body: "x" }) + formatRequest({ path: "/read/", id: "b", body: "x" }),
    );
    const responses = [await caller.nextResponse(), await caller.nextResponse()];
    assert.deepEqual(responses.map(({ head }) => /attempt-id: (\w+)/i.exec(head)?.[1]), ["a", "b"]);
});
