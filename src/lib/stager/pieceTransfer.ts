/**
 * Fetches the missing pieces of a version: assigned ones from another region or the origin, all others from agents
 * of the own region. The plan decides what is asked where; this task performs the requests.
 */
import { setTimeout as sleep } from "node:timers/promises";
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
import type { Origin } from "../platform/index.js";
import { isLacking, type PeerClient } from "./peerApi.js";
import { countHeld, type HeldVersion, type PieceStore } from "./pieceStore.js";

export interface TransferPeer extends Participant {
    readonly client: PeerClient;
    readonly failureDomain: string;
}

/** A process that delivers every piece of a version, though it may not hold it yet. */
export interface Relay {
    readonly name: string;
    readonly client: PeerClient;
}

export interface PieceTransferOptions {
    readonly self: Participant & { readonly failureDomain: string; };
    readonly peers: readonly TransferPeer[];
    /** Entries of the region, which fetch each piece once for all agents of the region. */
    readonly relays: readonly Relay[];
    readonly origin: Origin;
    readonly originRegion: string;
    readonly pieces: PieceStore;
    readonly held: HeldVersion;
    /** Ends the transfer when a newer version is named. */
    readonly signal: AbortSignal;
    readonly log: EventLog;
    readonly metrics: ServingMetrics;
    readonly now: () => number;
    readonly random: () => number;
}

/** Requests in progress: two for each source keep a link busy during a round trip. */
const LIMITS = { maxRequests: 3, maxRequestsPerPeer: 3, maxUpstreamRequests: 2, maxDuplicates: 2 };

/** Relays go before agents, whose links carry the streams of their engines. */
const RELAY_DISTANCE = 0;

/** After a failed request to a relay, agents exchange pieces for this long. */
const RELAY_PAUSE_MS = 1500;

/** Wait at a VM of another region that fetches the piece at this moment. */
const SOURCE_WAIT_MS = 1200;

/** Wait before the next VM takes over a piece that nobody of the region has. */
const TAKEOVER_STEP_MS = 900;

/**
 * A relay that answers that it can't get a piece is asked again for this long: it gets it as soon as anybody can, and
 * agents that all turn to the origin take its link from the relays. Longer than an origin usually needs to return.
 */
const RELAY_PATIENCE_MS = 8000;

/** The plan is asked again after this time if no request ends meanwhile. */
const PLAN_INTERVAL_MS = 50;

/** Peers of the region that are watched; more add traffic and no speed. */
const MAX_WATCHED_PEERS = 8;

const WATCH_PAUSE_MS = 60;
const WATCH_FAILURE_PAUSE_MS = 500;

