import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    type BackendServer,
    type BackendService,
    type ColdLimit,
    createColdLimit,
    createColdServers,
    type EntryIdentity,
    SendPermission,
    shareOfLimit,
} from "../../../lib/core/serving/index.js";

const SERVICE = { name: "s", engine: {}, coldMs: 3000, coldRequestsPerSecond: 17 } as BackendService;
const SERVER: BackendServer = {
    id: "server",
    service: "s",
    address: "10.0.0.1:80",
    failureDomain: "a",
    slots: 12,
    isLeaving: false,
    startedAt: 1,
    remainingWarmupMs: 0,
    weights: undefined,
};
const LIMIT = 30;

function entriesOf(count: number, failureDomain: string): EntryIdentity[] {
    return Array.from({ length: count }, (_, index) => ({ name: `${failureDomain}-${index}`, ip: "", failureDomain }));
}

interface Member {
    readonly entry: EntryIdentity;
    readonly limit: ColdLimit;
    /** Entries that this one knows. */
    known: readonly EntryIdentity[];
    isKnownToOthers: boolean;
}

function createMember(entry: EntryIdentity, known: readonly EntryIdentity[]): Member {
    const limit = createColdLimit({
        self: entry,
        bounds: () => ({ overshoot: 1.5, slack: 5 }),
        knownEntries: () => member.known,
        isKnownToOthers: () => member.isKnownToOthers,
        coldServers: createColdServers(0),
        withdrawnAt: () => undefined,
    });
    const member: Member = { entry, limit, known, isKnownToOthers: true };
    return member;
}

/** Returns the largest number of times within a window of one second. */
function busiestSecond(times: readonly number[]): number {
    const sorted = times.toSorted((a, b) => a - b);
    return Math.max(0, ...sorted.map((time, index) => sorted.slice(index).filter(other => other < time + 1000).length));
}

/**
 * Floods a cold server from all entries. Each request is written after a delay of up to 500 ms; entries without a share
 * ask an owner of their own choice, because their views may differ. Returns the times of all writes.
 */
function flood(members: readonly Member[], isReachable: (from: Member, to: Member) => boolean, random: () => number) {
    const writes: number[] = [];
    const pending: { at: number; sendId: string; member: Member; }[] = [];
    const owners = members.filter(({ entry }) => entry.failureDomain === SERVER.failureDomain);
    let sendCount = 0;
    for (let now = 0; now < 2900; now += 10) {
        for (const { at, sendId, member } of pending.splice(0)) {
            if (at > now) pending.push({ at, sendId, member });
            else if (member.limit.recordWrite(sendId, now)) writes.push(now);
        }
        for (const member of members) {
            const permission = member.limit.permission(SERVICE, SERVER, now);
            if (permission === SendPermission.denied) continue;
            const sendId = String(sendCount++);
            if (permission === SendPermission.onReservation) {
                const owner = owners[Math.floor(random() * owners.length)];
                if (owner === undefined || !isReachable(member, owner)) continue;
                if (!owner.limit.grant(SERVICE, SERVER, now)) continue;
                member.limit.recordGrant(sendId, now);
            }
            member.limit.open(sendId, SERVER.id);
            pending.push({ at: now + random() * 500, sendId, member });
        }
    }
    return writes;
}

// Guards against a cold server that crashes because entries that can't see each other, or don't know each other yet, send
// it more requests together than it tolerates.
test("all entries together keep the limit of a cold server, whatever they know of each other", () => {
    const split = fc.record({
        localCount: fc.integer({ min: 1, max: 30 }),
        remoteCount: fc.integer({ min: 0, max: 30 }),
        newCount: fc.integer({ min: 0, max: 5 }),
        halves: fc.boolean(),
        seed: fc.integer({ min: 1, max: 1 << 30 }),
    });
    fc.assert(
        fc.property(split, ({ localCount, remoteCount, newCount, halves, seed }) => {
            let state = seed;
            const random = () => (state = state * 48_271 % 2_147_483_647) / 2_147_483_647;
            const settled = [...entriesOf(localCount, "a"), ...entriesOf(remoteCount, "b")];
            // New entries know all others from the table; some of the others haven't heard of them.
            const newEntries = entriesOf(newCount, "a").map(({ name }) => ({
                name: `new ${name}`,
                ip: "",
                failureDomain: "a",
            }));
            const everyone = [...settled, ...newEntries];
            const members = settled.map(entry => createMember(entry, random() < 0.5 ? settled : everyone));
            for (const entry of newEntries) {
                const member = createMember(entry, everyone);
                member.isKnownToOthers = false;
                members.push(member);
            }
            const half = new Map(members.map(member => [member, random() < 0.5]));
            const writes = flood(members, (from, to) => !halves || half.get(from) === half.get(to), random);
            assert.ok(busiestSecond(writes) <= LIMIT, `${busiestSecond(writes)} requests`);
            // The limit is used: entries with shares need no one else.
            assert.ok(busiestSecond(writes) >= Math.min(LIMIT, localCount) / 2);
        }),
        { seed: 5, numRuns: 60 },
    );
});

// Guards against entries that lost power together and each take the whole limit, because they know no other entry yet.
test("entries that haven't read the list of entries send nothing to cold servers", () => {
    const members = entriesOf(13, "a").map(entry => {
        const member = createMember(entry, [entry]);
        member.isKnownToOthers = false;
        return member;
    });
    assert.deepEqual(flood(members, () => true, () => 0.5), []);
});

// Guards against shares that add up to more than the limit or leave a part of it unused, and against a further entry that
// raises the share of another one, which would break the limit while only some have heard of it.
test("shares sum up to the limit, and a further entry raises none", () => {
    for (let count = 1; count <= 60; count++) {
        const names = entriesOf(count, "a").map(({ name }) => name);
        const shares = names.map(name => shareOfLimit(LIMIT, "s", name, names));
        assert.equal(shares.reduce((sum, share) => sum + share, 0), LIMIT);
        const further = names.map(name => shareOfLimit(LIMIT, "s", name, [...names, "further"]));
        assert.ok(further.every((share, index) => share <= (shares[index] ?? 0)));
    }
});

// Guards against a paused entry that uses a grant after the owner has given the place to another request.
test("a request isn't written after its grant has lapsed", () => {
    const { limit } = createMember({ name: "b-0", ip: "", failureDomain: "b" }, []);
    limit.open("1", SERVER.id);
    limit.recordGrant("1", 0);
    assert.equal(limit.recordWrite("1", 5000), false);
    limit.open("2", SERVER.id);
    limit.recordGrant("2", 0);
    assert.equal(limit.recordWrite("2", 100), true);
});

// Guards against a limit that holds requests back where the operator configured none.
test("without a rate for cold servers nothing is limited", () => {
    const { limit } = createMember({ name: "b-0", ip: "", failureDomain: "b" }, []);
    const unlimited = { ...SERVICE, coldRequestsPerSecond: 0 };
    assert.equal(limit.isLimited(unlimited), false);
    assert.equal(limit.permission(unlimited, SERVER, 0), SendPermission.granted);
});
