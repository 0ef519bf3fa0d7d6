/**
 * Fetches the missing pieces of a version for an agent. Sources are the relays (entries) of its region, the agents of
 * its region and, for pieces assigned to this agent or overdue ones, other regions and the origin. The transfer plan
 * chooses the source of each piece; this module performs the requests.
 */
import { setTimeout as sleep } from "node:timers/promises";
import VError from "verror";
import {
    createChunkAssigner,
    createTransferPlan,
    type Participant,
    type PlannedRequest,
    RequestOutcome,
    takeoverDelayMs,
    UPSTREAM,
} from "../core/index.js";
import type { EventLog, ServingMetrics } from "../observability/index.js";
import { isVersionWithdrawn, type WeightsOriginClient } from "../platform/index.js";
import { isPieceUnavailable, type PeerClient } from "./peerApi.js";
import { countHeld, type HeldVersion, type PieceStore } from "./pieceStore.js";

export interface TransferPeer extends Participant {
    readonly client: PeerClient;
    readonly failureDomain: string;
}

/** A process that can deliver every piece of a version, fetching those that it doesn't hold. */
export interface Relay {
    readonly name: string;
    readonly client: PeerClient;
    /** Records a failed call, so that an entry that doesn't respond isn't chosen again at once. */
    readonly recordFailure: (error: Error) => void;
}

export interface PieceTransferOptions {
    readonly self: Participant & { readonly failureDomain: string; };
    readonly peers: readonly TransferPeer[];
    /** Entries of the region in order of preference, which fetch each piece once for all of its agents. */
    readonly relays: readonly Relay[];
    /** Finds the entries of the region that are there now. Never rejects. */
    readonly findRelays: () => Promise<readonly Relay[]>;
    readonly origin: WeightsOriginClient;
    readonly originRegion: string;
    readonly pieceStore: PieceStore;
    readonly held: HeldVersion;
    /** Aborts the transfer, for example because a newer version replaces this one. */
    readonly signal: AbortSignal;
    /** Returns whether a newer version has been named, so that this one may be withdrawn. */
    readonly isSuperseded: () => boolean;
    readonly log: EventLog;
    readonly metrics: ServingMetrics;
    /** Monotonic clock, in milliseconds. */
    readonly now: () => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}

/** Limits of requests in flight. Two for each source keep a link busy during a round trip. */
const REQUEST_LIMITS = { maxRequests: 3, maxRequestsPerPeer: 3, maxUpstreamRequests: 2, maxDuplicates: 2 };

/**
 * Distances of the relays in their order, all below those of agents, whose links also carry the response streams of
 * their engines. Each relay sends as much as this agent's link takes, so the second one is used only if the first one
 * fails.
 */
const RELAY_DISTANCES = [0, 0.5] as const;

/** After a failed request to a relay, agents exchange pieces, requested rarest first, for this long. */
const RELAY_COOLDOWN_MS = 1500;

/** Time that a relay or an agent of another region may take to get a piece that it is still fetching. */
const PIECE_WAIT_MS = 1200;

/** Time after which the VM at the next position takes over fetching a piece that no VM of the region holds. */
const TAKEOVER_STEP_MS = 900;

/**
 * A relay that responds that it can't get a piece is retried for this long. It gets the piece as soon as any process
 * can, and agents that all turn to the origin would take the origin's link from the relays. Longer than an outage of
 * the origin usually lasts.
 */
const RELAY_BUSY_TIMEOUT_MS = 8000;

/** Time after which the plan is consulted again if no request ends before. */
const PLAN_POLL_INTERVAL_MS = 50;

/** While an entry of the region isn't there, it is looked for at this interval. */
const RELAY_SEARCH_INTERVAL_MS = 2000;

/** Maximum number of polled agents of the region; more add traffic without making the transfer faster. */
const MAX_POLLED_PEERS = 8;

const PEER_POLL_INTERVAL_MS = 60;

/** Entries that are used at the same time. The second one is used if the first one fails. */
export const MAX_RELAYS = 2;

