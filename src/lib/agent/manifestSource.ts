/**
 * Fetches a version's manifest. A few designated VMs of each region read it from the weight store, and the
 * others read it from them. The manifest of a large version is almost a megabyte, and hundreds of VMs would
 * otherwise read it at once over the links between regions.
 */
import { Metadata } from "@grpc/grpc-js";
import { setTimeout as sleep } from "node:timers/promises";
import { manifestKey, type Vm } from "../clients/index.js";
import { type Digest, orderMembers, parseManifest } from "../core/index.js";
import type { Connections } from "../rpc/index.js";
import { type TransferEnvironment, transferError } from "./transferTask.js";

/** Number of VMs per region that read the manifest from the weight store without asking others first. */
const DESIGNATED_READER_COUNT = 2;

/** How long the other VMs of the region wait for the designated readers. */
const DESIGNATED_READER_TIMEOUT_MS = 1500;
const DESIGNATED_READER_POLL_MS = 100;

/**
 * Each round reads the weight store and, if that fails, asks this many peers. After the maximum number of rounds the
 * fetch fails.
 */
const PEERS_PER_ROUND = 4;
const MAX_ROUNDS = 20;
const ROUND_DELAY_MS = 500;

/** Shorter than the wait for the designated readers, so that a suspended reader doesn't use up that wait. */
const REQUEST_TIMEOUT_MS = 700;

/** Returns the encoded manifest. Throws a VError named `TransferError` if no source has it. */
export async function fetchManifest(
    rootDigest: Digest,
    environment: TransferEnvironment,
    signal: AbortSignal,
): Promise<Buffer> {
    const { weightStore, peers, random, connections } = environment;

    const fromDesignatedReaders = await fetchFromDesignatedReaders(rootDigest, environment, signal);
    if (fromDesignatedReaders !== undefined) return fromDesignatedReaders;
    for (let round = 0; round < MAX_ROUNDS && !signal.aborted; round++) {
        const fromStore = await weightStore.get(manifestKey(rootDigest)).catch(() => undefined);
        if (isManifestOf(fromStore, rootDigest)) return fromStore;
        const shuffledPeers = peers().map(vm => ({ vm, sortKey: random() })).sort((a, b) => a.sortKey - b.sortKey);
        for (const { vm } of shuffledPeers.slice(0, PEERS_PER_ROUND)) {
            const fromPeer = await readManifest(connections, vm, rootDigest);
            if (isManifestOf(fromPeer, rootDigest)) return fromPeer;
        }
        await sleep(ROUND_DELAY_MS);
    }
    throw transferError("neither the weight store nor any peer provided a valid manifest of version %s", rootDigest);
}

/** Tells whether the bytes are the valid manifest of the version. */
export function isManifestOf(bytes: Buffer | undefined, rootDigest: Digest): bytes is Buffer {
    if (bytes === undefined || bytes.length === 0) return false;
    try {
        return parseManifest(bytes, rootDigest) !== undefined;
    }
    catch {
        return false;
    }
}

async function fetchFromDesignatedReaders(
    rootDigest: Digest,
    { settings, peers, connections, now }: TransferEnvironment,
    signal: AbortSignal,
): Promise<Buffer | undefined> {
    const regionPeers = peers().filter(vm => vm.region === settings.region);
    const orderedNames = orderMembers(rootDigest, [settings.process, ...regionPeers.map(({ name }) => name)]);
    const readers = orderedNames.slice(0, DESIGNATED_READER_COUNT);
    if (readers.includes(settings.process)) return undefined;
    const deadline = now() + DESIGNATED_READER_TIMEOUT_MS;
    while (now() < deadline && !signal.aborted) {
        for (const vm of regionPeers.filter(({ name }) => readers.includes(name))) {
            const bytes = await readManifest(connections, vm, rootDigest);
            if (isManifestOf(bytes, rootDigest)) return bytes;
        }
        await sleep(DESIGNATED_READER_POLL_MS);
    }
    return undefined;
}

function readManifest(connections: Connections, vm: Vm, rootDigest: Digest): Promise<Buffer | undefined> {
    return new Promise(resolve => {
        const deadline = Date.now() + REQUEST_TIMEOUT_MS;
        connections.agent(vm.address).readManifest({ rootDigest }, new Metadata(), { deadline }, (error, response) => {
            resolve(error === null ? response.manifest : undefined);
        });
    });
}
