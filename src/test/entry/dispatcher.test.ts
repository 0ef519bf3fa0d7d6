import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PROFILE, startPool } from "../../bench/pool.js";
import { type Fleet, type FleetProcess, sendToEntry } from "../../harness/index.js";
import { sendRequest } from "../../lib/clients/index.js";
import { expectedToken } from "../../lib/fakes/index.js";

const ENGINE = { slots: 8, tokensPerSecond: 50 };

function complete(entry: FleetProcess | undefined, prompt: string, tokens: number, headers = {}) {
    assert.ok(entry);
    const body = { model: PROFILE, stream: true, max_tokens: tokens, prompt };
    return sendToEntry(entry, "POST", "/v1/completions", "client-0", body, headers);
}

function outputOf(body: Buffer): string {
    const events = body.toString().split("\n\n").filter(event => event.startsWith("data: {"));
    return events.map(event => {
        const parsed = JSON.parse(event.slice("data: ".length)) as { choices?: { delta: { content: string; }; }[]; };
        return parsed.choices?.[0]?.delta.content ?? event;
    }).join("");
}

function expectedOutput(digest: string, prompt: string, tokens: number): string {
    return Array.from({ length: tokens }, (_, position) => expectedToken(digest, prompt, position)).join("");
}

async function readEngineCounters(
    { url }: FleetProcess,
): Promise<{ started: number; completed: number; cancelled: number; }> {
    return JSON.parse((await sendRequest({ method: "GET", url: `${url}/evidence` })).body.toString());
}

async function withPool(
    options: Parameters<typeof startPool>[0],
    run: (fleet: Fleet, rootDigest: string) => Promise<void>,
): Promise<void> {
    const { fleet, rootDigest } = await startPool({ engine: ENGINE, ...options }, "agentQueues");
    try {
        await run(fleet, rootDigest);
    }
    finally {
        await fleet.stop();
    }
}

// Guards against requests that are cut off at, or dispatched to, a leaving agent while the VM list still shows it as
// live, and against losing the requests in its queue.
test("SIGTERM on an agent cuts no request, and new and queued ones run elsewhere", async () => {
    await withPool({ entries: 1, modelAgentCount: 2 }, async (fleet, digest) => {
        const [entry] = fleet.entries;
        const early = Array.from({ length: 24 }, (_, i) => complete(entry, `early ${i}`, 50));
        await sleep(400);
        const [leaving] = fleet.modelAgents;
        const stopped = leaving?.stop(20_000);
        const late = Array.from({ length: 8 }, async (_, i) => {
            await sleep(100 * i);
            return complete(entry, `late ${i}`, 10);
        });
        const responses = await Promise.all([...early, ...late]);
        responses.forEach((response, i) => {
            const [prompt, tokens] = i < 24 ? [`early ${i}`, 50] : [`late ${i - 24}`, 10];
            assert.equal(outputOf(response.body), expectedOutput(digest, prompt, tokens), `request ${i}`);
        });
        assert.equal(await stopped, 0);
    });
});

// Guards against a graceful shutdown of an entry that cuts off the responses it is relaying.
test("SIGTERM on an entry cuts no request", async () => {
    await withPool({ entries: 1, modelAgentCount: 1 }, async (fleet, digest) => {
        const [entry] = fleet.entries;
        const responses = Array.from({ length: 6 }, (_, i) => complete(entry, `p${i}`, 60));
        await sleep(300);
        const stopped = entry?.stop(20_000);
        (await Promise.all(responses)).forEach((response, i) => {
            assert.equal(outputOf(response.body), expectedOutput(digest, `p${i}`, 60));
        });
        assert.equal(await stopped, 0);
    });
});

// Guards against requests that wait until their deadline at an agent whose process is suspended.
test("an agent that falls silent loses its attempts, and they run elsewhere", async () => {
    await withPool({ entries: 1, modelAgentCount: 2 }, async (fleet, digest) => {
        const [entry] = fleet.entries;
        fleet.modelAgents[0]?.signal("SIGSTOP");
        const startedAt = performance.now();
        const responses = await Promise.all(Array.from({ length: 6 }, (_, i) => complete(entry, `s${i}`, 5)));
        responses.forEach((response, i) => assert.equal(outputOf(response.body), expectedOutput(digest, `s${i}`, 5)));
        assert.ok(performance.now() - startedAt < 8000);
        fleet.modelAgents[0]?.signal("SIGCONT");
    });
});

