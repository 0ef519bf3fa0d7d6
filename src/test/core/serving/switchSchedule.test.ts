import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    createWeightsPolicy,
    drainTurnAt,
    type NamedVersion,
    planSwitch,
    type ReplicaGroup,
    TYPICAL_SWITCH_MS,
} from "../../../lib/core/serving/index.js";

const ALLOWED_MS = 8000;
const ONE_DOMAIN = { failureDomain: "a", failureDomains: ["a"] };

/** Returns the time of the replica's turn for a version that is named at 0. */
function turnOf(version: number, group: ReplicaGroup): number {
    const named = [{ version, namedAt: 0, remainingTransferMs: 0 }];
    return drainTurnAt(version, named, group, ALLOWED_MS) ?? Number.NaN;
}

/** Returns the delay after which entries no longer send requests to older weights. */
function outdatedDelayMs(allowedMs: number): number {
    const weights = createWeightsPolicy(() => allowedMs);
    weights.recordNamed("m", 2, true, 0);
    let delayMs = 0;
    while (weights.lowestAllowed("m", delayMs) < 2) delayMs++;
    return delayMs;
}

// Guards against a rollout that makes all replicas of a failure domain unavailable at once, and against a replica that
// drains only after entries have stopped sending requests to it, so that it waits without work.
test("the replicas of a failure domain switch one after the other and before their weights are outdated", () => {
    const outdatedAt = outdatedDelayMs(ALLOWED_MS);
    fc.assert(
        fc.property(fc.integer({ min: 2, max: 12 }), fc.integer({ min: 2, max: 50 }), (count, version) => {
            const replicas = Array.from({ length: count }, (_, index) => `10.0.0.${index}`);
            const delays = replicas
                .map(self => turnOf(version, { ...ONE_DOMAIN, self, replicas }))
                .sort((a, b) => a - b);
            assert.ok((delays.at(-1) ?? 0) < outdatedAt);
            assert.equal(new Set(delays).size, count);
            // A switch takes 2.3 s of at least 4.7 s, so with evenly spaced turns half of the replicas, and one more, are
            // unavailable at once at most.
            const away = delays.map(delay => {
                return delays.filter(each => each <= delay && delay < each + TYPICAL_SWITCH_MS).length;
            });
            assert.ok(Math.max(...away) <= Math.ceil(count / 2) + 1, JSON.stringify(delays));
        }),
        { seed: 1 },
    );
});

// Guards against replicas that drain while their weights are far from complete.
test("a replica keeps serving while its transfer is stalled", () => {
    const group = { ...ONE_DOMAIN, self: "a", replicas: ["a", "b"] };
    const planWith = (remainingTransferMs: number) => {
        return planSwitch(1, [{ version: 2, namedAt: 0, remainingTransferMs }], group, ALLOWED_MS, ALLOWED_MS);
    };
    assert.deepEqual(planWith(Number.POSITIVE_INFINITY), { target: undefined, shouldDrain: false });
    assert.deepEqual(planWith(0), { target: 2, shouldDrain: true });
});

// Guards against a rollout that takes a replica of every failure domain away at the same moment: with two replicas in
// each of five domains, half of the pool was away at once.
test("the failure domains of a pool switch by turns", () => {
    for (const replicaCount of [1, 2, 17]) {
        const failureDomains = ["a", "b", "c", "d", "e"];
        const delays = failureDomains.flatMap(failureDomain => {
            const replicas = Array.from({ length: replicaCount }, (_, index) => `${failureDomain}-${index}`);
            return replicas.map(self => turnOf(2, { self, replicas, failureDomain, failureDomains }));
        }).sort((a, b) => a - b);
        assert.ok((delays.at(-1) ?? 0) < outdatedDelayMs(ALLOWED_MS));
        const gaps = delays.slice(1).map((delay, index) => delay - (delays[index] ?? 0));
        assert.ok(Math.max(...gaps) - Math.min(...gaps) < 1, JSON.stringify(gaps));
    }
});

/** Times of a version in a rollout, in milliseconds. */
interface Naming {
    readonly version: number;
    readonly namedAt: number;
    /** When all replicas have the pieces. */
    readonly transferredAt: number;
}

/** Replays a rollout and returns the largest number of replicas that serve nothing, and the time lost to outdated weights. */
function replayRollout(namings: readonly Naming[], groups: readonly ReplicaGroup[], allowedMs: number) {
    const weights = createWeightsPolicy(() => allowedMs);
    const replicas = groups.map(group => ({ group, loaded: 1, target: 1, backAt: Number.NEGATIVE_INFINITY }));
    const timeStepMs = 50;
    const endAt = Math.max(...namings.map(({ namedAt }) => namedAt)) + allowedMs + 2 * TYPICAL_SWITCH_MS;
    let outdatedMs = 0;
    let maxAway = 0;
    for (let now = 0; now < endAt; now += timeStepMs) {
        for (const { version, namedAt } of namings) if (namedAt === now) weights.recordNamed("m", version, true, now);
        let away = 0;
        for (const replica of replicas) {
            if (replica.backAt <= now) replica.loaded = replica.target;
            const named = namings
                .filter(({ namedAt }) => namedAt <= now)
                .map((naming): NamedVersion => {
                    return { ...naming, remainingTransferMs: Math.max(0, naming.transferredAt - now) };
                });
            const plan = planSwitch(replica.loaded, named, replica.group, allowedMs, now);
            if (replica.backAt <= now && plan.shouldDrain && plan.target !== undefined) {
                replica.target = plan.target;
                replica.backAt = now + TYPICAL_SWITCH_MS;
            }
            if (replica.backAt > now) away++;
            else if (replica.loaded < weights.lowestAllowed("m", now)) {
                away++;
                outdatedMs += timeStepMs;
            }
        }
        maxAway = Math.max(maxAway, away);
    }
    assert.ok(replicas.every(({ loaded }) => loaded === namings.at(-1)?.version));
    return { outdatedMs, maxAway };
}

// Guards against replicas that wait for their turn for the newest version while their weights are already outdated by
// the one before it, and against turns for both at the same time: a second version is named 4 s after the first, as on
// the quiet days of the larger fleets. With separate turns for each version 30 of 48 were away at once.
test("two versions in succession leave no replica waiting with outdated weights", () => {
    const failureDomains = ["a", "b", "c"];
    const groups = failureDomains.flatMap(failureDomain => {
        const replicas = Array.from({ length: 16 }, (_, index) => `${failureDomain}-${index}`);
        return replicas.map(self => ({ self, replicas, failureDomain, failureDomains }));
    });
    for (const transferredAt of [7500, 8500, 9500]) {
        const namings = [
            { version: 2, namedAt: 0, transferredAt: 4500 },
            { version: 3, namedAt: 4000, transferredAt },
        ];
        const { outdatedMs, maxAway } = replayRollout(namings, groups, 10_300);
        assert.equal(outdatedMs, 0);
        // Between the last turns for the two versions, all replicas may have to switch.
        const mustBeAway = Math.ceil(groups.length * TYPICAL_SWITCH_MS / 4000);
        assert.ok(maxAway <= mustBeAway, `${maxAway} of ${groups.length}`);
    }
});
