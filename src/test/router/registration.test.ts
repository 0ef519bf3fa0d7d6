import assert from "node:assert/strict";
import { afterEach, type MockTimers, test } from "node:test";
import { createPeerEntries, LEASE_RENEWAL_INTERVAL_MS, LEASE_VALID_MS } from "../../lib/core/serving/index.js";
import type { MetadataStore } from "../../lib/node/metadataStore.js";
import { createEventLog } from "../../lib/observability/index.js";
import { createPlatformStore } from "../../lib/platform/index.js";
import { startRegistration } from "../../lib/router/registration.js";
import { startFakeStore } from "../platform/fakeStore.js";
import { waitUntil } from "./routerHarness.js";

const SELF = { name: "e", ip: "127.0.0.1", failureDomain: "a" };
const TABLE = "endivewell-entries";

const cleanups: (() => void)[] = [];

afterEach(() => {
    for (const cleanup of cleanups.splice(0).reverse()) cleanup();
});

const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms));

async function start(onWritten: (fakeStore: Awaited<ReturnType<typeof startFakeStore>>) => void = () => undefined) {
    const fakeStore = await startFakeStore();
    const client = createPlatformStore(fakeStore.address);
    cleanups.push(fakeStore.close, client.close);
    const store = {
        ...client,
        putRow: async (...row: Parameters<MetadataStore["putRow"]>) => {
            await client.putRow(...row);
            onWritten(fakeStore);
        },
    };
    const log = createEventLog({ process: "e", role: "entry", now: () => 0, write: () => undefined });
    const registration = startRegistration({
        store,
        self: SELF,
        peers: createPeerEntries(SELF),
        looksForEarlierRow: true,
        log,
        random: () => 0,
        readClocks: () => ({ monotonicMs: 0, wallMs: 0 }),
    });
    cleanups.push(registration.stop);
    return { fakeStore, registration };
}

// Guards against an entry that isn't found for ever, because the store was restored between its write and its first
// reads.
test("an entry whose row was lost right after it had been written registers again", async () => {
    let isFirst = true;
    const { fakeStore } = await start(store => {
        if (isFirst) store.restore({ revision: 0, oldestRevision: 0, rows: new Map() });
        isFirst = false;
    });
    await waitUntil(() => !isFirst && fakeStore.keys(TABLE).length === 1);
});

// Guards against writes with each heartbeat, and against a stopped entry that goes on registering.
test("an entry registers once in each epoch, until it stops", async () => {
    const { fakeStore, registration } = await start();
    const countWrites = () => fakeStore.calls.get("/-/rows-tx ") ?? 0;
    await waitUntil(() => fakeStore.keys(TABLE).length === 1);
    await sleep(100);
    const renewOften = async (epoch: number) => {
        for (let index = 0; index < 20; index++) {
            registration.renewIn(epoch);
            await sleep(5);
        }
    };
    await renewOften(0);
    assert.equal(countWrites(), 1);
    fakeStore.restore({ revision: 0, oldestRevision: 0, rows: new Map() });
    await renewOften(1);
    assert.deepEqual([countWrites(), fakeStore.keys(TABLE)], [2, ["e"]]);
    registration.stop();
    await renewOften(2);
    assert.equal(countWrites(), 2);
});

