import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import {
    completeResponse,
    configurationRow,
    type FakeRunner,
    type ReceivedRequest,
    serverRow,
    startFakeRunner,
} from "../platform/fakeRunner.js";
import { type FakeStore, startFakeStore, type StoreCopy } from "../platform/fakeStore.js";
import { type LinkedEntry, startLinkedEntry } from "./linkedEntry.js";
import { findFreePortRange, sendCall, waitUntil } from "./routerHarness.js";

const ENTRIES_TABLE = "endivewell-entries";

/** Time within which an entry applies a change (`config-apply-ms`). */
const APPLY_MS = 2000;

/** A restoration may reach an entry as late as its next heartbeats. */
const PROPAGATION_MS = 1000;

const IPS = ["127.0.0.1", "127.0.0.2", "127.0.0.3"];

const cleanups: (() => void | Promise<void>)[] = [];
let store: FakeStore;
let runner: FakeRunner;
let peerPort: number;
let respond: (request: ReceivedRequest) => void;

beforeEach(async () => {
    store = await startFakeStore();
    respond = request => void request.socket.write(completeResponse(request, "ok"));
    runner = await startFakeRunner(request => respond(request));
    peerPort = await findFreePortRange();
    store.put("op", "config", configurationRow(1));
    store.put("servers", "i-1", serverRow(runner.address));
    cleanups.push(store.close, runner.close);
});

afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms));

function startEntry(ip: string): Promise<LinkedEntry> {
    return startLinkedEntry({ ip, storeAddress: store.address, peerPort, ips: IPS, cleanups });
}

/** Starts all entries and lets them exchange heartbeats, so that some of them leave the reads to others. */
async function startEntries(): Promise<LinkedEntry[]> {
    const entries = await Promise.all(IPS.map(startEntry));
    await sleep(PROPAGATION_MS);
    return entries;
}

async function statusOf({ ip, router }: LinkedEntry, key = "key-a", path = "/read/"): Promise<number> {
    return (await sendCall(router.callerPort, { ip, path, headers: { key } })).status;
}

function putConfiguration(version: number, key: string): void {
    store.put("op", "config", configurationRow(version, { tenants: [{ name: "tenant-a", "api-keys": [key] }] }));
}

/** Writes the configuration several times, so that the store's revision after a restoration is far behind. */
function writeMuch(lastVersion: number, key: string): void {
    for (let version = lastVersion - 10; version <= lastVersion; version++) putConfiguration(version, key);
}

async function assertAppliedInTime(entries: readonly LinkedEntry[], key: string): Promise<void> {
    const startedAt = Date.now();
    for (const entry of entries) await waitUntil(async () => await statusOf(entry, key) === 200);
    const elapsedMs = Date.now() - startedAt;
    assert.ok(elapsedMs < APPLY_MS, `applied after ${elapsedMs} ms`);
}

// Guards against changes that never come into force after the store was restored from a copy, because their revisions
// are lower than those before.
test("a late change after a restoration is applied in time by every entry", async () => {
    const entries = await startEntries();
    const copy = store.copy();
    writeMuch(12, "key-a");
    await sleep(PROPAGATION_MS);
    store.restore(copy);
    putConfiguration(12, "key-a");
    await sleep(PROPAGATION_MS);
    putConfiguration(15, "key-b");
    await assertAppliedInTime(entries, "key-b");
    for (const entry of entries) assert.equal(await statusOf(entry, "key-a"), 401);
});

// Guards against a feed that continues at a revision which the restored store has given to another write.
test("a change is applied whose revision another change had before the restoration", async () => {
    const entries = await startEntries();
    const copy = store.copy();
    putConfiguration(2, "key-b");
    await assertAppliedInTime(entries, "key-b");
    store.restore(copy);
    putConfiguration(3, "key-c");
    await assertAppliedInTime(entries, "key-c");
});

// Guards against a change that is lost in the restoration and written again only much later, or never.
test("entries keep the newest configuration until the operator writes it again, and give it to one that starts", async () => {
    const copy = store.copy();
    const entries = [await startEntry("127.0.0.1"), await startEntry("127.0.0.2")];
    putConfiguration(9, "key-b");
    await assertAppliedInTime(entries, "key-b");
    store.restore(copy);
    await sleep(PROPAGATION_MS);
    for (const entry of entries) assert.equal(await statusOf(entry, "key-a"), 401);
    const late = await startEntry("127.0.0.3");
    await assertAppliedInTime([late], "key-b");
    assert.equal(await statusOf(late, "key-a"), 401);
});

// Guards against an invalid configuration from the restored store in place of a valid one.
test("an invalid configuration in the restored store replaces nothing", async () => {
    store.put("op", "config", { version: 1 });
    const copy = store.copy();
    putConfiguration(9, "key-b");
    const entries = await startEntries();
    store.restore(copy);
    await sleep(PROPAGATION_MS);
    for (const entry of entries) assert.equal(await statusOf(entry, "key-b"), 200);
    putConfiguration(10, "key-c");
    await assertAppliedInTime(entries, "key-c");
});

