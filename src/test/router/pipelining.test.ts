/** Requests and other bytes that a caller sends behind a request in progress on the same connection. */
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
