import assert from "node:assert/strict";
import { after, before, test } from "node:test";
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
import { formatRequest } from "./rawCaller.js";
import { waitUntil } from "./routerHarness.js";
import { CHANGE_MS, configurationWithRoutes, respondOk, sleep, startTestEntry, type TestEntry } from "./testEntry.js";

let entry: TestEntry;
let secondRunner: FakeRunner | undefined;
let version = 1;
/** Requests that the server has received and not answered yet, by identifier. */
const held = new Map<string, ReceivedRequest>();
let isHolding = false;

const BODY = "0123456789";
/** Requests wait for a slot within their target. */
const ROUTE_CHANGES = { "target-latency-ms": 2500 };
/** All but one of the requests in progress are at the server. */
const SLOTS = 5;

before(async () => {
    entry = await startTestEntry({
        configuration: configurationWithRoutes(version, ROUTE_CHANGES),
        server: { slots: SLOTS },
        respond,
    });
});

after(async () => {
    secondRunner?.close();
    await entry.close();
});

function respond(request: ReceivedRequest): void {
    if (!isHolding) {
        respondOk(request);
        return;
    }
    held.set(request.attemptId, request);
    if (request.attemptId === "half answered") {
        request.socket.write(completeResponse(request, BODY).slice(0, -BODY.length / 2));
    }
    else if (request.attemptId === "stream") {
        request.socket.write(streamResponseHead(request) + encodeChunk(numberedEvents(1, 2)));
    }
}

function finishHeld(): void {
    isHolding = false;
    for (const [id, request] of held) {
        if (id === "half answered") request.socket.write(BODY.slice(-BODY.length / 2));
        else if (id === "stream") request.socket.write(`${encodeChunk(numberedEvents(3, 4))}0\r\n\r\n`);
        else respondOk(request);
    }
    held.clear();
}

function writeConfiguration(changes: object): void {
    version++;
    entry.store.put("op", "config", { ...configurationWithRoutes(version, ROUTE_CHANGES), ...changes });
}

const baseConfiguration = configurationRow(1) as {
    routes: object[];
    services: object[];
    limits: object;
};
const otherService = { ...baseConfiguration.services[0], name: "other" };
const manyRoutes = Array.from({ length: 3000 }, (_, index) => ({
    ...baseConfiguration.routes[0],
    name: `added-${index}`,
    prefix: `/added/${index}/`,
}));

interface Change {
    readonly apply: () => void;
    /** Statuses of requests that arrive completely only after the change. */
    readonly laterStatuses: readonly number[];
}

const CHANGES: Readonly<Record<string, Change>> = {
    "moves the routes to another service": {
        apply: () => {
            const routes = baseConfiguration.routes.map(route => ({ ...route, service: "other" }));
            writeConfiguration({ routes, services: [...baseConfiguration.services, otherService] });
        },
        laterStatuses: [503],
    },
    "moves the routes and removes their service": {
        apply: () => {
            const routes = baseConfiguration.routes.map(route => ({ ...route, service: "other" }));
            writeConfiguration({ routes, services: [otherService] });
        },
        laterStatuses: [503],
    },
    "removes the routes": { apply: () => writeConfiguration({ routes: [] }), laterStatuses: [404] },
    "removes the key": {
        apply: () => writeConfiguration({ tenants: [{ name: "tenant-a", "api-keys": ["other"] }] }),
        laterStatuses: [401],
    },
    "removes the account": { apply: () => writeConfiguration({ tenants: [] }), laterStatuses: [401] },
    "lowers the timeouts": {
        apply: () => {
            const routes = baseConfiguration.routes.map(route => ({ ...route, "timeout-ms": 300 }));
            writeConfiguration({ routes });
        },
        laterStatuses: [200, 408, 503],
    },
    "lowers the limits": {
        apply: () => {
            const limits = { "header-timeout-ms": 100, "idle-timeout-ms": 300, "max-body-bytes": 5 };
            writeConfiguration({ limits: { ...baseConfiguration.limits, ...limits } });
        },
        laterStatuses: [200, 413],
    },
    "raises the limits": {
        apply: () => {
            const limits = { "header-timeout-ms": 60_000, "idle-timeout-ms": 60_000, "max-body-bytes": 10_000_000 };
            writeConfiguration({ limits: { ...baseConfiguration.limits, ...limits } });
        },
        laterStatuses: [200],
    },
    "adds thousands of routes": {
        apply: () => writeConfiguration({ routes: [...baseConfiguration.routes, ...manyRoutes] }),
        laterStatuses: [200],
    },
    "comes several times in succession": {
        apply: () => {
            for (let count = 0; count < 10; count++) writeConfiguration({});
        },
        laterStatuses: [200],
    },
    "can't be read": {
        apply: () => {
            entry.store.put("op", "config", "{");
            entry.store.put("op", "config", { version: ++version });
        },
        laterStatuses: [200],
    },
};

