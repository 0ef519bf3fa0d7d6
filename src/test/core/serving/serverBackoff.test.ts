import assert from "node:assert/strict";
import { test } from "node:test";
import { simulateTrace } from "../../../harness/enginePoolSimulation.js";
import { LOAD_TRACES } from "../../../harness/loadTraces.js";
import { createDispatcherPlacer, SINGLE_ENTRY } from "../../../harness/placers.js";
import {
    type AssignmentResult,
    createDispatcher,
    createEvacuations,
    createServerBackoff,
    createServerHealth,
    createServerOwnership,
    createServerRegistry,
    createServerSpeed,
    createWeightsPolicy,
    type DispatchRequest,
    Outcome,
} from "../../../lib/core/serving/index.js";

const FIRST = { id: "a", startedAt: 1 };

// Guards against a backoff that ends early because a later response asks for a shorter one, and against one that a new
// incarnation inherits.
test("a backoff lasts as long as the server asked, for one incarnation", () => {
    const backoff = createServerBackoff();
    assert.equal(backoff.record(FIRST, 1000, 0), true);
    assert.equal(backoff.record(FIRST, 100, 500), false);
    assert.deepEqual([999, 1000].map(now => backoff.endsAt(FIRST, now)), [1000, undefined]);
    assert.equal(backoff.endsAt({ ...FIRST, startedAt: 2 }, 0), undefined);
    backoff.forgetEnded(999);
    assert.equal(backoff.endsAt(FIRST, 999), 1000);
    backoff.record(FIRST, Number.POSITIVE_INFINITY, 2000);
    const end = backoff.endsAt(FIRST, 2000) ?? 0;
    assert.ok(end > 600_000 && end < 86_400_000, `${end} ms`);
});

/** Creates a dispatcher for a plain service with two servers of one slot. */
function createPool() {
    const registry = createServerRegistry(() => 2000);
    const [backoff, health] = [createServerBackoff(), createServerHealth()];
    for (const id of ["a", "b"]) {
        registry.put({
            id,
            service: "s",
            address: id,
            failureDomain: "d",
            slots: 1,
            isLeaving: false,
            startedAt: 1,
            remainingWarmupMs: 0,
            weights: undefined,
        });
    }
    const service = {
        name: "s",
        healthPath: "/",
        maxConnections: 100,
        engine: undefined,
        origin: undefined,
        coldMs: 0,
        coldRequestsPerSecond: 0,
    };
    const dispatcher = createDispatcher({
        registry,
        backoff,
        health,
        speed: createServerSpeed(),
        weights: createWeightsPolicy(() => 8000),
        ownership: createServerOwnership(() => []),
        self: "entry",
        reportLagMs: () => 0,
        evacuations: createEvacuations(),
        findService: () => service,
        failureDomain: "d",
        regionOf: () => undefined,
        roundTripMs: () => 1,
        entryCount: () => 1,
        random: () => 0,
    });
    const results = new Map<string, AssignmentResult>();
    /** Creates a request with a target of 300 ms that expires after 6 s. */
    function createRequest(id: string, now: number, changes: Partial<DispatchRequest> = {}): DispatchRequest {
        return {
            id,
            service: "s",
            rank: 0,
            routeRank: 0,
            account: "",
            isCallerRetry: false,
            arrivedAt: now,
            dueAt: now + 300,
            expiresAt: now + 6000,
            promptTokens: 0,
            outputTokens: 0,
            maxEventGapMs: 0,
            triedServerIds: new Set(),
            requiredVersion: undefined,
            ...changes,
        };
    }
    function submit(id: string, now: number, changes: Partial<DispatchRequest> = {}): void {
        dispatcher.submit(createRequest(id, now, changes), result => results.set(id, result), now);
    }
    /** Returns the server of a request, the reason and delay of its refusal, or `undefined` while it waits. */
    function resultOf(id: string): unknown {
        const result = results.get(id);
        if (result === undefined) return undefined;
        return result.kind === "assigned" ?
            result.assignment.server.id :
            [result.refusal.reason, result.refusal.retryAfterMs];
    }
    const askFor = (id: string, durationMs: number, now: number) =>
        backoff.record({ id, startedAt: 1 }, durationMs, now);
    return { registry, health, dispatcher, createRequest, submit, resultOf, askFor };
}

