import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import type { Assignment, DispatchRequest, SlotDecision } from "../../lib/core/serving/index.js";
import type { Exchange } from "../../lib/router/exchangeState.js";
import { createSuccessorSearch } from "../../lib/router/successor.js";

const ASSIGNMENT = { server: { id: "i-2" }, reservation: undefined } as Assignment;

let calls: string[];
let refusal: SlotDecision | undefined;
let isWithinBudget: boolean;
let isQuarantined: boolean;
let isImplicated: boolean;
let mayStillSend: boolean;
let exchange: Exchange;

beforeEach(() => {
    calls = [];
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
        dispatchId: "r/0",
        retryDenial: undefined,
    } as unknown as Exchange;
});

const createSearch = () => createSuccessorSearch(exchange, "plain", id => ({ id }) as DispatchRequest);

// Guards against a silent server that is given up before its successor has a slot and a retry.
test("a successor is assigned, its slot reserved and the retry taken", async () => {
    const search = createSearch();
    assert.equal(await search.claim(() => true), true);
    assert.deepEqual(calls, ["assign r/0/successor", "take retry"]);
    assert.deepEqual(search.take(), { assignment: ASSIGNMENT, dispatchId: "r/0/successor" });
    assert.equal(search.take(), undefined);
});

// Guards against load that is counted forever for a successor that isn't used.
test("a successor that isn't used is released", async () => {
    const released = ["assign r/0/successor", "release slot r/0/successor", "release r/0/successor"];
    const search = createSearch();
    assert.equal(await search.claim(() => false), false, "the server went on meanwhile");
    assert.deepEqual(calls, released);

    calls = [];
    mayStillSend = false;
    assert.equal(await search.claim(() => true), false, "the server announced that it leaves");
    assert.deepEqual(calls, released);

    calls = [];
    mayStillSend = true;
    isWithinBudget = false;
    assert.equal(await search.claim(() => true), false);
    assert.deepEqual(calls, [released[0], "take retry", released[1], released[2]]);
    assert.equal(exchange.retryDenial, "budget spent");

    calls = [];
    isWithinBudget = true;
    refusal = { isGranted: false, load: [0, 0, 0, 0], pauseMs: 0 };
    assert.equal(await search.claim(() => true), false);
    assert.deepEqual(calls, [released[0], "withdraw r/0/successor"]);
    assert.equal(exchange.retryDenial, "no server");
    assert.equal(search.take(), undefined);
});

// Guards against a silent server that is given up for a request which is then refused.
test("there is no successor for a quarantined prompt", async () => {
    isQuarantined = true;
    assert.equal(await createSearch().claim(() => true), false);
    assert.deepEqual(calls, []);
    assert.equal(exchange.retryDenial, "quarantined prompt");
    isQuarantined = false;
    isImplicated = true;
    assert.equal(await createSearch().claim(() => true), false, "its prompt may have crashed servers");
    assert.deepEqual(calls, []);
});

// Guards against a second assignment under the same identifier, whose load would be counted forever.
test("a successor isn't claimed twice while its slot is reserved", async () => {
    const search = createSearch();
    const claims = [search.claim(() => true), search.claim(() => true)];
    assert.deepEqual(await Promise.all(claims), [true, false]);
    assert.deepEqual(calls, ["assign r/0/successor", "take retry"]);
});
