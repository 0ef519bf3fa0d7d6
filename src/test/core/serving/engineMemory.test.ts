import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ENGINE_SPEC, simulateTrace } from "../../../harness/enginePoolSimulation.js";
import { LOAD_TRACES } from "../../../harness/loadTraces.js";
import { createDispatcherPlacer } from "../../../harness/placers.js";
import {
    canEverHold,
    createInFlightRequests,
    createRefusedReservations,
    decideAdmission,
    decideReservation,
    fitsMemory,
    type LoadReport,
    QueueClass,
    type ServerLoad,
} from "../../../lib/core/serving/index.js";

const MEMORY_TOKENS = 10_000;
const ENGINE = { ...ENGINE_SPEC, memoryTokens: MEMORY_TOKENS };
const IDLE = { decoding: 0, prefilling: 0, prefillTokens: 0, contextTokens: 0 };

// Guards against an engine that crashes because it got more than it holds, against a request that only an idle engine
// can hold and that never gets one, and against limits where the configuration names none.
test("requests fit as long as all of them, with their answers, stay within the memory", () => {
    const load = { decoding: 1, prefilling: 1, prefillTokens: 3000, contextTokens: 3000 };
    assert.equal(fitsMemory(ENGINE, load, { promptTokens: 2900, outputTokens: 100 }), true);
    assert.equal(fitsMemory(ENGINE, load, { promptTokens: 2900, outputTokens: 101 }), false);
    assert.equal(fitsMemory(ENGINE, load, { promptTokens: 2950, outputTokens: 0 }), false);
    const largest = { promptTokens: MEMORY_TOKENS - 100, outputTokens: 100 };
    assert.deepEqual([fitsMemory(ENGINE, IDLE, largest), canEverHold(ENGINE, largest)], [true, true]);
    const tooLarge = { ...largest, outputTokens: 101 };
    assert.deepEqual([fitsMemory(ENGINE, IDLE, tooLarge), canEverHold(ENGINE, tooLarge)], [false, false]);
    assert.deepEqual([fitsMemory(ENGINE_SPEC, load, tooLarge), canEverHold(ENGINE_SPEC, tooLarge)], [true, true]);
});

// Guards against a request that waits for its whole time although no engine could ever hold it.
test("a request larger than the memory of an engine is refused at once", () => {
    const request = {
        id: "1",
        service: "s",
        rank: 0,
        routeRank: 0,
        account: "a",
        isCallerRetry: false,
        arrivedAt: 0,
        dueAt: 400,
        expiresAt: 6000,
    };
    const pool = {
        serverCount: 3,
        untilAvailableMs: 0,
        noServerRetryAfterMs: 3000,
        isRestricted: false,
        exceedsMemory: true,
        completionsPerSecond: 10,
        lateStartsPerSecond: 1,
        urgentStartFraction: 0,
        freeSlots: 5,
        typicalFirstEventMs: 100,
    };
    const refusal = decideAdmission(request, QueueClass.onTime, 0, pool, 0.5, 0);
    assert.deepEqual([refusal?.reason, refusal?.retryAfterMs], ["exceeds the memory of an engine", 2000]);
    assert.equal(decideAdmission(request, QueueClass.onTime, 0, { ...pool, exceedsMemory: false }, 0.5, 0), undefined);
});

// Guards against entries that together give an engine more than it holds, because answers, requests before their first
// event or announced changes don't count at its owner.
test("an owner never grants more than the engine holds, whatever its peers send, report and end", () => {
    const step = fc.oneof(
        fc.record({
            kind: fc.constant("send" as const),
            sender: fc.integer({ min: 0, max: 2 }),
            promptTokens: fc.integer({ min: 1, max: 9000 }),
            outputTokens: fc.integer({ min: 1, max: 3000 }),
        }),
        fc.record({ kind: fc.constantFrom("firstEvent" as const, "end" as const), index: fc.nat(20) }),
        fc.record({ kind: fc.constant("heartbeat" as const), sender: fc.integer({ min: 0, max: 2 }) }),
    );
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
        const owner = createInFlightRequests();
        const senders = [0, 1, 2].map(() => createInFlightRequests());
        const running: { id: string; sender: number; tokens: number; }[] = [];
        for (const [index, each] of steps.entries()) {
            const now = index * 10;
            if (each.kind === "heartbeat") report(each.sender, now);
            else if (each.kind === "send") {
                const { sender, promptTokens, outputTokens } = each;
                const slot = {
                    serverId: "s",
                    promptTokens,
                    outputTokens,
                    maxRunning: 16,
                    maxFirstEventMs: Infinity,
                    precedence: 0,
                };
                const owned = {
                    engine: ENGINE,
                    slowdown: 1,
                    isPaused: false,
                    takeShare: () => true,
                    refused: createRefusedReservations(),
                };
                if (!decideReservation(slot, `sender-${sender}`, owned, owner, now).isGranted) continue;
                const id = String(index);
                const request = { id, serverId: "s", account: "a", sentAt: now, hasFirstEvent: false };
                senders[sender]?.add({ ...request, promptTokens, answerTokens: outputTokens });
                running.push({ id, sender, tokens: promptTokens + outputTokens });
            }
            else {
                const request = running[each.index % Math.max(1, running.length)];
                if (request === undefined) continue;
                const inFlight = senders[request.sender];
                if (each.kind === "firstEvent") inFlight?.recordFirstEvent(request.id);
                else {
                    const load = inFlight?.loadOfRequest(request.id) ?? [0, 0, 0, 0];
                    const change = load.map(number => -number) as ServerLoad;
                    owner.recordPeerChange(`sender-${request.sender}`, "s", change, now);
                    inFlight?.remove(request.id);
                    running.splice(running.indexOf(request), 1);
                }
            }
            const held = running.reduce((sum, { tokens }) => sum + tokens, 0);
            assert.ok(held <= MEMORY_TOKENS, `${held} tokens`);
        }

        function report(sender: number, now: number): void {
            const load: LoadReport = senders[sender]?.localReport() ?? {};
            owner.recordPeerReport(`sender-${sender}`, load, now);
        }
    }));
});

// Guards against streams that pause because their engine's memory ran out, and against large requests that never get
// room because small ones always fill it first.
test("engines with little memory preempt nothing, and the largest requests are served too", () => {
    const trace = LOAD_TRACES.find(({ name }) => name === "littleMemory");
    assert.ok(trace?.engine !== undefined);
    const unlimited = { ...trace, engine: { ...trace.engine, memoryTokens: Infinity } };
    for (const entryCount of [1, 4]) {
        const group = { entryCount, heartbeatIntervalMs: 100 };
        const result = simulateTrace(trace, createDispatcherPlacer(trace, group));
        const unaware = simulateTrace(trace, createDispatcherPlacer(unlimited, group));
        assert.equal(result.preemptedCount, 0);
        assert.ok(unaware.preemptedCount > 0);
        assert.ok(result.total.utility > unaware.total.utility, `${result.total.utility} ${unaware.total.utility}`);
        const [, , largest] = result.statisticsByClass;
        const servedFraction = result.total.servedCount / result.total.requestCount;
        const largestFraction = (largest?.servedCount ?? 0) / (largest?.requestCount ?? 1);
        assert.ok(largestFraction >= servedFraction / 2, `${largestFraction} of ${servedFraction}`);
    }
});
