/**
 * Benchmark `flood`: overload by one rank. In the first phase, overnight requests arrive at 10 times the capacity while
 * urgent and standard requests stay below it; in the second phase, urgent requests arrive at 10 times the capacity. All
 * scheduling designs are measured one after the other; `--design NAME` selects one.
 */
import * as http from "node:http";
import { FIRST_TOKEN_TARGET_MS, INTER_TOKEN_TARGET_MS, type Rank } from "../lib/core/index.js";
import type { Bench, BenchResults } from "./bench.js";
import { countTokensBetween, measureCapacity, percentile, round, runOpenLoop, type StreamOutcome } from "./load.js";
import { startMachineMonitor } from "./machine.js";
import { DESIGNS, type Scheduling, startPool } from "./pool.js";

const ENGINE_COUNT = 3;
const SLOTS_PER_ENGINE = 8;
const TOKENS_PER_REQUEST = 40;
const TOKENS_PER_SECOND = 25;
const CLIENT_COUNT = 8;
/** Load of standard requests in the first phase, as a fraction of the capacity. */
const STANDARD_LOAD_FRACTION = 0.2;
/** Fractions of the capacity that the default profile guarantees to each rank. */
const FLOOR_FRACTIONS: Readonly<Record<Rank, number>> = { urgent: 0.5, standard: 0.2, overnight: 0.05 };
const OVERLOAD_FACTOR = 10;
const FIRST_PHASE_MS = 9000;
const SECOND_PHASE_MS = 14_000;
/**
 * Beginning of a phase that is excluded from the measurement, because queued requests of the previous phase still run.
 */
const SETTLE_MS = 3000;

export const run: Bench = async options => {
    const designs = options.design === undefined ? DESIGNS : DESIGNS.filter(name => name === options.design);
    const results: Record<string, BenchResults> = {};
    for (const design of designs) results[design] = await measure(design);
    return { ...results[designs[0] ?? ""], designs: results };
};

async function measure(design: Scheduling): Promise<BenchResults> {
    const engine = { slots: SLOTS_PER_ENGINE, tokensPerSecond: TOKENS_PER_SECOND };
    const { fleet } = await startPool(
        { entries: 2, modelAgentCount: ENGINE_COUNT, clients: CLIENT_COUNT, engine },
        design,
    );
    const httpAgent = new http.Agent({ keepAlive: true });
    const stopMonitor = startMachineMonitor();
    try {
        const { tokensPerSecond: capacity, outcomes: directOutcomes } = await measureCapacity(
            fleet.modelAgents.map(({ url }) => url),
            SLOTS_PER_ENGINE,
            TOKENS_PER_REQUEST,
        );
        const urls = fleet.entries.map(({ url }) => url);
        const clients = Array.from({ length: CLIENT_COUNT }, (_, index) => `client-${index}`);
        const createStream = (rank: Rank, capacityFraction: number) => {
            return {
                urls,
                clients,
                rank,
                tokens: TOKENS_PER_REQUEST,
                perSecond: capacityFraction * capacity / TOKENS_PER_REQUEST,
            };
        };
        const firstPhase = await runPhase(FIRST_PHASE_MS, [
            createStream("overnight", OVERLOAD_FACTOR),
            createStream("urgent", 0.4),
            createStream("standard", STANDARD_LOAD_FRACTION),
        ]);
        const secondPhase = await runPhase(SECOND_PHASE_MS, [
            createStream("urgent", OVERLOAD_FACTOR),
            createStream("standard", 0.3),
            createStream("overnight", 0.2),
        ]);
        const urgentOutcomes = firstPhase.outcomes.filter(({ rank }) => rank === "urgent");
        // Requests sent at the end of the phase may still be in flight, so they are counted after a delay.
        await new Promise(resolve => setTimeout(resolve, 500));
        const withinTargetFraction = urgentOutcomes.filter(isWithinTarget).length / urgentOutcomes.length;
        const allOutcomes = [...firstPhase.outcomes, ...secondPhase.outcomes];
        const measureTokensPerSecond = (rank: Rank | undefined, { from, to }: Phase) => {
            const matching = allOutcomes.filter(outcome => rank === undefined || outcome.rank === rank);
            return 1000 * countTokensBetween(matching, from, to) / (to - from);
        };
        const standardFirst = measureTokensPerSecond("standard", firstPhase) / (STANDARD_LOAD_FRACTION * capacity);
        const standardSecond = measureTokensPerSecond("standard", secondPhase) / (FLOOR_FRACTIONS.standard * capacity);
        return {
            urgentWithinTarget: round(withinTargetFraction),
            urgentWithinTargetByArrival: round(
                urgentOutcomes.filter(isWithinTargetByArrival).length / urgentOutcomes.length,
            ),
            standardKept: round(Math.min(standardFirst, standardSecond)),
            overnightKept: round(
                measureTokensPerSecond("overnight", secondPhase) / (FLOOR_FRACTIONS.overnight * capacity),
            ),
            throughputOverCapacity: round(
                Math.min(
                    measureTokensPerSecond(undefined, firstPhase),
                    measureTokensPerSecond(undefined, secondPhase),
                ) /
                    capacity,
            ),
            capacityTokensPerSecond: round(capacity, 1),
            directGapsInTime: round(directOutcomes.filter(areGapsInTime).length / directOutcomes.length),
            urgentGapsInTime: round(urgentOutcomes.filter(areGapsInTime).length / urgentOutcomes.length),
            engineGapsInTime: round(urgentOutcomes.filter(areEngineGapsInTime).length / urgentOutcomes.length),
            urgentFirstTokenInTime: round(
                urgentOutcomes.filter(outcome => firstTokenMs(outcome) <= FIRST_TOKEN_TARGET_MS).length /
                    urgentOutcomes.length,
            ),
            urgentFirstTokenP95Ms: round(percentile(urgentOutcomes.map(firstTokenMs), 0.95), 0),
            urgentSent: urgentOutcomes.length,
            requests: allOutcomes.length,
            machine: stopMonitor(),
            sharesFirst: sharesOf(firstPhase, capacity, measureTokensPerSecond),
            sharesSecond: sharesOf(secondPhase, capacity, measureTokensPerSecond),
        };
    }
    finally {
        httpAgent.destroy();
        await fleet.stop();
    }

    async function runPhase(durationMs: number, streams: Parameters<typeof runOpenLoop>[0]): Promise<Phase> {
        const startedAt = performance.now();
        const outcomes = await runOpenLoop(streams, "even", durationMs, httpAgent);
        return { outcomes, from: startedAt + SETTLE_MS, to: startedAt + durationMs };
    }
}

