/** Pauses of the entry's own process, such as a long task or a machine that was frozen, while its servers go on. */
import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Assignment } from "../../lib/core/serving/index.js";
import { openPeerSocket, type PeerMessage, type ReservationReply } from "../../lib/node/peerMessages.js";
import { createServingMetrics } from "../../lib/observability/index.js";
import { createBackendConnections } from "../../lib/router/backendConnections.js";
import { createReservations, type ReservationsOptions } from "../../lib/router/reservations.js";
import { configurationRow, numberedEvents, serverRow, type SilentStream } from "../platform/fakeRunner.js";
import { startFakeStore } from "../platform/fakeStore.js";
import { type RunnerThread, startRunnerThread } from "../platform/runnerThread.js";
import { createVmSettings, findFreePortRange, sendCall, startTestRouter } from "./routerHarness.js";

/** Longer than the time after which another server takes over from a silent one. */
const BLOCK_MS = 1300;

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

/** Blocks the event loop. After an immediate, unlike after a timer, the timers that are due run before any socket is read. */
function blockEventLoop(durationMs: number): void {
    setImmediate(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs));
}

async function startPool(stream: SilentStream) {
    const store = await startFakeStore();
    cleanups.push(store.close);
    store.put("op", "config", configurationRow(1));
    const runners: RunnerThread[] = [];
    for (const id of ["i-1", "i-2"]) {
        const runner = await startRunnerThread(stream);
        cleanups.push(runner.close);
        runners.push(runner);
        store.put("servers", id, serverRow(runner.address));
    }
    const router = await startTestRouter(createVmSettings(store.address, await findFreePortRange()));
    cleanups.push(router.stop);
    await sleep(100);
    return {
        stop: router.stop,
        call: (deadlineMs = 3000) =>
            sendCall(router.callerPort, {
                path: "/talk/",
                method: "POST",
                body: "x",
                headers: { "deadline-ms": String(deadlineMs) },
            }),
        requestCount: () => runners.reduce((sum, runner) => sum + runner.requestCount(), 0),
    };
}

const EVENT_COUNT = 30;

// Guards against a sound stream that is given up after a pause of the entry, before the events that came meanwhile are
// read.
test("a pause of the process isn't taken for a silence of the server", async () => {
    for (const delayMs of [30, 400]) {
        const pool = await startPool({ eventCount: EVENT_COUNT, intervalMs: 60, silentAfter: 0, silenceMs: 100 });
        const call = pool.call();
        await sleep(delayMs);
        blockEventLoop(BLOCK_MS);
        const response = await call;
        assert.equal(response.body, numberedEvents(1, EVENT_COUNT), `blocked after ${delayMs} ms`);
        assert.equal(pool.requestCount(), 1, `blocked after ${delayMs} ms`);
    }
});

// Guards against a server that is blamed for the time in which the entry didn't run: a pause within a short silence.
test("a pause of the process doesn't add to a silence of the server", async () => {
    const pool = await startPool({ eventCount: EVENT_COUNT, intervalMs: 20, silentAfter: 3, silenceMs: 1600 });
    const call = pool.call();
    await sleep(500);
    blockEventLoop(900);
    const response = await call;
    assert.equal(response.body, numberedEvents(1, EVENT_COUNT));
    assert.equal(pool.requestCount(), 1);
});

// Guards against a 504 in place of a response that arrived in time.
test("a response that arrives in time is relayed although the process paused until the deadline", async () => {
    const pool = await startPool({ eventCount: 3, intervalMs: 60, silentAfter: 0, silenceMs: 200 });
    const call = pool.call(800);
    await sleep(100);
    blockEventLoop(900);
    const response = await call;
    assert.deepEqual([response.status, response.body], [200, numberedEvents(1, 3)]);
});

// Guards against an answer that is cut off at the end of a stop although it had arrived.
test("a stream that ends while the process pauses is relayed before a stop cancels it", async () => {
    const pool = await startPool({ eventCount: 10, intervalMs: 100, silentAfter: 0, silenceMs: 0 });
    const stopped = pool.stop();
    await sleep(2000);
    const call = pool.call();
    await sleep(600);
    // The grace period of 4 s is almost over afterwards.
    blockEventLoop(1100);
    const response = await call;
    assert.deepEqual([response.body, response.isComplete], [numberedEvents(1, 10), true]);
    await stopped;
});

// Guards against a sound server that is ejected as unreachable after a pause of the entry.
test("a pause of the process isn't taken for a connection that can't be established", async () => {
    const runner = await startRunnerThread({ eventCount: 1, intervalMs: 0, silentAfter: 0, silenceMs: 0 });
    cleanups.push(runner.close);
    const connections = createBackendConnections();
    cleanups.push(connections.close);
    const sending = connections.send({
        serverId: "i-1",
        address: runner.address,
        method: "GET",
        path: "/",
        headers: ["Host", "h"],
        body: Buffer.alloc(0),
        signal: new AbortController().signal,
        isRetryable: true,
        mayWrite: () => true,
    });
    blockEventLoop(700);
    assert.equal((await sending).statusCode, 200);
});

// Guards against a refused reservation that counts as granted because the process was paused while the reply arrived.
test("the reply to a reservation that arrives during a pause is read before the wait ends", async () => {
    const port = await findFreePortRange();
    let onReply: (reply: ReservationReply) => void = () => undefined;
    const socket = openPeerSocket("127.0.0.1", port, port, message => {
        if (message.kind === "reserved") onReply(message);
    });
    cleanups.push(() => socket.close());
    await sleep(100);
    const reservations = createReservations({
        self: { name: "entry", ip: "127.0.0.1", failureDomain: "a" },
        send: ({ kind }: PeerMessage) => {
            assert.equal(kind, "reserve");
            socket.send({ kind: "reserved", id: 1, isGranted: false, load: [0, 0, 0, 0], pauseMs: 0 }, ["127.0.0.1"]);
        },
        dispatcher: {},
        metrics: createServingMetrics(),
        now: () => performance.now(),
    } as unknown as ReservationsOptions);
    onReply = reservations.handleReply;
    const owner = { name: "owner", ip: "127.0.0.1", failureDomain: "a" };
    // The request leaves just before the event loop is blocked.
    await new Promise<void>(resolve => setImmediate(resolve));
    const reserved = reservations.reserve({ reservation: { owner, slot: {} } } as Assignment, "r");
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 100);
    assert.equal((await reserved)?.isGranted, false);
});
