/** Callers that read slowly or not at all. */
import assert from "node:assert/strict";
import type { ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type CallerServer, startCallerServer } from "../../lib/router/callerServer.js";
import { completeResponse, encodeChunk, streamResponseHead } from "../platform/fakeRunner.js";
import { formatRequest } from "./rawCaller.js";
import { sendCall, waitUntil } from "./routerHarness.js";
import { startPool } from "./testPool.js";

/** More than the operating system buffers for a connection. */
const LARGE_BODY = "x".repeat(15 * 1024 * 1024);

const STALL_TIMEOUT_MS = 800;

const sockets: Socket[] = [];
const servers: CallerServer[] = [];

afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy();
    for (const server of servers.splice(0)) {
        server.stopListening();
        server.close();
    }
});

async function startServer(): Promise<{ readonly server: CallerServer; readonly responses: ServerResponse[]; }> {
    const responses: ServerResponse[] = [];
    const server = await startCallerServer("127.0.0.1:0", async (_, response) => {
        responses.push(response);
        response.writeHead(200, { "content-length": LARGE_BODY.length }).end(LARGE_BODY);
    }, STALL_TIMEOUT_MS);
    servers.push(server);
    return { server, responses };
}

/** Sends a request and reads nothing of its response. */
function openPausedCaller(port: number, path: string): Socket {
    const socket = connect(port, "127.0.0.1").on("error", () => undefined).pause();
    sockets.push(socket);
    socket.write(formatRequest({ path, id: `c-${sockets.length}`, headers: { "Deadline-Ms": "9000" }, body: "x" }));
    return socket;
}

// Guards against callers that never read and whose responses stay in memory for as long as they are connected.
test("a caller that reads nothing is disconnected", async () => {
    const { server, responses } = await startServer();
    openPausedCaller(server.port, "/");
    await sleep(STALL_TIMEOUT_MS * 0.9);
    assert.equal(responses[0]?.destroyed, false);
    await waitUntil(() => responses[0]?.destroyed === true);
});

// Guards against a limit that also cuts off a caller which reads slowly, or one whose server is slow.
test("a caller that reads slowly gets the whole response", async () => {
    const { server, responses } = await startServer();
    const socket = openPausedCaller(server.port, "/");
    let receivedBytes = 0;
    socket.on("data", chunk => {
        receivedBytes += chunk.length;
        socket.pause();
    });
    const timer = setInterval(() => socket.resume(), 1);
    const startedAt = Date.now();
    await waitUntil(() => receivedBytes > 2 * 1024 * 1024);
    clearInterval(timer);
    // Reads on in bursts with pauses below the limit, for longer than the limit in total.
    while (receivedBytes < LARGE_BODY.length) {
        await sleep(STALL_TIMEOUT_MS / 4);
        const nextBytes = Math.min(receivedBytes + 3 * 1024 * 1024, LARGE_BODY.length);
        const burst = setInterval(() => socket.resume(), 1);
        await waitUntil(() => receivedBytes >= nextBytes || socket.destroyed);
        clearInterval(burst);
        assert.equal(socket.destroyed, false);
    }
    assert.ok(Date.now() - startedAt > STALL_TIMEOUT_MS);
    assert.equal(responses[0]?.writableFinished, true);
});

// Guards against a response that is cut off because its server takes longer than the limit for callers.
test("a caller that waits for its response isn't disconnected", async () => {
    const server = await startCallerServer("127.0.0.1:0", async (_, response) => {
        await sleep(2 * STALL_TIMEOUT_MS);
        response.end("late");
    }, STALL_TIMEOUT_MS);
    servers.push(server);
    assert.equal((await sendCall(server.port, { path: "/" })).body, "late");
});

// Guards against an entry that runs out of memory because of responses to callers that don't read, against a sound
// server that is ejected for it, and against other callers that are refused meanwhile.
test("responses that wait for their callers count as memory of the entry", async () => {
    const pool = await startPool({
        respond: request => {
            const isLarge = request.head.includes("/read/large");
            request.socket.write(completeResponse(request, isLarge ? LARGE_BODY : "small"));
        },
        rows: [{ slots: 20 }],
        route: { "timeout-ms": 9000, "max-attempts": 1 },
    });
    const callers = Array.from({ length: 10 }, () => openPausedCaller(pool.callerPort, "/read/large"));
    const countEnds = (pattern: RegExp) => pool.logLines.filter(line => pattern.test(line)).length;
    await waitUntil(() => countEnds(/"event":"request (answered|failed)"/) === callers.length);
    // Two thirds of 96 MiB have room for four of them.
    assert.equal(countEnds(/"event":"request answered"/), 4);
    assert.equal(countEnds(/"reason":"no memory for the answer".*"status":502/), 6);
    for (let count = 0; count < 5; count++) assert.equal((await pool.call("/read/")).body, "small");
    for (const caller of callers) caller.destroy();
    await waitUntil(async () => (await pool.call("/read/large")).body.length === LARGE_BODY.length);
});

for (const readsOn of [true, false]) {
    // Guards against a server that is ejected because it cuts off streams that nobody reads, and against callers that
    // hold their streams for ever.
    test(`a stream cut off because its caller ${readsOn ? "paused" : "never reads"} isn't a failure of the server`, async () => {
        const pool = await startPool({
            respond: request => {
                const { socket } = request;
                if (request.head.includes("/talk/small")) {
                    socket.write(`${streamResponseHead(request)}${encodeChunk("id: 1\ndata: x\n\n")}0\r\n\r\n`);
                    return;
                }
                socket.write(streamResponseHead(request));
                const event = encodeChunk(`id: 1\ndata: ${"x".repeat(64 * 1024)}\n\n`);
                for (let count = 0; count < 400; count++) socket.write(event);
                setTimeout(() => socket.resetAndDestroy(), 1800);
            },
            route: { "timeout-ms": 3500, "max-attempts": 1, resumable: false },
        });
        const callers = Array.from({ length: 4 }, () => openPausedCaller(pool.callerPort, "/talk/"));
        if (readsOn) setTimeout(() => callers.forEach(caller => caller.resume()), 2200);
        await waitUntil(() => pool.logLines.filter(line => /"event":"request failed"/.test(line)).length === 4);
        // Shorter than the time for which a server is ejected.
        assert.equal((await pool.call("/talk/small", 300)).status, 200);
    });
}
