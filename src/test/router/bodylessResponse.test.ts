import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { type ReceivedRequest } from "../platform/fakeRunner.js";
import { formatRequest } from "./rawCaller.js";
import { respondOk, startTestEntry, type TestEntry } from "./testEntry.js";

let entry: TestEntry;
let respond: (request: ReceivedRequest) => void;

beforeEach(async () => {
    respond = respondOk;
    entry = await startTestEntry({ respond: request => respond(request) });
});

afterEach(() => entry.close());

// Guards against responses without a body that keep their callers waiting for the server to close the connection.
for (const status of ["204 No Content", "304 Not Modified"]) {
    test(`a response ${status} without a length is complete`, async () => {
        const caller = await entry.openCaller();
        respond = ({ socket, attemptId }) =>
            void socket.write(`HTTP/1.1 ${status}\r\nAttempt-Id: ${attemptId}\r\nResponse-Seal: s\r\n\r\n`);
        const startedAt = Date.now();
        caller.send(formatRequest({ path: "/read/", id: "a", method: "GET" }));
        const response = await caller.nextResponse(true);
        assert.equal(response.status, Number(status.slice(0, 3)));
        assert.ok(Date.now() - startedAt < 1000, `${Date.now() - startedAt} ms`);
        respond = respondOk;
        caller.send(formatRequest({ path: "/read/", id: "b", method: "GET" }));
        assert.equal((await caller.nextResponse()).status, 200);
    });
}

// Guards against an answer to HEAD that is taken for one that ends with its connection, or for an empty body.
test("an answer to HEAD is complete and keeps its length", async () => {
    for (const lengthHeader of ["", "Content-Length: 5\r\n"]) {
        const caller = await entry.openCaller();
        respond = ({ socket, attemptId }) =>
            void socket.write(
                `HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\nResponse-Seal: s\r\n${lengthHeader}\r\n`,
            );
        const startedAt = Date.now();
        caller.send(formatRequest({ path: "/read/", id: "a", method: "HEAD" }));
        const response = await caller.nextResponse(true);
        assert.equal(response.status, 200);
        assert.equal(/^content-length: ?(\d+)/im.exec(response.head)?.[1], lengthHeader === "" ? undefined : "5");
        assert.ok(Date.now() - startedAt < 1000, `${Date.now() - startedAt} ms`);
        respond = respondOk;
        caller.send(formatRequest({ path: "/read/", id: "b", method: "GET" }));
        assert.equal((await caller.nextResponse()).status, 200);
    }
});

// Guards against informational responses that are taken for the final one.
test("informational responses precede the response", async () => {
    const caller = await entry.openCaller();
    respond = request => {
        request.socket.write("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n");
        respondOk(request);
    };
    caller.send(formatRequest({ path: "/read/", id: "a", body: "x" }));
    assert.equal((await caller.nextResponse()).status, 200);
});
