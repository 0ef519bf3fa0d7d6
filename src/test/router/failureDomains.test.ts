import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import type { Router } from "../../lib/router/index.js";
import {
    completeResponse,
    configurationRow,
    type FakeRunner,
    notRunResponse,
    type ReceivedRequest,
    serverRow,
    startFakeRunner,
} from "../platform/fakeRunner.js";
import { type FakeStore, startFakeStore } from "../platform/fakeStore.js";
import { createVmSettings, findFreePortRange, sendCall, startTestRouter, waitUntil } from "./routerHarness.js";

/** Failure domains and their regions; the entries are in the domain `a`. */
const REGIONS = new Map([["a", "north"], ["b", "south"]]);

const CALL_COUNT = 12;

const cleanups: (() => void | Promise<void>)[] = [];

afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

interface Domains {
    readonly store: FakeStore;
    readonly peerPort: number;
    /** A server in each failure domain. */
    readonly runners: Readonly<Record<"a" | "b", FakeRunner>>;
}

async function startDomains(respondInA: (request: ReceivedRequest) => void = respondOk): Promise<Domains> {
    const store = await startFakeStore();
    const runners = { a: await startFakeRunner(respondInA), b: await startFakeRunner(respondOk) };
    cleanups.push(store.close, runners.a.close, runners.b.close);
    store.put("servers", "i-a", serverRow(runners.a.address, { zone: "a" }));
    store.put("servers", "i-b", serverRow(runners.b.address, { zone: "b" }));
    store.put("op", "config", configurationRow(1));
    return { store, runners, peerPort: await findFreePortRange() };
}

async function startEntry({ store, peerPort }: Domains, ip = "127.0.0.1", seeds: string[] = []): Promise<Router> {
    const settings = createVmSettings(store.address, peerPort, { ip, seeds, region: "north", regions: REGIONS });
    const router = await startTestRouter(settings);
    cleanups.push(router.stop);
    return router;
}

function respondOk(request: ReceivedRequest): void {
    request.socket.write(completeResponse(request, "ok"));
}

function configuration(version: number, route: object, account: object = {}): object {
    const { routes } = configurationRow(version) as { routes: object[]; };
    return configurationRow(version, {
        routes: routes.map(base => ({ ...base, ...route })),
        tenants: [{ name: "tenant-a", "api-keys": ["key-a"], ...account }],
    });
}

function callAll(router: Router, ip = "127.0.0.1") {
    return Promise.all(Array.from({ length: CALL_COUNT }, () => sendCall(router.callerPort, { path: "/read/", ip })));
}

/** Waits until the only answers are those of the server in domain `b`. */
async function waitUntilOnlyB(router: Router, { runners }: Domains, ip?: string): Promise<void> {
    await waitUntil(async () => {
        const before = runners.a.requests.length;
        await callAll(router, ip);
        return runners.a.requests.length === before;
    });
}

// Guards against requests that leave the regions which their route and their account allow, while a local server is free.
test("a restricted request reaches only servers in the regions that route and account allow", async () => {
    const domains = await startDomains();
    const { store, runners } = domains;
    store.put("op", "config", configuration(2, { "allowed-regions": ["south"] }));
    const router = await startEntry(domains);
    assert.ok((await callAll(router)).every(({ status }) => status === 200));
    assert.equal(runners.a.requests.length, 0);
    store.put("op", "config", configuration(3, {}, { "allowed-regions": ["north"] }));
    await waitUntil(async () => {
        const before = runners.b.requests.length;
        await callAll(router);
        return runners.b.requests.length === before && runners.a.requests.length > 0;
    });
    store.put("op", "config", configuration(4, { "allowed-regions": ["south"] }, { "allowed-regions": ["north"] }));
    let refusal = await sendCall(router.callerPort, { path: "/read/" });
    await waitUntil(async () => (refusal = await sendCall(router.callerPort, { path: "/read/" })).status === 503);
    assert.match(refusal.body, /no server in the allowed regions/);
    assert.ok(Number(refusal.headers["retry-after"]) > 0);
});

// Guards against a retry or a waiting request that leaves the allowed regions.
test("a restricted request isn't retried outside of its regions", async () => {
    const domains = await startDomains(request => request.socket.write(notRunResponse()));
    domains.store.put("op", "config", configuration(2, { "allowed-regions": ["north"] }));
    const router = await startEntry(domains);
    const { status } = await sendCall(router.callerPort, { path: "/read/" });
    assert.equal(status, 503);
    assert.equal(domains.runners.b.requests.length, 0);
});

// Guards against requests to an evacuated failure domain, and against one that stays out of use after its return.
test("an evacuated failure domain gets no requests until the evacuation is withdrawn", async () => {
    const domains = await startDomains();
    const { store, runners } = domains;
    const router = await startEntry(domains);
    await callAll(router);
    assert.ok(runners.a.requests.length > 0);
    store.put("op", "evacuate/a", {});
    await waitUntilOnlyB(router, domains);
    assert.ok((await callAll(router)).every(({ status }) => status === 200));
    store.remove("op", "evacuate/a");
    await waitUntil(async () => {
        const before = runners.a.requests.length;
        await callAll(router);
        return runners.a.requests.length > before;
    });
});

// Guards against an entry that uses an evacuated failure domain because it started while the store was away.
test("an entry that starts without the store learns of an evacuation from a peer", async () => {
    const domains = await startDomains();
    const { store, runners } = domains;
    const router = await startEntry(domains, "127.0.0.1", ["127.0.0.2"]);
    store.put("op", "evacuate/a", {});
    await waitUntilOnlyB(router, domains);
    store.setFault("reset");
    const later = await startEntry(domains, "127.0.0.2", ["127.0.0.1"]);
    const before = runners.a.requests.length;
    assert.ok((await callAll(later, "127.0.0.2")).every(({ status }) => status === 200));
    assert.equal(runners.a.requests.length, before);
});
