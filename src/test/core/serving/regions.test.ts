import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type AllowedRegions, intersectRegions, isAllowedIn } from "../../../lib/core/serving/index.js";

const REGIONS = ["north", "south", "west"];

const allowedRegions: fc.Arbitrary<AllowedRegions> = fc.option(
    fc.subarray(REGIONS).map(names => new Set(names)),
    { nil: undefined },
);

// Guards against a request that is served where only its route or only its account allows it.
test("a region is allowed if both restrictions allow it", () => {
    fc.assert(
        fc.property(allowedRegions, allowedRegions, fc.constantFrom(...REGIONS), (first, second, region) => {
            const expected = (first?.has(region) ?? true) && (second?.has(region) ?? true);
            assert.equal(isAllowedIn(intersectRegions(first, second), region), expected);
        }),
        { seed: 3 },
    );
    assert.equal(isAllowedIn(undefined, undefined), true);
    assert.equal(isAllowedIn(new Set(REGIONS), undefined), false);
});
