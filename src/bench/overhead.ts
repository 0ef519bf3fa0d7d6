/**
 * Benchmark `overhead`: latency and CPU time that the path through entry and agent adds. Streamed requests are sent in
 * a closed loop below saturation, first directly to the engine and then through an entry. CPU time is the sum of the
 * entry and the agent.
 */
import { readFile } from "node:fs/promises";
import * as http from "node:http";
import type { Bench } from "./bench.js";
import { percentile, round, sendStream, type StreamOutcome } from "./load.js";
import { startPool } from "./pool.js";

const TOKENS_PER_REQUEST = 20;
const TOKENS_PER_SECOND = 500;
const CONCURRENT_STREAM_COUNT = 4;
const DURATION_MS = 8000;
const WARM_UP_MS = 1500;

/** Clock ticks per second, the unit of CPU times in /proc on Linux. */
const CLOCK_TICKS_PER_SECOND = 100;

export const run: Bench = async () => {
    const engine = { slots: 8, tokensPerSecond: TOKENS_PER_SECOND };
    const { fleet } = await startPool({ entries: 1, modelAgentCount: 1, engine }, "agentQueues");
    const httpAgent = new http.Agent({ keepAlive: true });
    try {
        const [entry] = fleet.entries;
        const [modelAgent] = fleet.modelAgents;
        if (entry === undefined || modelAgent === undefined) throw new Error("the fleet is incomplete");
        await runClosedLoop(entry.url, WARM_UP_MS, httpAgent);
        const direct = await runClosedLoop(modelAgent.url, DURATION_MS, httpAgent);
        const pids = [entry.pid, modelAgent.pid];
        const cpuBefore = await readCpuSeconds(pids);
        const viaEntry = await runClosedLoop(entry.url, DURATION_MS, httpAgent);
        const coreSeconds = await readCpuSeconds(pids) - cpuBefore;
        const totalMs = (outcomes: readonly StreamOutcome[]) => outcomes.map(({ sentAt, endedAt }) => endedAt - sentAt);
        const firstTokenMs = (outcomes: readonly StreamOutcome[]) =>
            outcomes.map(({ sentAt, tokenTimes }) => (tokenTimes[0] ?? Infinity) - sentAt);
        const addedMs = (durationsOf: typeof totalMs, fraction: number) => {
            return round(percentile(durationsOf(viaEntry), fraction) - percentile(durationsOf(direct), fraction), 2);
        };
        return {
            addedP50Ms: addedMs(firstTokenMs, 0.5),
            addedP99Ms: addedMs(firstTokenMs, 0.99),
            addedWholeP50Ms: addedMs(totalMs, 0.5),
            addedWholeP99Ms: addedMs(totalMs, 0.99),
            requestsPerSecondPerCore: round(viaEntry.length / coreSeconds, 1),
            tokensPerSecondPerCore: round(TOKENS_PER_REQUEST * viaEntry.length / coreSeconds, 0),
            requests: viaEntry.length,
            failed: viaEntry.filter(({ isComplete }) => !isComplete).length,
        };
    }
    finally {
        httpAgent.destroy();
        await fleet.stop();
    }
};

async function runClosedLoop(url: string, durationMs: number, httpAgent: http.Agent): Promise<StreamOutcome[]> {
    const endAt = performance.now() + durationMs;
    const outcomes: StreamOutcome[] = [];
    await Promise.all(Array.from({ length: CONCURRENT_STREAM_COUNT }, async (_, index) => {
        while (performance.now() < endAt) {
            const prompt = `overhead ${outcomes.length}`;
            const client = `client-${index % 4}`;
            const request = { url, client, rank: "standard", tokens: TOKENS_PER_REQUEST, prompt, httpAgent } as const;
            outcomes.push(await sendStream(request).ended);
        }
    }));
    return outcomes;
}

/** Returns the user and system CPU time of the processes since their start. */
async function readCpuSeconds(pids: readonly number[]): Promise<number> {
    const stats = await Promise.all(pids.map(pid => readFile(`/proc/${pid}/stat`, "utf8")));
    const ticks = stats.map(text => {
        // The process name in parentheses may contain spaces; user and system time are fields 14 and 15.
        const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
        return Number(fields[11]) + Number(fields[12]);
    });
    return ticks.reduce((sum, value) => sum + value, 0) / CLOCK_TICKS_PER_SECOND;
}
