import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { DONE_EVENT, type FrameKind, Rank, Verdict } from "../../lib/core/index.js";
import type { AgentDirectory, UsableAgent } from "../../lib/entry/agentDirectory.js";
import { createDispatcher } from "../../lib/entry/dispatcher.js";
import type { Work } from "../../lib/entry/work.js";
import type { AnswerFrame, Connections, DispatchRequest } from "../../lib/rpc/index.js";
import { longTestParameters } from "../longTest.js";

const DIGEST = "d";
const TOKENS = 6;
const AGENTS = ["a", "b", "c", "d", "e"];

/** How one agent responds to one attempt. */
interface Behaviour {
    /** Number of bytes of the response that are sent before the stream ends, unless `ending` is `end`. */
    readonly bytes: number;
    /**
     * `end`: the whole response and its end frame; `early`: an end frame without an error after `bytes`; `break`: the
     * connection fails after `bytes`; `void`: an end frame with an error after `bytes`; `silent`: the stream of frames
     * ends after `bytes` without an end frame.
     */
    readonly ending: "end" | "early" | "break" | "void" | "silent";
    /** Sizes of the data frames, used in turn. */
    readonly sizes: readonly number[];
    /** Stray frames, which don't belong to the response; `at` selects the position. */
    readonly strays: readonly { readonly at: number; readonly kind: FrameKind; readonly foreign: boolean; }[];
    readonly refuses: boolean;
    readonly digest: string;
}

const event = (position: number, digest = DIGEST) => `data: {"token":"${digest}.${position}"}\n\n`;

function framesOf(request: DispatchRequest, behaviour: Behaviour): AnswerFrame[] {
    const { attemptId, resumePosition } = request;
    const own = (frame: AnswerFrame["frame"]) => ({ attemptId, frame });
    if (behaviour.refuses) return [own(refused)];
    const positions = Array.from({ length: TOKENS - resumePosition }, (_, i) => resumePosition + i);
    const text = positions.map(position => event(position, behaviour.digest)).join("") + DONE_EVENT.toString();
    const sent = behaviour.ending === "end" ? text : text.slice(0, behaviour.bytes);
    const headers = [
        { name: "content-type", value: "text/event-stream" },
        { name: "x-engine-digest", value: behaviour.digest },
    ];
    const frames = [own({ $case: "admitted", admitted: { loadGeneration: 1, queueLength: 0 } })];
    frames.push(own({ $case: "head", head: { status: 200, headers } }));
    for (let offset = 0, i = 0; offset < sent.length; i++) {
        const size = behaviour.sizes[i % behaviour.sizes.length] ?? 1;
        frames.push(own({ $case: "data", data: Buffer.from(sent.slice(offset, offset + size)) }));
        offset += size;
    }
    const error = behaviour.ending === "void" ? "the engine changed its version during the answer" : "";
    const verdict = Verdict.ran;
    if (behaviour.ending !== "break" && behaviour.ending !== "silent") {
        frames.push(own({ $case: "end", end: { error, verdict, outputTokens: 0 } }));
    }
    const [admitted, head] = frames.map(({ frame }) => frame);
    // Foreign frames are inserted last, because they shift the positions of the attempt's own frames.
    for (const { at, kind, foreign } of behaviour.strays.toSorted((a, b) => Number(a.foreign) - Number(b.foreign))) {
        const frame = { data, end, refused, head, admitted }[kind];
        // Own frames are strays only where their kind is invalid: a second admission or head, or any after the end.
        if (foreign) frames.splice(at % (frames.length + 1), 0, { attemptId: "another", frame });
        else if (kind === "admitted" || kind === "head") frames.splice(2 + at % (frames.length - 1), 0, own(frame));
        else if (frames.at(-1)?.frame?.$case === "end") frames.push(own(frame));
    }
    return frames;
}

const data = { $case: "data", data: Buffer.from(event(99)) } as const;
const end = { $case: "end", end: { error: "", verdict: Verdict.ran, outputTokens: 0 } } as const;
const refused = {
    $case: "refused",
    refused: { verdict: Verdict.notRun, reason: "busy", retryAfterMs: 1, status: 0 },
} as const;

