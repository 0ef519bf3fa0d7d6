import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createAttempt, type FrameKind } from "../../lib/core/index.js";
import { longTestParameters } from "../longTest.js";

const SEED = 6;

// Guards against frames of another attempt, duplicate heads and late frames reaching the caller.
test("the accepted frames of any sequence form one answer", () => {
    const kind = fc.constantFrom<FrameKind>("admitted", "refused", "head", "data", "end");
    fc.assert(
        fc.property(fc.array(fc.tuple(fc.constantFrom("own", "other"), kind)), frames => {
            const attempt = createAttempt("own");
            const accepted = frames.filter(([id, frame]) => attempt.accept(id, frame));
            assert.ok(accepted.every(([id]) => id === "own"));
            assert.match(
                accepted.map(([, frame]) => frame).join(" "),
                /^(refused|admitted( (refused|head( data)*( end)?))?)?$/,
            );
            attempt.abandon();
            assert.ok(!attempt.accept("own", "end"));
        }),
        longTestParameters({ seed: SEED, numRuns: 100 }),
    );
});
