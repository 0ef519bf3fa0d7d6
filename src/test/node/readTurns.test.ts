import assert from "node:assert/strict";
import * as http from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { forEachChunk } from "../../lib/node/forEachChunk.js";
import { readLimitedBody } from "../../lib/node/limitedBody.js";
import { createReadTurns, TURN_CHUNKS } from "../../lib/node/readTurns.js";

const now = () => performance.now();

/** Serves each connection with a head and then the chunk again and again: `count` times, or until the close. */
async function startChunkServer(chunk: string, count = Number.POSITIVE_INFINITY) {
    const sockets = new Set<Socket>();
    const block = chunk.repeat(2000);
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            let sent = 0;
            const sendMore = () => {
                while (!socket.destroyed && sent < count) {
                    const repeated = Math.min(2000, count - sent);
                    sent += repeated;
                    if (!socket.write(repeated === 2000 ? block : chunk.repeat(repeated))) return;
                }
                if (sent === count) socket.end("0\r\n\r\n");
            };
            socket.on("drain", sendMore);
            sendMore();
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        port: (server.address() as AddressInfo).port,
        close: () => {
            server.close();
            for (const socket of sockets) socket.destroy();
        },
    };
}

function openResponse(port: number): Promise<http.IncomingMessage> {
    return new Promise((resolve, reject) => {
        http.get({ port, host: "127.0.0.1" }, resolve).once("error", reject);
    });
}

// Guards against sound bodies in small chunks that are refused, cut or never end because they take turns.
test("bodies in small chunks that come at the same time are read whole", async () => {
    const chunkCount = 5 * TURN_CHUNKS;
    const server = await startChunkServer("2\r\nab\r\n", chunkCount);
    const turns = createReadTurns(now);
    const read = async () => readLimitedBody(await openResponse(server.port), { maxBytes: 1_000_000, turns });
    for (const result of await Promise.all(Array.from({ length: 6 }, read))) {
        assert.ok(result.kind === "complete");
        assert.equal(result.body.toString(), "ab".repeat(chunkCount));
    }
    let received = "";
    await forEachChunk(await openResponse(server.port), chunk => {
        received += chunk.toString();
        return undefined;
    }, turns);
    assert.equal(received, "ab".repeat(chunkCount));
    server.close();
});

// Guards against a few bodies without end in small chunks that take the whole time of a process.
test("endless bodies in small chunks leave the process half of its time", async () => {
    const server = await startChunkServer("1\r\nx\r\n");
    const turns = createReadTurns(now);
    const responses = await Promise.all(Array.from({ length: 6 }, () => openResponse(server.port)));
    const readings = responses.map(response => readLimitedBody(response, { maxBytes: 16 * 1024 * 1024, turns }));
    // Until all of them take turns.
    await sleep(500);
    const delays = monitorEventLoopDelay({ resolution: 1 });
    delays.enable();
    await sleep(2000);
    delays.disable();
    for (const response of responses) response.destroy();
    server.close();
    const kinds = new Set((await Promise.all(readings)).map(({ kind }) => kind));
    assert.deepEqual([...kinds], ["aborted"]);
    // Without turns, each pass of the event loop reads from all connections, and takes over 100 ms.
    const medianMs = delays.percentile(50) / 1e6;
    assert.ok(medianMs < 20, `median delay of the event loop: ${medianMs} ms`);
});

// Guards against a message that stays held, or is read on, after its reader has gone.
test("a message that ends while it waits for a turn ends its reader", async () => {
    const turns = createReadTurns(now);
    const first = turns.start();
    const chunk = Buffer.from("x");
    const fill = (pace: typeof first) => {
        for (let count = 1; count < TURN_CHUNKS; count++) assert.equal(pace(chunk), undefined);
        return pace(chunk);
    };
    assert.ok(fill(first) instanceof Promise);
    const stream = new PassThrough();
    const reading = forEachChunk(stream, () => undefined, turns);
    for (let count = 0; count < 2 * TURN_CHUNKS; count++) stream.write("x");
    await sleep(1);
    stream.destroy();
    await assert.rejects(reading, /closed before its end/);
    assert.equal(stream.destroyed, true);
});

// Guards against turns that delay chunks which are large, or come slowly, and so take little time.
test("large or slow chunks are read without turns", () => {
    let time = 0;
    const turns = createReadTurns(() => time);
    const large = turns.start();
    for (let count = 0; count < 3 * TURN_CHUNKS; count++) assert.equal(large(Buffer.alloc(1024)), undefined);
    const slow = turns.start();
    for (let count = 0; count < 3 * TURN_CHUNKS; count++) {
        time += 0.1;
        assert.equal(slow(Buffer.from("x")), undefined);
    }
});
