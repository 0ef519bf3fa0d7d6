import assert from "node:assert/strict";
import * as http from "node:http";
import { afterEach, beforeEach, test } from "node:test";
import type { Router } from "../../lib/router/index.js";
import {
    chunkOf,
    configurationRow,
    eventsOf,
    notRunAnswer,
    type ReceivedRequest,
    serverRow,
    type StandInRunner,
    startStandInRunner,
    streamHead,
    wholeAnswer,
} from "../platform/standInRunner.js";
import { type StandInStore, startStandInStore } from "../platform/standInStore.js";
import { freePort, sendCall, startTestRouter, until, vmSettings } from "./routerHarness.js";

let store: StandInStore;
let router: Router;
const runners: StandInRunner[] = [];

beforeEach(async () => {
    store = await startStandInStore();
    store.put("op", "config", configurationRow(1));
    router = await startTestRouter(vmSettings(store.address, await freePort()));
});

afterEach(async () => {
    for (const runner of runners.splice(0)) runner.close();
    store.close();
    await router.stop();
});

async function addRunner(id: string, answer: (request: ReceivedRequest) => void, row: object = {}) {
    const runner = await startStandInRunner(answer);
    runners.push(runner);
    store.put("servers", id, serverRow(runner.address, row));
    // The entry is told by its feed; a public request that is answered shows that it knows the server.
    await new Promise(resolve => setTimeout(resolve, 100));
    return runner;
}

const answerOk = (request: ReceivedRequest) => void request.socket.write(wholeAnswer(request, `ok ${request.body}`));

