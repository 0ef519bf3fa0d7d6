/**
 * Request scheduling for a peer-to-peer transfer. The plan chooses the next chunk and its source: chunks that are
 * due for this VM come from upstream (another region or the origin), all others rarest first from the nearest and
 * least loaded peer. It holds the state of one transfer; the caller performs the requests and reports their outcomes.
 */

export const RequestOutcome = {
    /** The chunk was received and verified. */
    held: "held",
    /** The source has reached its upload limit. */
    busy: "busy",
    /** The source doesn't have the chunk. */
    unknown: "unknown",
    corrupt: "corrupt",
    /** The source made no progress. */
    stalled: "stalled",
    failed: "failed",
    /** Another request delivered the chunk first. */
    cancelled: "cancelled",
} as const;

export type RequestOutcome = (typeof RequestOutcome)[keyof typeof RequestOutcome];

/** `source` of requests to upstream. No VM has an empty name. */
export const UPSTREAM = "";

export interface PlannedRequest {
    readonly chunk: number;
    /** Name of the peer, or `UPSTREAM`. */
    readonly source: string;
    readonly startedAt: number;
}

export interface TransferPlanOptions {
    readonly chunkCount: number;
    /** Maximum number of requests in flight to all peers together. */
    readonly maxRequests: number;
    readonly maxRequestsPerPeer: number;
    readonly maxUpstreamRequests: number;
    /** Maximum number of requests in flight for chunks that another request is already fetching. */
    readonly maxDuplicates: number;
    /** Returns the time from which this VM may request a chunk from upstream if no peer has it. */
    readonly upstreamDueAt: (chunk: number) => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
    /**
     * Returns whether chunks are requested in index order instead of rarest first. Index order suits a source that
     * fetches each chunk once for many VMs, since all of them then request the same chunk. Rarest first suits VMs
     * that exchange chunks.
     */
    readonly inOrder?: () => boolean;
}

export interface TransferPlan {
    /** Marks a chunk as held, so that it isn't requested. */
    hold(chunk: number): void;
    readonly isHeld: (chunk: number) => boolean;
    /** Number of chunks that are not held yet. */
    readonly missingCount: () => number;
    /** Adds or resets a peer. Peers at a smaller distance are preferred. */
    addPeer(name: string, distance: number): void;
    removePeer(name: string): void;
    /** Treats a peer as one that has failed until it delivers. */
    suspendPeer(name: string): void;
    /** Records that a peer has a chunk. */
    addPeerChunk(name: string, chunk: number): void;
    /** Returns the next request to start, or `undefined` if there is none at `now`. */
    next(now: number): PlannedRequest | undefined;
    /** Records the outcome of a request that `next` returned. */
    finish(request: PlannedRequest, outcome: RequestOutcome, now: number): void;
    /** Returns the requests in flight for a chunk, so that the others can be cancelled when one of them succeeds. */
    requestsFor(chunk: number): readonly PlannedRequest[];
}

/** A chunk is requested a second time only if its first request is older than this, which is rare without faults. */
export const MIN_DUPLICATE_AGE_MS = 1000;

/** Base delay before a source is asked again; doubled with each consecutive failure. */
const BACKOFF_MS: Readonly<Record<RequestOutcome, number>> = {
    held: 0,
    busy: 30,
    unknown: 500,
    corrupt: 10_000,
    stalled: 2_000,
    failed: 500,
    cancelled: 0,
};
const MAX_BACKOFF_MS = 30_000;
const MAX_BUSY_BACKOFF_MS = 200;

/** Limits how long the transfer takes to resume after an outage of the origin. */
const MAX_UPSTREAM_BACKOFF_MS = 4000;

/** Outcomes after which a peer is suspended. */
const SUSPENDING_OUTCOMES: ReadonlySet<RequestOutcome> = new Set([
    RequestOutcome.corrupt,
    RequestOutcome.stalled,
    RequestOutcome.failed,
]);

interface Peer {
    readonly name: string;
    readonly distance: number;
    readonly chunks: Set<number>;
    inFlightRequests: number;
    failures: number;
    retryAt: number;
    /**
     * Whether the peer has delivered nothing since it failed. Its chunks don't count as copies, so that chunks that only
     * suspended peers announce are fetched from upstream, and it gets one request at a time, which holds few places.
     */
    suspended: boolean;
}

