import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, test } from "node:test";
import type { ObjectStore } from "../../lib/clients/index.js";
import { listDistinctChunks } from "../../lib/core/index.js";
import { publishDirectory } from "../../lib/publish/index.js";

const FILE_BYTES = 4 * 1024 * 1024;
const directory = await mkdtemp(join(tmpdir(), "endivewell-publish-"));
after(() => rm(directory, { recursive: true }));

/** Returns pseudorandom content that is the same in each run. */
function createContent(): Buffer {
    const blocks = Array.from(
        { length: FILE_BYTES / 32 },
        (_, index) => createHash("sha256").update(`${index}`).digest(),
    );
    return Buffer.concat(blocks);
}

function createMemoryStore() {
    const objects = new Map<string, Buffer>();
    const store = {
        has: async (key: string) => objects.has(key),
        put: async (key: string, bytes: Uint8Array) => void objects.set(key, Buffer.from(bytes)),
    } as unknown as ObjectStore;
    return { objects, store };
}

/** Publishes a file, then the same file with bytes inserted near its start. Returns the bytes sent the second time. */
async function bytesSentAfterInsertion(contentDefined: boolean): Promise<number> {
    const { objects, store } = createMemoryStore();
    const options = { directory, model: "m", chunkBytes: 64 * 1024, contentDefined, store };
    const original = createContent();
    const changed = Buffer.concat([original.subarray(0, 1000), Buffer.from("inserted"), original.subarray(1000)]);
    await writeFile(join(directory, "model.bin"), original);
    await publishDirectory(options);
    await writeFile(join(directory, "model.bin"), changed);
    const version = await publishDirectory(options);
    const chunks = version.manifest.files.flatMap(file => file.chunks);
    const restored = Buffer.concat(chunks.map(({ digest }) => objects.get(`chunks/${digest}`) ?? Buffer.alloc(0)));
    assert.ok(restored.equals(changed), "the chunks make up the file");
    assert.ok(listDistinctChunks(version.manifest).length > 1);
    return version.bytesSent;
}

// Guards against content-defined boundaries that all shift after an insertion, so that no chunks are reused.
test("content-defined chunks are reused after an insertion, fixed-size chunks are not", async () => {
    assert.ok(await bytesSentAfterInsertion(true) <= 0.15 * FILE_BYTES);
    assert.ok(await bytesSentAfterInsertion(false) > 0.9 * FILE_BYTES);
});

// Guards against uploading everything again when an unchanged directory is published a second time.
test("the chunks of an unchanged directory aren't uploaded again", async () => {
    const { store } = createMemoryStore();
    await writeFile(join(directory, "model.bin"), createContent());
    const first = await publishDirectory({ directory, model: "m", store });
    const second = await publishDirectory({ directory, model: "m", store });
    assert.equal(first.bytesSent, FILE_BYTES);
    assert.equal(second.bytesSent, 0);
    assert.equal(second.rootDigest, first.rootDigest);
});
