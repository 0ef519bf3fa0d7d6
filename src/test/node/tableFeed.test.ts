import assert from "node:assert/strict";
import { test } from "node:test";
import { createRowReplica, createTableFreshness, type Row } from "../../lib/core/serving/index.js";
import type { FeedResult, MetadataStore } from "../../lib/node/metadataStore.js";
import { startTableFeed } from "../../lib/node/tableFeed.js";
import { createEventLog, createServingMetrics } from "../../lib/observability/index.js";
import { createPlatformStore } from "../../lib/platform/index.js";
import { startFakeStore } from "../platform/fakeStore.js";
import { startFaultProxy } from "../soak/faultProxy.js";

const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms));

/** Creates an in-memory store whose feed responds as soon as there is a change. */
function createMemoryStore() {
    const rows: Row[] = [];
    let calls = 0;
    let isDown = false;
    const delivered: number[] = [];
    const store: MetadataStore = {
        readTable: () => Promise.resolve({ rows, position: { epoch: 0, revision: rows.length } }),
        readFeed: async (_table, after, waitMs): Promise<FeedResult> => {
            calls++;
            if (isDown) throw new Error("down");
            const end = Date.now() + waitMs;
            while (rows.length <= after && Date.now() < end) await sleep(2);
            delivered.push(...rows.slice(after).map(({ revision }) => revision));
            return { kind: "changes", rows: rows.slice(after), position: { epoch: 0, revision: rows.length } };
        },
        putRow: () => Promise.resolve(),
        removeRow: () => Promise.reject(new Error("not used")),
        close: () => undefined,
    };
    const change = (key: string) => void rows.push({ key, epoch: 0, revision: rows.length + 1, value: "x" });
    const setDown = (value: boolean) => {
        isDown = value;
    };
    return { store, rows, change, delivered, setDown, calls: () => calls };
}

function startFeed(store: MetadataStore, changes: Partial<Parameters<typeof startTableFeed>[0]> = {}) {
    return startTableFeed({
        store,
        table: "servers",
        replica: createRowReplica(),
        freshness: createTableFreshness(),
        recheckAgeMs: () => 1200,
        waitMs: () => 300,
        rateLimit: { intervalMs: 250, burst: 4 },
        onChange: () => undefined,
        log: createEventLog({ process: "p", role: "entry", now: () => 0, write: () => undefined }),
        metrics: createServingMetrics(),
        now: () => performance.now(),
        random: Math.random,
        ...changes,
    });
}

// Guards against one store call for each change of each server, which during a rollout grows with the product of
// entries and servers, and against a single change that is detected late.
test("changes in quick succession are fetched in batches, a single one at once", async () => {
    const { store, change, calls } = createMemoryStore();
    const seen: string[] = [];
    let firstAt = 0;
    const feed = startFeed(store, {
        onChange: rows => {
            firstAt ||= rows.length === 0 ? 0 : Date.now();
            seen.push(...rows.map(({ key }) => key));
        },
    });
    await sleep(50);
    const startedAt = Date.now();
    for (let index = 0; index < 50; index++) {
        change(`i-${index}`);
        await sleep(10);
    }
    assert.ok(firstAt - startedAt < 100, `the first change was detected after ${firstAt - startedAt} ms`);
    await sleep(400);
    feed.stop();
    assert.equal(seen.length, 50);
    assert.ok(calls() <= 10, `${calls()} calls`);
});

// Guards against a process that reads changes that peers have already supplied, and against one that keeps reading
// although other processes read for it.
test("a process that isn't a reader stops reading, and later reads only what peers didn't supply", async () => {
    const { store, rows, change, delivered, calls } = createMemoryStore();
    const replica = createRowReplica();
    let isReader = true;
    const feed = startFeed(store, { replica, waitMs: () => 50, isReader: () => isReader });
    change("first");
    await sleep(100);
    isReader = false;
    await sleep(200);
    const callsBefore = calls();
    change("second");
    await sleep(300);
    assert.equal(calls(), callsBefore);
    replica.apply(rows);
    change("third");
    isReader = true;
    await sleep(300);
    feed.stop();
    assert.ok(calls() > callsBefore);
    assert.equal(delivered.filter(revision => revision === 2).length, 0, "the peer's change was read again");
    assert.equal(replica.newestPosition().revision, 3);
});

// Guards against a recovery that is detected only after the full wait of a feed call without changes.
test("the recovery of the store is detected although nothing changes", async () => {
    const { store, setDown } = createMemoryStore();
    const feed = startFeed(store, { waitMs: () => 5000, random: () => 0 });
    setDown(true);
    await sleep(300);
    assert.equal(feed.isConnected(), false);
    setDown(false);
    await sleep(400);
    assert.equal(feed.isConnected(), true);
    feed.stop();
});

// Guards against a process that isn't a reader and reports the store as reachable without having called it.
test("a process that has lost the store keeps calling it until it has recovered", async () => {
    const { store, change, setDown } = createMemoryStore();
    let isReader = true;
    const feed = startFeed(store, { waitMs: () => 20, random: () => 0, isReader: () => isReader });
    change("first");
    await sleep(100);
    setDown(true);
    await sleep(100);
    isReader = false;
    await sleep(400);
    assert.equal(feed.isConnected(), false);
    setDown(false);
    await sleep(400);
    assert.equal(feed.isConnected(), true);
    feed.stop();
});