// Guards against answers without the server's signature and body, and against keys or forged headers that reach a
// server.
test("a request reaches its server unchanged but for the entry's own headers", async () => {
    const runner = await addRunner("i-1", answerOk);
    const answer = await sendCall(router.callerPort, {
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
    assert.deepEqual([answer.status, answer.body, answer.headers["response-seal"]], [200, "ok body", "seal"]);
    const [request] = runner.requests;
    assert.match(request?.head ?? "", /^POST \/book\/x\?y=1 HTTP\/1\.1/);
    assert.equal(request?.header("tenant"), "tenant-a");
    assert.equal(request?.header("expect-instance"), "i-1");
    assert.equal(request?.header("key"), "");
    assert.equal(request?.header("x-hop"), "");
    assert.equal(request?.header("token-usage"), "10,5");
    assert.ok(Number(request?.header("deadline-ms")) <= 3000);
});

// Guards against failures that callers take as final though a route or key is there, and against open doors.
test("unknown routes and keys are refused, public routes need no key", async () => {
    const runner = await addRunner("i-1", answerOk);
    assert.equal((await sendCall(router.callerPort, { path: "/none/" })).status, 404);
    assert.equal((await sendCall(router.callerPort, { path: "/read/", headers: { key: "other" } })).status, 401);
    assert.equal((await sendCall(router.callerPort, { path: "/open/", headers: { key: "other" } })).status, 200);
    assert.equal(runner.requests[0]?.header("tenant"), "");
});

// Guards against a request that is lost because the first server refuses it, and against an untrue refusal.
test("a request that a server didn't run goes to another one; without one the refusal is true", async () => {
    const refusing = await addRunner("i-1", request => void request.socket.write(notRunAnswer()));
    const refused = await sendCall(router.callerPort, { path: "/book/", method: "POST", body: "x" });
    assert.equal(refused.status, 503);
    assert.equal(refusing.requests.length, 1);
    await new Promise(resolve => setTimeout(resolve, 250));
    await addRunner("i-2", answerOk, { zone: "other" });
    assert.equal((await sendCall(router.callerPort, { path: "/read/" })).status, 200);
    assert.equal(refusing.requests.length, 2);
});

// Guards against a booking that runs twice, and against a refusal that calls a request not run that may have run.
test("a non-idempotent request is sent once, whatever becomes of it", async () => {
    const lost = await addRunner("i-1", request => void request.socket.resetAndDestroy());
    const other = await addRunner("i-2", request => void request.socket.resetAndDestroy());
    const answer = await sendCall(router.callerPort, { path: "/book/", method: "POST", body: "x" });
    assert.equal(answer.status, 502);
    assert.equal(lost.requests.length + other.requests.length, 1);
    const read = await sendCall(router.callerPort, { path: "/read/" });
    assert.equal(read.status, 502);
    assert.equal(lost.requests.length + other.requests.length, 3);
});

// Guards against an answer without a length that is cut by a reset and passed on as complete, also if the reset is
// there together with the last bytes.
test("an answer that ends with a reset is not complete", async () => {
    for (const delayMs of [0, 30]) {
        const runner = await addRunner(`i-${delayMs}`, ({ socket, attemptId }) => {
            const half = `HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\nResponse-Seal: s\r\n\r\nhalf`;
            socket.write(half, () => {
                if (delayMs === 0) socket.resetAndDestroy();
                else setTimeout(() => socket.resetAndDestroy(), delayMs);
            });
        });
        const answer = await sendCall(router.callerPort, { path: "/book/", method: "POST", body: "x" });
        assert.equal(answer.status, 502);
        assert.equal(answer.headers["response-seal"], undefined);
        store.remove("servers", `i-${delayMs}`);
        runner.close();
        await new Promise(resolve => setTimeout(resolve, 50));
    }
});

// Guards against an answer without a length that is complete and isn't passed on.
test("an answer that ends with its connection is passed on", async () => {
    await addRunner("i-1", request => {
        request.socket.end(`HTTP/1.1 200 OK\r\nAttempt-Id: ${request.attemptId}\r\nResponse-Seal: s\r\n\r\nwhole`);
    });
    assert.equal((await sendCall(router.callerPort, { path: "/read/" })).body, "whole");
});

// Guards against a second answer on a kept connection that is taken for the answer to the next request, whether it
// arrives at once, while the connection is idle, or after the next request was sent.
test("an extra answer never reaches another request", async () => {
    await addRunner("i-sound", request => void request.socket.write(wholeAnswer(request, request.attemptId)), {
        zone: "b",
    });
    for (const delayMs of [0, 20, 80]) {
        let first: ReceivedRequest | undefined;
        const runner = await addRunner(`i-${delayMs}`, request => {
            request.socket.write(wholeAnswer(request, request.attemptId));
            if (first !== undefined) return;
            first = request;
            setTimeout(() => request.socket.write(wholeAnswer(request, "extra")), delayMs);
        });
        for (let index = 0; index < 6; index++) {
            const answer = await sendCall(router.callerPort, {
                path: "/read/",
                headers: { "attempt-id": `x${delayMs}-${index}` },
            });
            assert.deepEqual([answer.status, answer.body], [200, `x${delayMs}-${index}`]);
            await new Promise(resolve => setTimeout(resolve, index === 0 ? 60 : 15));
        }
        store.remove("servers", `i-${delayMs}`);
        runner.close();
        await new Promise(resolve => setTimeout(resolve, 50));
    }
});

// Guards against an answer of another request, which a confused server sends.
test("an answer with another identifier is not passed on", async () => {
    const runner = await addRunner("i-1", request => {
        request.socket.write(wholeAnswer({ ...request, attemptId: "other" }, "foreign"));
    });
    const answer = await sendCall(router.callerPort, { path: "/book/", method: "POST", body: "x" });
    assert.equal(answer.status, 502);
    assert.equal(runner.requests.length, 1);
});

// Guards against joined or doubled events when a server breaks off in the middle of an event.
test("a broken stream goes on at another server after its last whole event", async () => {
    const answerStream = (request: ReceivedRequest) => {
        const after = request.header("last-event-id");
        request.socket.write(streamHead(request));
        if (after === "") {
            request.socket.write(chunkOf(`${eventsOf(1, 3)}id: 4\ndata: wo`));
            setTimeout(() => request.socket.destroy(), 20);
            return;
        }
        request.socket.write(chunkOf(eventsOf(Number(after) + 1, 6)));
        request.socket.write("0\r\n\r\n");
    };
    const one = await addRunner("i-1", answerStream);
    const two = await addRunner("i-2", answerStream);
    const answer = await sendCall(router.callerPort, { path: "/talk/", method: "POST", body: "x" });
    assert.equal(answer.isWhole, true);
    assert.equal(answer.body, eventsOf(1, 6));
    const [first, second] = [...one.requests, ...two.requests].sort((a, b) =>
        a.header("last-event-id") < b.header("last-event-id") ? -1 : 1
    );
    assert.equal(answer.headers["response-seal"], `seal of ${first?.header("expect-instance")}`);
    assert.equal(second?.header("last-event-id"), "3");
    assert.equal(one.requests.length, 1);
});

// Guards against a stream that can't be continued and looks complete to its caller.
test("a stream that stays broken doesn't look complete", async () => {
    const breakOff = (request: ReceivedRequest) => {
        request.socket.write(streamHead(request) + chunkOf(eventsOf(1, 2)));
        setTimeout(() => request.socket.destroy(), 20);
    };
    await addRunner("i-1", breakOff);
    const answer = await sendCall(router.callerPort, { path: "/talk/", method: "POST", body: "x" });
    assert.equal(answer.isWhole, false);
});

// Guards against a stream of bytes without whole events that holds its caller until the deadline.
test("a stream without progress is looked for elsewhere", async () => {
    const dribble = (request: ReceivedRequest) => {
        request.socket.write(streamHead(request) + chunkOf(eventsOf(1, 1)));
        const timer = setInterval(() => request.socket.write(chunkOf("x")), 100);
        request.socket.on("close", () => clearInterval(timer));
    };
    const whole = (request: ReceivedRequest) => {
        request.socket.write(`${streamHead(request)}${chunkOf(eventsOf(2, 3))}0\r\n\r\n`);
    };
    let sends = 0;
    const answer = (request: ReceivedRequest) => (sends++ === 0 ? dribble : whole)(request);
    await addRunner("i-1", answer);
    await addRunner("i-2", answer);
    const received = await sendCall(router.callerPort, { path: "/talk/", method: "POST", body: "x" });
    assert.equal(received.body, eventsOf(1, 3));
});

// Guards against servers that go on working for a caller that has left.
test("a request whose caller leaves is cancelled at its server", async () => {
    const runner = await addRunner("i-1", () => undefined);
    const leaving = new AbortController();
    const call = sendCall(router.callerPort, { path: "/book/", method: "POST", body: "x", signal: leaving.signal });
    await until(() => runner.requests.length === 1);
    leaving.abort();
    await call;
    const since = Date.now();
    await until(() => runner.closed() === 1);
    assert.ok(Date.now() - since < 500);
});

// Guards against bytes of a cancelled request that a cut holds up and that run at the server when it is over.
test("a cancelled request resets the connection to its server, before and after the head of its answer", async () => {
    const runner = await addRunner("i-1", request => {
        if (request.head.includes("/talk/")) request.socket.write(streamHead(request) + chunkOf(eventsOf(1, 1)));
    });
    for (const [index, path] of ["/book/", "/read/", "/talk/"].entries()) {
        const leaving = new AbortController();
        const call = sendCall(router.callerPort, { path, method: "POST", body: "x", signal: leaving.signal });
        await until(() => runner.requests.length === index + 1);
        await new Promise(resolve => setTimeout(resolve, 30));
        leaving.abort();
        await call;
        await until(() => runner.closed() === index + 1);
        assert.equal(runner.resets(), index + 1, path);
    }
});

// Guards against requests that are held beyond the operator's timeout, and against an untrue refusal of them.
test("a request that is still at its server at the timeout ends with 504", async () => {
    await addRunner("i-1", () => undefined);
    const since = Date.now();
    const answer = await sendCall(router.callerPort, {
        path: "/book/",
        method: "POST",
        body: "x",
        headers: { "deadline-ms": "700" },
    });
    assert.equal(answer.status, 504);
    assert.ok(Date.now() - since < 1200);
});

// Guards against the end of a request's time that is taken for a failure of its server, when both are due together.
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

// Guards against a server that hangs and goes on getting requests that may be sent once only.
test("a server that doesn't answer in time is passed over", async () => {
    const hanging = await addRunner("i-1", () => undefined);
    await addRunner("i-2", answerOk, { zone: "other" });
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

// Guards against new work for a server that leaves, and for one whose address another service has now.
test("a draining or removed server gets no new requests", async () => {
    const one = await addRunner("i-1", answerOk);
    await addRunner("i-2", answerOk);
    store.put("servers", "i-1", serverRow(one.address, { state: "draining" }));
    await new Promise(resolve => setTimeout(resolve, 100));
    for (let index = 0; index < 10; index++) await sendCall(router.callerPort, { path: "/read/" });
    assert.equal(one.requests.length, 0);
    store.put("servers", "i-2", "not an entry");
    await new Promise(resolve => setTimeout(resolve, 100));
    assert.equal((await sendCall(router.callerPort, { path: "/read/" })).status, 503);
});

// Guards against streams and bookings that are cut because the entry of their server is removed while it still works.
test("a request in progress goes on when its server leaves the registry", async () => {
    const runner = await addRunner("i-1", request => {
        setTimeout(() => request.socket.write(wholeAnswer(request, "late")), 400);
    });
    const call = sendCall(router.callerPort, { path: "/read/" });
    await until(() => runner.requests.length === 1);
    store.remove("servers", "i-1");
    assert.deepEqual([(await call).status, runner.requests.length], [200, 1]);
});

// Guards against callers that lose a request on a kept connection when the process is stopped.
test("a stop finishes requests on open connections and tells callers to close them", async () => {
    const runner = await addRunner("i-1", request => {
        setTimeout(() => request.socket.write(wholeAnswer(request, "late")), 600);
    });
    const agent = new http.Agent({ keepAlive: true });
    const call = sendCall(router.callerPort, { path: "/book/", method: "POST", body: "x", agent });
    await until(() => runner.requests.length === 1);
    const stopping = router.stop();
    const answer = await call;
    assert.deepEqual([answer.status, answer.body, answer.headers.connection], [200, "late", "close"]);
    const further = await sendCall(router.callerPort, { path: "/read/" });
    assert.equal(further.status, 200);
    assert.equal((await sendCall(router.readyPort, { path: "/" })).status, 503);
    await stopping;
});
