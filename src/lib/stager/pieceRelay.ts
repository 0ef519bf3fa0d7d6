/**
 * The piece relay of an entry. The entries of a region share the pieces of a version, and each fetches its part as soon
 * as the version is named: from the origin in the origin's region, and from an entry there elsewhere. A region that is
 * cut off while its agents still load then has everything they need. Entries have wide links, while each agent's link
 * also carries the streams of its engine.
 */
import * as http from "node:http";
import VError from "verror";
import { firstMember } from "../core/index.js";
import type { EventLog, ServingMetrics } from "../observability/index.js";
import { createOrigin, type WeightManifest } from "../platform/index.js";
import { createPeerClient, type PeerClient, type PieceSupply } from "./peerApi.js";
import { countHeld, createPieceStore, type HeldVersion } from "./pieceStore.js";

export interface PieceRelayOptions {
    readonly self: { readonly ip: string; readonly region: string; };
    /** Living entries with their regions, without this one. */
    readonly entries: () => readonly { readonly ip: string; readonly region: string; }[];
    /** The origin and the model that it has; `undefined` until a configuration is known. */
    readonly source: () => WeightsOrigin | undefined;
    readonly entryPort: number;
    readonly log: EventLog;
    readonly metrics: ServingMetrics;
}

export interface WeightsOrigin {
    readonly address: string;
    readonly region: string;
    readonly model: string;
}

/** Tries for one piece, each at another source where there is one. */
const MAX_TRIES = 4;

/** Wait at another entry that fetches the piece itself. */
const SOURCE_WAIT_MS = 1200;

/** Entries send to each other without a pace: their links are wide. */
const ENTRY_RATE_MBPS = 1000;

export interface PieceRelay extends PieceSupply {
    /** Fetches a named version before anybody asks, so that an origin that fails later isn't missed. */
    prefetch(version: number): Promise<void>;
    /** Ends a prefetch that still fails. */
    stop(): void;
}

/** Pieces fetched at once ahead of the agents; two keep the origin's link busy. */
const PREFETCHES = 2;

/** Pause after which a prefetch that failed is tried again. */
const PREFETCH_PAUSE_MS = 300;

export function createPieceRelay(options: PieceRelayOptions): PieceRelay {
    const { self, log } = options;
    const pieces = createPieceStore();
    const connections = new http.Agent({ keepAlive: true, maxSockets: 8 });
    const manifests = new Map<number, Promise<HeldVersion>>();
    const fetches = new Map<string, Promise<Buffer>>();
    let newest = 0;

    function open(version: number): Promise<HeldVersion> {
        let opening = manifests.get(version);
        if (opening === undefined) {
            opening = fetchManifest(version).then(({ model, manifest }) => pieces.open(model, manifest));
            manifests.set(version, opening);
            // A failed read is repeated by the next request.
            opening.catch(() => manifests.delete(version));
        }
        return opening;
    }

    async function fetchManifest(version: number): Promise<{ model: string; manifest: WeightManifest; }> {
        const source = options.source();
        if (source === undefined) throw new VError("no origin is known");
        const [upstream] = upstreamEntries(source, version, -1);
        const manifest = await upstream?.readManifest(version).catch(error => {
            log.info("manifest not received", { version, source: "entry", error: (error as Error).message });
            return undefined;
        });
        const origin = createOrigin(source.address, connections);
        return { model: source.model, manifest: manifest ?? await origin.readManifest(source.model, version) };
    }

    /** The entry of the own region that fetches a piece for all of it. */
    function fetcherOf(version: number, piece: number): string {
        const others = options.entries().filter(({ region }) => region === self.region).map(({ ip }) => ip);
        return firstMember(`${version}/${piece}`, [self.ip, ...others]) ?? self.ip;
    }

    /** The entries to ask for a piece, in this order; the origin comes after them. */
    function upstreamEntries(source: WeightsOrigin, version: number, piece: number): PeerClient[] {
        const fetcher = fetcherOf(version, piece);
        const atOrigin = options.entries().filter(({ region }) => region === source.region).map(({ ip }) => ip);
        const far = self.region === source.region ? undefined : firstMember(`${version}/${piece}`, atOrigin);
        return [fetcher === self.ip ? undefined : fetcher, far]
            .filter(ip => ip !== undefined)
            .map(ip => createPeerClient(ip, options.entryPort, connections, ENTRY_RATE_MBPS));
    }

    function fetch(held: HeldVersion, piece: number): Promise<Buffer> {
        const { version } = held.manifest;
        const key = `${version}/${piece}`;
        let running = fetches.get(key);
        if (running === undefined) {
            running = fetchVerified(held, piece).finally(() => fetches.delete(key));
            fetches.set(key, running);
        }
        return running;
    }

    async function fetchVerified(held: HeldVersion, piece: number): Promise<Buffer> {
        const { version } = held.manifest;
        let cause: Error | undefined;
        for (let tries = 0; tries < MAX_TRIES; tries++) {
            const source = options.source();
            if (source === undefined) break;
            const upstream = upstreamEntries(source, version, piece)[tries];
            const name = upstream === undefined ? "origin" : "entry";
            try {
                const bytes = upstream === undefined ?
                    await createOrigin(source.address, connections).readPiece(held.model, version, piece) :
                    await upstream.readPiece(version, piece, SOURCE_WAIT_MS);
                if (pieces.put(held, piece, bytes)) {
                    options.metrics.pieces.inc({ source: name });
                    return bytes;
                }
                log.warn("piece corrupt", { piece, version, source: name });
            }
            catch (error) {
                cause = error as Error;
                log.info("piece not received", { piece, version, source: name, error: cause.message });
            }
        }
        throw new VError({ cause }, "piece %d of version %d can't be fetched", piece, version);
    }

    async function prefetch(version: number): Promise<void> {
        newest = Math.max(newest, version);
        if (options.source() === undefined) return;
        while (newest === version && !await tryPrefetch(version)) {
            await new Promise(resolve => setTimeout(resolve, PREFETCH_PAUSE_MS));
        }
    }

    async function tryPrefetch(version: number): Promise<boolean> {
        try {
            const held = await open(version);
            const own = [...held.pieces.keys()].filter(piece => fetcherOf(version, piece) === self.ip);
            const next = own.values();
            const fetchRest = async () => {
                for (const piece of next) {
                    if (held.pieces[piece] === undefined) await fetch(held, piece);
                }
            };
            await Promise.all(Array.from({ length: PREFETCHES }, fetchRest));
            log.info("pieces prefetched", { version, pieces: own.length });
            return true;
        }
        catch (error) {
            log.info("pieces not prefetched", { version, error: (error as Error).message });
            return false;
        }
    }

    return {
        prefetch,
        stop: () => {
            newest = Number.POSITIVE_INFINITY;
        },
        manifest: async version => (await open(version)).manifest,
        piece: async (version, piece) => {
            const held = await open(version);
            return held.pieces[piece] ?? await fetch(held, piece);
        },
        state: async version => {
            const held = pieces.find(version);
            const all = held?.pieces.flatMap((piece, index) => piece === undefined ? [] : [index]) ?? [];
            return { held: countHeld(held) === 0 ? [] : all, loaded: 0 };
        },
    };
}
