import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { connect } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { configurationRow, type ReceivedRequest, serverRow } from "../platform/fakeRunner.js";
import { formatRequest } from "./rawCaller.js";
import { sendCall, waitUntil } from "./routerHarness.js";
import {
    CHANGE_MS,
    configurationWithLimits,
    configurationWithRoutes,
    respondOk,
    sleep,
    startTestEntry,
    type TestEntry,
} from "./testEntry.js";

let entry: TestEntry;
let respond: (request: ReceivedRequest) => void;

beforeEach(async () => {
    respond = respondOk;
    entry = await startTestEntry({ respond: request => respond(request) });
});

afterEach(() => entry.close());

/** Keeps a request at the server while `act` runs, and expects an answer to it and to a later one. */
async function assertServedBeside(act: () => unknown): Promise<void> {
    respond = () => undefined;
    const countBefore = entry.runner.requests.length;
    const caller = await entry.openCaller();
    caller.send(formatRequest({ path: "/read/", id: "a", body: "x" }));
    await waitUntil(() => entry.runner.requests.length > countBefore);
    await act();
    await sleep(CHANGE_MS);
    const request = entry.runner.requests.at(-1);
    assert.ok(request !== undefined);
    respond = respondOk;
    respondOk(request);
    assert.equal((await caller.nextResponse()).status, 200);
    assert.notEqual((await sendCall(entry.router.callerPort, { path: "/read/" })).status, 0);
}

const [plain] = (configurationRow(1) as { services: object[]; }).services;
const zeroEngine = {
    slots: 0,
    step_ms: 0,
    per_seq_ms: 0,
    context_per_k: 0,
    read_per_s: 0,
    pairs_per_m: 0,
    usual: { prompt: 0, answer: 0 },
    models: [],
};

const CONFIGURATIONS: Readonly<Record<string, object>> = {
    "a negative idle timeout": configurationWithLimits(2, { "idle-timeout-ms": -5000 }),
    "a negative header timeout": configurationWithLimits(2, { "header-timeout-ms": -1 }),
    "limits of zero": configurationWithLimits(2, {
        "idle-timeout-ms": 0,
        "header-timeout-ms": 0,
        "max-body-bytes": 0,
        "max-header-bytes": 0,
    }),
    "huge times": configurationWithRoutes(2, { "timeout-ms": 1e15, "target-latency-ms": 1e15, "target-gap-ms": 1e15 }),
    "negative times": configurationWithRoutes(2, { "timeout-ms": -1, "target-latency-ms": -1, "target-gap-ms": -1 }),
    "no attempts and no services": configurationWithRoutes(2, { "max-attempts": 0, "traffic-split": [] }),
    "empty hosts and prefixes": configurationWithRoutes(2, { host: "", prefix: "" }),
    "an engine without capacity": configurationRow(2, { services: [{ ...plain, engine: zeroEngine }] }),
    "no connections": configurationRow(2, { services: [{ ...plain, "max-connections": 0 }] }),
};

// Guards against a configuration that makes the code throw, which ends the process and all its requests.
for (const [name, configuration] of Object.entries(CONFIGURATIONS)) {
    test(`requests are answered beside a configuration with ${name}`, async () => {
        await assertServedBeside(() => entry.store.put("op", "config", configuration));
    });
}

// Guards against rows of other writers that make the code throw.
test("requests are answered beside unusual server rows", async () => {
    await assertServedBeside(() => {
        for (const [index, address] of ["999.999:1", "1.1.1.1:99999999", "....:0"].entries()) {
            entry.store.put("servers", `odd-${index}`, serverRow(address));
        }
        entry.store.put("servers", "__proto__", serverRow(entry.runner.address, { service: "__proto__" }));
        entry.store.put("servers", "\u0000", "not JSON");
    });
    for (let count = 0; count < 5; count++) {
        const response = await sendCall(entry.router.callerPort, { path: "/book/", method: "POST", body: "x" });
        assert.equal(response.status, 200);
    }
});

// Guards against messages on the peers' port that make the code throw.
test("requests are answered beside unusual messages of peers", async () => {
    const identity = { name: "p", ip: "\u0000", failureDomain: "a" };
    const load = { "i-1": [1e308, -1e308, 1e308, -5], "__proto__": [1, 1, 1, 1] };
    const progress = { ...identity, newest: { op: 1e9, servers: -1 }, named: [], load };
    const messages = [
        "not JSON",
        "null",
        JSON.stringify({ kind: "entry", ...progress, reachesStore: true }),
        JSON.stringify({
            kind: "domain",
            ...progress,
            failureDomain: "b",
            entries: [{ ...identity, ageMs: 1e300, reachesStore: true }],
        }),
        JSON.stringify({ kind: "reserve", id: -1, ...identity, serverId: "i-1", promptTokens: -1e308, maxRunning: -1 }),
        JSON.stringify({ kind: "reserved", id: 1e308, isGranted: false, load: [0, 0, 0, 0], pauseMs: 1e308 }),
        JSON.stringify({ kind: "release", ...identity, serverId: "x", load: [1, 1, 1, 1] }),
        JSON.stringify({
            kind: "agent",
            backendAddress: "",
            startedAt: -1,
            model: "__proto__",
            version: -1,
            isLoading: true,
        }),
    ];
    const socket = createSocket("udp4");
    await assertServedBeside(() => {
        for (const message of messages) socket.send(message, entry.peerPort, "127.0.0.1");
    });
    socket.close();
});

// Guards against a request on the peers' port that makes the code throw.
test("requests are answered beside unusual HTTP requests of peers", async () => {
    await assertServedBeside(async () => {
        for (const target of ["//", "http://", "/changes?after=x", "/piece?x=%", "*", "//[x"]) {
            const socket = connect(entry.peerPort, "127.0.0.1");
            socket.on("error", () => undefined);
            socket.write(`GET ${target} HTTP/1.1\r\nHost: x\r\n\r\n`);
            await sleep(30);
            socket.destroy();
        }
    });
});

const INVALID_RESPONSES: Readonly<Record<string, (id: string) => string>> = {
    "switches the protocol": () => "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n",
    "isn't final": id => `HTTP/1.1 101 Switching Protocols\r\nAttempt-Id: ${id}\r\nResponse-Seal: s\r\n\r\n`,
};

// Guards against requests that are never answered, or not with a final response, because of what their server sends.
for (const [name, format] of Object.entries(INVALID_RESPONSES)) {
    test(`a request is answered although the response of its server ${name}`, async () => {
        respond = ({ socket, attemptId }) => void socket.write(format(attemptId));
        const caller = await entry.openCaller();
        caller.send(formatRequest({ path: "/book/", id: "a", body: "x" }));
        await waitUntil(() => caller.received() !== "" || caller.isClosed());
        assert.match(caller.received(), /^HTTP\/1\.1 502 /);
    });
}
