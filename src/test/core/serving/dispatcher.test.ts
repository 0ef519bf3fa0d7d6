import assert from "node:assert/strict";
import { test } from "node:test";
import { type PoolReplay, replayTrace } from "../../../harness/enginePool.js";
import { LOAD_TRACES, type LoadTrace } from "../../../harness/loadTraces.js";
import { createDesignPlacer, createLeastInFlightPlacer, createRandomPlacer } from "../../../harness/placers.js";

function traceOf(name: string): LoadTrace {
    const trace = LOAD_TRACES.find(each => each.name === name);
    assert.ok(trace !== undefined, name);
    return trace;
}

const playDesign = (name: string) => replayTrace(traceOf(name), createDesignPlacer(traceOf(name)));
const onTimeShare = ({ kinds }: PoolReplay, rank: number) => (kinds[rank]?.onTime ?? 0) / (kinds[rank]?.asked ?? 1);
const worthShare = ({ total }: PoolReplay) => total.worth / total.owed;

// Guards against a design that serves callers worse than queues at the engines, in any of the load patterns.
for (const trace of LOAD_TRACES) {
    test(`the dispatcher serves the trace ${trace.name} better than both baselines`, () => {
        const design = worthShare(replayTrace(trace, createDesignPlacer(trace)));
        for (const create of [createLeastInFlightPlacer, createRandomPlacer]) {
            const baseline = worthShare(replayTrace(trace, create(trace)));
            assert.ok(design > baseline, `${design} against ${baseline}`);
        }
    });
}

// Guards against a burst of the least urgent work that makes everybody late: the load pattern in which placing every
// request at the next free slot left two fifths of the more urgent requests in time.
test("a burst of the least urgent kind leaves the others in time, and it isn't starved", () => {
    const replay = playDesign("burst");
    assert.ok(onTimeShare(replay, 0) >= 0.9, `urgent ${onTimeShare(replay, 0)}`);
    assert.ok(onTimeShare(replay, 1) >= 0.9, `standard ${onTimeShare(replay, 1)}`);
    const [, , least] = replay.kinds;
    assert.ok((least?.served ?? 0) >= 0.25 * (least?.asked ?? 1), JSON.stringify(least));
});

// Guards against more urgent work that does worse than less urgent work when not everything can be served.
test("an overload is shed from the least urgent kind first", () => {
    const replay = playDesign("overload");
    const [urgent, standard, least] = [0, 1, 2].map(rank => onTimeShare(replay, rank));
    assert.ok(
        (urgent ?? 0) >= (standard ?? 1) - 0.05 && (standard ?? 0) >= (least ?? 1) - 0.05,
        `${[urgent, standard, least]}`,
    );
});

// Guards against one account that takes the places of all others.
test("an account that sends as much as all others leaves these their share", () => {
    assert.ok(playDesign("hotAccount").accountJain >= 0.95);
});

// Guards against an engine that turns slow, or is gone, and still gets its part of the requests.
test("engines in trouble don't make the rest late", () => {
    assert.ok(onTimeShare(playDesign("slowEngine"), 0) >= 0.9);
    const { total } = playDesign("lostEngine");
    assert.ok(total.served >= 0.9 * total.asked, JSON.stringify(total));
});
