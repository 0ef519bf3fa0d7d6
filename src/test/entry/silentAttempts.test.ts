import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Rank, Verdict } from "../../lib/core/index.js";
import type { AgentDirectory, UsableAgent } from "../../lib/entry/agentDirectory.js";
import { createDispatcher } from "../../lib/entry/dispatcher.js";
import type { DispatchResult, Work } from "../../lib/entry/work.js";
import type { AnswerFrame, Connections, DispatchRequest } from "../../lib/rpc/index.js";

const SILENT = "silent";
const OTHER = "other";

/** Longer than the silence after which an attempt moves to another agent. */
const SILENCE_MS = 4500;

/** What the silent agent has sent before it falls silent. */
type Progress = "nothing" | "admission" | "firstBytes";

interface Outcome {
    readonly result: DispatchResult;
    /** Agents at which the request was tried. */
    readonly addresses: readonly string[];
    readonly output: string;
}

const work: Work = {
    requestId: "r",
    client: "c",
    rank: Rank.standard,
    service: "bookings",
    profile: "",
    profileRevision: 0,
    rootDigest: "",
    servedDigests: [],
    method: "POST",
    path: "/book",
    headers: [],
    body: Buffer.alloc(0),
    prefix: "",
    isIdempotent: true,
    idempotencyKey: "",
    deadline: Number.MAX_SAFE_INTEGER,
    estimatedTokens: 1,
};

const FRAMES = [
    { $case: "admitted", admitted: { loadGeneration: 0, queueLength: 0 } },
    { $case: "head", head: { status: 200, headers: [] } },
    { $case: "data", data: Buffer.from("first ") },
    { $case: "data", data: Buffer.from("last") },
    { $case: "end", end: { error: "", verdict: Verdict.ran, outputTokens: 0 } },
] as const satisfies AnswerFrame["frame"][];

const SENT_FRAME_COUNTS = { nothing: 0, admission: 1, firstBytes: 3 } as const;

/** Dispatches requests to an agent that falls silent and goes on later, beside one with `otherSlots` slots. */
async function dispatchAll(
    count: number,
    { otherSlots, progress = "nothing" }: { otherSlots: number; progress?: Progress; },
    changes: Partial<Work> = {},
): Promise<Outcome[]> {
    let isSilent = false;
    let sentToOther = 0;
    const addressesByRequest = new Map<string, string[]>();

    function usableAgents(): UsableAgent[] {
        const state = { running: 0, queued: 0, servingDigest: "", predictedWaitMs: [0, 0, 0], concurrencyLimit: 100 };
        const other = {
            address: OTHER,
            state: { ...state, concurrencyLimit: otherSlots },
            sentSinceReport: sentToOther,
            isObserved: false,
        };
        const agents = isSilent ? [other] : [{ address: SILENT, state, sentSinceReport: 0, isObserved: false }];
        return agents as unknown as UsableAgent[];
    }

    function dispatch(address: string, request: DispatchRequest) {
        addressesByRequest.get(request.requestId)?.push(address);
        const cancellation = new AbortController();
        async function* stream(): AsyncGenerator<AnswerFrame> {
            const sentCount = address === SILENT ? SENT_FRAME_COUNTS[progress] : FRAMES.length;
            const toFrame = (frame: AnswerFrame["frame"]) => ({ attemptId: request.attemptId, frame });
            yield* FRAMES.slice(0, sentCount).map(toFrame);
            if (sentCount === FRAMES.length) return;
            await sleep(SILENCE_MS, undefined, { signal: cancellation.signal });
            yield* FRAMES.slice(sentCount).map(toFrame);
        }
        return Object.assign(stream(), { cancel: () => cancellation.abort() });
    }

    const directory = {
        usableAgents,
        trust: (address: string) => address === SILENT ? "silent" : "usable",
        isEvacuated: () => false,
        recordDispatch: (address: string) => void (sentToOther += address === OTHER ? 1 : 0),
    } as unknown as AgentDirectory;
    const connections = {
        connect: async () => true,
        agent: (address: string) => ({ dispatch: (request: DispatchRequest) => dispatch(address, request) }),
    } as unknown as Connections;
    const now = () => performance.now();
    const options = {
        directory,
        connections,
        queue: undefined,
        routing: "predictedWork",
        now,
        random: () => 0,
    } as const;
    const dispatcher = createDispatcher(options);
    try {
        const outcomes = Array.from({ length: count }, async (_, i) => {
            const addresses: string[] = [];
            addressesByRequest.set(String(i), addresses);
            let output = "";
            const result = await dispatcher.dispatch({ ...work, ...changes, requestId: String(i) }, {
                head: () => undefined,
                data: async bytes => void (output += bytes.toString()),
                signal: new AbortController().signal,
            });
            return { result, addresses, output };
        });
        await sleep(500);
        isSilent = true;
        return await Promise.all(outcomes);
    }
    finally {
        dispatcher.stop();
    }
}

function countMoved(outcomes: readonly Outcome[]): number {
    for (const { result, output } of outcomes) {
        assert.deepEqual([result.kind, output], ["complete", "first last"], JSON.stringify(result));
    }
    return outcomes.filter(({ addresses }) => addresses.length > 1).length;
}

// Guards against accepted requests that end in an error because their silent agent is given up for agents that have no
// free slots, or beyond the retry budget.
test("a silent agent keeps the requests that no other agent takes over", { concurrency: true }, async t => {
    const cases: [string, number, number, Parameters<typeof dispatchAll>[1], Partial<Work>?][] = [
        ["there are free slots", 3, 3, { otherSlots: 8 }],
        ["no slot is free", 3, 0, { otherSlots: 0 }],
        ["one slot is free", 3, 1, { otherSlots: 1 }],
        ["the retry budget covers 20 requests, and two more once these have succeeded", 25, 22, { otherSlots: 100 }],
        ["the caller has received a part", 1, 0, { otherSlots: 8, progress: "firstBytes" }],
        ["the call may not be repeated", 1, 0, { otherSlots: 8 }, { isIdempotent: false }],
        ["the call with a key isn't admitted", 1, 1, { otherSlots: 8 }, { isIdempotent: false, idempotencyKey: "k" }],
        [
            "the call with a key is admitted",
            1,
            0,
            { otherSlots: 8, progress: "admission" },
            { isIdempotent: false, idempotencyKey: "k" },
        ],
    ];
    await Promise.all(cases.map(([name, count, movedCount, agents, changes]) => {
        return t.test(
            name,
            async () => assert.equal(countMoved(await dispatchAll(count, agents, changes)), movedCount),
        );
    }));
});
