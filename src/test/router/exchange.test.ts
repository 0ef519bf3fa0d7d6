import assert from "node:assert/strict";
import * as http from "node:http";
import { connect } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import type { Router } from "../../lib/router/index.js";
import {
    completeResponse,
    configurationRow,
    encodeChunk,
    type FakeRunner,
    notRunResponse,
    numberedEvents,
    type ReceivedRequest,
    serverRow,
    startFakeRunner,
    streamResponseHead,
} from "../platform/fakeRunner.js";
import { type FakeStore, startFakeStore } from "../platform/fakeStore.js";
import { createVmSettings, findFreePortRange, sendCall, startTestRouter, waitUntil } from "./routerHarness.js";

let store: FakeStore;
let router: Router;
const runners: FakeRunner[] = [];

beforeEach(async () => {
    store = await startFakeStore();
    store.put("op", "config", configurationRow(1));
    router = await startTestRouter(createVmSettings(store.address, await findFreePortRange()));
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
    // Leaves time for the entry's feed to deliver the row.
    await new Promise(resolve => setTimeout(resolve, 100));
    return runner;
}

const respondOk = (request: ReceivedRequest) =>
    void request.socket.write(completeResponse(request, `ok ${request.body}`));

// Guards against responses that lose the server's signature or body, and against API keys or forged headers that are
// forwarded to a server.
test("a request is forwarded unchanged except for the headers that the entry sets", async () => {
    const runner = await addRunner("i-1", respondOk);
    const response = await sendCall(router.callerPort, {
        path: "/book/x?y=1",
        method: "POST",
        body: "body",
        headers: {
            tenant: "forged",
            "expect-instance": "forged",
            model: "m",
            "token-usage": "10,5",
            connection: "x-hop",
            "x-hop": "1",
        },
    });
    assert.deepEqual([response.status, response.body, response.headers["response-seal"]], [200, "ok body", "seal"]);
    const [request] = runner.requests;
    assert.match(request?.head ?? "", /^POST \/book\/x\?y=1 HTTP\/1\.1/);
    assert.equal(request?.header("tenant"), "tenant-a");
    assert.equal(request?.header("expect-instance"), "i-1");
    assert.equal(request?.header("key"), "");
    assert.equal(request?.header("x-hop"), "");
    assert.equal(request?.header("token-usage"), "10,5");
    assert.ok(Number(request?.header("deadline-ms")) <= 3000);
});

// Guards against wrong 404 and 401 responses, which callers don't retry, and against serving requests without a valid
// key.
test("unknown routes and keys are refused; public routes need no key", async () => {
    const runner = await addRunner("i-1", respondOk);
    assert.equal((await sendCall(router.callerPort, { path: "/none/" })).status, 404);
    assert.equal((await sendCall(router.callerPort, { path: "/read/", headers: { key: "other" } })).status, 401);
    assert.equal((await sendCall(router.callerPort, { path: "/open/", headers: { key: "other" } })).status, 200);
    assert.equal(runner.requests[0]?.header("tenant"), "");
});

// Guards against a request that fails because one server refuses it, and against a 503 for a request that may have run.
test("a request that a server didn't run is sent to another one, or refused with 503 if there is none", async () => {
    const refusing = await addRunner("i-1", request => void request.socket.write(notRunResponse()));
    const refused = await sendCall(router.callerPort, { path: "/book/", method: "POST", body: "x" });
    assert.equal(refused.status, 503);
    assert.equal(refusing.requests.length, 1);
    await new Promise(resolve => setTimeout(resolve, 250));
    await addRunner("i-2", respondOk, { zone: "other" });
    assert.equal((await sendCall(router.callerPort, { path: "/read/" })).status, 200);
    assert.equal(refusing.requests.length, 2);
});

// Guards against a booking that runs twice, and against a 503 for a request that may have run.
test("a non-idempotent request is sent only once, even if its connection is reset", async () => {
    const first = await addRunner("i-1", request => void request.socket.resetAndDestroy());
    const second = await addRunner("i-2", request => void request.socket.resetAndDestroy());
    const response = await sendCall(router.callerPort, { path: "/book/", method: "POST", body: "x" });
    assert.equal(response.status, 502);
    assert.equal(first.requests.length + second.requests.length, 1);
    const read = await sendCall(router.callerPort, { path: "/read/" });
    assert.equal(read.status, 502);
    assert.equal(first.requests.length + second.requests.length, 3);
});

// Guards against a truncated response without Content-Length that is relayed as complete. A reset that arrives together
// with the last bytes is hard to detect, so it is tested too.
test("a response that ends with a reset is not complete", async () => {
    for (const delayMs of [0, 30]) {
        const runner = await addRunner(`i-${delayMs}`, ({ socket, attemptId }) => {
            const half = `HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\nResponse-Seal: s\r\n\r\nhalf`;
            socket.write(half, () => {
                if (delayMs === 0) socket.resetAndDestroy();
                else setTimeout(() => socket.resetAndDestroy(), delayMs);
            });
        });
        const response = await sendCall(router.callerPort, { path: "/book/", method: "POST", body: "x" });
        assert.equal(response.status, 502);
        assert.equal(response.headers["response-seal"], undefined);
        store.remove("servers", `i-${delayMs}`);
        runner.close();
        await new Promise(resolve => setTimeout(resolve, 50));
    }
});

// Guards against a complete response without Content-Length that is treated as truncated.
test("a response that ends when its connection closes is relayed", async () => {
    await addRunner("i-1", request => {
        request.socket.end(`HTTP/1.1 200 OK\r\nAttempt-Id: ${request.attemptId}\r\nResponse-Seal: s\r\n\r\nwhole`);
    });
    assert.equal((await sendCall(router.callerPort, { path: "/read/" })).body, "whole");
});

// Guards against a second response on a pooled connection that is taken for the response to the next request. It may
// arrive at once, while the connection is idle, or after the next request was sent.
test("an extra response never reaches another request", async () => {
    await addRunner("i-normal", request => void request.socket.write(completeResponse(request, request.attemptId)), {
        zone: "b",
    });
    for (const delayMs of [0, 20, 80]) {
        let first: ReceivedRequest | undefined;
        const runner = await addRunner(`i-${delayMs}`, request => {
            request.socket.write(completeResponse(request, request.attemptId));
            if (first !== undefined) return;
            first = request;
            setTimeout(() => request.socket.write(completeResponse(request, "extra")), delayMs);
        });
        for (let index = 0; index < 6; index++) {
            const response = await sendCall(router.callerPort, {
                path: "/read/",
                headers: { "attempt-id": `x${delayMs}-${index}` },
            });
            assert.deepEqual([response.status, response.body], [200, `x${delayMs}-${index}`]);
            await new Promise(resolve => setTimeout(resolve, index === 0 ? 60 : 15));
        }
        store.remove("servers", `i-${delayMs}`);
        runner.close();
        await new Promise(resolve => setTimeout(resolve, 50));
    }
});

// Guards against a faulty server that sends the response of another request.
test("a response with the identifier of another request is not relayed", async () => {
    const runner = await addRunner("i-1", request => {
        request.socket.write(completeResponse({ ...request, attemptId: "other" }, "foreign"));
    });
    const response = await sendCall(router.callerPort, { path: "/book/", method: "POST", body: "x" });
    assert.equal(response.status, 502);
    assert.equal(runner.requests.length, 1);
});

// Guards against merged or duplicated events after a server disconnects in the middle of an event.
test("a broken stream continues at another server after its last complete event", async () => {
    const respondWithStream = (request: ReceivedRequest) => {
        const lastEventId = request.header("last-event-id");
        request.socket.write(streamResponseHead(request));
        if (lastEventId === "") {
            request.socket.write(encodeChunk(`${numberedEvents(1, 3)}id: 4\ndata: wo`));
            setTimeout(() => request.socket.destroy(), 20);
            return;
        }
        request.socket.write(encodeChunk(numberedEvents(Number(lastEventId) + 1, 6)));
        request.socket.write("0\r\n\r\n");
    };
    const firstRunner = await addRunner("i-1", respondWithStream);
    const secondRunner = await addRunner("i-2", respondWithStream);
    const response = await sendCall(router.callerPort, { path: "/talk/", method: "POST", body: "x" });
    assert.equal(response.isComplete, true);
    assert.equal(response.body, numberedEvents(1, 6));
    const [first, second] = [...firstRunner.requests, ...secondRunner.requests].sort((a, b) =>
        a.header("last-event-id") < b.header("last-event-id") ? -1 : 1
    );
    assert.equal(response.headers["response-seal"], `seal of ${first?.header("expect-instance")}`);
    assert.equal(second?.header("last-event-id"), "3");
    assert.equal(firstRunner.requests.length, 1);
});

// Guards against a broken stream that can't be resumed but looks complete to its caller.
test("a stream that can't be resumed doesn't look complete", async () => {
    const disconnect = (request: ReceivedRequest) => {
        request.socket.write(streamResponseHead(request) + encodeChunk(numberedEvents(1, 2)));
        setTimeout(() => request.socket.destroy(), 20);
    };
    await addRunner("i-1", disconnect);
    const response = await sendCall(router.callerPort, { path: "/talk/", method: "POST", body: "x" });
    assert.equal(response.isComplete, false);
});

// Guards against a server that sends bytes but completes no event, so that its caller waits until the deadline.
test("a stream that completes no events is resumed at another server", async () => {
    const sendIncompleteEvents = (request: ReceivedRequest) => {
        request.socket.write(streamResponseHead(request) + encodeChunk(numberedEvents(1, 1)));
        const timer = setInterval(() => request.socket.write(encodeChunk("x")), 100);
        request.socket.on("close", () => clearInterval(timer));
    };
    const sendRemainingEvents = (request: ReceivedRequest) => {
        request.socket.write(`${streamResponseHead(request)}${encodeChunk(numberedEvents(2, 3))}0\r\n\r\n`);
    };
    let sendCount = 0;
    const respond = (request: ReceivedRequest) =>
        (sendCount++ === 0 ? sendIncompleteEvents : sendRemainingEvents)(request);
    await addRunner("i-1", respond);
    await addRunner("i-2", respond);
    const response = await sendCall(router.callerPort, { path: "/talk/", method: "POST", body: "x" });
    assert.equal(response.body, numberedEvents(1, 3));
});

// Guards against servers that keep working for a caller that has disconnected.
test("a request whose caller disconnects is cancelled at its server", async () => {
    const runner = await addRunner("i-1", () => undefined);
    const abortController = new AbortController();
    const call = sendCall(router.callerPort, {
        path: "/book/",
        method: "POST",
        body: "x",
        signal: abortController.signal,
    });
    await waitUntil(() => runner.requests.length === 1);
    abortController.abort();
    await call;
    const startedAt = Date.now();
    await waitUntil(() => runner.closedCount() === 1);
    assert.ok(Date.now() - startedAt < 500);
});

// Guards against a cancelled request that runs late: if a network partition delays its bytes and the connection is
// closed cleanly, TCP delivers them once the partition heals.
test("a cancelled request resets the connection to its server, before and after the response headers", async () => {
    const runner = await addRunner("i-1", request => {
        if (request.head.includes("/talk/")) {
            request.socket.write(streamResponseHead(request) + encodeChunk(numberedEvents(1, 1)));
        }
    });
    for (const [index, path] of ["/book/", "/read/", "/talk/"].entries()) {
        const abortController = new AbortController();
        const call = sendCall(router.callerPort, { path, method: "POST", body: "x", signal: abortController.signal });
        await waitUntil(() => runner.requests.length === index + 1);
        await new Promise(resolve => setTimeout(resolve, 30));
        abortController.abort();
        await call;
        await waitUntil(() => runner.closedCount() === index + 1);
        assert.equal(runner.resetCount(), index + 1, path);
    }
});

// Guards against requests that outlast their deadline, and against a 503 for a request that may have run.
test("a request that is still at its server at the timeout ends with 504", async () => {
    await addRunner("i-1", () => undefined);
    const startedAt = Date.now();
    const response = await sendCall(router.callerPort, {
        path: "/book/",
        method: "POST",
        body: "x",
        headers: { "deadline-ms": "700" },
    });
    assert.equal(response.status, 504);
    assert.ok(Date.now() - startedAt < 1200);
});

// Guards against an expired request that is recorded as a server failure when both timeouts fire together.
test("requests that reach their timeout together all end with 504", async () => {
    await addRunner("i-1", () => undefined, { slots: 40 });
    const calls = Array.from({ length: 40 }, (_, index) =>
        sendCall(router.callerPort, {
            path: "/book/",
            method: "POST",
            body: "x",
            headers: { "deadline-ms": String(400 + index % 5) },
        }));
    const statuses = (await Promise.all(calls)).map(({ status }) => status);
    assert.deepEqual(statuses, calls.map(() => 504));
});

// Guards against a hanging server that keeps receiving requests that may be sent only once.
test("a server that doesn't respond in time is avoided", async () => {
    const hanging = await addRunner("i-1", () => undefined);
    await addRunner("i-2", respondOk, { zone: "other" });
    const book = (id: string) =>
        sendCall(router.callerPort, {
            path: "/book/",
            method: "POST",
            body: "x",
            headers: { "attempt-id": id, "deadline-ms": "1400" },
        });
    const first = await Promise.all(["b1", "b2", "b3"].map(book));
    assert.deepEqual(first.map(({ status }) => status), [504, 504, 504]);
    assert.equal((await book("b4")).status, 200);
    assert.equal(hanging.requests.length, 3);
});

// Guards against new requests to a draining server, and to a removed one whose address another service may use.
test("a draining or removed server gets no new requests", async () => {
    const firstRunner = await addRunner("i-1", respondOk);
    await addRunner("i-2", respondOk);
    store.put("servers", "i-1", serverRow(firstRunner.address, { state: "draining" }));
    await new Promise(resolve => setTimeout(resolve, 100));
    for (let index = 0; index < 10; index++) await sendCall(router.callerPort, { path: "/read/" });
    assert.equal(firstRunner.requests.length, 0);
    store.put("servers", "i-2", "not a server");
    await new Promise(resolve => setTimeout(resolve, 100));
    assert.equal((await sendCall(router.callerPort, { path: "/read/" })).status, 503);
});

// Guards against requests that are aborted because their server's row is removed while the server still runs them.
test("a request in progress continues when its server leaves the registry", async () => {
    const runner = await addRunner("i-1", request => {
        setTimeout(() => request.socket.write(completeResponse(request, "late")), 400);
    });
    const call = sendCall(router.callerPort, { path: "/read/" });
    await waitUntil(() => runner.requests.length === 1);
    store.remove("servers", "i-1");
    assert.deepEqual([(await call).status, runner.requests.length], [200, 1]);
});

// Guards against requests that are lost on keep-alive connections when the process stops.
test("a stop finishes requests on open connections and tells callers to close them", async () => {
    const runner = await addRunner("i-1", request => {
        setTimeout(() => request.socket.write(completeResponse(request, "late")), 600);
    });
    const agent = new http.Agent({ keepAlive: true });
    const call = sendCall(router.callerPort, { path: "/book/", method: "POST", body: "x", agent });
    await waitUntil(() => runner.requests.length === 1);
    const stopping = router.stop();
    const response = await call;
    assert.deepEqual([response.status, response.body, response.headers.connection], [200, "late", "close"]);
    const secondResponse = await sendCall(router.callerPort, { path: "/read/" });
    assert.equal(secondResponse.status, 200);
    assert.equal((await sendCall(router.readyPort, { path: "/" })).status, 503);
    await stopping;
});

// Guards against a request that is taken seconds after SIGTERM and cut off at the end of the grace period: a response that
// began before the stop doesn't close its connection, so its caller uses it again.
test("a stopping entry refuses a request on a connection whose response began before the stop", async () => {
    const runner = await addRunner("i-1", request => {
        request.socket.write(streamResponseHead(request) + encodeChunk(numberedEvents(1, 1)));
        const timer = setInterval(() => request.socket.write(encodeChunk(numberedEvents(2, 2))), 300);
        setTimeout(() => {
            clearInterval(timer);
            request.socket.write("0\r\n\r\n");
        }, 2700);
    });
    const requestText = (path: string) =>
        `POST ${path} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: ${path}\r\nDeadline-Ms: 3000\r\nKey: key-a\r\n` +
        "Content-Length: 0\r\n\r\n";
    const socket = connect(router.callerPort, "127.0.0.1");
    let received = "";
    socket.on("data", data => {
        received += String(data);
        if (received.endsWith("\r\n0\r\n\r\n")) socket.write(requestText("/read/"));
    });
    socket.write(requestText("/talk/"));
    await new Promise(resolve => setTimeout(resolve, 200));
    // The entry stops listening after 2.2 s.
    const stopped = router.stop();
    await waitUntil(() => socket.destroyed);
    assert.match(received, /0\r\n\r\nHTTP\/1\.1 503 [^]*Retry-After: 0\.00\r\n[^]*Connection: close\r\n/);
    assert.equal(runner.requests.length, 1);
    await stopped;
});
