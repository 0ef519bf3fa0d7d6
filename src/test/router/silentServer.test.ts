/** Servers that are silent for a second or so and go on. The limit of the fake routes is one second. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { completeResponse, numberedEvents, type ReceivedRequest, respondWithSilence } from "../platform/fakeRunner.js";
import { type PoolOptions, startPool } from "./testPool.js";

/** Longer than the limit, and well within the time of the requests. */
const SILENCE_MS = 1400;

const EVENT_COUNT = 6;

const NO_RETRIES = { ratio: 0, slack: 0, windowMs: 10_000 };

const silentAfter = (id: number, silenceMs = SILENCE_MS) => (request: ReceivedRequest) => {
    respondWithSilence(request, { eventCount: EVENT_COUNT, intervalMs: 20, silentAfter: id, silenceMs });
};

const respondLate = (request: ReceivedRequest) => {
    setTimeout(() => request.socket.write(completeResponse(request, "late")), SILENCE_MS);
};

/** Pools in which no server can take over from a silent one. */
const POOLS_WITHOUT_SUCCESSOR: readonly (readonly [string, Omit<PoolOptions, "respond">])[] = [
    ["the only server", {}],
    ["the last attempt", { rows: [{}, {}], route: { "max-attempts": 1 } }],
    ["a spent retry budget", { rows: [{}, {}], retries: NO_RETRIES }],
    ["another server without slots", { rows: [{}, { slots: 0 }] }],
];

for (const [description, options] of POOLS_WITHOUT_SUCCESSOR) {
    // Guards against a stream that is cut off because its server is silent for a moment, although nothing replaces it.
    test(`a stream continues after a silence of its server: ${description}`, async () => {
        for (const id of [0, 3]) {
            const pool = await startPool({ ...options, respond: silentAfter(id) });
            const response = await pool.call("/talk/");
            assert.deepEqual([response.status, response.isComplete], [200, true], `after event ${id}`);
            assert.equal(response.body, numberedEvents(1, EVENT_COUNT));
            assert.equal(pool.requestCount(), 1);
        }
    });

    // Guards against a 502 for an idempotent request that its server would have answered.
    test(`a late response is relayed: ${description}`, async () => {
        const pool = await startPool({ ...options, respond: respondLate });
        const response = await pool.call("/read/");
        assert.deepEqual([response.status, response.body, pool.requestCount()], [200, "late", 1]);
    });
}

// Guards against a stream that can't be resumed and is cut off before its caller would leave.
test("a stream that can't be resumed waits for its server as long as its caller does", async () => {
    const route = { resumable: false, "target-latency-ms": 1000, "timeout-ms": 6000 };
    const pool = await startPool({ respond: silentAfter(3, 2500), route });
    const response = await pool.call("/talk/", 6000);
    assert.deepEqual([response.status, response.isComplete], [200, true]);
    assert.equal(response.body, numberedEvents(1, EVENT_COUNT));
});

// Guards against a server that hangs in the middle of streams and keeps receiving new ones.
test("a server whose streams end in silence is avoided", async () => {
    const pool = await startPool({
        respond: request =>
            silentAfter(request.header("expect-instance") === "i-1" ? 3 : EVENT_COUNT + 1, 60_000)(request),
        rows: [{}, { zone: "other" }],
        route: { resumable: false },
    });
    const hanging = await Promise.all([1, 2, 3].map(() => pool.call("/talk/", 1600)));
    assert.deepEqual(hanging.map(({ isComplete }) => isComplete), [false, false, false]);
    assert.equal((await pool.call("/talk/")).isComplete, true);
    assert.deepEqual(pool.runners.map(({ requests }) => requests.length), [3, 1]);
});

// Guards against a server's own error that is replaced by a 502 because a retry was begun without a server for it.
test("a server's error is relayed if no other server is free", async () => {
    const pool = await startPool({
        respond: request => void request.socket.write(completeResponse(request, "broken", "500 Internal Server Error")),
        rows: [{}, { slots: 0 }],
    });
    for (const deadlineMs of [3000, 100]) {
        const response = await pool.call("/read/", deadlineMs);
        assert.deepEqual([response.status, response.body], [500, "broken"]);
    }
    assert.equal(pool.requestCount(), 2);
});

// Guards against a caller that waits for a silent server although another one is free.
test("another server takes over from a silent one", async () => {
    for (const id of [0, 3]) {
        let requestCount = 0;
        const pool = await startPool({
            respond: request => silentAfter(requestCount++ === 0 ? id : EVENT_COUNT + 1, 60_000)(request),
            rows: [{}, {}],
        });
        const startedAt = Date.now();
        const response = await pool.call("/talk/");
        assert.equal(response.isComplete, true, `after event ${id}`);
        assert.equal(response.body, numberedEvents(1, EVENT_COUNT));
        assert.ok(Date.now() - startedAt < 2000);
        assert.equal(pool.requestCount(), 2);
    }
});
