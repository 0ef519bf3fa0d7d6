/**
 * A silent server and its successor work on the same request until one of them goes on. Silences are longer than the
 * limit of the fake routes, which is one second.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
    completeResponse,
    encodeChunk,
    notRunResponse,
    numberedEvents,
    type ReceivedRequest,
    streamResponseHead,
} from "../platform/fakeRunner.js";
import { waitUntil } from "./routerHarness.js";
import { startPool } from "./testPool.js";

const LAST_EVENT = 6;
const TWO_SERVERS = [{}, {}];

type Response = (request: ReceivedRequest) => void;

/** The events that the successor sends differ from those of the silent server. */
const successorEvents = (first: number, last: number) => numberedEvents(first, last).replaceAll("word", "other");

/** Sends the first `eventCount` events, and the rest after the silence. */
function silentStream(eventCount: number, silenceMs: number): Response {
    return request => {
        const { socket } = request;
        const head = streamResponseHead(request);
        if (eventCount > 0) socket.write(head + encodeChunk(numberedEvents(1, eventCount)));
        setTimeout(() => {
            if (eventCount === 0) socket.write(head);
            socket.write(`${encodeChunk(numberedEvents(eventCount + 1, LAST_EVENT))}0\r\n\r\n`);
        }, silenceMs);
    };
}

/** Sends the events after the one that the request names. */
function resumeAfter(delayMs: number): Response {
    return async request => {
        await sleep(delayMs);
        const firstEvent = Number(request.header("last-event-id") || "0") + 1;
        request.socket.write(
            `${streamResponseHead(request)}${encodeChunk(successorEvents(firstEvent, LAST_EVENT))}0\r\n\r\n`,
        );
    };
}

/** Ways in which a successor doesn't begin to answer. */
const FAILING_SUCCESSORS: readonly (readonly [string, Response])[] = [
    ["refuses", ({ socket }) => socket.write(notRunResponse())],
    ["fails", request => request.socket.write(completeResponse(request, "broken", "500 Internal Server Error"))],
    ["breaks off", ({ socket }) => socket.resetAndDestroy()],
    ["breaks off in its first event", request => {
        request.socket.write(streamResponseHead(request) + encodeChunk("id: 4\nda"));
        setTimeout(() => request.socket.resetAndDestroy(), 50);
    }],
    ["is silent as well", () => undefined],
];

for (const [description, respond] of FAILING_SUCCESSORS) {
    // Guards against a stream that is cut off because the server that was to take it over doesn't, although the silent
    // one goes on.
    test(`a stream continues at its silent server if the successor ${description}`, async () => {
        await Promise.all([0, 3].map(async eventCount => {
            const pool = await startPool({
                respond: (request, number) => (number === 1 ? silentStream(eventCount, 1400) : respond)(request),
                rows: TWO_SERVERS,
            });
            const response = await pool.call("/talk/");
            assert.deepEqual([response.status, response.isComplete], [200, true], `after event ${eventCount}`);
            assert.equal(response.body, numberedEvents(1, LAST_EVENT));
            assert.equal(pool.requestCount(), 2);
        }));
    });

    // Guards against a failure in place of the response of a server that was silent for a moment.
    test(`a late response is relayed if the successor ${description}`, async () => {
        const pool = await startPool({
            respond: async (request, number) => {
                if (number === 2) return respond(request);
                await sleep(1400);
                request.socket.write(completeResponse(request, "late"));
            },
            rows: TWO_SERVERS,
        });
        const response = await pool.call("/read/");
        assert.deepEqual([response.status, response.body, pool.requestCount()], [200, "late", 2]);
    });
}

// Guards against events of two runs in one stream, and a successor that works for nobody.
test("the silent server keeps the stream if it goes on before its successor begins", async () => {
    await Promise.all([0, 3].map(async eventCount => {
        const pool = await startPool({
            respond: (request, number) => (number === 1 ? silentStream(eventCount, 1400) : resumeAfter(700))(request),
            rows: TWO_SERVERS,
        });
        const response = await pool.call("/talk/");
        assert.deepEqual([response.status, response.isComplete], [200, true], `after event ${eventCount}`);
        assert.equal(response.body, numberedEvents(1, LAST_EVENT));
        await waitUntil(() => pool.requests[1]?.socket.destroyed === true);
    }));
});

// Guards against a silent server that is given up before its successor has begun, or that goes on into its stream.
test("the silent server's attempt is cancelled when its successor begins", async () => {
    await Promise.all([0, 3].map(async eventCount => {
        let wasOpen: boolean | undefined;
        const pool = await startPool({
            respond: async (request, number) => {
                if (number === 1) return silentStream(eventCount, 1800)(request);
                const { socket } = request;
                socket.write(streamResponseHead(request));
                await sleep(200);
                wasOpen = pool.requests[0]?.socket.destroyed === false;
                socket.write(encodeChunk(successorEvents(eventCount + 1, eventCount + 1)));
                await sleep(900);
                socket.write(`${encodeChunk(successorEvents(eventCount + 2, LAST_EVENT))}0\r\n\r\n`);
            },
            rows: TWO_SERVERS,
        });
        const call = pool.call("/talk/");
        await waitUntil(() => pool.requests[0]?.socket.destroyed === true);
        assert.equal(wasOpen, true);
        const response = await call;
        assert.deepEqual([response.status, response.isComplete], [200, true], `after event ${eventCount}`);
        const firstPart = eventCount === 0 ? "" : numberedEvents(1, eventCount);
        assert.equal(response.body, firstPart + successorEvents(eventCount + 1, LAST_EVENT));
    }));
});

