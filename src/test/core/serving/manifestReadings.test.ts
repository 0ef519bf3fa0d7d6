import assert from "node:assert/strict";
import { test } from "node:test";
import { createManifestReadings } from "../../../lib/core/serving/index.js";

// Guards against a manifest that is accepted as it arrived once: the origin may corrupt any response.
test("a manifest is accepted when a second reading of its version is the same", () => {
    const readings = createManifestReadings();
    assert.equal(readings.record({ version: 2, digests: ["a0", "b0"] }), false);
    assert.equal(readings.record({ version: 2, digests: ["a0", "b1"] }), false);
    assert.equal(readings.record({ version: 3, digests: ["a0", "b0"] }), false, "another version");
    assert.equal(readings.record({ version: 2, digests: ["A0", "b0"] }), true);
});

// Guards against a reading that confirms itself once more after its manifest was found to be wrong.
test("forgotten readings confirm nothing", () => {
    const readings = createManifestReadings();
    readings.record({ version: 2, digests: ["a0"] });
    readings.forget(2);
    assert.equal(readings.record({ version: 2, digests: ["a0"] }), false);
});
