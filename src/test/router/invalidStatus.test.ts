/** Responses of a server in trouble whose status isn't one of HTTP's final ones, 200 to 599. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    completeResponse,
    encodeChunk,
    numberedEvents,
    type ReceivedRequest,
    respondWithSilence,
    streamResponseHead,
} from "../platform/fakeRunner.js";
import { waitUntil } from "./routerHarness.js";
import { startPool } from "./testPool.js";

const INVALID_STATUSES = ["000", "042", "099", "20", "600", "999"];
const LAST_EVENT = 6;
const TWO_SERVERS = [{}, {}];

/** Responds to any kind of request with a status, as a complete response. */
function respondWithStatus(request: ReceivedRequest, status: string, extraHeaders = ""): void {
    request.socket.write(
        request.head.includes("/talk/") ?
            streamResponseHead(request, extraHeaders).replace("200 OK", `${status} X`) +
            `${encodeChunk(numberedEvents(1, LAST_EVENT))}0\r\n\r\n` :
            completeResponse(request, "invalid", `${status} X`, extraHeaders),
    );
}

/** Responds to any kind of request; a stream starts after the event that the request names. */
function respondValidly(request: ReceivedRequest): void {
    const firstEvent = Number(request.header("last-event-id") || "0") + 1;
    request.socket.write(
        request.head.includes("/talk/") ?
            `${streamResponseHead(request)}${encodeChunk(numberedEvents(firstEvent, LAST_EVENT))}0\r\n\r\n` :
            completeResponse(request, "ok"),
    );
}

/** Defines a test that runs once for each invalid status. */
function testStatuses(name: string, run: (status: string) => Promise<void>): void {
    test(name, async () => {
        await Promise.all(INVALID_STATUSES.map(run));
    });
}

/** Returns what the log names as the cause; Node's parser rejects a status of two digits itself. */
const causeOf = (status: string) =>
    status === "20" ? "Parse Error: Invalid status code" : `invalid status ${Number(status)}`;

for (const [path, body] of [["/read/", "ok"], ["/talk/", numberedEvents(1, LAST_EVENT)]] as const) {
    // Guards against an invalid status that reaches the caller, or that ends a request which another server could
    // answer.
    testStatuses(`a retryable request is repeated after an invalid status: ${path}`, async status => {
        const pool = await startPool({
            respond: (request, count) => count === 1 ? respondWithStatus(request, status) : respondValidly(request),
            rows: TWO_SERVERS,
        });
        const response = await pool.call(path);
        assert.deepEqual([response.status, response.body, pool.requestCount()], [200, body, 2], status);
        assert.deepEqual([await pool.sendCount("broken"), await pool.sendCount("success")], [1, 1], status);
        assert.match(pool.logLines.join("\n"), new RegExp(`"attempts":\\["i-\\d ${causeOf(status)}"`));
        await waitUntil(() => pool.requests[0]?.socket.destroyed === true);
    });

    // Guards against an invalid status that is relayed because no attempt is left.
    testStatuses(`an invalid status of the last attempt ends with 502: ${path}`, async status => {
        const pool = await startPool({ respond: request => respondWithStatus(request, status), rows: TWO_SERVERS });
        const response = await pool.call(path);
        assert.deepEqual([response.status, pool.requestCount()], [502, 2], status);
        assert.deepEqual([await pool.sendCount("broken"), await pool.sendCount("success")], [2, 0], status);
        const cause = new RegExp(`"reason":"${causeOf(status)}".*"event":"request failed"`);
        assert.match(pool.logLines.join("\n"), cause);
    });
}

for (const headers of ["", "Not-Executed: 1\r\n", "Not-Executed: 1\r\nRetry-After: 5\r\n"]) {
    // Guards against a request that runs twice, and against a 503 that claims that it didn't run.
    testStatuses(`a non-idempotent request ends with 502 after an invalid status and "${headers}"`, async status => {
        const pool = await startPool({
            respond: request => respondWithStatus(request, status, headers),
            rows: TWO_SERVERS,
            route: { "max-attempts": 2 },
        });
        const response = await pool.call("/book/");
        assert.deepEqual([response.status, pool.requestCount()], [502, 1], status);
        assert.deepEqual([await pool.sendCount("broken"), await pool.sendCount("success")], [1, 0], status);
    });
}

// Guards against a stream that ends at a broken server, and against its events in the stream of another.
testStatuses("a stream is resumed elsewhere after an invalid status of its second server", async status => {
    const pool = await startPool({
        respond: (request, count) => {
            if (count === 2) respondWithStatus(request, status);
            else if (count > 2) respondValidly(request);
            else {
                request.socket.write(streamResponseHead(request) + encodeChunk(numberedEvents(1, 3)));
                setTimeout(() => request.socket.destroy(), 20);
            }
        },
        rows: [{}, {}, {}],
        route: { "max-attempts": 3 },
    });
    const response = await pool.call("/talk/");
    assert.deepEqual([response.status, response.isComplete], [200, true], status);
    assert.equal(response.body, numberedEvents(1, LAST_EVENT), status);
    assert.deepEqual([await pool.sendCount("broken"), await pool.sendCount("success")], [2, 1], status);
});

for (const silentAfter of [0, 3]) {
    // Guards against a silent server that is given up for a successor whose response is invalid.
    testStatuses(
        `a server silent after event ${silentAfter} goes on if its successor's status is invalid`,
        async status => {
            const pool = await startPool({
                respond: (request, count) => {
                    if (count > 1) respondWithStatus(request, status);
                    else {
                        const stream = { eventCount: LAST_EVENT, intervalMs: 20, silentAfter, silenceMs: 1400 };
                        respondWithSilence(request, stream);
                    }
                },
                rows: TWO_SERVERS,
            });
            const response = await pool.call("/talk/");
            assert.deepEqual([response.status, response.isComplete], [200, true], status);
            assert.equal(response.body, numberedEvents(1, LAST_EVENT), status);
            assert.deepEqual([pool.requestCount(), await pool.sendCount("success")], [2, 1], status);
        },
    );
}

// Guards against refusals that are taken for broken responses, and against statuses at the ends of the valid range.
test("valid statuses are relayed, and refusals are retried elsewhere", async () => {
    await Promise.all(["200", "299", "404", "599"].map(async status => {
        const pool = await startPool({ respond: request => respondWithStatus(request, status), rows: TWO_SERVERS });
        assert.equal((await pool.call("/book/")).status, Number(status));
    }));
    for (const status of ["421", "503"]) {
        const pool = await startPool({
            respond: (request, count) =>
                count === 1 ? respondWithStatus(request, status, "Not-Executed: 1\r\n") : respondValidly(request),
            rows: TWO_SERVERS,
            route: { "max-attempts": 2 },
        });
        assert.deepEqual([(await pool.call("/book/")).body, await pool.sendCount("refused")], ["ok", 1]);
    }
});
