import type { ServerWritableStream } from "@grpc/grpc-js";
import assert from "node:assert/strict";
import { randomBytes } from "node:crypto";
import { mkdir, open as openFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
    type Fleet,
    type FleetOptions,
    type FleetProcess,
    MODEL_SERVICE,
    OPERATOR_TOKEN,
    sendToEntry,
    startFleet,
    waitUntil,
} from "../../harness/index.js";
import { createObjectStore, sendRequest } from "../../lib/clients/index.js";
import { publishDirectory } from "../../lib/publish/index.js";
import { type AgentServer, createCredentials, type NodeServer, startRpcServer } from "../../lib/rpc/index.js";

const VERSION_BYTES = 3_000_000;
const CHUNK_BYTES = 64 * 1024;
const LINK_BYTES_PER_SECOND = 1_000_000;
const TIMEOUT_MS = 60_000;

/** Time until all processes have read the list of VMs, which they do every 200 ms. */
const SETTLE_MS = 600;

const REGIONS = ["etela", "lansi", "pohjoinen"];

async function withFleet(
    runners: number,
    run: (fleet: Fleet) => Promise<void>,
    options: Partial<FleetOptions> = {},
): Promise<void> {
    const fleet = await startFleet({
        entries: 1,
        modelAgentCount: runners,
        bookingAgentCount: 0,
        originBytesPerSecond: 2 * LINK_BYTES_PER_SECOND,
        agentSettings: {
            pollMs: 200,
            links: { inBytesPerSecond: LINK_BYTES_PER_SECOND, outBytesPerSecond: LINK_BYTES_PER_SECOND },
        },
        ...options,
    });
    try {
        await run(fleet);
    }
    finally {
        await fleet.stop();
    }
}

async function publish(fleet: Fleet, name = "weights", content = randomBytes(VERSION_BYTES)) {
    const directory = join(fleet.directory, name);
    await mkdir(directory);
    await writeFile(join(directory, "model.bin"), content);
    const store = createObjectStore({ url: fleet.platformUrl, timeoutMs: 5000 });
    return publishDirectory({ directory, model: "m", chunkBytes: CHUNK_BYTES, store });
}

/** Sets the version of the profile `desk` and returns the profile's new ETag. */
async function rollOut(fleet: Fleet, rootDigest: string, etag?: string): Promise<string> {
    const [entry] = fleet.entries;
    assert.ok(entry);
    await sleep(SETTLE_MS);
    const profile = { name: "desk", model: "m", rootDigest, service: MODEL_SERVICE };
    const headers: Record<string, string> = etag === undefined ? {} : { "if-match": etag };
    const response = await sendToEntry(entry, "PUT", "/admin/v1/profiles/desk", OPERATOR_TOKEN, profile, headers);
    assert.equal(response.status, 200, response.body.toString());
    return response.headers.etag ?? "";
}

function waitUntilServed(fleet: Fleet, agents: readonly FleetProcess[], rootDigest: string): Promise<void> {
    return waitUntil(`${agents.length} agents serve ${rootDigest}`, async () => {
        const states = await Promise.all(agents.map(fleet.readState));
        return states.every(state => state.servingDigest === rootDigest);
    }, TIMEOUT_MS);
}

async function waitUntilHeld(fleet: Fleet, agents: readonly FleetProcess[], fraction: number): Promise<void> {
    await waitUntil(`the agents hold ${fraction} of the chunks`, async () => {
        const transfers = (await Promise.all(agents.map(fleet.readState))).map(state => state.transfers[0]);
        return transfers.every(state => (state?.chunksHeld ?? 0) >= fraction * (VERSION_BYTES / CHUNK_BYTES));
    }, TIMEOUT_MS);
}

async function readOriginBytes(fleet: Fleet): Promise<number> {
    const response = await sendRequest({ method: "GET", url: `${fleet.platformUrl}/evidence` });
    return (JSON.parse(response.body.toString()) as { originBytes: number; }).originBytes;
}