// Guards against repeated, skipped or mixed output after an engine breaks off a stream, and against malformed events
// that reach a caller.
test("a broken stream resumes at the exact position, and malformed events end in an explicit error", async () => {
    await withPool({ entries: 1, modelAgentCount: 2 }, async (fleet, digest) => {
        const [entry] = fleet.entries;
        for (const { url } of fleet.modelAgents) await fleet.setFaults(url, { breakAfterTokens: 7 });
        const resumed = await complete(entry, "resumed", 13);
        assert.equal(outputOf(resumed.body), expectedOutput(digest, "resumed", 13));
        assert.ok(resumed.body.toString().endsWith("data: [DONE]\n\n"));

        for (const { url } of fleet.modelAgents) await fleet.setFaults(url, { breakAfterTokens: 0, malformed: true });
        const malformed = await complete(entry, "malformed", 5);
        assert.equal(malformed.status, 502, malformed.body.toString());
        assert.equal(malformed.headers["endivewell-verdict"], "mayHaveRun");
    });
});

// Guards against work that continues at an engine, or stays queued, after its caller has disconnected.
test("a caller's disconnect cancels running and queued work", async () => {
    await withPool({ entries: 1, modelAgentCount: 1 }, async (fleet, digest) => {
        const [entry] = fleet.entries;
        const [runner] = fleet.modelAgents;
        assert.ok(entry && runner);
        const cancellations = Array.from({ length: 16 }, () => new AbortController());
        const body = JSON.stringify({ model: PROFILE, stream: true, max_tokens: 1000, prompt: "left" });
        const headers = { authorization: "Bearer client-0", "content-type": "application/json" };
        // One signal each, because Node.js warns about a leak when more than 10 requests listen to the same one.
        const requests = cancellations.map(({ signal }) => {
            const request = { method: "POST", url: `${entry.url}/v1/completions`, headers, body };
            return sendRequest({ ...request, signal }).catch(() => undefined);
        });
        await sleep(500);
        const busy = await fleet.readState(runner);
        assert.deepEqual([busy.running, busy.queued], [8, 8]);
        cancellations.forEach(cancellation => cancellation.abort());
        await Promise.all(requests);
        await sleep(500);
        const idle = await fleet.readState(runner);
        assert.deepEqual([idle.running, idle.queued], [0, 0]);
        assert.equal((await readEngineCounters(runner)).cancelled, 8);
        assert.equal(outputOf((await complete(entry, "next", 3)).body), expectedOutput(digest, "next", 3));
    });
});

// Guards against responses that are truncated or mixed when an agent's process is killed while it relays them.
test("answers of a killed agent go on elsewhere at the exact position", async () => {
    await withPool({ entries: 1, modelAgentCount: 2 }, async (fleet, digest) => {
        const responses = Array.from({ length: 8 }, (_, i) => complete(fleet.entries[0], `k${i}`, 50));
        await sleep(500);
        fleet.modelAgents[0]?.signal("SIGKILL");
        (await Promise.all(responses)).forEach((response, i) => {
            assert.equal(outputOf(response.body), expectedOutput(digest, `k${i}`, 50));
        });
    });
});

// Guards against new work at a VM that only the platform's list shows as leaving, and against cutting off the requests
// in progress there.
test("a VM that the list calls leaving gets no new work and finishes what it has", async () => {
    await withPool({ entries: 1, modelAgentCount: 2 }, async (fleet, digest) => {
        const [entry] = fleet.entries;
        const [leaving] = fleet.modelAgents;
        assert.ok(leaving);
        const early = Array.from({ length: 4 }, (_, i) => complete(entry, `e${i}`, 150));
        await sleep(300);
        const url = `${fleet.platformUrl}/vms/${leaving.name}`;
        await sendRequest({ method: "PUT", url, body: JSON.stringify({ ...leaving.vm, state: "leaving" }) });
        await sleep(1500);
        const before = (await fleet.readState(leaving)).running;
        const late = await Promise.all(Array.from({ length: 6 }, (_, i) => complete(entry, `l${i}`, 5)));
        late.forEach((response, i) => assert.equal(outputOf(response.body), expectedOutput(digest, `l${i}`, 5)));
        (await Promise.all(early)).forEach((response, i) => {
            assert.equal(outputOf(response.body), expectedOutput(digest, `e${i}`, 150));
        });
        assert.equal((await readEngineCounters(leaving)).completed, before);
    });
});

