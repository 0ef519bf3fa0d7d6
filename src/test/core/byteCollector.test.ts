import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createByteCollector } from "../../lib/core/index.js";
import { longTestParameters } from "../longTest.js";

const SEED = 51;

// Guards against bytes that are lost, repeated or reordered where small chunks are copied together.
test("the bytes are returned in order, whatever the sizes of the chunks", () => {
    const chunkSize = fc.oneof(fc.integer({ min: 0, max: 20 }), fc.integer({ min: 200, max: 9000 }));
    const step = fc.oneof({ weight: 9, arbitrary: chunkSize }, fc.constant("take" as const));
    fc.assert(
        fc.property(fc.array(step, { maxLength: 60 }), steps => {
            const collector = createByteCollector();
            let expected: Buffer[] = [];
            let nextByte = 0;
            for (const action of [...steps, "take" as const]) {
                if (action === "take") {
                    assert.deepEqual(collector.take(), Buffer.concat(expected));
                    expected = [];
                }
                else {
                    const chunk = Buffer.from(Array.from({ length: action }, () => nextByte++ % 251));
                    collector.append(chunk);
                    expected.push(Buffer.from(chunk));
                    // A sender may use the memory of a small chunk again.
                    if (action < 100) chunk.fill(255);
                }
                const all = Buffer.concat(expected);
                assert.equal(collector.byteCount(), all.length);
                assert.equal(collector.lastByte(), all.at(-1));
            }
        }),
        longTestParameters({ seed: SEED, numRuns: 200 }),
    );
});