/** Checks with the fake engines that none was told to load anything but a complete, correct version. */
async function checkLoads(agents: readonly FleetProcess[]): Promise<void> {
    for (const agent of agents) {
        const response = await sendRequest({ method: "GET", url: `${agent.url}/evidence` });
        assert.equal((JSON.parse(response.body.toString()) as { wrongLoads: number; }).wrongLoads, 0);
    }
}

/** Sets the state of the link between two regions, for all traffic or for one kind. */
async function setLink(fleet: Fleet, a: string, b: string, state: string, traffic?: string): Promise<void> {
    const body = JSON.stringify({ a, b, state, traffic });
    await sendRequest({ method: "PUT", url: `${fleet.platformUrl}/links`, body });
}

function withRegions(run: (fleet: Fleet) => Promise<void>): Promise<void> {
    return withFleet(6, run, {
        regions: REGIONS,
        regionLinks: { bytesPerSecond: LINK_BYTES_PER_SECOND, latencyMs: 3 },
    });
}

function runnersIn(fleet: Fleet, regions: readonly string[]): FleetProcess[] {
    return fleet.modelAgents.filter(({ vm }) => regions.includes(vm.region));
}

/** Starts a peer that announces every chunk and corrupts one byte of each chunk it sends. */
async function startCorruptPeer(fleet: Fleet, name: string, digests: readonly string[], read: (key: string) => Buffer) {
    const agent = {
        watchChunks: (call: ServerWritableStream<unknown, unknown>) => {
            call.write({ bitmap: Buffer.alloc(0), added: digests.map((_, index) => index) });
        },
        readChunk: (call: ServerWritableStream<{ chunkDigest: string; }, unknown>) => {
            const data = Buffer.from(read(call.request.chunkDigest));
            data[0] = (data[0] ?? 0) ^ 0xff;
            call.write({ data, refusal: "" });
            call.end();
        },
        readManifest: (_call: unknown, reply: (error: null, response: unknown) => void) => {
            reply(null, { manifest: Buffer.from("{}") });
        },
    };
    const unused = () => undefined;
    const server = await startRpcServer({
        host: "127.0.0.1",
        port: 0,
        credentials: createCredentials(undefined),
        node: { syncConfiguration: unused, readEvents: unused, readStatus: unused } as unknown as NodeServer,
        agent: { dispatch: unused, watchState: unused, ...agent } as unknown as AgentServer,
    });
    const [runner] = fleet.modelAgents;
    const vm = { ...runner?.vm, name, address: `127.0.0.1:${server.port}` };
    await sendRequest({ method: "PUT", url: `${fleet.platformUrl}/vms/${name}`, body: JSON.stringify(vm) });
    return server;
}

// Guards against corrupted weights that reach an engine, and against a transfer that hangs because peers announce
// every chunk but never deliver a correct one. Three of ten VMs send corrupted chunks.
test("a transfer completes although 30% of the peers send corrupted chunks", async () => {
    await withFleet(7, async fleet => {
        const { rootDigest, manifest } = await publish(fleet);
        const digests = (manifest.files[0]?.chunks ?? []).map(chunk => chunk.digest);
        const sizes = new Map(manifest.files[0]?.chunks.map(chunk => [chunk.digest, chunk.size]));
        const read = (digest: string) => randomBytes(sizes.get(digest) ?? 1);
        const names = ["corrupt-0", "corrupt-1", "corrupt-2"];
        const peers = await Promise.all(names.map(name => startCorruptPeer(fleet, name, digests, read)));
        try {
            await rollOut(fleet, rootDigest);
            await waitUntilServed(fleet, fleet.modelAgents, rootDigest);
            await checkLoads(fleet.modelAgents);
            assert.ok(await readOriginBytes(fleet) <= 4 * VERSION_BYTES);
        }
        finally {
            await Promise.all(peers.map(peer => peer.stop(100)));
        }
    });
});

