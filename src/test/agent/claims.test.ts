import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { AnswerSink } from "../../lib/agent/answerSink.js";
import { createClaims, MAX_RECORDED_BYTES, REPLAYED_HEADER } from "../../lib/agent/claims.js";
import type { TableService, TableWrite, WriteCondition } from "../../lib/clients/index.js";
import { Verdict } from "../../lib/core/index.js";
import type { DispatchRequest } from "../../lib/rpc/index.js";
import { longTestParameters } from "../longTest.js";

type Frame = Parameters<AnswerSink["send"]>[0];
type TableFault = "none" | "lostBefore" | "lostAfter" | "late" | "unavailable";
type HolderBehaviour =
    | "answers"
    | "neverSent"
    | "breaksOff"
    | "crashesBeforeDispatch"
    | "crashesAfterDispatch"
    | "cancelled";

const TABLE_FAULTS: TableFault[] = ["none", "lostBefore", "lostAfter", "late", "unavailable"];
const HOLDER_BEHAVIOURS: HolderBehaviour[] = [
    "answers",
    "neverSent",
    "breaksOff",
    "crashesBeforeDispatch",
    "crashesAfterDispatch",
    "cancelled",
];

/** Resolves at a point that the test's scheduler chooses. */
type ScheduledStep = (label: string) => Promise<void>;

/**
 * An in-memory table service. Each operation consumes the next fault of the list; there are no faults after the last.
 */
function createFakeTable(faults: TableFault[], step: ScheduledStep): TableService {
    const rows = new Map<string, { value: unknown; etag: string; }>();
    let writes = 0;

    function apply(key: string, value: unknown, etag: string | undefined): TableWrite {
        if (rows.get(key)?.etag !== etag) return { kind: "conflict" };
        const written = `"${++writes}"`;
        rows.set(key, { value, etag: written });
        return { kind: "written", etag: written };
    }

    async function write(key: string, value: unknown, etag: string | undefined): Promise<TableWrite> {
        const fault = faults.shift() ?? "none";
        const unclear = { kind: "unclear", cause: new Error(fault) } as const;
        await step("write arrives");
        if (fault === "late") void step("late write").then(() => apply(key, value, etag));
        if (fault === "none" || fault === "lostAfter") {
            const result = apply(key, value, etag);
            await step("write answered");
            if (fault === "none") return result;
        }
        return unclear;
    }

    return {
        read: async (_table, key) => {
            const unavailable = ![undefined, "none"].includes(faults.shift());
            await step("read");
            if (unavailable) return { kind: "unavailable", cause: new Error("outage") };
            const row = rows.get(key);
            return row === undefined ? { kind: "missing" } : { kind: "found", ...row };
        },
        write: (_table, key, value, condition) => {
            return write(key, value, condition.kind === "absent" ? undefined : condition.etag);
        },
        remove: () => Promise.reject(new Error("claims are never removed")),
    };
}

function requestOf(body: string): DispatchRequest {
    return { idempotencyKey: "k", method: "POST", path: "/b", body: Buffer.from(body) } as DispatchRequest;
}

interface Attempt {
    readonly body: string;
    readonly behaviour: HolderBehaviour;
    readonly remainingMs: number;
}

interface Outcome {
    readonly frames: Frame[];
    ran: boolean;
}

function verdictOf({ frames }: Outcome): string {
    const lastFrame = frames.at(-1);
    if (lastFrame?.$case === "refused") return lastFrame.refused.verdict;
    return lastFrame?.$case === "end" ? lastFrame.end.verdict : "none";
}

