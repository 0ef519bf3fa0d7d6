import assert from "node:assert/strict";
import { test } from "node:test";
import { fetchManifest } from "../../lib/agent/manifestSource.js";
import type { TransferEnvironment } from "../../lib/agent/transferTask.js";
import { digestOf, encodeManifest } from "../../lib/core/index.js";

const MANIFEST = encodeManifest({ format: 1, model: "m", files: [] });
const ROOT_DIGEST = digestOf(MANIFEST);
const NAMES = Array.from({ length: 8 }, (_, index) => `runner-${index}`);

/** Fetches the manifest on all VMs of a region at once. VMs for which `sendsManifest` is false never send theirs. */
async function fetchAll(sendsManifest: (name: string) => boolean) {
    const held = new Set<string>();
    let storeReads = 0;
    const vms = NAMES.map(name => ({ name, address: name, region: "etela" }));
    const connections = {
        agent: (address: string) => ({
            readManifest: (...args: unknown[]) => {
                const reply = args[3] as (error: null, response: { manifest: Buffer; }) => void;
                reply(null, { manifest: held.has(address) && sendsManifest(address) ? MANIFEST : Buffer.alloc(0) });
            },
        }),
    };
    const weightStore = {
        get: async () => {
            storeReads++;
            return MANIFEST;
        },
    };
    const fetched = await Promise.all(NAMES.map(async name => {
        const environment = {
            settings: { process: name, region: "etela" },
            connections,
            weightStore,
            peers: () => vms.filter(vm => vm.name !== name),
            now: () => performance.now(),
            random: () => 0.5,
        } as unknown as TransferEnvironment;
        const bytes = await fetchManifest(ROOT_DIGEST, environment, new AbortController().signal);
        held.add(name);
        return bytes;
    }));
    assert.ok(fetched.every(bytes => bytes.equals(MANIFEST)));
    return storeReads;
}

// Guards against hundreds of transfers of a large manifest over the links between regions.
test("two VMs of a region read the manifest from the weight store and the others from them", async () => {
    assert.equal(await fetchAll(() => true), 2);
});

// Guards against a rollout that waits indefinitely for unresponsive designated readers.
test("VMs whose designated readers don't respond read the manifest from the weight store", async () => {
    assert.equal(await fetchAll(() => false), NAMES.length);
});