function fakeConnections(
    behaviours: readonly Behaviour[],
    onAttempt: (behaviour: Behaviour) => void,
): Connections {
    let attemptCount = 0;
    const dispatch = (request: DispatchRequest) => {
        const behaviour = behaviours[attemptCount++ % behaviours.length] as Behaviour;
        onAttempt(behaviour);
        async function* stream() {
            yield* framesOf(request, behaviour);
            if (behaviour.ending === "break") throw new Error("connection reset");
        }
        return Object.assign(stream(), { cancel: () => undefined });
    };
    return { connect: async () => true, agent: () => ({ dispatch }) } as unknown as Connections;
}

const directory = {
    usableAgents: () => AGENTS.map(address => ({ address, state, sentSinceReport: 0, isObserved: false })),
    trust: () => "usable",
    isEvacuated: () => false,
    recordDispatch: () => undefined,
} as unknown as AgentDirectory;

const state = { servingDigest: DIGEST, running: 0, queued: 0, concurrencyLimit: 8, predictedWaitMs: [0, 0, 0] } as
    & Partial<UsableAgent["state"]>
    & object;

const work: Work = {
    requestId: "r",
    client: "c",
    rank: Rank.standard,
    service: "models",
    profile: "p",
    profileRevision: 1,
    rootDigest: DIGEST,
    servedDigests: [DIGEST],
    method: "POST",
    path: "/v1/completions",
    headers: [],
    body: Buffer.from("{}"),
    buildResumedRequest: () => ({ body: Buffer.from("{}"), headers: [] }),
    prefix: "",
    isIdempotent: true,
    idempotencyKey: "",
    deadline: Number.MAX_SAFE_INTEGER,
    estimatedTokens: TOKENS,
};

const behaviour: fc.Arbitrary<Behaviour> = fc.record({
    bytes: fc.nat(190),
    ending: fc.constantFrom("end", "early", "break", "void", "silent"),
    sizes: fc.array(fc.integer({ min: 1, max: 60 }), { minLength: 1, maxLength: 5 }),
    strays: fc.array(
        fc.record({
            at: fc.nat(40),
            kind: fc.constantFrom<FrameKind>("admitted", "refused", "head", "data", "end"),
            foreign: fc.boolean(),
        }),
        { maxLength: 4 },
    ),
    refuses: fc.boolean(),
    digest: fc.constantFrom(DIGEST, DIGEST, DIGEST, "another"),
});

// Guards against output that is duplicated, lost, reordered or cut inside an event when attempts break off at any point
// and their frames are mixed with late, repeated and foreign ones, and against a response that ends normally although
// the agent invalidates it after its last token.
test("a caller gets each token once and in order, or an explicit error without the closing event", async () => {
    let resumedCount = 0;
    await fc.assert(
        fc.asyncProperty(fc.array(behaviour, { minLength: 1, maxLength: 4 }), async behaviours => {
            let lastBehaviour: Behaviour | undefined;
            const dispatcher = createDispatcher({
                directory,
                connections: fakeConnections(behaviours, behaviour => void (lastBehaviour = behaviour)),
                queue: undefined,
                routing: "predictedWork",
                now: () => 0,
                random: () => 0,
            });
            let output = "";
            let headCount = 0;
            try {
                const result = await dispatcher.dispatch(work, {
                    head: () => void headCount++,
                    data: async bytes => void (output += bytes.toString()),
                    signal: new AbortController().signal,
                });
                const tokens = Array.from({ length: TOKENS }, (_, i) => event(i)).join("");
                if (result.kind === "complete") assert.equal(output, tokens + DONE_EVENT.toString());
                else assert.ok(tokens.startsWith(output) && (output === "" || output.endsWith("\n\n")), output);
                if (result.kind === "complete") {
                    assert.ok(lastBehaviour?.ending === "end" || lastBehaviour?.ending === "early");
                }
                assert.equal(headCount, output === "" ? 0 : 1);
                const isBroken = behaviours[0]?.ending === "break" && behaviours[0].bytes > event(0).length;
                if (result.kind === "complete" && isBroken) resumedCount++;
            }
            finally {
                dispatcher.stop();
            }
        }),
        longTestParameters({ seed: 12, numRuns: 2000 }),
    );
    assert.ok(resumedCount > 20, `only ${resumedCount} responses were resumed`);
});
