import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { type ReceivedRequest } from "../platform/fakeRunner.js";
import { formatRequest } from "./rawCaller.js";
import { respondOk, sleep, startTestEntry, type TestEntry } from "./testEntry.js";

let entry: TestEntry;
let respond: (request: ReceivedRequest) => void;

beforeEach(async () => {
    respond = respondOk;
    entry = await startTestEntry({ respond: request => respond(request) });
});

afterEach(() => entry.close());

// Guards against an early response that its caller loses because the rest of the body resets the connection.
test("a caller that is still sending its body receives an early response", async () => {
    const caller = await entry.openCaller();
    const length = 8_000_000;
    caller.send(formatRequest({ path: "/book/", id: "a", headers: { "Content-Length": String(length) } }));
    const part = "x".repeat(100_000);
    for (let sent = 0; sent < length && caller.error() === undefined; sent += part.length) {
        caller.send(part);
        if (sent % 1_000_000 === 0) await sleep(30);
    }
    assert.equal(caller.error(), undefined);
    assert.equal((await caller.nextResponse()).status, 413);
});