// Guards against a request in the queue that waits for its deadline although no server can take it in time, and against
// a Retry-After that brings callers back during the backoff.
test("while all servers back off, requests wait only if one returns soon enough", () => {
    const { dispatcher, submit, resultOf, askFor } = createPool();
    askFor("a", 1800, 0);
    askFor("b", 1500, 0);
    submit("new", 0);
    assert.deepEqual(resultOf("new"), ["servers backing off", 1500]);
    submit("retried by its caller", 0, { isCallerRetry: true });
    assert.equal(resultOf("retried by its caller"), undefined);
    submit("later", 1300);
    submit("expiring", 1300, { expiresAt: 1400 });
    assert.equal(resultOf("later"), undefined);
    assert.deepEqual(resultOf("expiring"), ["servers backing off", 33]);
    dispatcher.tick(1499);
    assert.equal(resultOf("retried by its caller"), undefined);
    dispatcher.tick(1500);
    assert.equal(resultOf("later"), "b");
    assert.equal(resultOf("retried by its caller"), undefined, "the slot is taken");
    dispatcher.tick(1800);
    assert.equal(resultOf("retried by its caller"), "a");
});

// Guards against a waiting request that is forgotten when the server that it waits for prolongs its backoff or leaves.
test("a waiting request is refused once its wait becomes too long", () => {
    const { registry, dispatcher, submit, resultOf, askFor } = createPool();
    askFor("a", 200, 0);
    askFor("b", 5000, 0);
    submit("first", 0);
    assert.equal(resultOf("first"), undefined);
    askFor("a", 3000, 100);
    dispatcher.tick(100);
    assert.deepEqual(resultOf("first"), ["servers backing off", 1967]);
    registry.markLeaving(FIRST);
    submit("second", 100, { triedServerIds: new Set(["b"]), expiresAt: 30_100 });
    assert.deepEqual(resultOf("second"), ["no server", 4900], "until the tried server returns");
});

// Guards against a probe of an ejected server during its backoff, and against requests that wait for the end of the
// backoff of a server that takes a single probe then.
test("an ejected server isn't probed while it backs off, and no request waits for it", () => {
    const { health, submit, resultOf, askFor } = createPool();
    health.recordOutcome("a", Outcome.unreachable, 0);
    health.recordOutcome("b", Outcome.unreachable, 0);
    askFor("a", 2000, 0);
    askFor("b", 2000, 0);
    submit("early", 1900);
    assert.deepEqual(resultOf("early"), ["no server", 2000]);
    submit("probe", 2000);
    assert.ok(["a", "b"].includes(String(resultOf("probe"))));
});

// Guards against sending a request whose server asked for a backoff, left or restarted while a reservation was made.
test("an assignment is taken back if its server no longer accepts requests", () => {
    const { registry, dispatcher, submit, resultOf, askFor } = createPool();
    const [first, second] = [registry.get("a"), registry.get("b")];
    assert.ok(first !== undefined && second !== undefined);
    submit("x", 0);
    assert.equal(resultOf("x"), "a");
    assert.equal(dispatcher.mayStillSend(first, 10), true);
    askFor("a", 1000, 10);
    assert.equal(dispatcher.mayStillSend(first, 20), false);
    dispatcher.withdraw("x", "a", undefined, 20);
    submit("x", 20);
    assert.equal(resultOf("x"), "b");
    registry.put({ ...second, startedAt: 2 });
    assert.equal(dispatcher.mayStillSend(second, 20), false);
});

// Guards against requests that engines turn away again and again although they said for how long they would.
test("honoring backoffs serves more than guessing, with fewer requests turned away", () => {
    const trace = LOAD_TRACES.find(({ name }) => name === "pausedEngines");
    assert.ok(trace !== undefined);
    const simulate = (honorsBackoff: boolean) =>
        simulateTrace(trace, createDispatcherPlacer(trace, { ...SINGLE_ENTRY, honorsBackoff }));
    const [honoring, guessing] = [simulate(true), simulate(false)];
    const pauseCount = trace.enginePauses?.length ?? 0;
    const figures = `${honoring.turnedAwayCount}, ${honoring.total.utility}; ` +
        `${guessing.turnedAwayCount}, ${guessing.total.utility}`;
    // Some requests are on their way when the first one is turned away.
    assert.ok(honoring.turnedAwayCount <= 2 * pauseCount, figures);
    assert.ok(guessing.turnedAwayCount >= 4 * pauseCount, figures);
    assert.ok(honoring.total.utility > guessing.total.utility, figures);
});

// Guards against a silent server that is given up for the probe of one that is probably down.
test("an ejected server gets a probe from the queue, but takes over from no other server", () => {
    const { health, dispatcher, createRequest, submit, resultOf } = createPool();
    const triedServerIds = new Set(["b"]);
    health.recordOutcome("a", Outcome.unreachable, 0);
    assert.equal(dispatcher.assignNow(createRequest("silent", 1000, { triedServerIds }), 1000), undefined);
    submit("new", 1000, { triedServerIds });
    assert.equal(resultOf("new"), "a");
});