// Guards against the bytes of an incomplete event that are joined with the events of the other server.
test("an event that is silent in its middle is relayed from one server", async () => {
    const respondInParts: Response = request => {
        request.socket.write(streamResponseHead(request) + encodeChunk("id: 1\ndata: word1\n\nid: 2\nda"));
        setTimeout(() => request.socket.write(`${encodeChunk("ta: word2\n\n")}0\r\n\r\n`), 1400);
    };
    const respondInPartsLater: Response = request => {
        request.socket.write(streamResponseHead(request) + encodeChunk("id: 2\ndat"));
        setTimeout(() => request.socket.write(`${encodeChunk("a: other2\n\n")}0\r\n\r\n`), 800);
    };
    const resumeWithEvent: Response = request => {
        request.socket.write(`${streamResponseHead(request)}${encodeChunk(successorEvents(2, 2))}0\r\n\r\n`);
    };
    const respondAsSuccessor: readonly (readonly [Response, string])[] = [
        [respondInPartsLater, "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\n"],
        [resumeWithEvent, "id: 1\ndata: word1\n\nid: 2\ndata: other2\n\n"],
    ];
    await Promise.all(respondAsSuccessor.map(async ([respond, body]) => {
        const pool = await startPool({
            respond: (request, number) => (number === 1 ? respondInParts : respond)(request),
            rows: TWO_SERVERS,
        });
        const response = await pool.call("/talk/");
        assert.deepEqual([response.isComplete, response.body], [true, body]);
    }));
});

// Guards against servers that go on working for a caller that has left or doesn't wait any longer.
test("both attempts are cancelled when the caller leaves or the time ends", async () => {
    for (const leaves of [true, false]) {
        const pool = await startPool({ respond: () => undefined, rows: TWO_SERVERS });
        const caller = new AbortController();
        const call = pool.call("/read/", 3000, caller.signal);
        await waitUntil(() => pool.requestCount() === 2);
        assert.ok(pool.requests.every(({ socket }) => !socket.destroyed));
        if (leaves) caller.abort();
        const { status } = await call;
        assert.equal(status, leaves ? 0 : 504);
        await waitUntil(() => pool.requests.every(({ socket }) => socket.destroyed));
    }
});

// Guards against a server's own error that is replaced by a 504 because another server is silent.
test("a successor's error is relayed if the silent server doesn't go on", async () => {
    const pool = await startPool({
        respond: (request, number) => {
            if (number === 2) request.socket.write(completeResponse(request, "broken", "500 Internal Server Error"));
        },
        rows: TWO_SERVERS,
    });
    const response = await pool.call("/read/");
    assert.deepEqual([response.status, response.body], [500, "broken"]);
});

// Guards against a request that runs on more servers than its route allows, or on fewer.
test("a refused request is sent to at most as many servers as the route allows", async () => {
    for (const maxAttempts of [2, 3]) {
        const pool = await startPool({
            respond: (request, number) => {
                if (number === 1) silentStream(3, 1900)(request);
                else if (number === 2) request.socket.write(notRunResponse());
                else resumeAfter(0)(request);
            },
            rows: [{}, {}, {}],
            route: { "max-attempts": maxAttempts },
        });
        const response = await pool.call("/talk/");
        assert.equal(response.isComplete, true);
        assert.equal(pool.requestCount(), maxAttempts);
        const rest = maxAttempts === 2 ? numberedEvents(4, LAST_EVENT) : successorEvents(4, LAST_EVENT);
        assert.equal(response.body, numberedEvents(1, 3) + rest);
    }
});

// Guards against slots that stay taken by an attempt that was cancelled.
test("the slots of both servers are free after a takeover", async () => {
    let isSilent = true;
    const pool = await startPool({
        respond: (request, number) => {
            if (!isSilent || number === 2) resumeAfter(isSilent ? 0 : 500)(request);
        },
        rows: [{ slots: 1 }, { slots: 1 }],
    });
    assert.equal((await pool.call("/talk/")).isComplete, true);
    isSilent = false;
    const responses = await Promise.all([pool.call("/talk/"), pool.call("/talk/")]);
    assert.deepEqual(responses.map(({ isComplete }) => isComplete), [true, true]);
    assert.deepEqual(pool.runners.map(({ requests }) => requests.length), [2, 2]);
});

// Guards against a server that hangs and receives further requests until its successors have begun.
test("a server that hangs is avoided as soon as others take over its requests", async () => {
    const pool = await startPool({
        respond: (request, number) => {
            if (number > 3) setTimeout(() => request.socket.write(completeResponse(request, "ok")), 800);
        },
        rows: [{}, { zone: "other" }],
    });
    const calls = [1, 2, 3].map(() => pool.call("/read/"));
    await waitUntil(() => pool.requestCount() === 6);
    calls.push(pool.call("/read/"));
    assert.deepEqual((await Promise.all(calls)).map(({ body }) => body), ["ok", "ok", "ok", "ok"]);
    assert.deepEqual(pool.runners.map(({ requests }) => requests.length), [3, 4]);
});
