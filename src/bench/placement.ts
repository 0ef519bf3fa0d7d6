/**
 * Benchmark `placement`: simulates each load trace with the product's dispatcher and with two baselines, without
 * processes. `--trace NAME` selects one trace, `--seeds N` sets the number of arrival sequences per trace,
 * `--entries N` splits the requests between that many entries (default: 1), which exchange their load every `--beat`
 * milliseconds (default: 100). `--skew F` gives the first entry an additional fraction of the requests. The design
 * `reported` is the product's dispatcher with engines that report their current speed, `told` with agents that tell the
 * lasting speed of their engines, `paced` with the slow start of `serverPace.ts` and `linear` with a ramp over time.
 */
import { type Placer, simulateTrace } from "../harness/enginePoolSimulation.js";
import { LOAD_TRACES, type LoadTrace } from "../harness/loadTraces.js";
import {
    createDispatcherPlacer,
    createLeastInFlightPlacer,
    createRandomPlacer,
    SINGLE_ENTRY,
} from "../harness/placers.js";
import type { Bench, BenchResults } from "./bench.js";

type CreatePlacer = (trace: LoadTrace) => Placer;

export const run: Bench = async options => {
    const seeds = Array.from({ length: Number(options.seeds ?? 5) }, (_, index) => index + 1);
    const group = {
        entryCount: Number(options.entries ?? 1),
        heartbeatIntervalMs: Number(options.beat ?? SINGLE_ENTRY.heartbeatIntervalMs),
        skew: Number(options.skew ?? 0),
    };
    const designs: Readonly<Record<string, CreatePlacer>> = {
        design: trace => createDispatcherPlacer(trace, group),
        reported: trace => createDispatcherPlacer(trace, { ...group, reportsSlowdown: true }),
        told: trace => createDispatcherPlacer(trace, { ...group, tellsEngineSlowdown: true }),
        paced: trace => createDispatcherPlacer(trace, { ...group, ramp: "answers" }),
        linear: trace => createDispatcherPlacer(trace, { ...group, ramp: "linear" }),
        leastInFlight: createLeastInFlightPlacer,
        firstComeRandom: createRandomPlacer,
    };
    const traces = LOAD_TRACES.filter(({ name }) => options.trace === undefined || options.trace === name);
    return Object.fromEntries(traces.map(trace => [
        trace.name,
        Object.fromEntries(
            Object.entries(designs).map(([name, createPlacer]) => [name, measure(trace, createPlacer, seeds)]),
        ),
    ]));
};

/** Returns the means over the seeds. */
function measure(trace: LoadTrace, createPlacer: CreatePlacer, seeds: readonly number[]): BenchResults {
    const results = seeds.map(seed => simulateTrace(trace, createPlacer(trace), seed));
    const mean = (pick: (result: (typeof results)[number]) => number) => {
        return Math.round(1000 * results.reduce((sum, result) => sum + pick(result), 0) / results.length) / 1000;
    };
    return {
        worth: mean(({ total }) => total.utility / total.maxUtility),
        lateShare: mean(({ total }) => (total.servedCount - total.onTimeCount) / total.requestCount),
        refusedShare: mean(({ total }) => total.refusedCount / total.requestCount),
        ...results.some(({ untilFullUseMs }) => untilFullUseMs !== undefined) &&
            { untilFullUseMs: mean(({ untilFullUseMs }) => untilFullUseMs ?? 0) },
        crashCount: mean(({ crashCount }) => crashCount),
        onTimeShare: mean(({ total }) => total.onTimeCount / total.requestCount),
        tenantJain: mean(({ accountJain }) => accountJain),
        onTimeByRank: trace.requestClasses.map((_, index) =>
            mean(({ statisticsByClass }) =>
                (statisticsByClass[index]?.onTimeCount ?? 0) / (statisticsByClass[index]?.requestCount ?? 1)
            )
        ),
    };
}
