import assert from "node:assert/strict";
import { test } from "node:test";
import { createEvacuations, createServerRegistry, createWeightsPolicy } from "../../lib/core/serving/index.js";
import { createEventLog } from "../../lib/observability/index.js";
import { createOperatorState } from "../../lib/router/operatorState.js";
import { configurationRow } from "../platform/fakeRunner.js";

// Guards against an entry that allows outdated weights for a whole period, because it got the row of a version that was
// named before a restoration of the store from a peer and took it for a new one.
test("a naming that a peer retained from before a restoration isn't taken for a new one", () => {
    const weights = createWeightsPolicy(() => 8000);
    const state = createOperatorState({
        registry: createServerRegistry(() => 2000),
        weights,
        evacuations: createEvacuations(),
        regions: new Map(),
        log: createEventLog({ process: "p", role: "entry", now: () => 0, write: () => undefined }),
        onConfiguration: () => undefined,
        onServerGone: () => undefined,
        onServer: () => undefined,
        onWeightsNamed: () => undefined,
    });
    const named = (version: number, epoch: number) => [
        { key: "version/m", epoch, revision: version, value: JSON.stringify({ model: "m", version }) },
    ];
    const configuration = JSON.stringify(configurationRow(1));
    state.applyOperatorRows([{ key: "config", epoch: 2, revision: 1, value: configuration }], 2, 0);
    state.applyOperatorRows(named(4, 1), 2, 1000);
    assert.equal(weights.lowestAllowed("m", 1000), 4);
    state.applyOperatorRows(named(5, 2), 2, 2000);
    assert.equal(weights.lowestAllowed("m", 2000), 4);
    assert.equal(weights.lowestAllowed("m", 10_000), 5);
});
