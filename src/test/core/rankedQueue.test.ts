import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRankedQueue, type QueueItem, type QueuePolicy, type Rank, RANKS } from "../../lib/core/index.js";
import { longTestParameters } from "../longTest.js";

const SEED = 6;
const policy: QueuePolicy = { floors: { urgent: 0.5, standard: 0.2, overnight: 0.05 }, clientWeights: { heavy: 3 } };
const NO_WAIT_LIMIT = { urgent: Infinity, standard: Infinity, overnight: Infinity };
const options = { policy: () => policy, maxPerClient: 50, maxPerRank: 100, maxWaitMs: NO_WAIT_LIMIT };
let nextId = 0;

function item(rank: Rank, client: string, cost: number, deadline = Infinity): QueueItem<undefined> {
    return { id: String(nextId++), rank, client, cost, deadline, value: undefined };
}

/** Serves items while every source stays backlogged. Returns the number of tokens served for each key. */
function serveBacklog(
    sources: readonly { rank: Rank; client: string; cost: number; actualCost: number; }[],
    keyOf: (taken: QueueItem<undefined>) => string,
) {
    const queue = createRankedQueue<undefined>(options);
    const served = new Map<string, number>();
    const refill = (source: typeof sources[number], now: number) => {
        queue.offer(item(source.rank, source.client, source.cost), now, 1000);
    };
    for (const source of sources) for (let i = 0; i < 5; i++) refill(source, 0);
    for (let now = 1; now <= 3000; now++) {
        const taken = queue.take(now);
        const source = sources.find(({ rank, client }) => rank === taken?.rank && client === taken.client);
        if (taken === undefined || source === undefined) continue;
        queue.correctCost(taken, source.actualCost, now);
        served.set(keyOf(taken), (served.get(keyOf(taken)) ?? 0) + source.actualCost);
        refill(source, now);
    }
    return served;
}

// Guards against an overload of one rank, more or less urgent, that takes the floor of another.
test("each backlogged rank keeps its floor, and the rest goes to the most urgent", () => {
    const cost = fc.integer({ min: 1, max: 40 });
    fc.assert(
        fc.property(cost, cost, cost, (a, b, c) => {
            const costs = [a, b, c];
            const sources = RANKS.map((rank, index) => {
                return { rank, client: rank, cost: costs[index] ?? 1, actualCost: costs[index] ?? 1 };
            });
            const served = serveBacklog(sources, ({ rank }) => rank);
            const total = [...served.values()].reduce((sum, tokens) => sum + tokens, 0);
            for (const rank of RANKS) assert.ok((served.get(rank) ?? 0) / total >= 0.95 * policy.floors[rank]);
            assert.ok((served.get("urgent") ?? 0) / total >= 0.7);
        }),
        longTestParameters({ seed: SEED, numRuns: 20 }),
    );
});

// Guards against a client that gets a larger share through large requests or through estimates that are too low.
test("backlogged clients share by weight whatever their costs and estimates are", () => {
    const cost = fc.integer({ min: 1, max: 30 });
    fc.assert(
        fc.property(cost, cost, cost, (a, b, estimate) => {
            const sources = [
                { rank: "standard" as const, client: "heavy", cost: estimate, actualCost: a },
                { rank: "standard" as const, client: "small", cost: b, actualCost: b },
            ];
            const served = serveBacklog(sources, ({ client }) => client);
            const ratio = (served.get("heavy") ?? 0) / (served.get("small") ?? 1);
            assert.ok(Math.abs(ratio - 3) < 0.3, `ratio ${ratio}`);
        }),
        longTestParameters({ seed: SEED, numRuns: 20 }),
    );
});

// Guards against lost or duplicated requests and against unbounded queues.
test("every offered item leaves exactly once and the bounds hold", () => {
    const offers = fc.array(
        fc.record({ rank: fc.constantFrom(...RANKS), client: fc.constantFrom("a", "b", "c"), deadline: fc.nat(200) }),
        { maxLength: 150 },
    );
    fc.assert(
        fc.property(offers, steps => {
            const queue = createRankedQueue<undefined>({ ...options, maxPerClient: 10, maxPerRank: 15 });
            const removed: string[] = [];
            const queued: string[] = [];
            steps.forEach((step, now) => {
                const offered = item(step.rank, step.client, 1, step.deadline + now);
                const result = queue.offer(offered, now, 1e9);
                if (result.kind === "queued") queued.push(offered.id);
                if (result.kind === "queued" && result.displaced) removed.push(result.displaced.id);
                if (now % 3 === 0) removed.push(...[queue.take(now)].flatMap(taken => taken ? [taken.id] : []));
                if (now % 7 === 0 && queue.remove(offered.id)) removed.push(offered.id);
                if (now % 11 === 0) removed.push(...queue.expire(now).map(({ id }) => id));
                assert.ok(queue.length() <= 30);
            });
            removed.push(...queue.clear().map(({ id }) => id));
            assert.deepEqual(removed.sort(), queued.sort());
            assert.equal(queue.length(), 0);
        }),
        longTestParameters({ seed: SEED, numRuns: 100 }),
    );
});

// Guards against admitting a request that can't start in time, and against refusing a small client's request
// because of a large client's backlog.
test("a request is refused early by its own client's predicted wait", () => {
    const maxWaitMs = { urgent: 1000, standard: 1000, overnight: 1000 };
    const queue = createRankedQueue<undefined>({ ...options, maxWaitMs });
    let refusals = 0;
    for (let i = 0; i < 40; i++) if (queue.offer(item("urgent", "large", 100), 0, 1000).kind === "refused") refusals++;
    assert.ok(refusals >= 28, `${refusals} refusals`);
    assert.equal(queue.offer(item("urgent", "small", 100), 0, 1000).kind, "queued");
});
