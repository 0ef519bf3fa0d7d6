/**
 * Reads a version's manifest. One VM of a region reads it from the weight store and the others from that
 * VM, because the manifest of a large version is almost a megabyte and hundreds of VMs read it at once over
 * the links between regions.
 */
import { Metadata } from "@grpc/grpc-js";
import { setTimeout as sleep } from "node:timers/promises";
import { manifestKey, type Vm } from "../clients/index.js";
import { type Digest, orderMembers, parseManifest } from "../core/index.js";
import type { Connections } from "../rpc/index.js";
import { type TransferEnvironment, transferError } from "./transferTask.js";

/** VMs of the region that read the manifest from the weight store without asking others first. */
const READERS = 2;

/** How long the other VMs of the region wait for the readers. */
const READER_WAIT_MS = 1500;
const READER_PAUSE_MS = 100;

/** Peers asked for the manifest in one round while the weight store is out. */
const PEERS = 4;
const ROUNDS = 20;
const PAUSE_MS = 500;

/** Short against the wait for the readers, so that one reader that is paused doesn't use it up. */
const TIMEOUT_MS = 700;

/** Returns the bytes of the manifest; throws a VError if no source has it. */
export async function fetchManifest(
    rootDigest: Digest,
    environment: TransferEnvironment,
    signal: AbortSignal,
): Promise<Buffer> {
    const { weightStore, peers, random, connections } = environment;

    const fromReaders = await askReaders(rootDigest, environment, signal);
    if (fromReaders !== undefined) return fromReaders;
    for (let round = 0; round < ROUNDS && !signal.aborted; round++) {
        const fromStore = await weightStore.get(manifestKey(rootDigest)).catch(() => undefined);
        if (isManifest(fromStore, rootDigest)) return fromStore;
        const asked = peers().map(vm => ({ vm, order: random() })).sort((a, b) => a.order - b.order);
        for (const { vm } of asked.slice(0, PEERS)) {
            const fromPeer = await readManifest(connections, vm, rootDigest);
            if (isManifest(fromPeer, rootDigest)) return fromPeer;
        }
        await sleep(PAUSE_MS);
    }
    throw transferError("neither the weight store nor a peer sent a correct manifest of version %s", rootDigest);
}

/** Tells whether bytes are the manifest of the version. */
export function isManifest(bytes: Buffer | undefined, rootDigest: Digest): bytes is Buffer {
    if (bytes === undefined || bytes.length === 0) return false;
    try {
        return parseManifest(bytes, rootDigest) !== undefined;
    }
    catch {
        return false;
    }
}

async function askReaders(
    rootDigest: Digest,
    { settings, peers, connections, now }: TransferEnvironment,
    signal: AbortSignal,
): Promise<Buffer | undefined> {
    const region = peers().filter(vm => vm.region === settings.region);
    const order = orderMembers(rootDigest, [settings.process, ...region.map(({ name }) => name)]);
    const readers = order.slice(0, READERS);
    if (readers.includes(settings.process)) return undefined;
    const end = now() + READER_WAIT_MS;
    while (now() < end && !signal.aborted) {
        for (const vm of region.filter(({ name }) => readers.includes(name))) {
            const bytes = await readManifest(connections, vm, rootDigest);
            if (isManifest(bytes, rootDigest)) return bytes;
        }
        await sleep(READER_PAUSE_MS);
    }
    return undefined;
}

function readManifest(connections: Connections, vm: Vm, rootDigest: Digest): Promise<Buffer | undefined> {
    return new Promise(resolve => {
        const deadline = Date.now() + TIMEOUT_MS;
        connections.agent(vm.address).readManifest({ rootDigest }, new Metadata(), { deadline }, (error, answer) => {
            resolve(error === null ? answer.manifest : undefined);
        });
    });
}
