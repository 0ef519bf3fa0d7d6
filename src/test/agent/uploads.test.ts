import assert from "node:assert/strict";
import { test } from "node:test";
import type { ChunkStore } from "../../lib/agent/chunkStore.js";
import { createHeldVersions } from "../../lib/agent/heldVersions.js";
import { createUploads, type UploadSink } from "../../lib/agent/uploads.js";
import { digestOf, encodeManifest } from "../../lib/core/index.js";

function setUp(send: () => Promise<void>) {
    const content = Buffer.from("content of a chunk");
    const chunk = { digest: digestOf(content), size: content.length };
    const manifest = encodeManifest({
        format: 1,
        model: "m",
        files: [{ path: "f", size: chunk.size, chunks: [chunk] }],
    });
    const store = { read: async () => content, readManifest: async () => undefined } as unknown as ChunkStore;
    const heldVersions = createHeldVersions(store);
    const version = heldVersions.open(digestOf(manifest), manifest);
    const uploads = createUploads({
        heldVersions,
        store,
        linkLimiter: { throttleReceive: send, throttleSend: send },
        regionOf: () => "etela",
    });
    const received: Buffer[] = [];
    const sink: UploadSink = {
        write: data => received.push(data) > 0,
        onDrain: () => undefined,
        signal: new AbortController().signal,
    };
    const request = { process: "p", rootDigest: version.rootDigest, chunkDigest: chunk.digest, waitMs: 0 };
    return { uploads, version, sink, request, received, content };
}

// Guards against a VM that accepts so many uploads at once that each of them looks stalled.
test("uploads beyond the limit are refused as busy", async () => {
    let release: () => void = () => undefined;
    const released = new Promise<void>(resolve => release = resolve);
    const { uploads, version, sink, request } = setUp(() => released);
    version.markHeld(0);
    const results = Array.from({ length: 20 }, () => uploads.send(request, sink));
    const refused = await Promise.race([Promise.all(results.slice(10)), released]);
    assert.deepEqual(refused, Array.from({ length: 10 }, () => "busy"));
    release();
    await Promise.all(results);
    assert.equal(await uploads.send(request, sink), undefined);
});

// Guards against VMs that must poll another VM for a chunk, or don't get the chunk when it arrives.
test("a request that may wait gets the chunk when it arrives, and is refused if it doesn't arrive", async () => {
    const { uploads, version, sink, request, received, content } = setUp(async () => undefined);
    assert.equal(await uploads.send(request, sink), "unknown");
    assert.equal(await uploads.send({ ...request, waitMs: 20 }, sink), "unknown");
    const waiting = uploads.send({ ...request, waitMs: 10_000 }, sink);
    setTimeout(() => version.markHeld(0), 20);
    assert.equal(await waiting, undefined);
    assert.deepEqual(Buffer.concat(received), content);
    assert.equal(version.bytesSent, content.length);
});