/** Starts an entry at a store in memory, with simulated time. */
function startWithTimers(timers: MockTimers, rows: Map<string, { revision: number; value: string; }>) {
    timers.enable({ apis: ["setTimeout"] });
    let nowMs = 0;
    let revision = 100;
    let isStoreDown = false;
    const whenUp = async <T>(act: () => T) => {
        if (isStoreDown) throw new Error("the store is down");
        return act();
    };
    const store: Pick<MetadataStore, "putRow" | "readTable" | "removeRow"> = {
        putRow: (_table, key, value) => whenUp(() => void rows.set(key, { revision: ++revision, value })),
        readTable: () =>
            whenUp(() => ({
                rows: [...rows].map(([key, row]) => ({ key, epoch: 0, ...row })),
                position: { epoch: 0, revision },
            })),
        removeRow: (_table, key, expected) =>
            whenUp(() => {
                if (rows.get(key)?.revision === expected) rows.delete(key);
            }),
    };
    const peers = createPeerEntries(SELF);
    const registration = startRegistration({
        store,
        self: SELF,
        peers,
        looksForEarlierRow: true,
        log: createEventLog({ process: "e", role: "entry", now: () => 0, write: () => undefined }),
        random: () => 0,
        readClocks: () => ({ monotonicMs: nowMs, wallMs: nowMs }),
    });
    cleanups.push(registration.stop);
    return {
        peers,
        registration,
        setStoreDown: (value: boolean) => {
            isStoreDown = value;
        },
        /** Lets time pass in steps of half a minute. `onStep` is called with the time at each of them. */
        pass: async (durationMs: number, onStep: (now: number) => void = () => undefined) => {
            for (const end = nowMs + durationMs; nowMs < end;) {
                nowMs += 30_000;
                onStep(nowMs);
                timers.tick(30_000);
                for (let count = 0; count < 20; count++) await Promise.resolve();
            }
        },
    };
}

const HOUR_MS = 60 * 60_000;
const rowOf = (ip: string, renewedAt?: number) => JSON.stringify({ ip, failureDomain: "a", renewedAt });

// Guards against rows and shares of limits that stay for ever for entries which were removed for good, and against
// forgetting an entry that still runs, or one of an earlier version, which doesn't renew its row.
test("only an entry that shows no sign of life for long is forgotten", async context => {
    const rows = new Map([
        ["removed", { revision: 1, value: rowOf("127.0.0.2", 0) }],
        ["heard", { revision: 2, value: rowOf("127.0.0.3", 0) }],
        ["renewing", { revision: 3, value: rowOf("127.0.0.4", 0) }],
        ["earlier version", { revision: 4, value: rowOf("127.0.0.5") }],
    ]);
    const { peers, pass } = startWithTimers(context.mock.timers, rows);
    const heard = { name: "heard", ip: "127.0.0.3", failureDomain: "a" };
    await pass(25 * 60_000, now => peers.recordHeartbeat(heard, now));
    assert.equal(rows.has("removed"), true);
    await pass(HOUR_MS, now => {
        peers.recordHeartbeat(heard, now);
        rows.set("renewing", { revision: 1000 + now, value: rowOf("127.0.0.4", now) });
    });
    assert.deepEqual([...rows.keys()].sort(), ["e", "earlier version", "heard", "renewing"]);
    assert.deepEqual(peers.known().map(({ name }) => name), ["e", "earlier version", "heard", "renewing"]);
});

// Guards against an entry that uses its shares of limits although others may have forgotten it and divided them anew.
test("an entry that couldn't renew its row for long counts as new", async context => {
    const { registration, pass, setStoreDown } = startWithTimers(context.mock.timers, new Map());
    await pass(60_000);
    assert.equal(registration.isKnownToOthers(), true);
    await pass(HOUR_MS);
    assert.equal(registration.isKnownToOthers(), true);
    setStoreDown(true);
    await pass(LEASE_RENEWAL_INTERVAL_MS);
    assert.equal(registration.isKnownToOthers(), true);
    await pass(LEASE_VALID_MS);
    assert.equal(registration.isKnownToOthers(), false);
    setStoreDown(false);
    await pass(30_000);
    assert.equal(registration.isKnownToOthers(), false);
    await pass(30_000);
    assert.equal(registration.isKnownToOthers(), true);
});

// Guards against the same after a start: the row of the earlier one may be removed at any moment.
test("the old row of an earlier start doesn't make an entry known", async context => {
    const isKnownWith = async (renewedAt: number) => {
        const rows = new Map([["e", { revision: 1, value: rowOf("127.0.0.1", renewedAt) }]]);
        const { registration, pass } = startWithTimers(context.mock.timers, rows);
        for (let count = 0; count < 20; count++) await Promise.resolve();
        context.mock.timers.tick(0);
        for (let count = 0; count < 20; count++) await Promise.resolve();
        const isKnown = registration.isKnownToOthers();
        await pass(30_000);
        registration.stop();
        context.mock.timers.reset();
        return isKnown;
    };
    assert.equal(await isKnownWith(-1000), true);
    assert.equal(await isKnownWith(-LEASE_VALID_MS), false);
});
