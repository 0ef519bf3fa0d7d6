import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
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
    const store: Pick<MetadataStore, "putRow" | "readTable"> = {
        putRow: async (...row) => {
            await client.putRow(...row);
            onWritten(fakeStore);
        },
        readTable: client.readTable,
    };
    const log = createEventLog({ process: "e", role: "entry", now: () => 0, write: () => undefined });
    const registration = startRegistration(store, SELF, () => undefined, log, () => 0, () => 0, true);
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
