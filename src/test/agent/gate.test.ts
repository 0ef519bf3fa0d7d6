import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { AnswerSink } from "../../lib/agent/answerSink.js";
import { createGate, type Gate } from "../../lib/agent/gate.js";
import { DEFAULT_QUEUE_POLICY, DONE_EVENT } from "../../lib/core/index.js";
import type { AnswerFrame, DispatchRequest } from "../../lib/rpc/index.js";

type Frame = NonNullable<AnswerFrame["frame"]>;

const STATE = { digest: "d", generation: 1, fence: 1 };

interface Harness {
    readonly gate: Gate;
    /** Sets the state last read by the agent and, if `atEngine` is given, a different actual state of the engine. */
    readonly setServing: (state: typeof STATE, atEngine?: typeof STATE) => void;
    readonly setDigest: (digest: string) => void;
    /** Sets what happens while a claim is made. */
    readonly onClaim: (listener: () => void) => void;
    /** Simulates a pause of the process. */
    readonly pauseFor: (ms: number) => void;
}

async function withGate(
    respond: (response: ServerResponse) => void,
    concurrency: number,
    run: (harness: Harness) => Promise<void>,
): Promise<void> {
    const server = createServer((_request, response) => {
        const engineHeaders = { "x-engine-digest": STATE.digest, "x-engine-generation": String(STATE.generation) };
        response.writeHead(200, { "content-type": "text/event-stream", ...engineHeaders });
        respond(response);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    let serving = STATE;
    let atEngine: typeof STATE | undefined;
    let claimListener = () => undefined as void;
    let pausedMs = 0;
    const gate = createGate({
        backendUrl: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
        kind: "model",
        serving: () => serving,
        engine: { readState: async () => atEngine ?? serving, load: async () => undefined },
        concurrency,
        policy: () => DEFAULT_QUEUE_POLICY,
        ranked: true,
        onChange: () => undefined,
        // These tests send no calls with an idempotency key, so nothing is written.
        claims: {
            claim: async (_request, _deadline, sink) => {
                claimListener();
                return sink;
            },
            waitForSettlements: async () => undefined,
        },
        now: () => Date.now() + pausedMs,
    });
    try {
        await run({
            gate,
            setServing: (state, engineState) => void ([serving, atEngine] = [state, engineState]),
            setDigest: digest => void (serving = { ...STATE, digest }),
            onClaim: listener => claimListener = listener,
            pauseFor: ms => void (pausedMs += ms),
        });
    }
    finally {
        server.closeAllConnections();
        await new Promise(resolve => server.close(resolve));
    }
}

function request(attemptId: string): DispatchRequest {
    return {
        attemptId,
        requestId: attemptId,
        client: "c",
        rank: "standard",
        profile: "p",
        rootDigest: STATE.digest,
        profileRevision: 1,
        remainingMs: 10_000,
        estimatedTokens: 2,
        method: "POST",
        path: "/v1/completions",
        headers: [],
        body: Buffer.from("{}"),
        idempotencyKey: "",
        idempotent: true,
        resumePosition: 0,
    };
}

function createSink(send: (frame: Frame) => boolean = () => true, waitForDrain = async () => undefined as void) {
    const frames: Frame[] = [];
    const sink: AnswerSink = {
        send: frame => {
            frames.push(frame);
            return send(frame);
        },
        waitForDrain,
        end: () => undefined,
        signal: new AbortController().signal,
    };
    return { sink, kinds: () => frames.map(({ $case }) => $case), frames };
}

// Guards against an agent that goes on after a pause and runs a call whose caller has given up meanwhile.
test("a call whose deadline passed during a pause is refused as not run", async () => {
    let runCount = 0;
    const respond = (response: ServerResponse) => {
        runCount++;
        response.end("data: {}\n\ndata: [DONE]\n\n");
    };
    await withGate(respond, 1, async ({ gate, onClaim, pauseFor }) => {
        const { remainingMs } = request("a");
        onClaim(() => pauseFor(remainingMs));
        const late = createSink();
        await gate.dispatch(request("late"), late.sink);
        assert.match(JSON.stringify(late.frames), /"notRun".*"the deadline has passed"/);
        assert.equal(runCount, 0);
        onClaim(() => pauseFor(remainingMs / 2));
        const inTime = createSink();
        await gate.dispatch(request("in time"), inTime.sink);
        assert.deepEqual([inTime.kinds()[0], runCount], ["admitted", 1]);
    });
});

// Guards against a version switch that interrupts or loses requests, or runs one on a version it isn't bound to.
test("a pause lets running requests finish and keeps queued ones queued until it ends", async () => {
    const responses: ServerResponse[] = [];
    await withGate(response => void responses.push(response), 1, async ({ gate, setDigest }) => {
        const sinks = [createSink(), createSink(), createSink()];
        const dispatches = sinks.map(({ sink }, i) => gate.dispatch(request(`a${i}`), sink));
        while (responses.length < 1) await sleep(5);
        let paused = false;
        const pausing = gate.pause().then(pause => {
            paused = true;
            return pause;
        });
        await sleep(30);
        assert.equal(paused, false);
        responses[0]?.end("data: {}\n\ndata: [DONE]\n\n");
        const pause = await pausing;
        assert.deepEqual(sinks.map(({ kinds }) => kinds().at(-1)), ["end", undefined, undefined]);
        assert.equal(gate.load().queued, 2);
        pause.resume();
        while (responses.length < 2) await sleep(5);
        setDigest("another");
        responses[1]?.end("data: {}\n\ndata: [DONE]\n\n");
        await Promise.all(dispatches);
        const [, second, third] = sinks;
        assert.match(JSON.stringify(second?.frames.at(-1)), /changed its version during the answer/);
        assert.deepEqual(third?.kinds(), ["refused"]);
        assert.match(JSON.stringify(third?.frames), /notRun/);
    });
});

// Guards against unbounded buffering of a response while its caller reads slowly.
test("nothing more is sent while the reader is slow, and the slot of a stalled reader is freed", async () => {
    const event = `data: "${"x".repeat(1000)}"\n\n`;
    const respond = (response: ServerResponse) => {
        const write = () => {
            while (!response.destroyed && response.write(event.repeat(50))) { /* until the socket is full */ }
        };
        response.on("drain", write);
        write();
    };
    await withGate(respond, 1, async ({ gate }) => {
        let bytes = 0;
        let stall: (error: Error) => void = () => undefined;
        const stalled = new Promise<void>((_resolve, reject) => stall = reject);
        const { sink, frames } = createSink(frame => {
            if (frame.$case === "data") bytes += frame.data.length;
            return frame.$case !== "data";
        }, () => stalled);
        const dispatched = gate.dispatch(request("slow"), sink);
        await sleep(200);
        assert.ok(bytes > 0 && bytes < 512 * 1024, `${bytes} bytes were sent`);
        stall(new Error("the reader stalled"));
        await dispatched;
        assert.match(JSON.stringify(frames.at(-1)), /broke off/);
        assert.equal(gate.load().running, 0);
    });
});

// Guards against unbounded memory use when an engine sends an event without an end.
test("a response with an endless event is ended", async () => {
    const respond = (response: ServerResponse) => {
        response.write("data: ");
        for (let i = 0; i < 100; i++) response.write("x".repeat(10_000));
    };
    await withGate(respond, 1, async ({ gate }) => {
        const { sink, kinds } = createSink();
        await gate.dispatch(request("endless"), sink);
        assert.deepEqual(kinds(), ["admitted", "head", "end"]);
        assert.equal(gate.load().running, 0);
    });
});

// Guards against a drain that reports requests as not run although the gate has started them.
test("a drain refuses queued requests as not run and lets the running one finish", async () => {
    const responses: ServerResponse[] = [];
    await withGate(response => void responses.push(response), 1, async ({ gate }) => {
        const [running, queued] = [createSink(), createSink()];
        const dispatches = [gate.dispatch(request("r"), running.sink), gate.dispatch(request("q"), queued.sink)];
        while (responses.length < 1) await sleep(5);
        const drained = gate.drain();
        await dispatches[1];
        assert.deepEqual(queued.kinds(), ["refused"]);
        responses[0]?.end("data: {}\n\ndata: [DONE]\n\n");
        await drained;
        assert.deepEqual(running.kinds(), ["admitted", "head", "data", "data", "end"]);
        assert.deepEqual(running.frames[3], { $case: "data", data: DONE_EVENT });
    });
});

// Guards against starting queued requests on a VM that the platform lists as leaving, or in an evacuated failure domain.
for (const reason of ["setListedLeaving", "setEvacuated"] as const) {
    test(`after ${reason}, queued and new requests are refused until it is withdrawn`, async () => {
        const responses: ServerResponse[] = [];
        await withGate(response => void responses.push(response), 1, async ({ gate }) => {
            const [running, queued, late, later] = [createSink(), createSink(), createSink(), createSink()];
            const dispatches = [gate.dispatch(request("r"), running.sink), gate.dispatch(request("q"), queued.sink)];
            while (responses.length < 1) await sleep(5);
            gate[reason](true);
            await Promise.all([dispatches[1], gate.dispatch(request("late"), late.sink)]);
            assert.deepEqual([queued.kinds(), late.kinds()], [["refused"], ["refused"]]);
            responses[0]?.end("data: {}\n\ndata: [DONE]\n\n");
            await dispatches[0];
            assert.equal(running.kinds().at(-1), "end");
            gate[reason](false);
            const last = gate.dispatch(request("later"), later.sink);
            while (responses.length < 2) await sleep(5);
            responses[1]?.end("data: {}\n\ndata: [DONE]\n\n");
            await last;
            assert.equal(later.kinds().at(-1), "end");
        });
    });
}

// Guards against a response from two versions of the weights that ends like a valid one, and against forwarding
// more of it after the agent has read the engine's new state.
test("an answer whose engine reloads ends with an error and without the closing event", async () => {
    const event = "data: {}\n\n";
    const responses: ServerResponse[] = [];
    await withGate(response => void responses.push(response), 2, async ({ gate, setServing }) => {
        const [detectedAtEnd, detectedAtOnce] = [createSink(), createSink()];
        const first = gate.dispatch(request("end"), detectedAtEnd.sink);
        while (responses.length < 1) await sleep(5);
        responses[0]?.write(event);
        await sleep(30);
        setServing(STATE, { ...STATE, generation: 2 });
        responses[0]?.end("data: [DONE]\n\n");
        await first;
        setServing(STATE);
        const second = gate.dispatch(request("once"), detectedAtOnce.sink);
        while (responses.length < 2) await sleep(5);
        responses[1]?.write(event);
        await sleep(30);
        setServing({ digest: "", generation: 0, fence: 0 });
        responses[1]?.write(event);
        await sleep(30);
        assert.deepEqual(
            detectedAtOnce.kinds(),
            ["admitted", "head", "data", "data"],
            "an unreadable state doesn't count as a reload",
        );
        setServing({ digest: "", generation: 2, fence: 0 });
        responses[1]?.write(event);
        await second;
        assert.deepEqual(detectedAtEnd.kinds(), ["admitted", "head", "data", "end"]);
        assert.deepEqual(detectedAtOnce.kinds(), ["admitted", "head", "data", "data", "end"]);
        for (const { frames } of [detectedAtEnd, detectedAtOnce]) {
            assert.match(JSON.stringify(frames.at(-1)), /"ran".*changed its version during the answer/);
        }
    });
});
