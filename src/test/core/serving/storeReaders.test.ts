import assert from "node:assert/strict";
import { test } from "node:test";
import {
    createPeerCatchUp,
    feedWaitMs,
    findStoreReaders,
    isStoreReader,
    type LocalProgress,
    type PeerProgress,
    recheckAgeMs,
    STORE_READER_COUNT,
} from "../../../lib/core/serving/index.js";

const NAMES = Array.from({ length: 9 }, (_, index) => `entry-${index}`);

const readersOf = (live: readonly string[]) => {
    return live.filter(self => isStoreReader(self, live.filter(name => name !== self), 3));
};

// Guards against a region whose entries all read each configuration from the store, and against one in which none does
// after entries have failed.
test("a fixed number of a region's live entries read from the store", () => {
    for (let failedCount = 0; failedCount < NAMES.length; failedCount++) {
        const live = NAMES.slice(failedCount);
        assert.equal(readersOf(live).length, Math.min(STORE_READER_COUNT, live.length));
    }
    const readers = readersOf(NAMES);
    const survivors = NAMES.filter(name => name !== readers[0]);
    assert.ok(readersOf(survivors).includes(readers[1] ?? ""));
});

// Guards against calls to the store that grow with the number of regions, and against a region without a reader.
test("one entry of a region reads from the store if there are many regions", () => {
    for (let failedCount = 0; failedCount < NAMES.length; failedCount++) {
        const live = NAMES.slice(failedCount);
        const readers = live.filter(self => isStoreReader(self, live.filter(name => name !== self), 5));
        assert.equal(readers.length, 1);
    }
});

const at = (revision: number) => ({ epoch: 0, revision });

const OTHER_REGION: PeerProgress = { table: "t", position: at(8), isSameRegion: false };
const SAME_REGION: PeerProgress = { ...OTHER_REGION, isSameRegion: true };
const READER: LocalProgress = { position: at(5), hasSnapshot: true, readsFromStore: true };
const NON_READER: LocalProgress = { ...READER, readsFromStore: false };

// Guards against a region whose entries are all behind and keep each other from reading from the only peer ahead.
test("heartbeats of peers that are behind too don't delay reading from one that is ahead", () => {
    const catchUp = createPeerCatchUp();
    let readBeganAt: number | undefined;
    for (let now = 0; readBeganAt === undefined && now < 3000; now += 100) {
        assert.equal(catchUp.tryBegin({ ...SAME_REGION, position: at(5) }, READER, now), false);
        if (now % 300 === 0 && catchUp.tryBegin(OTHER_REGION, READER, now)) readBeganAt = now;
    }
    assert.ok(readBeganAt !== undefined && readBeganAt <= 700, `read began at ${readBeganAt} ms`);
});

// Guards against reading the same change from the store, from the local region and from another one at the same time.
test("non-readers read from a peer of their region at once; store readers and reads from other regions wait", () => {
    assert.equal(createPeerCatchUp().tryBegin(SAME_REGION, NON_READER, 0), true);
    for (const [peer, local] of [[OTHER_REGION, NON_READER], [SAME_REGION, READER], [OTHER_REGION, READER]] as const) {
        const catchUp = createPeerCatchUp();
        assert.equal(catchUp.tryBegin(peer, local, 0), false);
        assert.equal(catchUp.tryBegin(peer, local, 1000), true);
        assert.equal(catchUp.tryBegin(peer, local, 1100), false, "a read is in progress");
        catchUp.finish("t", false);
        assert.equal(catchUp.tryBegin(peer, local, 1200), false, "the next read waits again");
        assert.equal(catchUp.tryBegin(peer, local, 2200), true);
    }
});

// Guards against a delay that expires although changes keep arriving in time.
test("a process that keeps up with a stream of changes doesn't read from peers", () => {
    const catchUp = createPeerCatchUp();
    for (let revision = 0; revision < 100; revision++) {
        const now = revision * 100;
        const peer = { ...SAME_REGION, position: at(revision + 3) };
        assert.equal(catchUp.tryBegin(peer, { ...READER, position: at(revision) }, now), false);
    }
});

// Guards against an entry that has just started and waits although it has no data yet.
test("a process without a snapshot reads from the first peer at once", () => {
    assert.equal(
        createPeerCatchUp().tryBegin(OTHER_REGION, { ...READER, position: at(0), hasSnapshot: false }, 0),
        true,
    );
});

// Guards against readers whose calls begin and end at the same moment, so that one silence makes all of them blind, and
// against replicas that are in doubt although the store responds.
test("after a change that all readers see, their feed calls end at evenly spaced times", () => {
    for (const count of [1, 2, 4, 6, 12]) {
        const ageMs = recheckAgeMs(2000);
        const readers = NAMES.concat(NAMES.map(name => `${name}b`)).slice(0, count);
        const responseTimes = readers.flatMap(self => {
            let at = feedWaitMs({ recheckAgeMs: ageMs, self, readers, followsChanges: true });
            const times = [at];
            while (at < 60_000) {
                at += feedWaitMs({ recheckAgeMs: ageMs, self, readers, followsChanges: false });
                times.push(at);
            }
            return times;
        }).toSorted((a, b) => a - b).filter(at => at < 60_000);
        let previous = 0;
        for (const at of responseTimes) {
            assert.ok(at - previous < 0.7 * ageMs, `${count} readers: nothing from ${previous} to ${at} ms`);
            previous = at;
        }
        const callsPerSecond = responseTimes.length / 60;
        assert.ok(callsPerSecond <= 1000 / (0.6 * ageMs) + 0.5, `${count} readers: ${callsPerSecond} calls/s`);
    }
});

// Guards against entries that disagree about who reads, and thus about the times at which calls end.
test("the readers of all regions are those that each entry finds for itself", () => {
    const candidates = NAMES.map((name, index) => ({ name, region: `region-${index % 3}` }));
    const expected = [0, 1, 2].flatMap(region => readersOf(NAMES.filter((_name, index) => index % 3 === region)));
    assert.deepEqual(findStoreReaders(candidates, 3).toSorted(), expected.toSorted());
});

// Guards against a change that each failed read from a peer delays by the whole time for which an own response is
// awaited.
test("after a failed read from a peer, another one is tried without a new delay", () => {
    const catchUp = createPeerCatchUp();
    let now = 0;
    while (!catchUp.tryBegin(OTHER_REGION, NON_READER, now)) now += 100;
    catchUp.finish(OTHER_REGION.table, true);
    assert.equal(catchUp.tryBegin(OTHER_REGION, NON_READER, now + 300), true);
    catchUp.finish(OTHER_REGION.table, false);
    assert.equal(catchUp.tryBegin(OTHER_REGION, NON_READER, now + 600), false);
});