/** Simulates agents that share one table. Each attempt runs on its own agent, which may crash. */
function createSimulation(table: TableService, step: ScheduledStep) {
    let clock = 0;
    let tokens = 0;
    const runs: string[] = [];

    async function attempt({ body, behaviour, remainingMs }: Attempt): Promise<Outcome> {
        const outcome: Outcome = { frames: [], ran: false };
        let crashed = false;
        const hangIfCrashed = <T>(value: T): T | Promise<T> => crashed ? new Promise<T>(() => undefined) : value;
        const crashableTable: TableService = {
            ...table,
            read: async (name: string, key: string) => hangIfCrashed(await table.read(name, key)),
            write: async (...args) => hangIfCrashed(await table.write(...args)),
        };
        const claims = createClaims({
            table: crashableTable,
            now: () => clock,
            sleep: async ms => {
                await step("sleep");
                clock += ms;
            },
            createToken: () => `token-${tokens++}`,
        });
        const cancellation = new AbortController();
        if (behaviour === "cancelled") void step("cancel").then(() => cancellation.abort());
        const callerSink: AnswerSink = {
            send: frame => outcome.frames.push(frame) > 0,
            waitForDrain: () => Promise.resolve(),
            end: () => undefined,
            signal: cancellation.signal,
        };
        const deadline = clock + remainingMs;
        const sink = await claims.claim(requestOf(body), deadline, callerSink);
        if (sink === undefined) {
            await claims.waitForSettlements();
            return outcome;
        }
        const refuse = (verdict: Verdict) => {
            sink.send({ $case: "refused", refused: { verdict, reason: "", retryAfterMs: 0, status: 0 } });
        };
        await step("dispatch");
        if (behaviour === "crashesBeforeDispatch") crashed = true;
        else if (clock >= deadline || behaviour === "neverSent") refuse(Verdict.notRun);
        else {
            outcome.ran = true;
            runs.push(body);
            await step("answer");
            if (behaviour === "crashesAfterDispatch") crashed = true;
            else if (behaviour === "breaksOff") refuse(Verdict.mayHaveRun);
            else sendResponse(sink, body);
        }
        if (!crashed) await claims.waitForSettlements();
        return outcome;
    }

    return { attempt, runs };
}

function sendResponse(sink: AnswerSink, text: string): void {
    sink.send({ $case: "head", head: { status: 201, headers: [] } });
    sink.send({ $case: "data", data: Buffer.from(`ran ${text}`) });
    sink.send({ $case: "end", end: { verdict: Verdict.ran, error: "", outputTokens: 0 } });
    sink.end();
}

const attempts = fc.array(
    fc.record({
        body: fc.constantFrom("a", "a", "a", "b"),
        behaviour: fc.constantFrom(...HOLDER_BEHAVIOURS),
        remainingMs: fc.constantFrom(150, 10_000),
    }),
    { minLength: 1, maxLength: 4 },
);

// Guards against a call with a key that runs twice, a `notRun` verdict for a call that ran, a replayed response of
// another call, and a key that stays blocked although nothing was dispatched.
test("claims under lost, late and refused writes, and with suspended and crashing holders", async () => {
    await fc.assert(
        fc.asyncProperty(
            attempts,
            fc.array(fc.constantFrom(...TABLE_FAULTS), { maxLength: 30 }),
            fc.scheduler(),
            async (plan, faults, scheduler) => {
                const step = async (label: string) => {
                    await scheduler.schedule(Promise.resolve(), label);
                };
                const { attempt, runs } = createSimulation(createFakeTable(faults, step), step);
                const outcomes = plan.map(item => attempt(item));
                await scheduler.waitIdle();
                const finished = await Promise.all(outcomes.map(outcome => Promise.race([outcome, undefined])));
                for (const outcome of finished) {
                    assert.ok(outcome, "an attempt hangs");
                    if (verdictOf(outcome) === Verdict.notRun) assert.equal(outcome.ran, false, "notRun, but ran");
                }
                assert.ok(runs.length <= 1, `ran ${runs.length} times`);
                faults.length = 0;
                const repeated = attempt({ body: "a", behaviour: "answers", remainingMs: 10_000 });
                await scheduler.waitIdle();
                const repeatedOutcome = await repeated;
                assert.ok(runs.length <= 1, `ran ${runs.length} times after a repeat`);
                const data = repeatedOutcome.frames.find(frame => frame.$case === "data");
                if (data?.$case === "data") assert.equal(data.data.toString(), "ran a");
                const mayBlock = runs[0] === "b" || plan.some(({ behaviour }) => /crashes|breaksOff/.test(behaviour));
                if (!mayBlock) assert.equal(verdictOf(repeatedOutcome), Verdict.ran, "the key stays blocked");
            },
        ),
        longTestParameters({ seed: 4, numRuns: 400 }),
    );
});

