import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import type { Assignment, DispatchRequest, SlotDecision } from "../../lib/core/serving/index.js";
import type { Dispatch, Exchange } from "../../lib/router/exchangeState.js";
import { createSuccessorSearch } from "../../lib/router/successor.js";

const ASSIGNMENT = { server: { id: "i-2" }, reservation: undefined } as Assignment;

let calls: string[];
let started: Dispatch[];
let openCount: number;
let refusal: SlotDecision | undefined;
let isWithinBudget: boolean;
let isQuarantined: boolean;
let isImplicated: boolean;
let mayStillSend: boolean;
let exchange: Exchange;

beforeEach(() => {
    calls = [];
    started = [];
    openCount = 1;
    refusal = undefined;
    isWithinBudget = true;
    isQuarantined = false;
    isImplicated = false;
    mayStillSend = true;
    exchange = {
        context: {
            now: () => 0,
            dispatcher: {
                assignNow: ({ id }: DispatchRequest) => {
                    calls.push(`assign ${id}`);
                    return ASSIGNMENT;
                },
                mayStillSend: () => mayStillSend,
                withdraw: (id: string) => calls.push(`withdraw ${id}`),
                release: (id: string) => calls.push(`release ${id}`),
            },
            reservations: {
                reserve: () => Promise.resolve(refusal),
                release: (_: Assignment, id: string) => calls.push(`release slot ${id}`),
            },
            promptGuard: {
                decide: () => ({ kind: isQuarantined ? "refused" : "allowed" }),
                mayRepeat: () => !isImplicated,
            },
            retryBudget: {
                isAvailable: () => true,
                tryTake: () => {
                    calls.push("take retry");
                    return isWithinBudget;
                },
            },
        },
        route: { kind: "idempotent", maxAttempts: 2 },
        response: { headersSent: false },
        verdicts: [],
        triedServerIds: new Set(["i-1"]),
        retryDenial: undefined,
    } as unknown as Exchange;
});

/** Starts a search for the attempt `r/0`. */
function createClaim(): (isNeeded?: () => boolean) => Promise<boolean> {
    const search = createSuccessorSearch(exchange, "plain", {
        createDispatchRequest: id => ({ id }) as DispatchRequest,
        openCount: () => openCount,
        start: successor => {
            calls.push(`start ${successor.dispatchId}`);
            started.push(successor);
        },
    });
    return (isNeeded = () => true) => search.claim("r/0", isNeeded);
}

// Guards against a silent server that gets a successor without a slot or a retry.
test("a successor is assigned, its slot reserved and the retry taken", async () => {
    assert.equal(await createClaim()(), true);
    assert.deepEqual(calls, ["assign r/0/successor", "take retry", "start r/0/successor"]);
    assert.deepEqual(started, [{ assignment: ASSIGNMENT, dispatchId: "r/0/successor" }]);
});

// Guards against load that is counted forever for a successor that isn't used.
test("a successor that isn't used is released", async () => {
    const released = ["assign r/0/successor", "release slot r/0/successor", "release r/0/successor"];
    const claim = createClaim();
    assert.equal(await claim(() => false), false);
    assert.deepEqual(calls, released, "the server went on meanwhile");

    calls = [];
    mayStillSend = false;
    assert.equal(await claim(), false);
    assert.deepEqual(calls, released, "the server announced that it leaves");

    calls = [];
    mayStillSend = true;
    isWithinBudget = false;
    assert.equal(await claim(), false);
    assert.deepEqual(calls, [released[0], "take retry", released[1], released[2]]);
    assert.equal(exchange.retryDenial, "budget spent");

    calls = [];
    isWithinBudget = true;
    refusal = { isGranted: false, load: [0, 0, 0, 0], pauseMs: 0 };
    assert.equal(await claim(), false);
    assert.deepEqual(calls, [released[0], "withdraw r/0/successor"]);
    assert.equal(exchange.retryDenial, "no server");
    assert.deepEqual(started, []);
});

// Guards against a prompt that crashes servers and is sent to another one.
test("there is no successor for a quarantined prompt", async () => {
    const claim = createClaim();
    isQuarantined = true;
    assert.equal(await claim(), false);
    assert.deepEqual(calls, []);
    assert.equal(exchange.retryDenial, "quarantined prompt");
    isQuarantined = false;
    isImplicated = true;
    assert.equal(await claim(), false);
    assert.deepEqual(calls, [], "its prompt may have crashed servers");
});

// Guards against a prompt that is sent on although it was quarantined while a slot was reserved.
test("a successor is released if the prompt is quarantined meanwhile", async () => {
    const claim = createClaim()();
    isQuarantined = true;
    assert.equal(await claim, false);
    assert.deepEqual(calls, ["assign r/0/successor", "release slot r/0/successor", "release r/0/successor"]);
    assert.equal(exchange.retryDenial, "quarantined prompt");
});

// Guards against a second assignment under the same identifier, whose load would be counted forever.
test("a successor isn't claimed twice while its slot is reserved", async () => {
    const claim = createClaim();
    assert.deepEqual(await Promise.all([claim(), claim()]), [true, false]);
    assert.deepEqual(calls, ["assign r/0/successor", "take retry", "start r/0/successor"]);
});

// Guards against a request that is in progress at more servers than its route allows, or tries servers without end.
test("a successor counts as one of the attempts", async () => {
    const claim = createClaim();
    openCount = 2;
    assert.equal(await claim(), false);
    openCount = 1;
    for (const id of ["i-2", "i-3", "i-4"]) exchange.triedServerIds.add(id);
    assert.equal(await claim(), false);
    assert.deepEqual(calls, []);
    assert.equal(exchange.retryDenial, "attempts used");
});
