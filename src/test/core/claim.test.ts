import assert from "node:assert/strict";
import { test } from "node:test";
import { afterSettleRead } from "../../lib/core/claim.js";

// Guards against a key that stays claimed forever: the takeover of a released row was abandoned but takes effect
// after the settlement has read the row. The model in specs/claim.pml found this fault.
test("a release replaces another attempt's released row, so that a late takeover fails", () => {
    const value = { token: "other", fingerprint: "f", state: "released" };
    const step = afterSettleRead({ token: "own", fingerprint: "f" }, { kind: "release" }, {
        kind: "found",
        value,
        etag: "7",
    });
    const row = { token: "own", fingerprint: "f", state: "released" } as const;
    assert.deepEqual(step, { kind: "replace", row, etag: "7" });
});
