import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PROFILE, startPool } from "../../bench/pool.js";
import { type FleetProcess, sendToEntry } from "../../harness/index.js";

const LIMITS = { connections: 100, requestMs: 1500, requestsPerClient: 10, bodyBytes: 8192, bufferedBodyBytes: 65536 };

function openSocket(url: string, text: string): Socket {
    const socket = connect(Number(new URL(url).port), "127.0.0.1", () => void socket.write(text));
    socket.on("error", () => undefined);
    socket.resume();
    return socket;
}

/** Returns the peak resident set size of the process. */
async function peakResidentBytes({ pid }: FleetProcess): Promise<number> {
    const status = await readFile(`/proc/${pid}/status`, "utf8");
    return 1024 * Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1]);
}

// Guards against callers that exhaust the entry's connections, memory or slots: idle connections, slow senders, endless
// bodies, and one account with unlimited concurrent requests.
test("abuse by some callers is bounded and others are served", async context => {
    const engine = { slots: 8, tokensPerSecond: 50 };
    const { fleet } = await startPool(
        { entries: 1, modelAgentCount: 1, engine, entrySettings: { limits: LIMITS } },
        "agentQueues",
    );
    const sockets: Socket[] = [];
    try {
        const [entry] = fleet.entries;
        assert.ok(entry);
        const body = { model: PROFILE, max_tokens: 2, prompt: "others" };
        const serveOther = async (phase: string) => {
            const response = await sendToEntry(entry, "POST", "/v1/completions", "client-1", body);
            assert.equal(response.status, 200, `${phase}: ${response.body.toString()}`);
        };
        const requestHead = (header: string) => {
            return `POST /v1/completions HTTP/1.1\r\nhost: e\r\nauthorization: Bearer client-0\r\n${header}\r\n\r\n`;
        };

        await serveOther("no abuse");
        const peakBytesBefore = await peakResidentBytes(entry);
        for (let i = 0; i < 200; i++) sockets.push(openSocket(entry.url, ""));
        await sleep(300);
        await serveOther("idle connections");

        const slowSenders = Array.from({ length: 20 }, () => openSocket(entry.url, requestHead("content-length: 100")));
        const endlessBodies = Array.from(
            { length: 4 },
            () => openSocket(entry.url, requestHead("transfer-encoding: chunked")),
        );
        const megabyteChunk = `100000\r\n${"x".repeat(0x100000)}\r\n`;
        sockets.push(...slowSenders, ...endlessBodies);
        const timer = setInterval(() => {
            for (const socket of slowSenders) if (!socket.destroyed) socket.write("x");
            for (const socket of endlessBodies) if (!socket.destroyed) socket.write(megabyteChunk);
        }, 50);
        await serveOther("slow senders");
        await sleep(4000);
        clearInterval(timer);
        assert.ok(slowSenders.every(socket => socket.closed), "slow senders are disconnected");
        assert.ok(endlessBodies.every(socket => socket.closed), "an endless body is cut off");

        const concurrentResponses = await Promise.all(Array.from({ length: 30 }, () => {
            return sendToEntry(entry, "POST", "/v1/completions", "client-0", { ...body, max_tokens: 40 });
        }));
        const refused = concurrentResponses.filter(({ status }) => status === 429);
        assert.equal(refused.length, 20);
        assert.ok(refused.every(({ headers }) => headers["endivewell-verdict"] === "notRun" && headers["retry-after"]));
        await serveOther("parallel calls");
        const growthMb = Math.round((await peakResidentBytes(entry) - peakBytesBefore) / 1e6);
        context.diagnostic(`the entry grew by ${growthMb} MB`);
        assert.ok(growthMb < 48, `the entry grew by ${growthMb} MB`);
    }
    finally {
        for (const socket of sockets) socket.destroy();
        await fleet.stop();
    }
});

// Guards against responses that hold a slot for longer than the settings allow (`limits.answerMs`).
test("an answer that exceeds the longest time ends with an explicit error and frees its slot", async () => {
    const engine = { slots: 8, tokensPerSecond: 50 };
    const { fleet } = await startPool(
        { entries: 1, modelAgentCount: 1, engine, entrySettings: { limits: { answerMs: 1000 } } },
        "agentQueues",
    );
    try {
        const [entry] = fleet.entries;
        const [runner] = fleet.modelAgents;
        assert.ok(entry && runner);
        const body = { model: PROFILE, stream: true, max_tokens: 500, prompt: "long" };
        const response = await sendToEntry(entry, "POST", "/v1/completions", "client-0", body);
        assert.match(response.body.toString(), /the deadline has passed/);
        await sleep(300);
        assert.equal((await fleet.readState(runner)).running, 0);
    }
    finally {
        await fleet.stop();
    }
});
