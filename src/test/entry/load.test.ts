import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { connect } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PROFILE, startPool } from "../../bench/pool.js";
import { type Fleet, type FleetProcess, sendToEntry, waitUntil } from "../../harness/index.js";
import { sendRequest } from "../../lib/clients/index.js";
import type { EngineEvidence } from "../../lib/fakes/index.js";

interface PoolContext {
    readonly fleet: Fleet;
    readonly entry: FleetProcess;
    readonly runner: FleetProcess;
}

async function withPool(options: Parameters<typeof startPool>[0], run: (context: PoolContext) => Promise<void>) {
    const { fleet } = await startPool({ entries: 1, ...options }, "agentQueues");
    try {
        const [[entry], [runner]] = [fleet.entries, fleet.modelAgents];
        assert.ok(entry && runner);
        await run({ fleet, entry, runner });
    }
    finally {
        await fleet.stop();
    }
}

function complete(entry: FleetProcess, client: string, prompt: string, tokens: number) {
    const body = { model: PROFILE, stream: true, max_tokens: tokens, prompt };
    return sendToEntry(entry, "POST", "/v1/completions", client, body);
}

async function readEngineCounters({ url }: FleetProcess): Promise<EngineEvidence> {
    return JSON.parse((await sendRequest({ method: "GET", url: `${url}/evidence` })).body.toString());
}

async function residentBytes({ pid }: FleetProcess): Promise<number> {
    const status = await readFile(`/proc/${pid}/status`, "utf8");
    return 1024 * Number(/^VmRSS:\s+(\d+) kB/m.exec(status)?.[1]);
}

// Guards against memory that grows while a caller doesn't read, against a slot at the engine that is never freed, and
// against delays for other callers.
test("a caller that reads nothing costs bounded memory, loses its slot, and harms no other", async context => {
    const engine = { slots: 2, tokensPerSecond: 500, fillerBytes: 32 * 1024 };
    await withPool({ modelAgentCount: 1, engine }, async ({ fleet, entry, runner }) => {
        await complete(entry, "client-1", "warm-up", 20);
        const before = [await residentBytes(entry), await residentBytes(runner)];
        const body = JSON.stringify({ model: PROFILE, stream: true, max_tokens: 20_000, prompt: "unread" });
        const socket = connect(Number(new URL(entry.url).port), "127.0.0.1");
        socket.on("error", () => undefined);
        socket.pause();
        socket.write(
            "POST /v1/completions HTTP/1.1\r\nhost: e\r\nauthorization: Bearer client-0\r\n" +
                `content-length: ${body.length}\r\n\r\n${body}`,
        );
        const startedAt = performance.now();
        let servedOthers = 0;
        let peaks = before;
        for (let isFreed = false; !isFreed; isFreed = (await fleet.readState(runner)).running === 0) {
            assert.ok(performance.now() - startedAt < 45_000, "the slot isn't freed within 45 s");
            assert.equal((await complete(entry, "client-1", "other", 2)).status, 200);
            servedOthers++;
            const sizes = [await residentBytes(entry), await residentBytes(runner)];
            peaks = peaks.map((peak, index) => Math.max(peak, sizes[index] ?? 0));
            await sleep(250);
        }
        const growthMb = peaks.map((peak, index) => Math.round((peak - (before[index] ?? 0)) / 1e6));
        context.diagnostic(
            `freed after ${Math.round(performance.now() - startedAt)} ms; grown ${growthMb.join(", ")} MB`,
        );
        assert.ok(
            performance.now() - startedAt > 5000,
            "the slot was freed within 5 s, before the caller had fallen behind",
        );
        assert.ok(servedOthers >= 10, `only ${servedOthers} requests of the other caller were served`);
        assert.ok(
            growthMb.every(megabytes => megabytes < 64),
            `entry and agent grew by ${growthMb.join(", ")} MB`,
        );
        assert.equal((await readEngineCounters(runner)).cancelled, 1);
        socket.destroy();
    });
});

// Guards against routing that spreads a conversation over several engines, each of which processes its whole prompt.
test("requests with the same prefix find it in the cache of one engine", async () => {
    const CONVERSATIONS = 6;
    const ROUNDS = 5;
    const BLOCKS_PER_CONVERSATION = 32;
    const engine = {
        slots: 8,
        tokensPerSecond: 500,
        promptTokensPerSecond: 10_000,
        prefixCacheBlocks: (CONVERSATIONS - 1) * BLOCKS_PER_CONVERSATION,
    };
    await withPool({ modelAgentCount: 3, engine }, async ({ fleet, entry }) => {
        const readTotals = async () => {
            const counters = await Promise.all(fleet.modelAgents.map(readEngineCounters));
            return {
                promptTokens: counters.reduce((sum, { promptTokens }) => sum + promptTokens, 0),
                cached: counters.reduce((sum, { cachedPromptTokens }) => sum + cachedPromptTokens, 0),
            };
        };
        const runRound = async () => {
            for (let i = 0; i < CONVERSATIONS; i++) {
                const prompt = `conversation ${i} `.repeat(200).slice(0, 64 * BLOCKS_PER_CONVERSATION);
                assert.equal((await complete(entry, "client-0", prompt, 2)).status, 200);
            }
        };
        await runRound();
        const firstRound = await readTotals();
        assert.equal(firstRound.cached, 0);
        for (let i = 1; i < ROUNDS; i++) await runRound();
        const allRounds = await readTotals();
        // With random routing over the three engines, about 0.6 of the prompt tokens would be cached.
        const fraction = (allRounds.cached - firstRound.cached) / (allRounds.promptTokens - firstRound.promptTokens);
        assert.ok(fraction >= 0.9, `${fraction.toFixed(2)} of the prompt tokens were cached`);
    });
});

// Guards against a concurrency limit that doesn't fall while the engine misses the target interval between tokens, and
// against one that never rises again.
test("the concurrency limit falls while tokens come too slowly, and recovers", async () => {
    await withPool(
        { modelAgentCount: 1, engine: { slots: 8, tokensPerSecond: 50 } },
        async ({ fleet, entry, runner }) => {
            let isSending = true;
            const limit = async () => (await fleet.readState(runner)).concurrencyLimit;
            const callers = Array.from({ length: 16 }, async (_, index) => {
                while (isSending) await complete(entry, `client-${index % 4}`, `limit ${index}`, 8);
            });
            try {
                assert.equal(await limit(), 8);
                await fleet.setFaults(runner.url, { tokensPerSecond: 10 });
                await waitUntil("the limit has fallen", async () => await limit() <= 6, 15_000);
                await fleet.setFaults(runner.url, { tokensPerSecond: 0 });
                await waitUntil("the limit has recovered", async () => await limit() === 8, 15_000);
            }
            finally {
                isSending = false;
                await Promise.all(callers);
            }
        },
    );
});
