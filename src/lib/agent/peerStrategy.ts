/**
 * Fetches a version from other agents and the origin by performing the requests that the transfer plan chooses.
 * Peer requests go to VMs of the same region, upstream requests to the origin or to a VM of another region.
 */
import type { Vm } from "../clients/index.js";
import {
    type ChunkAssignment,
    createChunkAssigner,
    createTransferPlan,
    type PlannedRequest,
    RequestOutcome,
    TAKEOVER_DELAY_MS,
    takeoverDelayMs,
    UPSTREAM,
} from "../core/index.js";
import { createLog } from "../observability/index.js";
import type { ChunkResult } from "./chunkSources.js";
import { createPeerWatches } from "./peerWatches.js";
import { transferError, type TransferTask } from "./transferTask.js";

const log = createLog("agent:transfer");

const MAX_PEER_REQUESTS = 5;
const MAX_REQUESTS_PER_PEER = 1;
const MAX_DUPLICATES = 2;

/** Limit of upstream requests of all VMs of a region together. With few requests, the first chunks complete early. */
const MAX_REGION_UPSTREAM_REQUESTS = 12;
const MAX_UPSTREAM_REQUESTS = 4;

/** Interval at which the plan is asked for new requests. Events trigger it earlier. */
const PLAN_INTERVAL_MS = 50;
const RECONCILE_INTERVAL_MS = 500;

/** How long the assigned VM of another region may wait for a chunk that it doesn't have yet. */
const UPSTREAM_WAIT_MS = 3000;

/** Number of corrupt responses of the origin for one chunk after which the transfer fails. */
const MAX_CORRUPT_FROM_ORIGIN = 8;

/** Number of corrupted chunks from one source at which a warning is logged. */
const CORRUPTION_WARNING_COUNT = 3;

/**
 * The VMs of a region together read from the origin at this multiple of a VM's inbound rate. Without this limit
 * all VMs share the origin's link at once, and the first chunk completes only when the origin has sent about one
 * chunk to every VM.
 */
const ORIGIN_RATE_FACTOR = 2;

/** The takeover delay is at least this many times the transfer time of one chunk on this VM's link. */
const TAKEOVER_DELAY_CHUNKS = 8;

/**
 * A VM of another region isn't asked for this long after it stalled or failed. Otherwise each chunk would wait
 * for the timeouts of all its sources that are unreachable because of a network partition.
 */
const SOURCE_AVOIDANCE_MS = 15_000;

/** A region is avoided after this many of its VMs have failed without a successful request in between. */
const REGION_FAILURE_THRESHOLD = 2;

interface UpstreamAssignment extends ChunkAssignment {
    readonly delayMs: number;
}