// Guards against a change that loses a request at some step: it must be answered, and completely if its server does.
for (const [name, { apply, laterStatuses }] of Object.entries(CHANGES)) {
    test(`requests at every step are answered when a configuration ${name}`, async () => {
        writeConfiguration({});
        await sleep(CHANGE_MS);
        const open = () => entry.openCaller();
        const bytes = (id: string, path = "/read/") => formatRequest({ path, id, body: BODY });
        const kept = await open();
        kept.send(bytes("first"));
        assert.equal((await kept.nextResponse()).status, 200);
        isHolding = true;
        const atServer = { sent: await open(), "half answered": await open(), stream: await open() };
        for (const [id, caller] of Object.entries(atServer)) {
            caller.send(bytes(id, id === "stream" ? "/talk/" : "/read/"));
        }
        const pipelining = await open();
        pipelining.send(bytes("pipelined 1") + bytes("pipelined 2"));
        await waitUntil(() => held.size === SLOTS);
        const waiting = await open();
        waiting.send(bytes("waiting"));
        const [halfHead, halfBody] = [await open(), await open()];
        halfHead.send(bytes("half head").slice(0, 40));
        halfBody.send(bytes("half body").slice(0, -5));
        await sleep(50);

        apply();
        await sleep(CHANGE_MS);
        finishHeld();
        const statuses = Object.fromEntries(
            await Promise.all(
                Object.entries({ ...atServer, pipelining, waiting }).map(async ([id, caller]) =>
                    [id, (await caller.nextResponse()).status] as const
                ),
            ),
        );
        assert.deepEqual(statuses, {
            sent: 200,
            "half answered": 200,
            stream: 200,
            pipelining: 200,
            waiting: 200,
        });
        assert.equal((await pipelining.nextResponse()).status, 200, "pipelined 2");
        kept.send(bytes("next"));
        halfHead.send(bytes("half head").slice(40));
        halfBody.send(BODY.slice(-5));
        for (const [id, caller] of Object.entries({ kept, halfHead, halfBody })) {
            const { status } = await caller.nextResponse();
            assert.ok(laterStatuses.includes(status) || id === "halfBody" && status === 200, `${id}: ${status}`);
        }
    });
}

// Guards against a stream that ends when its server breaks off because its service has left the configuration.
test("a stream goes on at another server of its service after the service left the configuration", async () => {
    secondRunner = await startFakeRunner(request => {
        const next = Number(request.header("last-event-id")) + 1;
        request.socket.write(`${streamResponseHead(request)}${encodeChunk(numberedEvents(next, 4))}0\r\n\r\n`);
    });
    writeConfiguration({});
    await sleep(CHANGE_MS);
    isHolding = true;
    const caller = await entry.openCaller();
    caller.send(formatRequest({ path: "/talk/", id: "stream", body: BODY }));
    await waitUntil(() => held.size === 1);
    entry.store.put("servers", "i-2", serverRow(secondRunner.address));
    const routes = baseConfiguration.routes.map(route => ({ ...route, service: "other" }));
    writeConfiguration({ routes, services: [otherService] });
    await sleep(CHANGE_MS);
    held.get("stream")?.socket.destroy();
    held.clear();
    isHolding = false;
    const response = await caller.nextResponse();
    assert.equal(response.status, 200);
    assert.match(response.body, /word4/);
});
