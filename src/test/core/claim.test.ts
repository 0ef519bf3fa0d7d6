import assert from "node:assert/strict";
import { test } from "node:test";
import { afterSettleRead, type ClaimResult } from "../../lib/core/claim.js";

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

// Guards against a repeated call that runs again because the table service lost the claim while the first one ran.
test("the result of a call is recorded although its claim is gone", () => {
    const own = { token: "own", fingerprint: "f" };
    const result: ClaimResult = { status: 201, headers: [] };
    const settlement = { kind: "record", result } as const;
    const row = { ...own, state: "done", result } as const;
    assert.deepEqual(afterSettleRead(own, settlement, { kind: "missing" }), { kind: "insert", row });
    const settle = (token: string, state: string) =>
        afterSettleRead(own, settlement, { kind: "found", value: { token, fingerprint: "f", state }, etag: "7" });
    // The released row of an earlier attempt, which this attempt had taken over.
    assert.deepEqual(settle("earlier", "released"), { kind: "replace", row, etag: "7" });
    assert.deepEqual(settle("other", "claimed"), { kind: "settled" });
    assert.deepEqual(settle("other", "done"), { kind: "settled" });
    assert.deepEqual(settle("own", "done"), { kind: "settled" });
});
