/**
 * Benchmark `flood`: overload by one rank. In the first phase, overnight requests arrive at 10 times the capacity while
 * urgent and standard requests stay below it; in the second phase, urgent requests arrive at 10 times the capacity. All
 * scheduling designs are measured one after the other; `--design NAME` selects one.
 */
import * as http from "node:http";
import { FIRST_TOKEN_TARGET_MS, INTER_TOKEN_TARGET_MS, type Rank } from "../lib/core/index.js";
import type { Bench, Figures } from "./bench.js";
import { countTokensBetween, measureCapacity, percentile, round, runOpenLoop, type StreamOutcome } from "./load.js";
import { startMachineMonitor } from "./machine.js";
import { DESIGNS, type Scheduling, startPool } from "./pool.js";

const RUNNERS = 3;
const SLOTS = 8;
const TOKENS = 40;
const TOKENS_PER_SECOND = 25;
const CLIENTS = 8;
/** Guaranteed fractions of the capacity in the default profile. */
const FLOORS: Readonly<Record<Rank, number>> = { urgent: 0.5, standard: 0.2, overnight: 0.05 };
const OVERLOAD = 10;
const FIRST_PHASE_MS = 9000;
const SECOND_PHASE_MS = 14_000;
/** Beginning of a phase that is excluded from the measurement, because queued requests of the previous phase still run. */
const SETTLE_MS = 3000;

export const run: Bench = async options => {
    const designs = options.design === undefined ? DESIGNS : DESIGNS.filter(name => name === options.design);
    const figures: Record<string, Figures> = {};
    for (const design of designs) figures[design] = await measure(design);
    return { ...figures[designs[0] ?? ""], designs: figures };
};

async function measure(design: Scheduling): Promise<Figures> {
    const engine = { slots: SLOTS, tokensPerSecond: TOKENS_PER_SECOND };
    const { fleet } = await startPool({ entries: 2, runners: RUNNERS, clients: CLIENTS, engine }, design);
    const agent = new http.Agent({ keepAlive: true });
    const stopMonitor = startMachineMonitor();
    try {
        const { tokensPerSecond: capacity, outcomes: direct } = await measureCapacity(
            fleet.runners.map(({ url }) => url),
            SLOTS,
            TOKENS,
        );
        const urls = fleet.entries.map(({ url }) => url);
        const clients = Array.from({ length: CLIENTS }, (_, index) => `client-${index}`);
        const createStream = (rank: Rank, capacityFraction: number) => {
            return { urls, clients, rank, tokens: TOKENS, perSecond: capacityFraction * capacity / TOKENS };
        };
        const first = await runPhase(FIRST_PHASE_MS, [
            createStream("overnight", OVERLOAD),
            createStream("urgent", 0.4),
            createStream("standard", 0.2),
        ]);
        const second = await runPhase(SECOND_PHASE_MS, [
            createStream("urgent", OVERLOAD),
            createStream("standard", 0.3),
            createStream("overnight", 0.2),
        ]);
        const urgent = first.outcomes.filter(({ rank }) => rank === "urgent");
        // Requests sent at the end of the phase may still be in flight, so they are counted after a delay.
        await new Promise(resolve => setTimeout(resolve, 500));
        const withinTargetFraction = urgent.filter(isWithinTarget).length / urgent.length;
        const all = [...first.outcomes, ...second.outcomes];
        const measureTokensPerSecond = (rank: Rank | undefined, { from, to }: Phase) => {
            const matching = all.filter(outcome => rank === undefined || outcome.rank === rank);
            return 1000 * countTokensBetween(matching, from, to) / (to - from);
        };
        const standardFirst = measureTokensPerSecond("standard", first) / (0.2 * capacity);
        const standardSecond = measureTokensPerSecond("standard", second) / (FLOORS.standard * capacity);
        return {
            urgentWithinTarget: round(withinTargetFraction),
            urgentWithinTargetByArrival: round(urgent.filter(isWithinTargetByArrival).length / urgent.length),
            standardKept: round(Math.min(standardFirst, standardSecond)),
            overnightKept: round(measureTokensPerSecond("overnight", second) / (FLOORS.overnight * capacity)),
            throughputOverCapacity: round(
                Math.min(measureTokensPerSecond(undefined, first), measureTokensPerSecond(undefined, second)) /
                    capacity,
            ),
            capacityTokensPerSecond: round(capacity, 1),
            directGapsInTime: round(direct.filter(areGapsInTime).length / direct.length),
            urgentGapsInTime: round(urgent.filter(areGapsInTime).length / urgent.length),
            engineGapsInTime: round(urgent.filter(areEngineGapsInTime).length / urgent.length),
            urgentFirstTokenInTime: round(
                urgent.filter(outcome => firstTokenMs(outcome) <= FIRST_TOKEN_TARGET_MS).length / urgent.length,
            ),
            urgentFirstTokenP95Ms: round(percentile(urgent.map(firstTokenMs), 0.95), 0),
            urgentSent: urgent.length,
            requests: all.length,
            machine: stopMonitor(),
            sharesFirst: sharesOf(first, capacity, measureTokensPerSecond),
            sharesSecond: sharesOf(second, capacity, measureTokensPerSecond),
        };
    }
    finally {
        agent.destroy();
        await fleet.stop();
    }

    async function runPhase(durationMs: number, streams: Parameters<typeof runOpenLoop>[0]): Promise<Phase> {
        const startedAt = performance.now();
        const outcomes = await runOpenLoop(streams, "even", durationMs, agent);
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
