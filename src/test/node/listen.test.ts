import assert from "node:assert/strict";
import * as http from "node:http";
import { test } from "node:test";
import { listen, stopListening } from "../../lib/node/listen.js";
import { formatRequest, openRawCaller } from "../router/rawCaller.js";
import { sleep } from "../router/testEntry.js";

// Guards against a response that is cut off because its caller reads slowly while the server stops.
test("a response that is being sent arrives completely after the server has stopped listening", async () => {
    const body = "x".repeat(12_000_000);
    const server = http.createServer((_, response) => void response.end(body));
    const port = await listen(server, "127.0.0.1:0");
    const caller = await openRawCaller(port);
    caller.send(formatRequest({ path: "/", method: "GET" }));
    caller.socket.pause();
    await sleep(200);
    let isClosed = false;
    stopListening(server, () => isClosed = true);
    await sleep(100);
    assert.equal(isClosed, false);
    caller.socket.resume();
    assert.equal((await caller.nextResponse()).body.length, body.length);
    caller.close();
});