export async function fetchFromPeers(task: TransferTask): Promise<void> {
    const { environment, version, signal } = task;
    const { settings, events, now, random, sources } = environment;
    const { rootDigest, chunks } = version;
    const inFlight = new Map<PlannedRequest, AbortController>();
    const corruptionsBySource = new Map<string, number>();
    const upstreamFailuresByChunk = new Map<number, number>();
    const originCorruptionsByChunk = new Map<number, number>();
    const unreachableNames = new Set<string>();
    /** The keys are names of VMs and keys of regions. */
    const avoidedUntil = new Map<string, number>();
    /** VMs that have failed since the last successful request to their region, by the key of the region. */
    const failedVmsByRegion = new Map<string, Set<string>>();
    let upstreamAssignments: UpstreamAssignment[] = [];
    let upstreamStartMs: ReadonlyMap<number, number> = new Map();
    let assignedMembersKey = "";
    let failure: Error | undefined;
    let lastArrivalAt = now();
    let reconciledAt = Number.NEGATIVE_INFINITY;
    let wake: () => void = () => undefined;

    const largestChunkBytes = chunks.reduce((max, chunk) => Math.max(max, chunk.size), 0);
    const chunkTransferMs = largestChunkBytes / settings.links.inBytesPerSecond * 1000;
    const takeoverStepMs = Math.max(TAKEOVER_DELAY_MS, TAKEOVER_DELAY_CHUNKS * chunkTransferMs);
    const startedAt = now();
    // Every VM that starts without chunks computes the same order.
    const chunksInFetchOrder = chunks.filter(({ index }) => !version.isHeld(index)).sort((a, b) =>
        a.digest < b.digest ? -1 : 1
    );
    const regionSize = 1 + environment.peers().filter(vm => vm.region === settings.region).length;
    const upstreamRequestShare = Math.ceil(MAX_REGION_UPSTREAM_REQUESTS / regionSize);

    const plan = createTransferPlan({
        chunkCount: chunks.length,
        maxRequests: MAX_PEER_REQUESTS,
        maxRequestsPerPeer: MAX_REQUESTS_PER_PEER,
        maxUpstreamRequests: Math.min(MAX_UPSTREAM_REQUESTS, upstreamRequestShare),
        maxDuplicates: MAX_DUPLICATES,
        upstreamDueAt: chunk => {
            const delayMs = upstreamAssignments[chunk]?.delayMs ?? 0;
            return delayMs > 0 ? lastArrivalAt + delayMs : startedAt + (upstreamStartMs.get(chunk) ?? 0);
        },
        random,
    });
    const arrivedChunks = new Set<number>();
    const recordArrival = (index: number) => {
        if (arrivedChunks.has(index)) return;
        arrivedChunks.add(index);
        lastArrivalAt = now();
    };
    for (const { index } of chunks) {
        if (version.isHeld(index)) plan.hold(index);
    }

    const peerWatches = createPeerWatches({
        process: settings.process,
        failureDomain: settings.failureDomain,
        rootDigest,
        connections: environment.connections,
        onConnected: vm => {
            unreachableNames.delete(vm.name);
            plan.addPeer(vm.name, vm.failureDomain === settings.failureDomain ? 0 : 1);
        },
        onChunk: (vm, index) => {
            plan.addPeerChunk(vm.name, index);
            recordArrival(index);
            wake();
        },
        onLost: (vm, failed) => {
            if (failed) unreachableNames.add(vm.name);
            plan.removePeer(vm.name);
        },
    });

    function reconcilePeers(): void {
        reconciledAt = now();
        const peers = environment.peers();
        peerWatches.reconcile(peers.filter(vm => vm.region === settings.region));
        const self = { name: settings.process, region: settings.region };
        const members = [self, ...peers.filter(vm => !unreachableNames.has(vm.name))];
        const membersKey = members.map(({ name }) => name).sort().join("\n");
        if (membersKey === assignedMembersKey) return;
        assignedMembersKey = membersKey;
        const { weightStoreRegion } = settings.platform;
        const assign = createChunkAssigner(self, members, weightStoreRegion);
        upstreamAssignments = chunks.map(({ digest }) => {
            const assignment = assign(digest);
            return { ...assignment, delayMs: takeoverDelayMs(assignment.position, random(), takeoverStepMs) };
        });
        upstreamStartMs = scheduleUpstreamStarts(new Map(peers.map(vm => [vm.name, vm.region])));
    }

    /**
     * Returns when the assigned VM of the region may fetch each chunk, in milliseconds after the start. Fetches
     * from the same source region are scheduled one after the other, so that the VMs of this region together
     * don't exceed the rate of the link.
     */
    function scheduleUpstreamStarts(regionOf: ReadonlyMap<string, string>): Map<number, number> {
        const linkFreeAtMs = new Map<string, number>();
        const startMs = new Map<number, number>();
        for (const { index, size } of chunksInFetchOrder) {
            const region = regionOf.get(upstreamAssignments[index]?.sources[0] ?? "") ?? "";
            const bytesPerSecond = region === "" ?
                settings.links.inBytesPerSecond * ORIGIN_RATE_FACTOR :
                settings.links.regionBytesPerSecond;
            const chunkStartMs = linkFreeAtMs.get(region) ?? 0;
            startMs.set(index, chunkStartMs);
            linkFreeAtMs.set(region, chunkStartMs + size / bytesPerSecond * 1000);
        }
        return startMs;
    }

    function startRequests(): void {
        for (let request = plan.next(now()); request !== undefined; request = plan.next(now())) {
            const controller = new AbortController();
            inFlight.set(request, controller);
            void runRequest(request, controller.signal);
        }
    }

    async function runRequest(request: PlannedRequest, cancellation: AbortSignal): Promise<void> {
        let outcome: RequestOutcome = RequestOutcome.failed;
        try {
            outcome = await fetchChunk(request, cancellation);
        }
        catch (error) {
            failure = error as Error;
        }
        inFlight.delete(request);
        plan.finish(request, outcome, now());
        if (outcome === RequestOutcome.held) {
            recordArrival(request.chunk);
            for (const duplicate of plan.requestsFor(request.chunk)) inFlight.get(duplicate)?.abort();
        }
        wake();
    }

    async function fetchChunk(request: PlannedRequest, cancellation: AbortSignal): Promise<RequestOutcome> {
        const chunk = chunks[request.chunk];
        if (chunk === undefined) return RequestOutcome.failed;
        const vm = request.source === UPSTREAM ? chooseUpstreamVm(request.chunk) : peerWatches.find(request.source);
        if (vm === undefined && request.source !== UPSTREAM) return RequestOutcome.failed;
        const waitMs = request.source === UPSTREAM ? UPSTREAM_WAIT_MS : 0;
        const result = vm === undefined ?
            await sources.readFromOrigin(chunk, cancellation) :
            await sources.readFromPeer(vm, rootDigest, chunk, waitMs, cancellation);
        if (signal.aborted) return RequestOutcome.cancelled;
        await task.acceptChunk(chunk, result, vm);
        recordResult(request, result, vm);
        return result.outcome;
    }

    /**
     * Returns the VM to ask for a chunk, or `undefined` for the origin. The sources are VMs in regions that get the
     * chunk earlier, the origin, and VMs in regions that get it later; each failure advances to the next one.
     */
    function chooseUpstreamVm(chunk: number): Vm | undefined {
        const { sources = [], fallbackSources = [] } = upstreamAssignments[chunk] ?? {};
        const order = [...sources, "", ...fallbackSources];
        const failures = upstreamFailuresByChunk.get(chunk) ?? 0;
        const peers = environment.peers();
        for (let step = 0; step < order.length; step++) {
            const name = order[(failures + step) % order.length];
            if (name === "") return undefined;
            const vm = peers.find(peer => peer.name === name);
            if (vm !== undefined && !isAvoided(vm)) return vm;
        }
        return undefined;
    }

    function isAvoided({ name, region }: Vm): boolean {
        return Math.max(avoidedUntil.get(name) ?? 0, avoidedUntil.get(regionKey(region)) ?? 0) > now();
    }

    function recordSourceOutcome({ name, region }: Vm, outcome: RequestOutcome): void {
        const key = regionKey(region);
        if (outcome === RequestOutcome.held) failedVmsByRegion.delete(key);
        if (outcome !== RequestOutcome.stalled && outcome !== RequestOutcome.failed) return;
        const failedVms = (failedVmsByRegion.get(key) ?? new Set()).add(name);
        failedVmsByRegion.set(key, failedVms);
        avoidedUntil.set(name, now() + SOURCE_AVOIDANCE_MS);
        if (failedVms.size >= REGION_FAILURE_THRESHOLD) avoidedUntil.set(key, now() + SOURCE_AVOIDANCE_MS);
    }

    function recordResult({ chunk, source }: PlannedRequest, { outcome }: ChunkResult, vm: Vm | undefined): void {
        const sourceName = vm?.name ?? "origin";
        if (source === UPSTREAM && vm !== undefined) recordSourceOutcome(vm, outcome);
        if (source === UPSTREAM && countsAsFailure(outcome)) {
            upstreamFailuresByChunk.set(chunk, (upstreamFailuresByChunk.get(chunk) ?? 0) + 1);
        }
        if (source === UPSTREAM && outcome === RequestOutcome.held && (upstreamAssignments[chunk]?.position ?? 0) > 0) {
            events.record("transfer.takenOver", rootDigest, { chunk, rank: upstreamAssignments[chunk]?.position ?? 0 });
        }
        if (outcome === RequestOutcome.stalled) {
            events.record("transfer.sourceStalled", rootDigest, { chunk, source: sourceName });
        }
        if (outcome === RequestOutcome.corrupt) recordCorruption(chunk, sourceName, vm === undefined);
    }

    /** A source that doesn't have the chunk yet is kept as long as chunks still arrive in the region. */
    function countsAsFailure(outcome: RequestOutcome): boolean {
        if (outcome === RequestOutcome.unknown) return now() - lastArrivalAt >= takeoverStepMs;
        return outcome !== RequestOutcome.held && outcome !== RequestOutcome.busy;
    }

    function recordCorruption(chunk: number, sourceName: string, fromOrigin: boolean): void {
        events.record("transfer.chunkCorrupted", rootDigest, { chunk, source: sourceName });
        const count = (corruptionsBySource.get(sourceName) ?? 0) + 1;
        corruptionsBySource.set(sourceName, count);
        if (count === CORRUPTION_WARNING_COUNT) {
            log.warn(
                "source %s sent %d corrupted chunks of version %s; check its memory and network link",
                sourceName,
                count,
                rootDigest,
            );
        }
        if (!fromOrigin) return;
        const corruptCount = (originCorruptionsByChunk.get(chunk) ?? 0) + 1;
        originCorruptionsByChunk.set(chunk, corruptCount);
        if (corruptCount >= MAX_CORRUPT_FROM_ORIGIN) {
            failure = transferError(
                "chunk %s from the weight store failed verification %d times; publish the version again",
                chunks[chunk]?.digest,
                corruptCount,
            );
        }
    }

    function waitForWake(): Promise<void> {
        return new Promise(resolve => {
            const timer = setTimeout(resolve, PLAN_INTERVAL_MS);
            wake = () => {
                clearTimeout(timer);
                resolve();
            };
        });
    }

    signal.addEventListener("abort", () => wake(), { once: true });
    try {
        while (plan.missingCount() > 0 && failure === undefined && !signal.aborted) {
            if (now() - reconciledAt >= RECONCILE_INTERVAL_MS) reconcilePeers();
            startRequests();
            await waitForWake();
        }
    }
    finally {
        for (const controller of inFlight.values()) controller.abort();
        peerWatches.stop();
    }
    if (failure !== undefined) throw failure;
}

/** Returns a key for a region that differs from all names of VMs. */
function regionKey(region: string): string {
    return `region ${region}`;
}
