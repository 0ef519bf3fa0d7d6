import assert from "node:assert/strict";
import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createEngineClient, createObjectStore, sendRequest } from "../../lib/clients/index.js";
import { digestOf, encodeManifest } from "../../lib/core/index.js";
import { startFakeEngine, startFakePlatform } from "../../lib/fakes/index.js";

const cleanups: (() => Promise<void>)[] = [];

afterEach(async () => {
    for (const cleanup of cleanups.splice(0)) await cleanup();
});

async function withDirectory(run: (directory: string) => Promise<void>): Promise<void> {
    const directory = await mkdtemp(join(tmpdir(), "endivewell-switches-"));
    await run(directory).finally(() => rm(directory, { recursive: true, force: true }));
}

// Guards against a `linkBytesPerSecond` switch that has no effect on a running fake platform.
test("the rate of the weight store's link can be changed while it runs", async () => {
    await withDirectory(async directory => {
        const platform = await startFakePlatform({ directory, originBytesPerSecond: 1e9, seed: 1 });
        cleanups.push(platform.stop);
        const store = createObjectStore({ url: platform.url, timeoutMs: 5000 });
        await store.put("chunks/x", Buffer.alloc(400_000));
        const measureReadSeconds = async () => {
            const startedAt = performance.now();
            await store.get("chunks/x");
            return (performance.now() - startedAt) / 1000;
        };
        assert.ok(await measureReadSeconds() < 0.2);
        platform.faults.set({ linkBytesPerSecond: 500_000 });
        assert.ok(await measureReadSeconds() > 0.3);
    });
});

// Guards against an `ignoreFence` switch without effect, which would let tests of engines without fencing run against
// an engine that checks fencing tokens, and against a `cacheEventDelayMs` switch without effect.
test("the fencing check and the cache event delay of an engine can be changed while it runs", async () => {
    await withDirectory(async directory => {
        const path = join(directory, "version");
        await mkdir(path);
        const manifest = encodeManifest({ format: 1, model: "m", files: [] });
        await writeFile(`${path}.manifest.json`, manifest);
        const digest = digestOf(manifest);
        const options = { slots: 1, tokensPerSecond: 1000, ignoresFence: false, seed: 1, prefixCacheBlocks: 8 };
        const fakeEngine = await startFakeEngine(options);
        cleanups.push(fakeEngine.stop);
        const engine = createEngineClient({ url: fakeEngine.url, timeoutMs: 1000 });
        await engine.load({ digest, path, fence: 2 });
        await assert.rejects(engine.load({ digest, path, fence: 1 }), /old fencing token/);
        fakeEngine.faults.set({ ignoreFence: true, cacheEventDelayMs: 300 });
        await engine.load({ digest, path, fence: 1 });

        const readEvents = async () => {
            const response = await sendRequest({ method: "GET", url: `${fakeEngine.url}/engine/cache-events?after=0` });
            return JSON.parse(response.body.toString()) as { sequence: number; kind: string; }[];
        };
        const body = JSON.stringify({ prompt: "x".repeat(128), max_tokens: 1 });
        await sendRequest({ method: "POST", url: `${fakeEngine.url}/v1/completions`, body });
        assert.deepEqual(await readEvents(), []);
        await sleep(350);
        assert.deepEqual((await readEvents()).map(({ sequence, kind }) => [sequence, kind]), [
            [1, "stored"],
            [2, "stored"],
        ]);
    });
});