// Guards against a transfer that waits for killed processes, and against a restarted agent that fetches chunks again
// which it has on disk.
test("a transfer survives kill -9, and a restarted agent keeps its chunks", async () => {
    await withFleet(6, async fleet => {
        const { rootDigest } = await publish(fleet);
        await rollOut(fleet, rootDigest);
        const [first, second, ...others] = fleet.modelAgents;
        assert.ok(first && second);
        await waitUntilHeld(fleet, [first, second], 0.4);
        first.signal("SIGKILL");
        second.signal("SIGKILL");
        await Promise.all([first.exited, second.exited]);
        await waitUntilServed(fleet, others, rootDigest);
        const restarted = await fleet.restart(first);
        await waitUntilServed(fleet, [restarted], rootDigest);
        await checkLoads([...others, restarted]);
        const transfer = (await fleet.readState(restarted)).transfers[0];
        assert.ok(transfer !== undefined);
        const { bytesFromOrigin, bytesFromDomain, bytesFromRegion } = transfer;
        assert.ok(bytesFromOrigin + bytesFromDomain + bytesFromRegion <= 0.7 * VERSION_BYTES);
        assert.ok(await readOriginBytes(fleet) <= 4 * VERSION_BYTES);
    });
});

// Guards against a transfer that waits for a suspended peer, whose connections stay open.
test("a transfer completes while a peer is suspended, and the peer completes its own after it resumes", async () => {
    await withFleet(5, async fleet => {
        const { rootDigest } = await publish(fleet);
        await rollOut(fleet, rootDigest);
        const [suspended, ...others] = fleet.modelAgents;
        assert.ok(suspended);
        await waitUntilHeld(fleet, [suspended], 0.2);
        suspended.signal("SIGSTOP");
        await waitUntilServed(fleet, others, rootDigest);
        suspended.signal("SIGCONT");
        await waitUntilServed(fleet, [suspended], rootDigest);
        await checkLoads(fleet.modelAgents);
    });
});

// Guards against a rollout that still needs the origin after the origin has sent every chunk once.
test("peers complete a transfer if the origin is unavailable after it has sent one copy", async () => {
    await withFleet(6, async fleet => {
        const { rootDigest } = await publish(fleet);
        await rollOut(fleet, rootDigest);
        await waitUntil(
            "one copy has left the origin",
            async () => await readOriginBytes(fleet) >= VERSION_BYTES,
            TIMEOUT_MS,
        );
        // The last bytes may still be in transit to the VM that requested them.
        await sleep(300);
        await fleet.setFaults(fleet.platformUrl, { objectsOutage: true });
        const states = await Promise.all(fleet.modelAgents.map(fleet.readState));
        assert.ok(states.some(state => state.servingDigest !== rootDigest), "the outage came too late to matter");
        await waitUntilServed(fleet, fleet.modelAgents, rootDigest);
        await checkLoads(fleet.modelAgents);
        assert.ok(await readOriginBytes(fleet) <= 1.2 * VERSION_BYTES);
    });
});

// Guards against a cancelled transfer that continues, and against mixing the contents of two versions.
test("a version that replaces another one during its transfer is served complete", async () => {
    await withFleet(4, async fleet => {
        const first = await publish(fleet, "first");
        const second = await publish(fleet, "second");
        const etag = await rollOut(fleet, first.rootDigest);
        await waitUntilHeld(fleet, fleet.modelAgents, 0.3);
        await rollOut(fleet, second.rootDigest, etag);
        await waitUntilServed(fleet, fleet.modelAgents, second.rootDigest);
        await checkLoads(fleet.modelAgents);
    });
});

