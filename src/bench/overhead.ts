/**
 * Cost of the path through entry and agent: streamed requests in a closed loop, first directly to the engine
 * and then through an entry, below saturation. Processor time is that of the entry and the agent together.
 */
import { readFile } from "node:fs/promises";
import * as http from "node:http";
import type { Bench } from "./bench.js";
import { type Outcome, percentile, round, sendStream } from "./load.js";
import { startPool } from "./pool.js";

const TOKENS = 20;
const TOKENS_PER_SECOND = 500;
const CONCURRENCY = 4;
const DURATION_MS = 8000;
const WARM_UP_MS = 1500;

/** Unit of the processor times that Linux reports. */
const CLOCK_TICKS_PER_SECOND = 100;

export const run: Bench = async () => {
    const engine = { slots: 8, tokensPerSecond: TOKENS_PER_SECOND };
    const { fleet } = await startPool({ entries: 1, runners: 1, engine }, "agentQueues");
    const agent = new http.Agent({ keepAlive: true });
    try {
        const [entry] = fleet.entries;
        const [runner] = fleet.runners;
        if (entry === undefined || runner === undefined) throw new Error("the fleet is incomplete");
        await closedLoop(entry.url, WARM_UP_MS, agent);
        const direct = await closedLoop(runner.url, DURATION_MS, agent);
        const pids = [entry.pid, runner.pid];
        const cpuBefore = await processorSeconds(pids);
        const through = await closedLoop(entry.url, DURATION_MS, agent);
        const coreSeconds = await processorSeconds(pids) - cpuBefore;
        const times = (outcomes: readonly Outcome[]) => outcomes.map(({ sentAt, endedAt }) => endedAt - sentAt);
        const first = (outcomes: readonly Outcome[]) =>
            outcomes.map(({ sentAt, tokenTimes }) => (tokenTimes[0] ?? Infinity) - sentAt);
        const added = (of: typeof times, fraction: number) => {
            return round(percentile(of(through), fraction) - percentile(of(direct), fraction), 2);
        };
        return {
            addedP50Ms: added(first, 0.5),
            addedP99Ms: added(first, 0.99),
            addedWholeP50Ms: added(times, 0.5),
            addedWholeP99Ms: added(times, 0.99),
            requestsPerSecondPerCore: round(through.length / coreSeconds, 1),
            tokensPerSecondPerCore: round(TOKENS * through.length / coreSeconds, 0),
            requests: through.length,
            failed: through.filter(({ complete }) => !complete).length,
        };
    }
    finally {
        agent.destroy();
        await fleet.stop();
    }
};

async function closedLoop(url: string, durationMs: number, agent: http.Agent): Promise<Outcome[]> {
    const endAt = performance.now() + durationMs;
    const outcomes: Outcome[] = [];
    await Promise.all(Array.from({ length: CONCURRENCY }, async (_, index) => {
        while (performance.now() < endAt) {
            const prompt = `overhead ${outcomes.length}`;
            const client = `client-${index % 4}`;
            outcomes.push(await sendStream({ url, client, rank: "standard", tokens: TOKENS, prompt, agent }).done);
        }
    }));
    return outcomes;
}

/** User and system time of the processes so far. */
async function processorSeconds(pids: readonly number[]): Promise<number> {
    const stats = await Promise.all(pids.map(pid => readFile(`/proc/${pid}/stat`, "utf8")));
    const ticks = stats.map(text => {
        // The name in parentheses may hold spaces; user and system time are fields 14 and 15.
        const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
        return Number(fields[11]) + Number(fields[12]);
    });
    return ticks.reduce((sum, value) => sum + value, 0) / CLOCK_TICKS_PER_SECOND;
}