// Guards against new work at a leaving VM after the limit of 3 s. One VM's agent is stopping while the list shows it as
// live for the whole test; the other is leaving only according to the list.
test("leaving VMs get no new work after 3 s, counted at their engines", async () => {
    await withPool({ entries: 2, modelAgentCount: 3 }, async (fleet, digest) => {
        const [stopped, listed] = fleet.modelAgents;
        assert.ok(stopped && listed);
        let isDone = false;
        const callers = Array.from({ length: 12 }, async (_, caller) => {
            for (let i = 0; !isDone; i++) {
                const prompt = `${caller} ${i}`;
                const response = await complete(fleet.entries[caller % 2], prompt, 4);
                assert.equal(outputOf(response.body), expectedOutput(digest, prompt, 4));
            }
        });
        // Long requests keep the stopping agent running, so that its engine's counts can be read.
        const longRequests = Array.from({ length: 12 }, (_, i) => complete(fleet.entries[i % 2], `long ${i}`, 350));
        const readStartedCounts = async () =>
            (await Promise.all([readEngineCounters(stopped), readEngineCounters(listed)])).map(({ started }) =>
                started
            );
        await sleep(1000);
        const atNotice = await readStartedCounts();
        const exit = stopped.stop(20_000);
        const url = `${fleet.platformUrl}/vms/${listed.name}`;
        await sendRequest({ method: "PUT", url, body: JSON.stringify({ ...listed.vm, state: "leaving" }) });
        await sleep(3000);
        const atLimit = await readStartedCounts();
        await sleep(2000);
        const isStillRunning = stopped.isRunning();
        const later = await readStartedCounts();
        isDone = true;
        await Promise.all(callers);
        (await Promise.all(longRequests)).forEach((response, i) => {
            assert.equal(outputOf(response.body), expectedOutput(digest, `long ${i}`, 350));
        });
        assert.ok(atNotice.every(count => count > 10), `${atNotice} requests before the VMs left`);
        assert.ok(isStillRunning, "the agent stopped before the counts were taken");
        assert.deepEqual(later, atLimit);
        assert.equal(await exit, 0);
    });
});

// Guards against a response that ends normally although its engine reloaded the weights during it, and against one that
// continues to its end although the agent has seen the engine restart.
test("an engine that restarts in the middle of answers ends each with an explicit error at once", async () => {
    await withPool(
        { entries: 1, modelAgentCount: 1, engine: { ...ENGINE, ignoresFence: true } },
        async (fleet, digest) => {
            const [entry] = fleet.entries;
            const [runner] = fleet.modelAgents;
            assert.ok(entry && runner);
            const body = { model: PROFILE, max_tokens: 300, prompt: "whole" };
            const whole = sendToEntry(entry, "POST", "/v1/completions", "client-1", body).catch(() => undefined);
            const streamed = Array.from({ length: 4 }, (_, i) => complete(entry, `r${i}`, 300));
            await sleep(1000);
            const restartedAt = performance.now();
            await sendRequest({ method: "POST", url: `${runner.url}/restart` });
            for (const response of await Promise.all(streamed)) {
                const text = response.body.toString();
                assert.match(text, /"error":\{"message":"the engine changed its version during the answer".*"ran"/);
                assert.ok(!text.includes("[DONE]"), text.slice(-200));
            }
            assert.ok(performance.now() - restartedAt < 3000, "the responses continued for 3 s after the restart");
            assert.notEqual((await whole)?.status, 200);
            const next = await complete(entry, "next", 3);
            if (next.status === 200) assert.equal(outputOf(next.body), expectedOutput(digest, "next", 3));
        },
    );
});