/** Interval at which it is checked whether the relays have failed, so that peers are needed. */
const RELAY_CHECK_INTERVAL_MS = 100;
const PEER_FAILURE_DELAY_MS = 500;

/**
 * Resolves when all pieces are held or the signal is aborted. Failed requests are retried. Throws only if a piece
 * contradicts the manifest, or if a source doesn't have the superseded version any more.
 */
export async function transferPieces(options: PieceTransferOptions): Promise<void> {
    const { held, self, now, random, signal } = options;
    const { digests } = held.manifest;
    const startedAt = now();
    const assignPiece = createChunkAssigner(self, [self, ...options.peers], options.originRegion);
    const assignments = digests.map(assignPiece);
    const upstreamDueAt = assignments.map(({ position }) =>
        startedAt + takeoverDelayMs(position, random(), TAKEOVER_STEP_MS)
    );
    const relays = new Map(options.relays.map(relay => [relay.name, relay]));
    /** For each busy relay, when it first responded that it can't get a piece, since its last delivery. */
    const busySinceByRelay = new Map<string, number>();
    /**
     * Time from which pieces are requested in index order. Agents without a working relay exchange pieces, which is
     * faster if they request the rarest first.
     */
    let inOrderFrom = relays.size > 0 ? startedAt : Number.POSITIVE_INFINITY;
    const plan = createTransferPlan({
        chunkCount: digests.length,
        ...REQUEST_LIMITS,
        upstreamDueAt: piece => upstreamDueAt[piece] ?? startedAt,
        random,
        inOrder: () => now() >= inOrderFrom,
    });
    held.pieces.forEach((piece, index) => piece === undefined ? undefined : plan.hold(index));
    const peersByName = new Map(options.peers.map(peer => [peer.name, peer]));
    const regionPeers = options.peers.filter(peer => peer.region === self.region).slice(0, MAX_POLLED_PEERS);
    options.relays.forEach(({ name }, index) => addToPlan(name, index));
    void searchRelays();
    for (const peer of regionPeers) {
        plan.addPeer(peer.name, peer.failureDomain === self.failureDomain ? 1 : 2);
        void pollPeer(options, peer, () => now() < inOrderFrom, piece => plan.addPeerChunk(peer.name, piece));
    }

    function addToPlan(relay: string, index: number): void {
        plan.addPeer(relay, RELAY_DISTANCES[index] ?? RELAY_DISTANCES[1]);
        digests.forEach((_, piece) => plan.addPeerChunk(relay, piece));
    }

    /** Adds entries that were not there at the start of the transfer. */
    async function searchRelays(): Promise<void> {
        while (relays.size < MAX_RELAYS) {
            await sleep(RELAY_SEARCH_INTERVAL_MS, undefined, { ref: false });
            if (signal.aborted || plan.missingCount() === 0) return;
            for (const relay of await options.findRelays()) {
                if (relays.has(relay.name) || relays.size >= MAX_RELAYS) continue;
                if (relays.size === 0) inOrderFrom = now();
                addToPlan(relay.name, relays.size);
                plan.suspendPeer(relay.name);
                relays.set(relay.name, relay);
            }
        }
    }

    let withdrawal: Error | undefined;
    let wakePlanLoop: () => void = () => undefined;
    while (plan.missingCount() > 0 && !signal.aborted) {
        if (held.isContradicted) throw new VError("the manifest is contradicted by a piece");
        if (withdrawal !== undefined) throw new VError({ cause: withdrawal }, "the version was withdrawn");
        for (let next = plan.next(now()); next !== undefined; next = plan.next(now())) {
            void performRequest(next).then(() => wakePlanLoop());
        }
        await new Promise<void>(resolve => {
            const timer = setTimeout(resolve, PLAN_POLL_INTERVAL_MS);
            wakePlanLoop = () => {
                clearTimeout(timer);
                resolve();
            };
        });
    }

    async function performRequest(request: PlannedRequest): Promise<void> {
        const outcome = await fetchPiece(request);
        plan.finish(request, outcome, now());
    }

    async function fetchPiece({ chunk: piece, source }: PlannedRequest): Promise<RequestOutcome> {
        const relay = relays.get(source);
        if (relay !== undefined) {
            const read = async () => {
                try {
                    return await relay.client.readPiece(held.manifest.version, piece, PIECE_WAIT_MS);
                }
                catch (error) {
                    relay.recordFailure(error as Error);
                    throw error;
                }
            };
            const outcome = await fetchFrom(piece, "relay", read);
            if (outcome === RequestOutcome.held) busySinceByRelay.delete(source);
            if (outcome === RequestOutcome.busy && recordBusyAndMayRetry(source)) return outcome;
            if (outcome !== RequestOutcome.held) inOrderFrom = now() + RELAY_COOLDOWN_MS;
            return outcome === RequestOutcome.busy ? RequestOutcome.failed : outcome;
        }
        if (source !== UPSTREAM) {
            return fetchFrom(piece, "peer", () => readFromPeer(source, piece, 0));
        }
        for (const name of assignments[piece]?.sources ?? []) {
            const outcome = await fetchFrom(piece, "region", () => readFromPeer(name, piece, PIECE_WAIT_MS));
            if (outcome === RequestOutcome.held || signal.aborted) return outcome;
        }
        const read = () => options.origin.readPiece(held.model, held.manifest.version, piece);
        return fetchFrom(piece, "origin", read);
    }

    /** Records that a relay can't get a piece. Returns whether to keep requesting pieces from it. */
    function recordBusyAndMayRetry(relay: string): boolean {
        const since = busySinceByRelay.get(relay) ?? now();
        busySinceByRelay.set(relay, since);
        return now() - since < RELAY_BUSY_TIMEOUT_MS;
    }

    function readFromPeer(name: string, piece: number, waitMs: number): Promise<Buffer> {
        const peer = peersByName.get(name);
        if (peer === undefined) return Promise.reject(new Error(`agent ${name} isn't a peer of this transfer`));
        return peer.client.readPiece(held.manifest.version, piece, waitMs);
    }

    async function fetchFrom(piece: number, source: string, read: () => Promise<Buffer>): Promise<RequestOutcome> {
        if (held.pieces[piece] !== undefined) return RequestOutcome.held;
        try {
            const bytes = await read();
            if (!options.pieceStore.put(held, piece, bytes)) {
                options.log.warn("piece corrupt", { piece, model: held.model, version: held.manifest.version, source });
                return RequestOutcome.corrupt;
            }
            options.metrics.pieces.inc({ source });
            return RequestOutcome.held;
        }
        catch (error) {
            options.log.info("piece not received", {
                piece,
                model: held.model,
                version: held.manifest.version,
                source,
                error: (error as Error).message,
            });
            if (options.isSuperseded() && isVersionWithdrawn(error as Error)) withdrawal = error as Error;
            return source === "relay" && isPieceUnavailable(error as Error) ?
                RequestOutcome.busy :
                RequestOutcome.failed;
        }
    }
}

/**
 * Reads which pieces a peer holds. While a relay works, nothing is requested from peers, and their states would cost
 * each agent several calls for each piece.
 */
async function pollPeer(
    { held, signal }: PieceTransferOptions,
    peer: TransferPeer,
    isNeeded: () => boolean,
    onPiece: (piece: number) => void,
): Promise<void> {
    const pieceCount = held.manifest.digests.length;
    let knownCount = -1;
    while (!signal.aborted && countHeld(held) < pieceCount) {
        if (!isNeeded()) {
            await sleep(RELAY_CHECK_INTERVAL_MS);
            continue;
        }
        try {
            const state = await peer.client.readState(held.manifest.version, knownCount);
            knownCount = state.held.length;
            for (const piece of state.held) onPiece(piece);
            await sleep(PEER_POLL_INTERVAL_MS);
        }
        catch {
            // A peer that doesn't respond is not used as a source. It is polled again because it may be starting.
            await sleep(PEER_FAILURE_DELAY_MS);
        }
    }
}
