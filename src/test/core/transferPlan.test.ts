import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createTransferPlan, type PlannedRequest, RequestOutcome, UPSTREAM } from "../../lib/core/transferPlan.js";
import { longTestParameters } from "../longTest.js";

const SEED = 1;
const LIMITS = { maxRequests: 5, maxRequestsPerPeer: 2, maxUpstreamRequests: 2, maxDuplicates: 2 };

function createPlan(chunkCount: number, seed: number, upstreamDueAt: (chunk: number) => number) {
    const generator = xoroshiro128plus(seed);
    const random = () => uniformFloat64(generator);
    return { random, plan: createTransferPlan({ chunkCount, ...LIMITS, upstreamDueAt, random }) };
}

// Guards against a transfer that hangs or exceeds its limits when many requests fail, some peers always send
// corrupted chunks and others never respond.
test("a transfer completes within its limits under faults", () => {
    const faults = fc.constantFrom(RequestOutcome.held, RequestOutcome.corrupt, RequestOutcome.stalled, "random");
    fc.assert(
        fc.property(
            fc.integer({ min: 1, max: 40 }),
            fc.array(faults, { maxLength: 8 }),
            fc.nat(),
            (chunks, peers, seed) => {
                const { plan, random } = createPlan(chunks, seed, chunk => chunk * 10);
                const inFlight = new Map<PlannedRequest, number>();
                // Every peer announces every chunk, even if it can't deliver it.
                peers.forEach((_, peer) => {
                    plan.addPeer(String(peer), peer % 2);
                    for (let chunk = 0; chunk < chunks; chunk++) plan.addPeerChunk(String(peer), chunk);
                });
                const outcomeOf = ({ source }: PlannedRequest) => {
                    const fault = source === UPSTREAM ? "random" : peers[Number(source)] ?? "random";
                    if (fault !== "random") return fault;
                    const outcomes = Object.values(RequestOutcome);
                    return outcomes[Math.floor(random() * outcomes.length)] ?? RequestOutcome.held;
                };
                let now = 0;
                for (; plan.missingCount() > 0 && now < 3_600_000; now += 50) {
                    for (let request = plan.next(now); request !== undefined; request = plan.next(now)) {
                        assert.equal(plan.isHeld(request.chunk), false);
                        inFlight.set(request, now + 10 + random() * 2000);
                    }
                    checkLimits([...inFlight.keys()]);
                    for (const [request, endsAt] of inFlight) {
                        if (endsAt > now) continue;
                        inFlight.delete(request);
                        plan.finish(request, outcomeOf(request), now);
                    }
                }
                assert.equal(plan.missingCount(), 0);
            },
        ),
        longTestParameters({ seed: SEED, numRuns: 60 }),
    );
});

function checkLimits(running: readonly PlannedRequest[]): void {
    const fromPeers = running.filter(({ source }) => source !== UPSTREAM);
    assert.ok(fromPeers.length <= LIMITS.maxRequests);
    assert.ok(running.length - fromPeers.length <= LIMITS.maxUpstreamRequests);
    assert.ok(running.length - new Set(running.map(({ chunk }) => chunk)).size <= LIMITS.maxDuplicates);
    for (const name of new Set(fromPeers.map(({ source }) => source))) {
        assert.ok(fromPeers.filter(({ source }) => source === name).length <= LIMITS.maxRequestsPerPeer);
    }
}

// Guards against losing a rare chunk together with the few VMs that have it because common chunks were fetched first.
test("the rarest chunk is requested first, from the nearest peer that has it", () => {
    const holdings = fc.array(fc.uniqueArray(fc.nat(9), { minLength: 1 }), { minLength: 1, maxLength: 6 });
    fc.assert(
        fc.property(holdings, fc.nat(), (peers, seed) => {
            const { plan } = createPlan(10, seed, () => Infinity);
            peers.forEach((chunks, peer) => {
                plan.addPeer(String(peer), peer);
                for (const chunk of chunks) plan.addPeerChunk(String(peer), chunk);
            });
            const copies = (chunk: number) => peers.filter(chunks => chunks.includes(chunk)).length;
            const request = plan.next(0);
            assert.ok(request !== undefined);
            assert.equal(copies(request.chunk), Math.min(...peers.flat().map(copies)));
            assert.equal(Number(request.source), peers.findIndex(chunks => chunks.includes(request.chunk)));
        }),
        longTestParameters({ seed: SEED, numRuns: 100 }),
    );
});

// Guards against waiting forever for a paused VM that is the only one to have announced a chunk.
test("a chunk that only a stalled peer has is fetched upstream", () => {
    const { plan } = createPlan(1, SEED, () => 0);
    plan.addPeer("paused", 0);
    plan.addPeerChunk("paused", 0);
    const request = plan.next(0);
    assert.equal(request?.source, "paused");
    plan.finish(request, RequestOutcome.stalled, 100);
    assert.equal(plan.next(100)?.source, UPSTREAM);
});

// Guards against requests to a source that doesn't respond which hold all places of the transfer again and again, and keep
// its chunks from being fetched upstream.
test("a source that failed gets one request at a time until it delivers", () => {
    const { plan } = createPlan(10, SEED, () => 0);
    plan.addPeer("relay", 0);
    for (let chunk = 0; chunk < 10; chunk++) plan.addPeerChunk("relay", chunk);
    const startAll = (now: number) => {
        const started: PlannedRequest[] = [];
        for (let next = plan.next(now); next !== undefined; next = plan.next(now)) started.push(next);
        return started;
    };
    const first = startAll(0);
    assert.equal(first.length, LIMITS.maxRequestsPerPeer);
    for (const request of first) plan.finish(request, RequestOutcome.failed, 100);
    const retried = startAll(60_000);
    const sources = retried.map(({ source }) => source);
    assert.deepEqual(sources, [UPSTREAM, UPSTREAM, "relay"]);
    for (const request of retried) plan.finish(request, RequestOutcome.held, 60_100);
    assert.deepEqual(startAll(60_100).map(({ source }) => source), ["relay", "relay"]);
});