// Guards against a process that waits for changes in another history, because the store was restored while others read
// for it.
test("a process that becomes a reader after a restoration reads the table at once", async () => {
    const fakeStore = await startFakeStore();
    const store = createPlatformStore(fakeStore.address);
    const replica = createRowReplica();
    const copy = fakeStore.copy();
    let isReader = true;
    fakeStore.put("servers", "lost", "1");
    const feed = startFeed(store, { replica, waitMs: () => 5000, isReader: () => isReader });
    await sleep(200);
    isReader = false;
    // Ends the call in progress.
    fakeStore.put("servers", "lost", "2");
    await sleep(200);
    fakeStore.restore(copy);
    fakeStore.put("servers", "late", "1");
    for (let index = 0; index < 5; index++) fakeStore.put("op", "config", String(index));
    isReader = true;
    await sleep(1000);
    feed.stop();
    store.close();
    fakeStore.close();
    const { rows } = replica.changesSince({ epoch: 0, revision: 0 });
    assert.deepEqual(rows.filter(({ value }) => value !== undefined).map(({ key }) => key), ["late"]);
});

// Guards against servers that are dropped at once because their rows lapse just after a restoration that no failed call
// announced.
test("a restoration counts as an outage of the store", async () => {
    const fakeStore = await startFakeStore();
    const store = createPlatformStore(fakeStore.address);
    const copy = fakeStore.copy();
    let isReader = true;
    fakeStore.put("servers", "i-1", "1");
    const feed = startFeed(store, { waitMs: () => 50, isReader: () => isReader });
    await sleep(200);
    isReader = false;
    await sleep(200);
    fakeStore.restore(copy);
    isReader = true;
    await sleep(500);
    feed.stop();
    store.close();
    fakeStore.close();
    const outageAt = feed.lastOutageAt();
    assert.ok(outageAt !== undefined && performance.now() - outageAt < 1000, `outage at ${outageAt}`);
});

/** Starts a feed whose connections to the store go through a link, and calls `checkSilence` as an entry does. */
async function startFeedOnLink(changes: Partial<Parameters<typeof startTableFeed>[0]>) {
    const fakeStore = await startFakeStore();
    const link = await startFaultProxy(() => fakeStore.address);
    const store = createPlatformStore(link.address);
    const replica = createRowReplica();
    const freshness = createTableFreshness();
    const feed = startFeed(store, { replica, freshness, waitMs: () => 5000, ...changes });
    const timer = setInterval(feed.checkSilence, 50);
    const close = () => {
        clearInterval(timer);
        feed.stop();
        store.close();
        link.close();
        fakeStore.close();
    };
    await sleep(300);
    return { fakeStore, link, replica, freshness, feed, close };
}

// Guards against a change that waits until a feed call on a silent connection times out.
test("a feed whose connection is silent asks again once the replica is too old", async () => {
    const { fakeStore, link, replica, feed, close } = await startFeedOnLink({ recheckAgeMs: () => 800 });
    link.setFault("silence open", performance.now());
    fakeStore.put("servers", "i-1", "1");
    await sleep(1200);
    const { revision } = replica.newestPosition();
    const isConnected = feed.isConnected();
    close();
    assert.equal(revision, 1);
    assert.equal(isConnected, true, "a call that was given up counts as a failure of the store");
});

// Guards against a feed that stays silent while peers confirm the replica, so that each change has to come from them.
test("a feed asks again when a peer knows a change that it hasn't returned", async () => {
    const { fakeStore, link, replica, freshness, close } = await startFeedOnLink({ recheckAgeMs: () => 60_000 });
    link.setFault("silence open", performance.now());
    fakeStore.put("servers", "i-1", "1");
    replica.apply([{ key: "i-1", epoch: 0, revision: 1, value: "1" }]);
    await sleep(700);
    fakeStore.put("servers", "i-2", "1");
    await sleep(200);
    const { revision } = replica.newestPosition();
    const ageMs = freshness.ageMs(performance.now());
    close();
    assert.equal(revision, 2);
    assert.ok(ageMs < 1000, `${ageMs} ms old`);
});

// Guards against an entry that waits for readers which don't know yet that they have lost the store.
test("a process that isn't a reader asks the store itself when nothing confirms its replica", async () => {
    let isReader = true;
    const { fakeStore, replica, close } = await startFeedOnLink({
        recheckAgeMs: () => 300,
        waitMs: () => 50,
        isReader: () => isReader,
    });
    isReader = false;
    await sleep(100);
    fakeStore.put("servers", "i-1", "1");
    const callsBefore = fakeStore.calls.get("/-/rows-feed servers") ?? 0;
    await sleep(900);
    const calls = (fakeStore.calls.get("/-/rows-feed servers") ?? 0) - callsBefore;
    const { revision } = replica.newestPosition();
    close();
    assert.equal(revision, 1);
    assert.ok(calls <= 3, `${calls} calls`);
});

// Guards against servers that are dropped at once because their rows lapsed while the store was away, which no failed call
// announced.
test("a call that was given up because nothing confirmed the replica counts as an outage of the store", async () => {
    const { link, feed, close } = await startFeedOnLink({ recheckAgeMs: () => 500 });
    const before = feed.lastOutageAt();
    link.setFault("silence open", performance.now());
    await sleep(900);
    const after = feed.lastOutageAt();
    close();
    assert.equal(before, undefined);
    assert.ok(after !== undefined && performance.now() - after < 800, `outage at ${after}`);
});
