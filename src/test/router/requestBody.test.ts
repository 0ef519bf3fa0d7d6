import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { type ReceivedRequest } from "../platform/fakeRunner.js";
import { formatRequest } from "./rawCaller.js";
import { CHANGE_MS, configurationWithRoutes, respondOk, sleep, startTestEntry, type TestEntry } from "./testEntry.js";

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

// Guards against a body that isn't read to its end, or a connection that stays held, because its chunks are small.
test("bodies in chunks of one byte reach the server whole, and their connections serve on", async () => {
    const body = "ab".repeat(10_000);
    const send = async () => {
        const caller = await entry.openCaller();
        const headers = { "Transfer-Encoding": "chunked" };
        caller.send(formatRequest({ path: "/book/", id: "a", headers }));
        caller.send(`${[...body].map(byte => `1\r\n${byte}\r\n`).join("")}0\r\n\r\n`);
        assert.equal((await caller.nextResponse()).status, 200);
        caller.send(formatRequest({ path: "/read/", id: "b" }));
        assert.equal((await caller.nextResponse()).status, 200);
    };
    await Promise.all(Array.from({ length: 6 }, send));
    const bodies = entry.runner.requests.filter(({ head }) => head.includes("/book/")).map(request => request.body);
    assert.deepEqual(bodies, Array.from({ length: 6 }, () => body));
});

// Guards against a connection that stays held after its body, which came in small chunks, was refused.
test("a caller that sends too large a body in small chunks receives the refusal, and its body is read to the end", async () => {
    const caller = await entry.openCaller();
    caller.send(formatRequest({ path: "/book/", id: "a", headers: { "Transfer-Encoding": "chunked" } }));
    const part = "1\r\nx\r\n".repeat(20_000);
    for (let count = 0; count < 20; count++) {
        caller.send(part);
        await sleep(10);
    }
    assert.equal((await caller.nextResponse()).status, 413);
    await sleep(500);
    assert.equal(caller.socket.writableLength, 0);
    assert.equal(caller.error(), undefined);
});

// Guards against a body that never ends and is never answered, and against a time limit that restarts at its end.
test("a caller that stalls in its body is answered at its deadline", async () => {
    const caller = await entry.openCaller();
    const startedAt = Date.now();
    const headers = { "Content-Length": "10", "Deadline-Ms": "800" };
    caller.send(`${formatRequest({ path: "/book/", id: "a", headers })}half`);
    const response = await Promise.race([caller.nextResponse(), sleep(3000)]);
    assert.ok(typeof response === "object" && response !== null && "status" in response, "no response within 3 s");
    assert.equal(response.status, 408);
    assert.ok(Date.now() - startedAt < 1300, `${Date.now() - startedAt} ms`);
    assert.equal(entry.runner.requests.length, 0);
});

// Guards against a request whose time limit starts again once its body has been read.
test("the time that a body takes to arrive counts toward the deadline", async () => {
    const caller = await entry.openCaller();
    respond = () => undefined;
    const startedAt = Date.now();
    caller.send(
        `${
            formatRequest({ path: "/book/", id: "a", headers: { "Content-Length": "10", "Deadline-Ms": "1000" } })
        }half1`,
    );
    await sleep(700);
    caller.send("half2");
    assert.equal((await caller.nextResponse()).status, 504);
    assert.ok(Date.now() - startedAt < 1400, `${Date.now() - startedAt} ms`);
});

// Guards against a request that is sent although its time is over, and against a 504 for one that can't have run.
test("a request whose time is over when its body has arrived is refused unsent", async () => {
    const caller = await entry.openCaller();
    // Leaves an open connection to the server, on which a request would be written at once.
    caller.send(formatRequest({ path: "/read/", id: "a", body: "x" }));
    assert.equal((await caller.nextResponse()).status, 200);
    caller.send(`${formatRequest({ path: "/read/", id: "b", headers: { "Content-Length": "10" } })}half1`);
    await sleep(100);
    entry.store.put("op", "config", configurationWithRoutes(2, { "timeout-ms": 300 }));
    await sleep(CHANGE_MS);
    caller.send("half2");
    assert.equal((await caller.nextResponse()).status, 503);
    assert.equal(entry.runner.requests.length, 1);
});
