import assert from "node:assert/strict";
import { test } from "node:test";
import { simulateTrace, type SimulationResult } from "../../../harness/enginePoolSimulation.js";
import { LOAD_TRACES, type LoadTrace } from "../../../harness/loadTraces.js";
import { createDispatcherPlacer, createLeastInFlightPlacer, createRandomPlacer } from "../../../harness/placers.js";

function traceOf(name: string): LoadTrace {
    const trace = LOAD_TRACES.find(each => each.name === name);
    assert.ok(trace !== undefined, name);
    return trace;
}

const simulateDispatcher = (name: string) => simulateTrace(traceOf(name), createDispatcherPlacer(traceOf(name)));
const onTimeFraction = ({ statisticsByClass }: SimulationResult, rank: number) =>
    (statisticsByClass[rank]?.onTimeCount ?? 0) / (statisticsByClass[rank]?.requestCount ?? 1);
const utilityFraction = ({ total }: SimulationResult) => total.utility / total.maxUtility;

// Guards against a dispatcher that serves callers worse than queues at the engines would, in any of the load patterns.
for (const trace of LOAD_TRACES) {
    test(`the dispatcher serves the trace ${trace.name} better than both baselines`, () => {
        const dispatcherUtility = utilityFraction(simulateTrace(trace, createDispatcherPlacer(trace)));
        for (const create of [createLeastInFlightPlacer, createRandomPlacer]) {
            const baselineUtility = utilityFraction(simulateTrace(trace, create(trace)));
            assert.ok(dispatcherUtility > baselineUtility, `${dispatcherUtility} against ${baselineUtility}`);
        }
    });
}

// Guards against a burst of the least urgent requests that makes all others late. Placing each request in the next free
// slot left only two fifths of the more urgent requests on time under this load pattern.
test("a burst of the least urgent kind leaves the others on time and isn't starved", () => {
    const result = simulateDispatcher("burst");
    assert.ok(onTimeFraction(result, 0) >= 0.9, `urgent ${onTimeFraction(result, 0)}`);
    assert.ok(onTimeFraction(result, 1) >= 0.9, `standard ${onTimeFraction(result, 1)}`);
    const [, , leastUrgent] = result.statisticsByClass;
    assert.ok((leastUrgent?.servedCount ?? 0) >= 0.25 * (leastUrgent?.requestCount ?? 1), JSON.stringify(leastUrgent));
});

// Guards against an overload in which more urgent requests are served worse than less urgent ones.
test("an overload is shed from the least urgent kind first", () => {
    const result = simulateDispatcher("overload");
    const [urgent, standard, leastUrgent] = [0, 1, 2].map(rank => onTimeFraction(result, rank));
    assert.ok(
        (urgent ?? 0) >= (standard ?? 1) - 0.05 && (standard ?? 0) >= (leastUrgent ?? 1) - 0.05,
        `${[urgent, standard, leastUrgent]}`,
    );
});

// Guards against one account that takes the capacity of all others.
test("an account that sends as much as all others together leaves them their fair share", () => {
    assert.ok(simulateDispatcher("hotAccount").accountJain >= 0.95);
});

// Guards against an engine that becomes slow, or is lost, and still gets its full share of the requests.
test("slow and lost engines don't make the remaining requests late", () => {
    assert.ok(onTimeFraction(simulateDispatcher("slowEngine"), 0) >= 0.9);
    const { total } = simulateDispatcher("lostEngine");
    assert.ok(total.servedCount >= 0.9 * total.requestCount, JSON.stringify(total));
});
