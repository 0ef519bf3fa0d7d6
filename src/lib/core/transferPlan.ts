/**
 * Chooses the next chunk of a transfer and the source to request it from: chunks assigned to this VM from
 * upstream (another region or the origin), all others rarest first from the nearest and least loaded peer.
 * It keeps the state of one transfer; the caller performs the requests and reports their outcome.
 */

export const RequestOutcome = {
    held: "held",
    /** The source has reached its cap on uploads. */
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

/** Source name of requests that go upstream. No VM has an empty name. */
export const UPSTREAM = "";

export interface PlannedRequest {
    readonly chunk: number;
    /** Name of the peer, or `UPSTREAM`. */
    readonly source: string;
    readonly startedAt: number;
}

export interface TransferPlanOptions {
    readonly chunkCount: number;
    /** Most requests in progress to all peers together. */
    readonly maxRequests: number;
    readonly maxRequestsPerPeer: number;
    readonly maxUpstreamRequests: number;
    /** Most requests in progress for chunks that another request is already fetching. */
    readonly maxDuplicates: number;
    /** Returns the time from which this VM may fetch a chunk upstream while no peer has it. */
    readonly upstreamDueAt: (chunk: number) => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
    /**
     * Tells whether chunks are requested in their order instead of rarest first. This suits a source that fetches
     * each chunk once for many VMs, which then all ask for the same one; rarest first suits VMs that exchange chunks.
     */
    readonly inOrder?: () => boolean;
}

export interface TransferPlan {
    hold(chunk: number): void;
    readonly isHeld: (chunk: number) => boolean;
    readonly missing: () => number;
    /** Adds a peer. Peers at a smaller distance are preferred. */
    addPeer(name: string, distance: number): void;
    removePeer(name: string): void;
    peerHas(name: string, chunk: number): void;
    /** Returns the request to start at `now`, or `undefined` if none is useful yet. */
    next(now: number): PlannedRequest | undefined;
    finish(request: PlannedRequest, outcome: RequestOutcome, now: number): void;
    /** Returns the requests in progress for a chunk, so that the losers of a duplicate can be cancelled. */
    requestsFor(chunk: number): readonly PlannedRequest[];
}

/** A duplicate is requested only from a request that is older than this, which is rare without faults. */
export const DUPLICATE_AGE_MS = 1000;

/** Base pause before a source is asked again, doubled with each failure in a row. */
const PAUSE_MS: Readonly<Record<RequestOutcome, number>> = {
    held: 0,
    busy: 30,
    unknown: 500,
    corrupt: 10_000,
    stalled: 2_000,
    failed: 500,
    cancelled: 0,
};
const MAX_PAUSE_MS = 30_000;
const MAX_BUSY_PAUSE_MS = 200;

/** Bounds the time that is lost after an outage of the origin has ended. */
const MAX_UPSTREAM_PAUSE_MS = 4000;

const SUSPENDING: ReadonlySet<RequestOutcome> = new Set([
    RequestOutcome.corrupt,
    RequestOutcome.stalled,
    RequestOutcome.failed,
]);

interface Peer {
    readonly name: string;
    readonly distance: number;
    readonly chunks: Set<number>;
    requests: number;
    failures: number;
    notBefore: number;
    /**
     * The peer failed and its pause is not over. Its chunks don't count as copies meanwhile, so that a chunk
     * which only such peers announce is fetched upstream.
     */
    suspended: boolean;
}

export function createTransferPlan(options: TransferPlanOptions): TransferPlan {
    const { chunkCount, random } = options;
    const missing = new Set(Array.from({ length: chunkCount }, (_, chunk) => chunk));
    /** Missing chunks that no peer has. */
    const unseen = new Set(missing);
    const copies = Array.from({ length: chunkCount }, () => 0);
    const peers = new Map<string, Peer>();
    const inProgress = new Map<number, PlannedRequest[]>();
    const upstream = new Map<number, { failures: number; notBefore: number; }>();
    let upstreamRequests = 0;
    let peerRequests = 0;
    let duplicates = 0;

    function hold(chunk: number): void {
        missing.delete(chunk);
        unseen.delete(chunk);
        upstream.delete(chunk);
    }

    function addPeer(name: string, distance: number): void {
        removePeer(name);
        peers.set(name, {
            name,
            distance,
            chunks: new Set(),
            requests: 0,
            failures: 0,
            notBefore: 0,
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

    function peerHas(name: string, chunk: number): void {
        const peer = peers.get(name);
        if (peer === undefined || chunk >= chunkCount || peer.chunks.has(chunk)) return;
        peer.chunks.add(chunk);
        if (!peer.suspended) addCopies(chunk, 1);
    }

    function addCopies(chunk: number, change: number): void {
        copies[chunk] = copiesOf(chunk) + change;
        if (copiesOf(chunk) > 0) unseen.delete(chunk);
        else if (missing.has(chunk)) unseen.add(chunk);
    }

    function copiesOf(chunk: number): number {
        return copies[chunk] ?? 0;
    }

    function next(now: number): PlannedRequest | undefined {
        for (const peer of peers.values()) {
            if (peer.suspended && peer.notBefore <= now) resume(peer);
        }
        return nextUpstream(now) ?? nextFromPeers(now) ?? nextDuplicate(now);
    }

    function nextUpstream(now: number): PlannedRequest | undefined {
        if (upstreamRequests >= options.maxUpstreamRequests) return undefined;
        let first: number | undefined;
        for (const chunk of unseen) {
            if (inProgress.has(chunk) || !canGoUpstream(chunk, now)) continue;
            if (first === undefined || options.upstreamDueAt(chunk) < options.upstreamDueAt(first)) first = chunk;
        }
        return first === undefined ? undefined : start(first, UPSTREAM, now);
    }

    function canGoUpstream(chunk: number, now: number): boolean {
        return options.upstreamDueAt(chunk) <= now && (upstream.get(chunk)?.notBefore ?? 0) <= now;
    }

    function nextFromPeers(now: number): PlannedRequest | undefined {
        if (peerRequests >= options.maxRequests) return undefined;
        const free = freePeers(now);
        let best: number | undefined;
        let ties = 0;
        for (const chunk of missing) {
            if (copiesOf(chunk) === 0 || inProgress.has(chunk)) continue;
            if (best !== undefined && copiesOf(chunk) > copiesOf(best)) continue;
            if (!free.some(peer => peer.chunks.has(chunk))) continue;
            if (options.inOrder?.() === true) return startFromPeer(chunk, free, now);
            ties = best === undefined || copiesOf(chunk) < copiesOf(best) ? 1 : ties + 1;
            if (random() * ties < 1) best = chunk;
        }
        return best === undefined ? undefined : startFromPeer(best, free, now);
    }

    function nextDuplicate(now: number): PlannedRequest | undefined {
        if (duplicates >= options.maxDuplicates || peerRequests >= options.maxRequests) return undefined;
        const free = freePeers(now);
        for (const [chunk, [first, ...others]] of inProgress) {
            // A request that lost to a duplicate may still be in progress.
            if (!missing.has(chunk)) continue;
            if (first === undefined || others.length > 0 || now - first.startedAt < DUPLICATE_AGE_MS) continue;
            const candidates = free.filter(peer => peer.name !== first.source && peer.chunks.has(chunk));
            if (candidates.length > 0) return startFromPeer(chunk, candidates, now);
        }
        return undefined;
    }

    function freePeers(now: number): Peer[] {
        return [...peers.values()].filter(peer => {
            return peer.requests < options.maxRequestsPerPeer && peer.notBefore <= now;
        });
    }

    function startFromPeer(chunk: number, candidates: readonly Peer[], now: number): PlannedRequest | undefined {
        const ordered = candidates
            .filter(peer => peer.chunks.has(chunk))
            .map(peer => ({ peer, tie: random() }))
            .sort((a, b) => {
                return a.peer.distance - b.peer.distance || a.peer.requests - b.peer.requests || a.tie - b.tie;
            });
        const peer = ordered[0]?.peer;
        return peer === undefined ? undefined : start(chunk, peer.name, now);
    }

    function start(chunk: number, source: string, now: number): PlannedRequest {
        const request = { chunk, source, startedAt: now };
        const others = inProgress.get(chunk) ?? [];
        if (others.length > 0) duplicates++;
        inProgress.set(chunk, [...others, request]);
        const peer = peers.get(source);
        if (peer !== undefined) peer.requests++;
        if (source === UPSTREAM) upstreamRequests++;
        else peerRequests++;
        return request;
    }

    function finish(request: PlannedRequest, outcome: RequestOutcome, now: number): void {
        const others = requestsFor(request.chunk).filter(other => other !== request);
        if (others.length > 0) {
            duplicates--;
            inProgress.set(request.chunk, others);
        }
        else inProgress.delete(request.chunk);
        if (outcome === RequestOutcome.held) hold(request.chunk);
        if (request.source === UPSTREAM) finishUpstream(request.chunk, outcome, now);
        else finishPeer(request, outcome, now);
    }

    function finishUpstream(chunk: number, outcome: RequestOutcome, now: number): void {
        upstreamRequests--;
        if (outcome === RequestOutcome.held || outcome === RequestOutcome.cancelled) return;
        const failures = (upstream.get(chunk)?.failures ?? 0) + 1;
        const pause = pauseMs(RequestOutcome.failed, failures);
        upstream.set(chunk, { failures, notBefore: now + Math.min(MAX_UPSTREAM_PAUSE_MS, pause) });
    }

    function finishPeer({ source, chunk }: PlannedRequest, outcome: RequestOutcome, now: number): void {
        peerRequests--;
        const peer = peers.get(source);
        if (peer === undefined) return;
        peer.requests = Math.max(0, peer.requests - 1);
        if (outcome === RequestOutcome.unknown && peer.chunks.delete(chunk) && !peer.suspended) addCopies(chunk, -1);
        if (outcome === RequestOutcome.held) peer.failures = 0;
        if (outcome === RequestOutcome.held || outcome === RequestOutcome.cancelled) return;
        peer.failures++;
        peer.notBefore = Math.max(peer.notBefore, now + pauseMs(outcome, peer.failures));
        if (SUSPENDING.has(outcome)) suspend(peer);
    }

    function pauseMs(outcome: RequestOutcome, failures: number): number {
        const limit = outcome === RequestOutcome.busy ? MAX_BUSY_PAUSE_MS : MAX_PAUSE_MS;
        const pause = Math.min(limit, PAUSE_MS[outcome] * 2 ** Math.min(failures - 1, 10));
        return pause * (0.5 + random() / 2);
    }

    function requestsFor(chunk: number): readonly PlannedRequest[] {
        return inProgress.get(chunk) ?? [];
    }

    return {
        hold,
        isHeld: chunk => !missing.has(chunk),
        missing: () => missing.size,
        addPeer,
        removePeer,
        peerHas,
        next,
        finish,
        requestsFor,
    };
}
