/**
 * Benchmark `fairness`: one client sends 20 times the load of all others together. It measures the duration of the
 * small clients' requests without and with that client, and how evenly backlogged clients are served. Each client uses
 * one of 4 entries. All scheduling designs are measured one after the other; `--design NAME` selects one.
 */
import * as http from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Bench, BenchResults } from "./bench.js";
import {
    countTokensBetween,
    measureCapacity,
    percentile,
    type RequestStream,
    round,
    runOpenLoop,
    type StreamOutcome,
} from "./load.js";
import { startMachineMonitor } from "./machine.js";
import { DESIGNS, type Scheduling, startPool } from "./pool.js";

const ENGINE_COUNT = 3;
const SLOTS_PER_ENGINE = 8;
const TOKENS_PER_REQUEST = 20;
const TOKENS_PER_SECOND = 20;
const ENTRY_COUNT = 4;
const SMALL_CLIENT_COUNT = 6;
/** Load of all small clients together, as a fraction of the capacity. */
const SMALL_LOAD_FRACTION = 0.3;
const LARGE_LOAD_FACTOR = 20;
/**
 * Load of each small client that is backlogged in the last phase, as a fraction of the capacity. A fair share is 0.2.
 */
const BACKLOGGED_LOAD_FRACTION = 0.6;
const BACKLOGGED_CLIENT_COUNT = 4;
const PHASE_MS = 10_000;
/** Beginning of a phase that is excluded from the measurement, because the queues are still filling. */
const SETTLE_MS = 2000;
const LARGE_CLIENT = "client-0";

export const run: Bench = async options => {
    const designs = options.design === undefined ? DESIGNS : DESIGNS.filter(name => name === options.design);
    const results: Record<string, BenchResults> = {};
    for (const design of designs) results[design] = await measure(design);
    return { ...results[designs[0] ?? ""], designs: results };
};

async function measure(design: Scheduling): Promise<BenchResults> {
    const engine = { slots: SLOTS_PER_ENGINE, tokensPerSecond: TOKENS_PER_SECOND };
    const clients = 1 + SMALL_CLIENT_COUNT;
    const { fleet } = await startPool({ entries: ENTRY_COUNT, modelAgentCount: ENGINE_COUNT, clients, engine }, design);
    const httpAgent = new http.Agent({ keepAlive: true });
    const stopMonitor = startMachineMonitor();
    try {
        const { tokensPerSecond: capacity } = await measureCapacity(
            fleet.modelAgents.map(({ url }) => url),
            SLOTS_PER_ENGINE,
            2 * TOKENS_PER_REQUEST,
        );
        const createStream = (index: number, capacityFraction: number): RequestStream => ({
            urls: [fleet.entries[index % ENTRY_COUNT]?.url ?? ""],
            clients: [`client-${index}`],
            rank: "standard",
            tokens: TOKENS_PER_REQUEST,
            perSecond: capacityFraction * capacity / TOKENS_PER_REQUEST,
        });
        const small = Array.from(
            { length: SMALL_CLIENT_COUNT },
            (_, index) => createStream(1 + index, SMALL_LOAD_FRACTION / SMALL_CLIENT_COUNT),
        );
        const large = createStream(0, LARGE_LOAD_FACTOR * SMALL_LOAD_FRACTION);
        const backlogged = Array.from(
            { length: BACKLOGGED_CLIENT_COUNT },
            (_, index) => createStream(1 + index, BACKLOGGED_LOAD_FRACTION),
        );

        const before = await runPhase([...small]);
        const during = await runPhase([...small, large]);
        const contended = await runPhase([...backlogged, large]);
        await sleep(2500);
        const [p95Before, p95During] = [smallP95Ms(before), smallP95Ms(during)];
        const allOutcomes = [...before.outcomes, ...during.outcomes, ...contended.outcomes];
        const countTokens = (client: string) => {
            return countTokensBetween(
                allOutcomes.filter(outcome => outcome.client === client),
                contended.from,
                contended.to,
            );
        };
        const shares = [...backlogged, large].map(({ clients: [client = ""] }) => countTokens(client));
        const throughputOf = ({ from, to }: Phase) =>
            1000 * countTokensBetween(allOutcomes, from, to) / (to - from) / capacity;
        return {
            smallP95Ratio: round(p95During / p95Before),
            jain: round(jainIndex(shares)),
            smallP95BeforeMs: round(p95Before, 0),
            smallP95DuringMs: round(p95During, 0),
            engineP95BeforeMs: round(engineP95Ms(before), 0),
            engineP95DuringMs: round(engineP95Ms(during), 0),
            smallCompleted: round(completedFraction(during)),
            throughputOverCapacity: round(Math.min(throughputOf(during), throughputOf(contended))),
            throughputDuring: round(throughputOf(during)),
            tokensOfBackloggedClients: shares,
            requests: allOutcomes.length,
            machine: stopMonitor(),
        };
    }
    finally {
        httpAgent.destroy();
        await fleet.stop();
    }

    async function runPhase(streams: readonly RequestStream[]): Promise<Phase> {
        const startedAt = performance.now();
        const outcomes = await runOpenLoop(streams, "random", PHASE_MS, httpAgent);
        return { outcomes, from: startedAt + SETTLE_MS, to: startedAt + PHASE_MS };
    }
}

interface Phase {
    readonly outcomes: readonly StreamOutcome[];
    readonly from: number;
    readonly to: number;
}

function smallRequests({ outcomes, from }: Phase): StreamOutcome[] {
    return outcomes.filter(({ client, sentAt }) => client !== LARGE_CLIENT && sentAt >= from);
}

/** A request without a complete response counts as infinitely slow. */
function smallP95Ms(phase: Phase): number {
    const times = smallRequests(phase).map(({ isComplete, endedAt, sentAt }) =>
        isComplete ? endedAt - sentAt : Infinity
    );
    return percentile(times, 0.95);
}

/** Time between the engine's first and last token, which only the machine's load affects. */
function engineP95Ms(phase: Phase): number {
    const complete = smallRequests(phase).filter(outcome => outcome.isComplete);
    return percentile(complete.map(({ engineTimes }) => (engineTimes.at(-1) ?? 0) - (engineTimes[0] ?? 0)), 0.95);
}

function completedFraction(phase: Phase): number {
    const requests = smallRequests(phase);
    return requests.filter(({ isComplete }) => isComplete).length / requests.length;
}

/** Jain's fairness index: 1 if all values are equal, 1/n if one client gets everything. 0 if all values are 0. */
function jainIndex(values: readonly number[]): number {
    const sum = values.reduce((total, value) => total + value, 0);
    const squareSum = values.reduce((total, value) => total + value * value, 0);
    return squareSum === 0 ? 0 : sum * sum / (values.length * squareSum);
}