/** Runs attempts one after the other, without faults of the table service. */
async function runInTurn(...plan: Attempt[]): Promise<{ outcomes: Outcome[]; runs: string[]; }> {
    const step = () => Promise.resolve();
    const { attempt, runs } = createSimulation(createFakeTable([], step), step);
    const outcomes: Outcome[] = [];
    for (const item of plan) outcomes.push(await attempt(item));
    return { outcomes, runs };
}

// Guards against a repeated call that gets a different response from the first one, or none.
test("a repeated call gets the recorded answer", async () => {
    const call = { body: "a", behaviour: "answers", remainingMs: 10_000 } as const;
    const { outcomes: [first, second], runs } = await runInTurn(call, call);
    assert.deepEqual(runs, ["a"]);
    // Entries accept a response head only after the admission, which the simulated first attempt omits.
    assert.deepEqual(second?.frames.map(({ $case }) => $case), ["admitted", "head", "data", "end"]);
    assert.deepEqual(second?.frames[2], first?.frames[1]);
    const head = second?.frames[1];
    assert.ok(head?.$case === "head" && head.head.headers.some(({ name }) => name === REPLAYED_HEADER));
});

// Guards against replaying the response of one call to a different call that reuses the key by mistake.
test("the same key with another body is refused with 422", async () => {
    const { outcomes, runs } = await runInTurn(
        { body: "a", behaviour: "answers", remainingMs: 10_000 },
        { body: "b", behaviour: "answers", remainingMs: 10_000 },
    );
    const [frame] = outcomes[1]?.frames ?? [];
    assert.ok(frame?.$case === "refused");
    assert.deepEqual([frame.refused.status, frame.refused.verdict, runs.length], [422, "notRun", 1]);
});

// Guards against running a call again after the claim's holder crashed, and against waiting for its result forever.
test("a row of a dead holder answers 409 with mayHaveRun", async () => {
    const { outcomes } = await runInTurn(
        { body: "a", behaviour: "crashesAfterDispatch", remainingMs: 10_000 },
        { body: "a", behaviour: "answers", remainingMs: 10_000 },
    );
    const [frame] = outcomes[1]?.frames ?? [];
    assert.ok(frame?.$case === "refused");
    assert.deepEqual([frame.refused.status, frame.refused.verdict], [409, "mayHaveRun"]);
});

// Guards against running a call again because its response is too large for a row of the table service.
test("an answer that is too large to record is reported as run", async () => {
    const large = "x".repeat(MAX_RECORDED_BYTES + 1);
    const call = { body: large, behaviour: "answers", remainingMs: 10_000 } as const;
    const { outcomes, runs } = await runInTurn(call, call);
    assert.deepEqual([verdictOf(outcomes[1] as Outcome), runs.length], [Verdict.ran, 1]);
});

// Guards against a repeated call that runs again because the table service came back without the claim.
test("a call whose claim was lost while it ran is replayed", async () => {
    const rows = new Map<string, { value: unknown; etag: string; }>();
    const table = {
        read: async (_table: string, key: string) => {
            const row = rows.get(key);
            return row === undefined ? { kind: "missing" } : { kind: "found", ...row };
        },
        write: async (_table: string, key: string, value: unknown, condition: WriteCondition) => {
            const etag = condition.kind === "absent" ? undefined : condition.etag;
            if (rows.get(key)?.etag !== etag) return { kind: "conflict" };
            const written = `"${JSON.stringify(value).length}"`;
            rows.set(key, { value, etag: written });
            return { kind: "written", etag: written };
        },
    } as unknown as TableService;
    const claims = createClaims({ table, now: () => 0, sleep: () => Promise.resolve() });
    const frames: Frame[] = [];
    const sink: AnswerSink = {
        send: frame => frames.push(frame) > 0,
        waitForDrain: () => Promise.resolve(),
        end: () => undefined,
        signal: new AbortController().signal,
    };
    const request = { idempotencyKey: "k", method: "POST", path: "/", body: Buffer.from("b") } as DispatchRequest;
    const settlingSink = await claims.claim(request, 1000, sink);
    assert.ok(settlingSink);
    rows.clear();
    sendResponse(settlingSink, "first");
    await claims.waitForSettlements();
    frames.length = 0;
    assert.equal(await claims.claim(request, 1000, sink), undefined, "the call runs again");
    const data = frames.find(frame => frame.$case === "data");
    assert.ok(data?.$case === "data" && data.data.toString() === "ran first");
});
