import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { isStoreReader } from "../../lib/core/serving/index.js";
import { completeResponse, configurationRow, serverRow, startFakeRunner } from "../platform/fakeRunner.js";
import { type FakeStore, startFakeStore } from "../platform/fakeStore.js";
import { type LinkedEntry, startLinkedEntry } from "./linkedEntry.js";
import { findFreePortRange, sendCall } from "./routerHarness.js";

/** Time after the end of a disturbance from which on changes must be applied in time (`stability-window-ms`). */
const STABILITY_WINDOW_MS = 3000;

/** Time within which an entry applies a change (`config-apply-ms`). */
const APPLY_MS = 2000;

/** Time for a request to reach the entry. */
const REQUEST_MS = 100;

const IPS = ["127.0.0.1", "127.0.0.2", "127.0.0.3"];

const REVOKED_KEY = "key-b";

const REGION_COUNT = 1;

/** Name of the entry in its settings. */
const nameOf = (ip: string) => `vm-${ip}`;

const cleanups: (() => void | Promise<void>)[] = [];
let store: FakeStore;
let peerPort: number;
let version = 0;

beforeEach(async () => {
    store = await startFakeStore();
    const runner = await startFakeRunner(request => void request.socket.write(completeResponse(request, "ok")));
    cleanups.push(store.close, runner.close);
    store.put("servers", "i-1", serverRow(runner.address));
    configure("key-a", REVOKED_KEY);
    peerPort = await findFreePortRange(...IPS);
});

afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, Math.max(0, ms)));

function configure(...keys: readonly string[]): void {
    version++;
    store.put("op", "config", configurationRow(version, { tenants: [{ name: "tenant-a", "api-keys": keys }] }));
}

function startEntry(ip: string): Promise<LinkedEntry> {
    return startLinkedEntry({ ip, storeAddress: store.address, peerPort, ips: IPS, cleanups });
}

async function acceptsRevokedKey({ ip, router }: LinkedEntry): Promise<boolean> {
    const { status } = await sendCall(router.callerPort, { ip, path: "/read/", headers: { key: REVOKED_KEY } });
    assert.ok(status === 200 || status === 401, `status ${status}`);
    return status === 200;
}

/** Revokes a key and asserts that no entry accepts it once the change must be in force. */
async function assertRevokedInTime(entries: readonly LinkedEntry[], lastSilenceAt: number): Promise<void> {
    const revokedAt = performance.now();
    configure("key-a");
    const dueAt = Math.max(lastSilenceAt + STABILITY_WINDOW_MS, revokedAt + APPLY_MS) + REQUEST_MS;
    await sleep(dueAt - performance.now());
    const accepted = await Promise.all(entries.map(acceptsRevokedKey));
    assert.deepEqual(entries.filter((_entry, index) => accepted[index]).map(({ ip }) => ip), []);
}

function silenceOpenConnections(entries: readonly LinkedEntry[]): number {
    const silencedAt = performance.now();
    for (const { link } of entries) link.setFault("silence open", silencedAt);
    return silencedAt;
}

// Guards against a revoked key that runs until feed calls on silent connections time out. The change before wakes all
// feeds at the same moment, so that no entry has an answer due earlier than the others.
test("a change is applied in time after all open connections to the store have fallen silent", async () => {
    const entries = await Promise.all(IPS.map(ip => startEntry(ip)));
    await sleep(STABILITY_WINDOW_MS);
    configure("key-a", REVOKED_KEY);
    await sleep(300);
    const silencedAt = silenceOpenConnections(entries);
    await sleep(200);
    await assertRevokedInTime(entries, silencedAt);
});

// Guards against recovery from one silence that the next one holds up, and against idle connections that are tried one
// after another.
test("a change is applied in time after two silences in short succession", async () => {
    const entries = await Promise.all(IPS.map(ip => startEntry(ip)));
    await sleep(STABILITY_WINDOW_MS);
    configure("key-a", REVOKED_KEY);
    await sleep(300);
    silenceOpenConnections(entries);
    await sleep(900);
    configure("key-a", REVOKED_KEY);
    await sleep(300);
    const silencedAt = silenceOpenConnections(entries);
    await sleep(200);
    await assertRevokedInTime(entries, silencedAt);
});

// Guards against an entry that believes readers which have lost the store and don't know it yet.
test("a change is applied in time by an entry whose region's readers have silently lost the store", async () => {
    const entries = await Promise.all(IPS.map(ip => startEntry(ip)));
    await sleep(STABILITY_WINDOW_MS);
    configure("key-a", REVOKED_KEY);
    await sleep(300);
    const names = IPS.map(nameOf);
    const isReader = ({ ip }: LinkedEntry) =>
        isStoreReader(nameOf(ip), names.filter(name => name !== nameOf(ip)), REGION_COUNT);
    const cutAt = performance.now();
    for (const { link } of entries.filter(isReader)) link.setFault("silent", cutAt);
    await sleep(200);
    // The stability window applies only to the entries that are cut off.
    await assertRevokedInTime(entries.filter(entry => !isReader(entry)), Number.NEGATIVE_INFINITY);
});