// Guards against an entry that was cut off during the restoration: its rows have higher revisions, and its peers must
// neither wait for it nor take its rows, while it must take theirs.
test("an entry that is cut off from the restored store follows the others", async () => {
    const entries = await startEntries();
    const copy = store.copy();
    writeMuch(12, "key-a");
    await sleep(PROPAGATION_MS);
    const [isolated, ...others] = entries;
    isolated?.link.setFault("silent", 0);
    store.restore(copy);
    await sleep(PROPAGATION_MS);
    putConfiguration(15, "key-b");
    await assertAppliedInTime(others, "key-b");
    await assertAppliedInTime(entries, "key-b");
    isolated?.link.setFault("none", 0);
    putConfiguration(16, "key-c");
    await assertAppliedInTime(entries, "key-c");
});

// Guards against a second restoration that is taken for the first one.
test("changes after two restorations in succession are applied", async () => {
    const entries = await startEntries();
    const copy = store.copy();
    writeMuch(12, "key-a");
    await sleep(PROPAGATION_MS);
    store.restore(copy);
    putConfiguration(13, "key-b");
    await assertAppliedInTime(entries, "key-b");
    store.restore(copy);
    await sleep(300);
    store.restore(copy);
    putConfiguration(15, "key-c");
    await assertAppliedInTime(entries, "key-c");
});

// Guards against callers who are refused because the restored store lacks the rows of servers that serve.
test("servers whose rows the restored store lacks stay in use until they have written them again", async () => {
    store.remove("servers", "i-1");
    const copy = store.copy();
    store.put("servers", "i-1", serverRow(runner.address));
    const entries = await startEntries();
    store.restore(copy);
    const endAt = Date.now() + 1400;
    while (Date.now() < endAt) {
        for (const entry of entries) assert.equal(await statusOf(entry), 200);
        await sleep(50);
    }
    store.put("servers", "i-1", serverRow(runner.address));
    await sleep(PROPAGATION_MS);
    for (const entry of entries) assert.equal(await statusOf(entry), 200);
});

// Guards against requests to a server that had left, and whose row is in the copy.
test("a server that left before the restoration gets no requests when its row returns", async () => {
    const departed = await startFakeRunner(request => void request.socket.write(completeResponse(request, "departed")));
    cleanups.push(departed.close);
    store.put("servers", "i-2", serverRow(departed.address));
    const copy = store.copy();
    const entries = await startEntries();
    store.remove("servers", "i-2");
    await sleep(PROPAGATION_MS);
    store.restore(copy);
    const countBefore = departed.requests.length;
    const endAt = Date.now() + 2000;
    while (Date.now() < endAt) {
        for (const entry of entries) assert.equal(await statusOf(entry), 200);
    }
    assert.equal(departed.requests.length, countBefore);
});

// Guards against an entry that entries and agents which start after the restoration don't find.
test("each entry registers itself again after a restoration", async () => {
    const copy = store.copy();
    await startEntries();
    const names = () => store.keys(ENTRIES_TABLE).sort();
    assert.deepEqual(names(), IPS.map(ip => `vm-${ip}`));
    store.restore(copy);
    assert.deepEqual(names(), []);
    await waitUntil(() => names().length === IPS.length);
});

// Guards against entries that read a table again and again because the store doesn't have their revision.
test("a restored store to which nobody writes gets few calls", async () => {
    const copy = store.copy();
    await startEntries();
    writeMuch(12, "key-a");
    await sleep(PROPAGATION_MS);
    store.restore(copy);
    await sleep(PROPAGATION_MS);
    const countCalls = () => [...store.calls.values()].reduce((sum, calls) => sum + calls, 0);
    const callsBefore = countCalls();
    await sleep(2000);
    assert.ok(countCalls() - callsBefore <= 12, `${countCalls() - callsBefore} calls in 2 s`);
});

/** Restores the store from the copy while a request is in progress at the server, and returns its result. */
async function callDuringRestoration(entry: LinkedEntry, copy: StoreCopy) {
    let answer: (() => void) | undefined;
    respond = request => {
        answer = () => void request.socket.write(completeResponse(request, "ok"));
    };
    const call = sendCall(entry.router.callerPort, { ip: entry.ip, path: "/read/", headers: { key: "key-b" } });
    await waitUntil(() => answer !== undefined);
    store.restore(copy);
    await sleep(PROPAGATION_MS);
    answer?.();
    return call;
}

// Guards against an accepted request that is lost because its server, its route or its account vanishes from the table
// for a moment.
test("a request in progress ends with its answer though the restored store lacks its server and account", async () => {
    store.remove("servers", "i-1");
    const copy = store.copy();
    store.put("servers", "i-1", serverRow(runner.address));
    putConfiguration(9, "key-b");
    const entry = await startEntry("127.0.0.1");
    const { status, body } = await callDuringRestoration(entry, copy);
    assert.deepEqual([status, body], [200, "ok"]);
});