export function createTransferPlan(options: TransferPlanOptions): TransferPlan {
    const { chunkCount, random } = options;
    const missing = new Set(Array.from({ length: chunkCount }, (_, chunk) => chunk));
    /** Missing chunks that no peer has, not counting suspended peers. */
    const withoutCopy = new Set(missing);
    const copyCounts = Array.from({ length: chunkCount }, () => 0);
    const peers = new Map<string, Peer>();
    /** Requests in flight of each chunk, oldest first. */
    const inFlight = new Map<number, PlannedRequest[]>();
    const upstreamFailures = new Map<number, { failures: number; retryAt: number; }>();
    let upstreamRequestCount = 0;
    let peerRequestCount = 0;
    let duplicateRequestCount = 0;

    function hold(chunk: number): void {
        missing.delete(chunk);
        withoutCopy.delete(chunk);
        upstreamFailures.delete(chunk);
    }

    function addPeer(name: string, distance: number): void {
        removePeer(name);
        peers.set(name, {
            name,
            distance,
            chunks: new Set(),
            inFlightRequests: 0,
            failures: 0,
            retryAt: 0,
            suspended: false,
        });
    }

    function removePeer(name: string): void {
        const peer = peers.get(name);
        if (peer !== undefined) suspend(peer);
        peers.delete(name);
    }

    function suspend(peer: Peer): void {
        if (peer.suspended) return;
        peer.suspended = true;
        for (const chunk of peer.chunks) addCopies(chunk, -1);
    }

    function resume(peer: Peer): void {
        peer.suspended = false;
        for (const chunk of peer.chunks) addCopies(chunk, 1);
    }

    function addPeerChunk(name: string, chunk: number): void {
        const peer = peers.get(name);
        if (peer === undefined || chunk >= chunkCount || peer.chunks.has(chunk)) return;
        peer.chunks.add(chunk);
        if (!peer.suspended) addCopies(chunk, 1);
    }

    function addCopies(chunk: number, change: number): void {
        copyCounts[chunk] = copyCountOf(chunk) + change;
        if (copyCountOf(chunk) > 0) withoutCopy.delete(chunk);
        else if (missing.has(chunk)) withoutCopy.add(chunk);
    }

    function copyCountOf(chunk: number): number {
        return copyCounts[chunk] ?? 0;
    }

    function next(now: number): PlannedRequest | undefined {
        return nextUpstream(now) ?? nextFromPeers(now) ?? nextDuplicate(now);
    }

    function nextUpstream(now: number): PlannedRequest | undefined {
        if (upstreamRequestCount >= options.maxUpstreamRequests) return undefined;
        let first: number | undefined;
        for (const chunk of withoutCopy) {
            if (inFlight.has(chunk) || !canRequestUpstream(chunk, now)) continue;
            if (first === undefined || options.upstreamDueAt(chunk) < options.upstreamDueAt(first)) first = chunk;
        }
        return first === undefined ? undefined : startRequest(first, UPSTREAM, now);
    }

    function canRequestUpstream(chunk: number, now: number): boolean {
        return options.upstreamDueAt(chunk) <= now && (upstreamFailures.get(chunk)?.retryAt ?? 0) <= now;
    }

    function nextFromPeers(now: number): PlannedRequest | undefined {
        if (peerRequestCount >= options.maxRequests) return undefined;
        const available = availablePeers(now);
        let rarest: number | undefined;
        let tieCount = 0;
        for (const chunk of missing) {
            if (inFlight.has(chunk)) continue;
            if (rarest !== undefined && copyCountOf(chunk) > copyCountOf(rarest)) continue;
            if (!available.some(peer => peer.chunks.has(chunk))) continue;
            if (options.inOrder?.() === true) return startFromPeer(chunk, available, now);
            tieCount = rarest === undefined || copyCountOf(chunk) < copyCountOf(rarest) ? 1 : tieCount + 1;
            if (random() * tieCount < 1) rarest = chunk;
        }
        return rarest === undefined ? undefined : startFromPeer(rarest, available, now);
    }

    function nextDuplicate(now: number): PlannedRequest | undefined {
        if (duplicateRequestCount >= options.maxDuplicates || peerRequestCount >= options.maxRequests) return undefined;
        const available = availablePeers(now);
        for (const [chunk, [first, ...duplicates]] of inFlight) {
            // The slower of two duplicate requests may still be in flight after the chunk has arrived.
            if (!missing.has(chunk)) continue;
            if (first === undefined || duplicates.length > 0 || now - first.startedAt < MIN_DUPLICATE_AGE_MS) continue;
            const candidates = available.filter(peer => peer.name !== first.source && peer.chunks.has(chunk));
            if (candidates.length > 0) return startFromPeer(chunk, candidates, now);
        }
        return undefined;
    }

    function availablePeers(now: number): Peer[] {
        return [...peers.values()].filter(peer => {
            return peer.inFlightRequests < (peer.suspended ? 1 : options.maxRequestsPerPeer) && peer.retryAt <= now;
        });
    }

    function startFromPeer(chunk: number, candidates: readonly Peer[], now: number): PlannedRequest | undefined {
        const ordered = candidates
            .filter(peer => peer.chunks.has(chunk))
            .map(peer => ({ peer, tie: random() }))
            .sort((a, b) => {
                return a.peer.distance - b.peer.distance || a.peer.inFlightRequests - b.peer.inFlightRequests ||
                    a.tie - b.tie;
            });
        const peer = ordered[0]?.peer;
        return peer === undefined ? undefined : startRequest(chunk, peer.name, now);
    }

    function startRequest(chunk: number, source: string, now: number): PlannedRequest {
        const request = { chunk, source, startedAt: now };
        const earlierRequests = inFlight.get(chunk) ?? [];
        if (earlierRequests.length > 0) duplicateRequestCount++;
        inFlight.set(chunk, [...earlierRequests, request]);
        const peer = peers.get(source);
        if (peer !== undefined) peer.inFlightRequests++;
        if (source === UPSTREAM) upstreamRequestCount++;
        else peerRequestCount++;
        return request;
    }

    function finish(request: PlannedRequest, outcome: RequestOutcome, now: number): void {
        const remainingRequests = requestsFor(request.chunk).filter(each => each !== request);
        if (remainingRequests.length > 0) {
            duplicateRequestCount--;
            inFlight.set(request.chunk, remainingRequests);
        }
        else inFlight.delete(request.chunk);
        if (outcome === RequestOutcome.held) hold(request.chunk);
        if (request.source === UPSTREAM) finishUpstream(request.chunk, outcome, now);
        else finishPeer(request, outcome, now);
    }

    function finishUpstream(chunk: number, outcome: RequestOutcome, now: number): void {
        upstreamRequestCount--;
        if (outcome === RequestOutcome.held || outcome === RequestOutcome.cancelled) return;
        const failures = (upstreamFailures.get(chunk)?.failures ?? 0) + 1;
        const delayMs = backoffMs(RequestOutcome.failed, failures);
        upstreamFailures.set(chunk, { failures, retryAt: now + Math.min(MAX_UPSTREAM_BACKOFF_MS, delayMs) });
    }

    function finishPeer({ source, chunk }: PlannedRequest, outcome: RequestOutcome, now: number): void {
        peerRequestCount--;
        const peer = peers.get(source);
        if (peer === undefined) return;
        peer.inFlightRequests = Math.max(0, peer.inFlightRequests - 1);
        if (outcome === RequestOutcome.unknown && peer.chunks.delete(chunk) && !peer.suspended) addCopies(chunk, -1);
        if (outcome === RequestOutcome.held) {
            peer.failures = 0;
            if (peer.suspended) resume(peer);
        }
        if (outcome === RequestOutcome.held || outcome === RequestOutcome.cancelled) return;
        peer.failures++;
        peer.retryAt = Math.max(peer.retryAt, now + backoffMs(outcome, peer.failures));
        if (SUSPENDING_OUTCOMES.has(outcome)) suspend(peer);
    }

    function backoffMs(outcome: RequestOutcome, failures: number): number {
        const limit = outcome === RequestOutcome.busy ? MAX_BUSY_BACKOFF_MS : MAX_BACKOFF_MS;
        const delayMs = Math.min(limit, BACKOFF_MS[outcome] * 2 ** Math.min(failures - 1, 10));
        return delayMs * (0.5 + random() / 2);
    }

    function requestsFor(chunk: number): readonly PlannedRequest[] {
        return inFlight.get(chunk) ?? [];
    }

    return {
        hold,
        isHeld: chunk => !missing.has(chunk),
        missingCount: () => missing.size,
        addPeer,
        removePeer,
        suspendPeer: name => {
            const peer = peers.get(name);
            if (peer !== undefined) suspend(peer);
        },
        addPeerChunk,
        next,
        finish,
        requestsFor,
    };
}
