import assert from "node:assert/strict";
import { PassThrough, Readable } from "node:stream";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { forEachChunk } from "../../lib/node/forEachChunk.js";

// Guards against chunks that are lost, reordered or read ahead while the receiver of earlier ones is busy.
test("chunks arrive in order and wait for the receiver", async () => {
    const source = new PassThrough();
    const received: string[] = [];
    let isBusy = false;
    const whole = forEachChunk(source, chunk => {
        assert.equal(isBusy, false);
        received.push(String(chunk));
        if (received.length % 2 === 0) return undefined;
        isBusy = true;
        return sleep(5).then(() => {
            isBusy = false;
        });
    });
    for (const text of ["a", "b", "c", "d", "e"]) {
        source.write(text);
        await sleep(1);
    }
    source.end();
    await whole;
    assert.equal(received.join(""), "abcde");
});

// Guards against a relay that waits for ever, or that takes a broken stream for a complete one.
test("a stream that fails, closes early or is refused by the receiver rejects and is destroyed", async () => {
    const failing = new PassThrough();
    const failure = forEachChunk(failing, () => undefined);
    failing.destroy(new Error("reset"));
    await assert.rejects(failure, /reset/);

    const closed = new PassThrough();
    const early = forEachChunk(closed, () => undefined);
    closed.destroy();
    await assert.rejects(early, /closed before its end/);

    for (
        const refuse of [() => {
            throw new Error("too long");
        }, () => Promise.reject(new Error("too long"))]
    ) {
        const refused = Readable.from([Buffer.from("a"), Buffer.from("b")], { objectMode: false });
        await assert.rejects(forEachChunk(refused, refuse), /too long/);
        assert.ok(refused.destroyed);
    }
});
