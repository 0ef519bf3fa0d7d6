import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createEventSplitter, DONE_EVENT } from "../../lib/core/index.js";
import { longTestParameters } from "../longTest.js";

const SEED = 6;

// Guards against a resumed stream that repeats or skips output because an event was split between two buffers.
test("events are counted and passed on whole however the bytes are cut", () => {
    const text = Array.from({ length: 9 }, (_, i) => `data: {"token":${i}}\n\n`).join("") + "data: [DONE]\n\n";
    fc.assert(
        fc.property(fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }), sizes => {
            const splitter = createEventSplitter();
            let output = "";
            for (let offset = 0, i = 0; offset < text.length; i++) {
                const size = sizes[i % sizes.length] ?? 1;
                const completed = splitter.push(Buffer.from(text.slice(offset, offset + size))).toString();
                assert.ok(completed === "" || completed.endsWith("\n\n"));
                output += completed;
                offset += size;
            }
            assert.equal(output + DONE_EVENT.toString(), text);
            assert.equal(splitter.outputCount(), 9);
            assert.ok(splitter.hasEnded());
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

// Guards against an event in small chunks that takes time in the square of its size, and keeps the process busy for seconds.
test("a large event in small chunks takes time for its bytes, not for their square", () => {
    const splitter = createEventSplitter();
    const event = `data: "${"x".repeat(200_000)}"\n\n`;
    const startedAt = performance.now();
    let output = "";
    for (const character of event) output += splitter.push(Buffer.from(character)).toString();
    assert.equal(output, event);
    const tookMs = performance.now() - startedAt;
    assert.ok(tookMs < 1000, `${tookMs} ms`);
});
