import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import type { Router } from "../../lib/router/index.js";
import {
    configurationRow,
    encodeChunk,
    engineParameters,
    type FakeRunner,
    loadedWeights,
    numberedEvents,
    serverRow,
    startFakeRunner,
    streamResponseHead,
} from "../platform/fakeRunner.js";
import { type FakeStore, startFakeStore } from "../platform/fakeStore.js";
import { createVmSettings, findFreePortRange, sendCall, startTestRouter } from "./routerHarness.js";

const LIMIT = 10;
const COLD_SECONDS = 20;

/** Entries by address: two in the failure domain of the cold server, one in another one. */
const ENTRIES = [["127.0.0.1", "a"], ["127.0.0.2", "a"], ["127.0.0.3", "b"]] as const;

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
    await Promise.all(cleanups.splice(0).reverse().map(cleanup => cleanup()));
});

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

interface ColdPool {
    readonly store: FakeStore;
    readonly runner: FakeRunner;
    readonly routers: ReadonlyMap<string, Router>;
    /** Sends requests from the entry at an address for a second, and returns the statuses of the responses. */
    flood(ip: string): Promise<number[]>;
}

/** Starts entries before an engine in domain `a` that has just started. `hasRows`: the entries were listed before. */
async function startColdPool(hasRows: boolean): Promise<ColdPool> {
    const store = await startFakeStore();
    const runner = await startFakeRunner(request => {
        request.socket.write(`${streamResponseHead(request)}${encodeChunk(numberedEvents(1, 1))}0\r\n\r\n`);
    });
    cleanups.push(store.close, runner.close);
    const [plain] = (configurationRow(1) as { services: object[]; }).services;
    const engine = { ...engineParameters("m", 4, 100), slots: 64 };
    const services = [{ ...plain, engine, "cold-s": COLD_SECONDS, "cold-per-s": LIMIT }];
    store.put("op", "config", configurationRow(1, { services }));
    store.put("servers", "i-1", serverRow(runner.address, { slots: 64, ...loadedWeights("m") }));
    const peerPort = await findFreePortRange();
    const routers = new Map<string, Router>();
    for (const [ip, failureDomain] of ENTRIES) {
        const settings = createVmSettings("", peerPort, {
            ip,
            failureDomain,
            regions: new Map([["a", "r"], ["b", "r"]]),
        });
        if (hasRows) store.put("endivewell-entries", settings.name, JSON.stringify({ ip, failureDomain }));
        const bounds = { ...settings.bounds, cold: { overshoot: 1, slack: 0 } };
        const router = await startTestRouter({ ...settings, storeAddress: store.address, bounds });
        cleanups.push(router.stop);
        routers.set(ip, router);
    }
    // Lets the entries hear of each other; those that have just started send to silent ones once a second.
    await sleep(2000);
    const call = { path: "/talk/", method: "POST", body: "x", headers: { "deadline-ms": "500", "token-usage": "1,1" } };
    return {
        store,
        runner,
        routers,
        flood: async ip => {
            const calls: Promise<{ readonly status: number; }>[] = [];
            for (let index = 0; index < 20; index++) {
                calls.push(sendCall(routers.get(ip)?.callerPort ?? 0, { ...call, ip }));
                await sleep(50);
            }
            return (await Promise.all(calls)).map(({ status }) => status);
        },
    };
}

function busiestSecond({ requests }: FakeRunner): number {
    const times = requests.map(({ receivedAt }) => receivedAt);
    return Math.max(0, ...times.map(time => times.filter(other => other >= time && other < time + 1000).length));
}

// Guards against a cold server that crashes because several entries each send it as much as it tolerates.
test("entries together keep the limit of a cold server", async () => {
    const { runner, flood } = await startColdPool(true);
    const statuses = (await Promise.all(ENTRIES.map(([ip]) => flood(ip)))).flat();
    assert.ok(busiestSecond(runner) <= LIMIT, `${busiestSecond(runner)} requests in a second`);
    assert.ok(busiestSecond(runner) >= LIMIT / 2, `${busiestSecond(runner)} requests in a second`);
    assert.ok(statuses.every(status => status === 200 || status === 503), statuses.join());
});

// Guards against an entry that sends to a cold server of another failure domain although nobody there counts its requests.
test("an entry without a share doesn't send to a cold server whose owners are gone", async () => {
    const { runner, routers, flood } = await startColdPool(true);
    assert.ok((await flood("127.0.0.3")).includes(200));
    await Promise.all(["127.0.0.1", "127.0.0.2"].map(ip => routers.get(ip)?.stop()));
    const before = runner.requests.length;
    const statuses = await flood("127.0.0.3");
    assert.equal(runner.requests.length, before);
    assert.ok(statuses.every(status => status === 503), statuses.join());
});

// Guards against new entries that use shares which the others don't leave them yet.
test("entries that are new in the list of entries send nothing to cold servers", async () => {
    const { runner, flood } = await startColdPool(false);
    await Promise.all(ENTRIES.map(([ip]) => flood(ip)));
    assert.equal(runner.requests.length, 0);
});