interface Phase {
    readonly outcomes: readonly StreamOutcome[];
    readonly from: number;
    readonly to: number;
}

function sharesOf(phase: Phase, capacity: number, rateOf: (rank: Rank, phase: Phase) => number) {
    return Object.fromEntries(
        (["urgent", "standard", "overnight"] as const).map(rank => [rank, round(rateOf(rank, phase) / capacity)]),
    );
}

function firstTokenMs({ sentAt, tokenTimes }: StreamOutcome): number {
    return (tokenTimes[0] ?? Infinity) - sentAt;
}

/** Gaps caused by an engine that sent a token late aren't counted against the system. */
function isWithinTarget(outcome: StreamOutcome): boolean {
    return outcome.status === 200 && firstTokenMs(outcome) <= FIRST_TOKEN_TARGET_MS && areTransitGapsInTime(outcome);
}

function isWithinTargetByArrival(outcome: StreamOutcome): boolean {
    return outcome.status === 200 && firstTokenMs(outcome) <= FIRST_TOKEN_TARGET_MS && areGapsInTime(outcome);
}

/** Whether the 95th percentile of the gaps between tokens meets the target. */
function areGapsInTime({ tokenTimes }: StreamOutcome): boolean {
    return percentile(gapsOf(tokenTimes), 0.95) <= INTER_TOKEN_TARGET_MS;
}

function areEngineGapsInTime({ engineTimes }: StreamOutcome): boolean {
    return percentile(gapsOf(engineTimes), 0.95) <= INTER_TOKEN_TARGET_MS;
}

function areTransitGapsInTime({ tokenTimes, engineTimes }: StreamOutcome): boolean {
    const engineGaps = gapsOf(engineTimes);
    const transitGaps = gapsOf(tokenTimes).map((gap, index) =>
        (engineGaps[index] ?? 0) > INTER_TOKEN_TARGET_MS ? 0 : gap
    );
    return percentile(transitGaps, 0.95) <= INTER_TOKEN_TARGET_MS;
}

function gapsOf(times: readonly number[]): number[] {
    return times.slice(1).map((at, index) => at - (times[index] ?? at));
}
