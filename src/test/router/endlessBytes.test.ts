/** Servers and callers that send bytes without end. Each test has a bound on time; the bytes are sent until the close. */
import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { sendRequest } from "../../lib/clients/index.js";
import type { Router } from "../../lib/router/index.js";
import {
    completeResponse,
    configurationRow,
    encodeChunk,
    type FakeRunner,
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

/** Starts two servers: the first one to get a request responds with `respondFirst`, the other one with `respondThen`. */
async function addRunners(
    respondFirst: (request: ReceivedRequest) => void,
    respondThen: (request: ReceivedRequest) => void,
): Promise<void> {
    let requestCount = 0;
    for (const id of ["i-1", "i-2"]) {
        const runner = await startFakeRunner(request => {
            if (requestCount++ === 0) respondFirst(request);
            else respondThen(request);
        });
        runners.push(runner);
        store.put("servers", id, serverRow(runner.address));
    }
    // Leaves time for the entry's feed to deliver the rows.
    await new Promise(resolve => setTimeout(resolve, 100));
}

/** Writes the text again and again until the connection closes, as fast as the other side reads. */
function writeEndlessly(socket: Socket, text: string): void {
    const write = () => {
        for (let count = 0; count < 20 && !socket.destroyed; count++) {
            if (socket.write(text)) continue;
            socket.once("drain", write);
            return;
        }
        if (!socket.destroyed) setTimeout(write, 1);
    };
    write();
}

/** Writes the text every 20 ms until the connection closes. */
function writeSlowly(socket: Socket, text: string): void {
    const timer = setInterval(() => socket.write(text), 20);
    socket.on("close", () => clearInterval(timer));
}

const respondOk = (request: ReceivedRequest) => void request.socket.write(completeResponse(request, "ok"));
const head = (request: ReceivedRequest) =>
    `HTTP/1.1 200 OK\r\nAttempt-Id: ${request.attemptId}\r\nResponse-Seal: s\r\n`;

const ENDLESS_RESPONSES: Readonly<Record<string, (request: ReceivedRequest) => void>> = {
    "status line": ({ socket }) => {
        socket.write("HTTP/1.1 200 ");
        writeEndlessly(socket, "O".repeat(1000));
    },
    "informational responses": ({ socket }) => writeEndlessly(socket, "HTTP/1.1 100 Continue\r\n\r\n"),
    "headers": request => {
        request.socket.write(head(request));
        writeEndlessly(request.socket, `X-Filler: ${"x".repeat(1000)}\r\n`);
    },
    "headers, slowly": request => {
        request.socket.write(head(request));
        writeSlowly(request.socket, "X-Filler: x\r\n");
    },
    "chunk size": request => {
        request.socket.write(`${head(request)}Transfer-Encoding: chunked\r\n\r\n`);
        writeEndlessly(request.socket, "0".repeat(1000));
    },
    "chunk extension": request => {
        request.socket.write(`${head(request)}Transfer-Encoding: chunked\r\n\r\n1;`);
        writeEndlessly(request.socket, "x".repeat(1000));
    },
    "trailers": request => {
        request.socket.write(`${head(request)}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n`);
        writeEndlessly(request.socket, `X-Filler: ${"x".repeat(1000)}\r\n`);
    },
    "body in chunks": request => {
        request.socket.write(`${head(request)}Transfer-Encoding: chunked\r\n\r\n`);
        writeEndlessly(request.socket, encodeChunk("x".repeat(64 * 1024)));
    },
    "body in small chunks": request => {
        request.socket.write(`${head(request)}Transfer-Encoding: chunked\r\n\r\n`);
        writeEndlessly(request.socket, encodeChunk("x").repeat(10_000));
    },
    "body without a length": request => {
        request.socket.write(`${head(request)}\r\n`);
        writeEndlessly(request.socket, "x".repeat(64 * 1024));
    },
    "body of a huge length": request => {
        request.socket.write(`${head(request)}Content-Length: 900000000000\r\n\r\n`);
        writeEndlessly(request.socket, "x".repeat(64 * 1024));
    },
};

// Guards against a server in trouble that sends bytes which are no answer until its caller closes: they must neither
// fill the memory of the entry nor keep its caller waiting beyond the route's timeout, and the connection must end.
for (const [name, respond] of Object.entries(ENDLESS_RESPONSES)) {
    test(`endless bytes of a server end with an answer and a closed connection: ${name}`, async () => {
        let endlessSocket: Socket | undefined;
        await addRunners(request => {
            endlessSocket = request.socket;
            respond(request);
        }, respondOk);
        const startedAt = Date.now();
        const response = await sendCall(router.callerPort, { path: "/read/" });
        assert.ok([200, 502, 504].includes(response.status), `status ${response.status}`);
        if (response.status === 200) assert.equal(response.body, "ok");
        // The route's timeout is 3 s.
        assert.ok(Date.now() - startedAt < 3500, `${Date.now() - startedAt} ms`);
        await waitUntil(() => endlessSocket?.destroyed === true);
        assert.ok(process.memoryUsage().rss < 700 * 1024 * 1024);
        assert.equal((await sendCall(router.callerPort, { path: "/read/" })).body, "ok");
    });
}

// Guards against an entry that hardly serves anyone while a few servers send bytes without end in small chunks.
test("other requests are answered in time beside endless bodies in small chunks", async () => {
    const respond = (request: ReceivedRequest) => {
        if (!request.head.includes("/read/spoilt")) return respondOk(request);
        ENDLESS_RESPONSES["body in small chunks"]?.(request);
    };
    await addRunners(respond, respond);
    const spoiltCalls = Array.from({ length: 4 }, () => sendCall(router.callerPort, { path: "/read/spoilt" }));
    await waitUntil(() => runners.flatMap(({ requests }) => requests).length >= 4);
    const durations: number[] = [];
    for (let count = 0; count < 10; count++) {
        const startedAt = performance.now();
        assert.equal((await sendCall(router.callerPort, { path: "/read/" })).body, "ok");
        durations.push(performance.now() - startedAt);
    }
    const medianMs = durations.sort((a, b) => a - b)[5] ?? 0;
    // The route's target.
    assert.ok(medianMs < 300, `median ${Math.round(medianMs)} ms, longest ${Math.round(durations.at(-1) ?? 0)} ms`);
    for (const { status } of await Promise.all(spoiltCalls)) assert.ok([502, 504].includes(status), `status ${status}`);
});

// Guards against reading the body of a refusal for as long as the server sends it.
test("endless bytes after a refusal close the connection", async () => {
    let endlessSocket: Socket | undefined;
    await addRunners(({ socket }) => {
        endlessSocket = socket;
        socket.write("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeEndlessly(socket, encodeChunk("x".repeat(1000)));
    }, respondOk);
    assert.equal((await sendCall(router.callerPort, { path: "/read/" })).body, "ok");
    await waitUntil(() => endlessSocket?.destroyed === true);
});

const ENDLESS_STREAMS: Readonly<Record<string, (socket: Socket) => void>> = {
    "an event without an end": socket => writeEndlessly(socket, encodeChunk("data: x".repeat(1000))),
    "comments": socket => writeSlowly(socket, encodeChunk(":\n\n")),
    "bytes now and then": socket => writeSlowly(socket, encodeChunk("x")),
};

// Guards against stalled streams that never end because bytes arrive now and then.
for (const [name, respond] of Object.entries(ENDLESS_STREAMS)) {
    test(`a stream that makes no progress continues at another server: ${name}`, async () => {
        await addRunners(request => {
            request.socket.write(streamResponseHead(request) + encodeChunk(numberedEvents(1, 1)));
            respond(request.socket);
        }, request => {
            request.socket.write(`${streamResponseHead(request)}${encodeChunk(numberedEvents(2, 3))}0\r\n\r\n`);
        });
        const response = await sendCall(router.callerPort, { path: "/talk/", method: "POST", body: "x" });
        assert.equal(response.body, numberedEvents(1, 3));
    });
}

// Guards against cutting off a slow but sound stream that no other server can continue.
test("a stream that can't be resumed is not cut off for a pause that its caller accepts", async () => {
    const routes = [{ ...configurationRoute("talk"), resumable: false }];
    store.put("op", "config", configurationRow(2, { routes }));
    await addRunners(request => {
        request.socket.write(streamResponseHead(request) + encodeChunk(numberedEvents(1, 1)));
        setTimeout(() => request.socket.write(`${encodeChunk(numberedEvents(2, 3))}0\r\n\r\n`), 1700);
    }, respondOk);
    const response = await sendCall(router.callerPort, { path: "/talk/", method: "POST", body: "x" });
    assert.deepEqual([response.body, response.isComplete], [numberedEvents(1, 3), true]);
});

// Guards against comments that are lost, which would change the server's body.
test("comments in a stream reach the caller", async () => {
    const text = `:first\n\n${numberedEvents(1, 1)}:second\n\n${numberedEvents(2, 2)}:last\n\n`;
    await addRunners(request => {
        request.socket.write(streamResponseHead(request));
        for (const part of text.split(/(?<=\n\n)/)) request.socket.write(encodeChunk(part));
        request.socket.write("0\r\n\r\n");
    }, respondOk);
    const response = await sendCall(router.callerPort, { path: "/talk/", method: "POST", body: "x" });
    assert.equal(response.body, text);
});

// Guards against a limit for comments that also cuts off large events.
test("an event of more than 64 KiB reaches the caller", async () => {
    const text = `id: 1\ndata: ${"x".repeat(100 * 1024)}\n\n`;
    await addRunners(request => {
        request.socket.write(`${streamResponseHead(request)}${encodeChunk(text)}0\r\n\r\n`);
    }, respondOk);
    const response = await sendCall(router.callerPort, { path: "/talk/", method: "POST", body: "x" });
    assert.equal(response.body, text);
});

// Guards against a request with a large body that ends without an answer.
test("a body above the configured limit is refused with 413", async () => {
    await addRunners(respondOk, respondOk);
    for (const headers of [{}, { "transfer-encoding": "chunked" }]) {
        const call = { path: "/read/", method: "POST", body: "x".repeat(200_000), headers };
        assert.equal((await sendCall(router.callerPort, call)).status, 413);
    }
    assert.equal((await sendCall(router.callerPort, { path: "/read/" })).body, "ok");
});

// Guards against headers above the configured limit that reach a server, and against refusing those within it.
test("headers above the configured limit are refused with 431", async () => {
    const limits = { ...(configurationRow(1) as { limits: object; }).limits, "max-header-bytes": 2000 };
    store.put("op", "config", configurationRow(2, { limits }));
    await addRunners(respondOk, respondOk);
    const statusWith = async (valueBytes: number, body?: string) => {
        const headers = { "x-filler": "x".repeat(valueBytes) };
        return (await sendCall(router.callerPort, { path: "/read/", method: "POST", headers, body })).status;
    };
    await waitUntil(async () => await statusWith(2000) === 431);
    assert.equal(await statusWith(2000, "x".repeat(90_000)), 431);
    assert.equal(await statusWith(1600), 200);
});

// Guards against calls to the store, the origin and peers that never end because single bytes keep arriving.
test("a response that arrives byte by byte fails after a bounded time", async () => {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeSlowly(socket, encodeChunk("x"));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
    const startedAt = Date.now();
    await assert.rejects(sendRequest({ method: "GET", url, timeoutMs: 200 }));
    assert.ok(Date.now() - startedAt < 2500);
    server.close();
    for (const socket of sockets) socket.destroy();
});

function configurationRoute(name: string): object {
    const { routes } = configurationRow(1) as { routes: { name: string; }[]; };
    return routes.find(route => route.name === name) ?? {};
}
