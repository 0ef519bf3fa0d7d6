import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    bindRequest,
    CLOSING_EVENT,
    createAttempt,
    createEventSplitter,
    type FrameKind,
    isBindingKept,
} from "../../lib/core/index.js";
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

// Guards against a resumed stream that repeats or skips output because an event was split between two buffers.
test("events are counted and passed on whole however the bytes are cut", () => {
    const text = Array.from({ length: 9 }, (_, i) => `data: {"token":${i}}\n\n`).join("") + "data: [DONE]\n\n";
    fc.assert(
        fc.property(fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }), sizes => {
            const splitter = createEventSplitter();
            let output = "";
            for (let at = 0, i = 0; at < text.length; i++) {
                const size = sizes[i % sizes.length] ?? 1;
                const whole = splitter.push(Buffer.from(text.slice(at, at + size))).toString();
                assert.ok(whole === "" || whole.endsWith("\n\n"));
                output += whole;
                at += size;
            }
            assert.equal(output + CLOSING_EVENT.toString(), text);
            assert.equal(splitter.outputs(), 9);
            assert.ok(splitter.done());
            assert.throws(() => splitter.push(Buffer.from("data: {}\n\n")), /follows the end/);
        }),
        longTestParameters({ seed: SEED, numRuns: 100 }),
    );
});

// Guards against unbounded memory use by an event that never ends.
test("an endless event is an error", () => {
    const splitter = createEventSplitter(1000);
    assert.throws(() => {
        for (let i = 0; i < 100; i++) splitter.push(Buffer.alloc(100, "x"));
    }, /exceeds 1000 bytes/);
});

// Guards against accepting an answer from a reloaded engine or from a different version.
test("a binding holds only for the same digest and generation", () => {
    const binding = bindRequest("d", { digest: "d", generation: 2 });
    assert.ok(binding);
    assert.ok(isBindingKept(binding, { digest: "d", generation: 2 }));
    assert.ok(!isBindingKept(binding, { digest: "d", generation: 3 }));
    assert.ok(!isBindingKept(binding, { digest: "e", generation: 2 }));
    assert.equal(bindRequest("", { digest: "", generation: 1 }), undefined);
});