/** Resolves when all pieces are held or the signal fires. */
export async function transferPieces(options: PieceTransferOptions): Promise<void> {
    const { held, self, now, random, signal } = options;
    const { digests } = held.manifest;
    const startedAt = now();
    const assign = createChunkAssigner(self, [self, ...options.peers], options.originRegion);
    const assignments = digests.map(assign);
    const dueAt = assignments.map(({ rank }) => startedAt + takeoverDelayMs(rank, random(), TAKEOVER_STEP_MS));
    const relays = new Map(options.relays.map(relay => [relay.name, relay]));
    /** Since when relays that answer have had none of the pieces that they were asked for. */
    const lackingSince = new Map<string, number>();
    /** Without a working relay agents exchange pieces, which is faster in another order. */
    let relayTrustedAt = relays.size > 0 ? startedAt : Number.POSITIVE_INFINITY;
    const plan = createTransferPlan({
        chunkCount: digests.length,
        ...LIMITS,
        upstreamDueAt: chunk => dueAt[chunk] ?? startedAt,
        random,
        inOrder: () => now() >= relayTrustedAt,
    });
    held.pieces.forEach((piece, index) => piece === undefined ? undefined : plan.hold(index));
    const byName = new Map(options.peers.map(peer => [peer.name, peer]));
    const neighbours = options.peers.filter(peer => peer.region === self.region).slice(0, MAX_WATCHED_PEERS);
    for (const name of relays.keys()) {
        plan.addPeer(name, RELAY_DISTANCE);
        digests.forEach((_, piece) => plan.peerHas(name, piece));
    }
    for (const peer of neighbours) {
        plan.addPeer(peer.name, peer.failureDomain === self.failureDomain ? 1 : 2);
        void watchPeer(options, peer, piece => plan.peerHas(peer.name, piece));
    }

    let wake: () => void = () => undefined;
    while (plan.missing() > 0 && !signal.aborted) {
        for (let next = plan.next(now()); next !== undefined; next = plan.next(now())) {
            void perform(next).then(() => wake());
        }
        await new Promise<void>(resolve => {
            const timer = setTimeout(resolve, PLAN_INTERVAL_MS);
            wake = () => {
                clearTimeout(timer);
                resolve();
            };
        });
    }

    async function perform(request: PlannedRequest): Promise<void> {
        const outcome = await fetchPiece(request);
        plan.finish(request, outcome, now());
    }

    async function fetchPiece({ chunk, source }: PlannedRequest): Promise<RequestOutcome> {
        const relay = relays.get(source);
        if (relay !== undefined) {
            const read = () => relay.client.readPiece(held.manifest.version, chunk, SOURCE_WAIT_MS);
            const outcome = await fetchFrom(chunk, "relay", read);
            if (outcome === RequestOutcome.held) lackingSince.delete(source);
            if (outcome === RequestOutcome.busy && isPatientWith(source)) return outcome;
            if (outcome !== RequestOutcome.held) relayTrustedAt = now() + RELAY_PAUSE_MS;
            return outcome === RequestOutcome.busy ? RequestOutcome.failed : outcome;
        }
        if (source !== UPSTREAM) {
            return fetchFrom(chunk, "peer", () => peerPiece(source, chunk, 0));
        }
        for (const name of assignments[chunk]?.sources ?? []) {
            const outcome = await fetchFrom(chunk, "region", () => peerPiece(name, chunk, SOURCE_WAIT_MS));
            if (outcome === RequestOutcome.held || signal.aborted) return outcome;
        }
        const read = () => options.origin.readPiece(held.model, held.manifest.version, chunk);
        return fetchFrom(chunk, "origin", read);
    }

    function isPatientWith(relay: string): boolean {
        const since = lackingSince.get(relay) ?? now();
        lackingSince.set(relay, since);
        return now() - since < RELAY_PATIENCE_MS;
    }

    function peerPiece(name: string, chunk: number, waitMs: number): Promise<Buffer> {
        const peer = byName.get(name);
        if (peer === undefined) return Promise.reject(new Error("the peer is unknown"));
        return peer.client.readPiece(held.manifest.version, chunk, waitMs);
    }

    async function fetchFrom(chunk: number, source: string, read: () => Promise<Buffer>): Promise<RequestOutcome> {
        if (held.pieces[chunk] !== undefined) return RequestOutcome.held;
        try {
            const bytes = await read();
            if (!options.pieces.put(held, chunk, bytes)) {
                options.log.warn("piece corrupt", { piece: chunk, version: held.manifest.version, source });
                return RequestOutcome.corrupt;
            }
            options.metrics.pieces.inc({ source });
            return RequestOutcome.held;
        }
        catch (error) {
            options.log.info("piece not received", { piece: chunk, source, error: (error as Error).message });
            return source === "relay" && isLacking(error as Error) ? RequestOutcome.busy : RequestOutcome.failed;
        }
    }
}

async function watchPeer(
    { held, signal }: PieceTransferOptions,
    peer: TransferPeer,
    onPiece: (piece: number) => void,
): Promise<void> {
    const total = held.manifest.digests.length;
    let known = -1;
    while (!signal.aborted && countHeld(held) < total) {
        try {
            const state = await peer.client.readState(held.manifest.version, known);
            known = state.held.length;
            for (const piece of state.held) onPiece(piece);
            await sleep(WATCH_PAUSE_MS);
        }
        catch {
            // A peer that doesn't answer is no source; it is asked again in case it starts.
            await sleep(WATCH_FAILURE_PAUSE_MS);
        }
    }
}
