import assert from "node:assert/strict";
import { test } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
    createPeerEntries,
    ENTRY_HEARTBEAT_TIMEOUT_MS,
    type EntryIdentity,
    type PeerEntries,
} from "../../../lib/core/serving/index.js";

// Guards against sharing retry budgets and connections with entries that have stopped.
test("an entry without recent heartbeats isn't live and still gets heartbeats now and then", () => {
    const peers = createPeerEntries({ name: "a", ip: "1", failureDomain: "d" });
    const peer = { name: "b", ip: "2", failureDomain: "d" };
    peers.addUnconfirmed(peer);
    assert.deepEqual(peers.live(0), []);
    peers.recordHeartbeat(peer, 0);
    assert.deepEqual(peers.live(100), [peer]);
    assert.deepEqual(peers.heartbeatTargets(1, 100), [peer]);
    // A process that doesn't call for so long would be taken for paused.
    for (let now = 100; now < ENTRY_HEARTBEAT_TIMEOUT_MS; now += 100) assert.deepEqual(peers.live(now), [peer]);
    assert.deepEqual(peers.live(ENTRY_HEARTBEAT_TIMEOUT_MS), []);
    assert.deepEqual(peers.heartbeatTargets(10, ENTRY_HEARTBEAT_TIMEOUT_MS), [peer]);
    assert.deepEqual(peers.heartbeatTargets(1, ENTRY_HEARTBEAT_TIMEOUT_MS), []);
});

// Guards against a process that was paused, counts nobody else when it wakes, and takes the shares of all others of the
// retry budget and of the servers' connections.
test("heartbeats that were missed while this process was paused don't make the others silent", () => {
    const peers = createPeerEntries({ name: "a", ip: "1", failureDomain: "d" });
    const peer = { name: "b", ip: "2", failureDomain: "d" };
    peers.recordHeartbeat(peer, 0);
    assert.deepEqual(peers.live(100), [peer]);
    assert.deepEqual(peers.live(8000), [peer]);
    // After the pause, a peer that is really gone is noticed as late as without it.
    for (let now = 8100; now < 9300; now += 100) peers.live(now);
    assert.deepEqual(peers.live(9600), []);
});

const TICK_MS = 100;
const MESSAGE_DELAY_MS = 10;

/** Entries in failure domains that exchange heartbeats and digests with a loss of `lossRate`. */
function simulateEntries(entryCount: number, domainCount: number, lossRate: number) {
    const generator = xoroshiro128plus(5);
    const identities = Array.from({ length: entryCount }, (_, index): EntryIdentity => ({
        name: `entry-${index}`,
        ip: `ip-${index}`,
        failureDomain: `domain-${index % domainCount}`,
    }));
    const views = new Map<string, PeerEntries>();
    let messageCount = 0;
    let tick = 0;

    function start(identity: EntryIdentity): void {
        const view = createPeerEntries(identity);
        for (const each of identities) view.addUnconfirmed(each);
        views.set(identity.ip, view);
    }

    function step(): void {
        const sentAt = tick++ * TICK_MS;
        const deliveries: (() => void)[] = [];
        for (const sender of identities) {
            const view = views.get(sender.ip);
            if (view === undefined) continue;
            const deliver = (recipients: readonly EntryIdentity[], receive: (recipient: PeerEntries) => void) => {
                for (const { ip } of recipients) {
                    messageCount++;
                    if (uniformFloat64(generator) < lossRate) continue;
                    deliveries.push(() => {
                        const recipient = views.get(ip);
                        if (recipient !== undefined) receive(recipient);
                    });
                }
            };
            const receivedAt = sentAt + MESSAGE_DELAY_MS;
            deliver(view.heartbeatTargets(tick, sentAt), recipient => recipient.recordHeartbeat(sender, receivedAt));
            const ages = view.domainAges(sentAt);
            deliver(view.digestTargets(tick, sentAt), recipient => recipient.recordAges(ages, receivedAt));
        }
        for (const deliver of deliveries) deliver();
    }

    return {
        identities,
        start,
        stop: (identity: EntryIdentity) => void views.delete(identity.ip),
        run: (durationMs: number) => {
            for (let elapsed = 0; elapsed < durationMs; elapsed += TICK_MS) step();
        },
        /** Returns the numbers of entries that the running ones count, including themselves. */
        counts: () => [...new Set([...views.values()].map(view => view.live(tick * TICK_MS).length + 1))],
        takeMessageCount: () => {
            const count = messageCount;
            messageCount = 0;
            return count;
        },
    };
}

// Guards against shares of budgets, slots and connections that are too large because entries count only some of the
// others, and against messages that grow with the square of the number of entries. With all heartbeats sent directly,
// to at most 16 remote entries, 40 entries counted between 24 and 40.
for (const [entryCount, domainCount] of [[40, 5], [300, 9]] as const) {
    test(`an entry that is lost or added is counted right by all of ${entryCount} within 2 s`, () => {
        const simulation = simulateEntries(entryCount, domainCount, 0.05);
        const [added, lost] = simulation.identities;
        assert.ok(added !== undefined && lost !== undefined);
        for (const identity of simulation.identities) if (identity !== added) simulation.start(identity);
        simulation.run(4000);
        assert.deepEqual(simulation.counts(), [entryCount - 1]);
        simulation.start(added);
        simulation.run(2000);
        assert.deepEqual(simulation.counts(), [entryCount]);
        simulation.stop(lost);
        simulation.run(2000);
        assert.deepEqual(simulation.counts(), [entryCount - 1]);
        simulation.takeMessageCount();
        simulation.run(3000);
        const messagesPerSecond = simulation.takeMessageCount() / 3 / entryCount;
        const allToAll = (entryCount - 1) * 10;
        assert.ok(messagesPerSecond < 0.3 * allToAll, `${messagesPerSecond} messages per second and entry`);
    });
}