// Guards against fetching chunks that the VM already has in another version, and against copying them without
// verifying their hash: a file of the first version is damaged on disk before the second version is rolled out.
test("a version in which a tenth has changed is transferred with little more than the changed bytes", async () => {
    await withFleet(3, async fleet => {
        const content = randomBytes(VERSION_BYTES);
        const first = await publish(fleet, "first", content);
        randomBytes(VERSION_BYTES / 10).copy(content, VERSION_BYTES * 0.9);
        const second = await publish(fleet, "second", content);
        const etag = await rollOut(fleet, first.rootDigest);
        await waitUntilServed(fleet, fleet.modelAgents, first.rootDigest);
        const damagedFile = await openFile(join(fleet.directory, "runner-0", first.rootDigest, "model.bin"), "r+");
        await damagedFile.write(randomBytes(1000), 0, 1000, 0);
        await damagedFile.close();
        const originBytesBefore = await readOriginBytes(fleet);
        await rollOut(fleet, second.rootDigest, etag);
        await waitUntilServed(fleet, fleet.modelAgents, second.rootDigest);
        await checkLoads(fleet.modelAgents);
        assert.ok(await readOriginBytes(fleet) - originBytesBefore <= 0.15 * VERSION_BYTES);
        for (const state of await Promise.all(fleet.modelAgents.map(fleet.readState))) {
            const { bytesFromOrigin = 0, bytesFromDomain = 0, bytesFromRegion = 0 } = state.transfers[0] ?? {};
            assert.ok(bytesFromOrigin + bytesFromDomain + bytesFromRegion <= 0.15 * VERSION_BYTES);
        }
    });
});

// Guards against requests to the origin that wait forever on an open connection without data.
test("a transfer completes after the origin has stalled", async () => {
    await withFleet(4, async fleet => {
        const { rootDigest } = await publish(fleet);
        await rollOut(fleet, rootDigest);
        await waitUntilHeld(fleet, fleet.modelAgents, 0.1);
        await fleet.setFaults(fleet.platformUrl, { stall: true });
        await sleep(4000);
        await fleet.setFaults(fleet.platformUrl, { stall: false });
        await waitUntilServed(fleet, fleet.modelAgents, rootDigest);
        await checkLoads(fleet.modelAgents);
    });
});

// Guards against a region that waits for unreachable VMs of other regions, and against all of its VMs fetching from
// the origin. During the whole rollout the region reaches the platform, but no VM of another region.
for (const state of ["drops", "refuses"]) {
    test(`a region that is cut off from the others fetches its own copy from the origin (link ${state})`, async () => {
        await withRegions(async fleet => {
            const { rootDigest } = await publish(fleet);
            await setLink(fleet, "pohjoinen", "etela", state, "vms");
            await setLink(fleet, "pohjoinen", "lansi", state);
            await rollOut(fleet, rootDigest);
            await waitUntilServed(fleet, fleet.modelAgents, rootDigest);
            await checkLoads(fleet.modelAgents);
            assert.ok(await readOriginBytes(fleet) <= 2.4 * VERSION_BYTES);
        });
    });
}

// Guards against a network partition that stops the rollout in other regions, makes an engine load partial weights,
// or leaves its region unable to complete the rollout after it has ended.
test("a region cut off from the origin's region serves no other version, and completes after the partition", async () => {
    await withRegions(async fleet => {
        const { rootDigest } = await publish(fleet);
        await sleep(SETTLE_MS);
        await setLink(fleet, "lansi", "etela", "drops");
        await rollOut(fleet, rootDigest);
        await waitUntilServed(fleet, runnersIn(fleet, ["etela", "pohjoinen"]), rootDigest);
        const cutOffStates = await Promise.all(runnersIn(fleet, ["lansi"]).map(fleet.readState));
        for (const { servingDigest } of cutOffStates) assert.ok(["", rootDigest].includes(servingDigest));
        await checkLoads(fleet.modelAgents);
        await setLink(fleet, "lansi", "etela", "open");
        await waitUntilServed(fleet, fleet.modelAgents, rootDigest);
        await checkLoads(fleet.modelAgents);
    });
});
