/**
 * The piece relay of an entry. The entries of a region share the pieces of a version, and each fetches its part as soon
 * as the version is named: from the origin in the origin's region, and from an entry there elsewhere. A region that is
 * cut off while its agents still load then has everything they need. Entries have wide links, while each agent's link
 * also carries the streams of its engine.
 */
import * as http from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import VError from "verror";
import { firstMember } from "../core/index.js";
import type { EventLog, ServingMetrics } from "../observability/index.js";
import { createOrigin, type Origin, type WeightManifest } from "../platform/index.js";
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
    readonly now: () => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}

export interface WeightsOrigin {
    readonly address: string;
    readonly region: string;
    readonly model: string;
    /** Connections that it accepts from all processes together. */
    readonly maxConnections: number;
}

/** Time for a manifest or a piece over all sources; those who ask wait about as long before they look elsewhere. */
const FETCH_MS = 1200;

/** Tries even if they take longer: one for each other entry that may have a piece, and one for the origin. */
const MIN_TRIES = 3;

/** Bounds of the pause before the next try, spread, because all entries start to fetch at the same moment. */
const MIN_PAUSE_MS = 80;
const MAX_PAUSE_MS = 240;

/** Part of the origin's connections that the entries use together; agents without a working entry need the rest. */
const ORIGIN_SHARE = 0.75;

/** Idle connections take up places at the origin, so they are closed soon. */
const ORIGIN_IDLE_MS = 1000;

/** More connections than these add nothing, since the origin's link is the limit. */
const MAX_ORIGIN_CONNECTIONS = 8;

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

/** A version is fetched to its end if only one newer one is named meanwhile: each has its own time to be in use. */
const PREFETCHED_VERSIONS = 2;

/** A version that can't be fetched for about the time that a rollout has makes way for a newer one. */
const GIVE_UP_AFTER_MS = 10_000;

/** Pause after which a prefetch that failed is tried again. */
const PREFETCH_PAUSE_MS = 300;

export function createPieceRelay(options: PieceRelayOptions): PieceRelay {
    const { self, log } = options;
    const pieces = createPieceStore();
    const connections = new http.Agent({ keepAlive: true, maxSockets: 8 });
    const originConnections = new http.Agent({ keepAlive: true, timeout: ORIGIN_IDLE_MS });
    const manifests = new Map<number, Promise<HeldVersion>>();
    const fetches = new Map<string, Promise<Buffer>>();
    let newest = 0;
    let prefetching = Promise.resolve();

    function open(version: number): Promise<HeldVersion> {
        let opening = manifests.get(version);
        if (opening === undefined) {
            opening = retryBriefly(() => fetchManifest(version)).then(({ model, manifest }) =>
                pieces.open(model, manifest)
            );
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
        if (manifest !== undefined) return { model: source.model, manifest };
        return { model: source.model, manifest: await originOf(source).readManifest(source.model, version) };
    }

    /** Beyond its connections the origin resets new ones, so every entry keeps to its share. */
    function originOf({ address, maxConnections }: WeightsOrigin): Origin {
        const share = Math.floor(maxConnections * ORIGIN_SHARE / (options.entries().length + 1));
        originConnections.maxSockets = Math.max(1, Math.min(MAX_ORIGIN_CONNECTIONS, share));
        return createOrigin(address, originConnections);
    }

    /** Repeats what fails for a short time: callers that are refused go to the origin themselves, all at once. */
    async function retryBriefly<T>(run: (tries: number) => Promise<T>): Promise<T> {
        const until = options.now() + FETCH_MS;
        for (let tries = 0;; tries++) {
            try {
                return await run(tries);
            }
            catch (error) {
                if (options.now() >= until && tries + 1 >= MIN_TRIES) throw error;
                await sleep(MIN_PAUSE_MS + options.random() * (MAX_PAUSE_MS - MIN_PAUSE_MS));
            }
        }
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
            running = retryBriefly(tries => fetchOnce(held, piece, tries)).finally(() => fetches.delete(key));
            fetches.set(key, running);
        }
        return running;
    }

    /** The first tries go to the other entries, all further ones to the origin. */
    async function fetchOnce(held: HeldVersion, piece: number, tries: number): Promise<Buffer> {
        const { version } = held.manifest;
        const source = options.source();
        if (source === undefined) throw new VError("no origin is known");
        const upstream = upstreamEntries(source, version, piece)[tries];
        const name = upstream === undefined ? "origin" : "entry";
        try {
            const bytes = upstream === undefined ?
                await originOf(source).readPiece(held.model, version, piece) :
                await upstream.readPiece(version, piece, SOURCE_WAIT_MS);
            if (!pieces.put(held, piece, bytes)) throw new VError("the piece is corrupt");
            options.metrics.pieces.inc({ source: name });
            return bytes;
        }
        catch (error) {
            log.info("piece not received", { piece, version, source: name, error: (error as Error).message });
            throw new VError({ cause: error as Error }, "piece %d of version %d can't be fetched", piece, version);
        }
    }

    function prefetch(version: number): Promise<void> {
        newest = Math.max(newest, version);
        const before = prefetching;
        prefetching = before.then(() => prefetchInTurn(version));
        return prefetching;
    }

    /** Versions are fetched one after the other: together both would be late, since the origin's link is the limit. */
    async function prefetchInTurn(version: number): Promise<void> {
        const since = options.now();
        const isWanted = () => version > newest - PREFETCHED_VERSIONS && options.source() !== undefined;
        const mustGiveUp = () => newest > version && options.now() - since > GIVE_UP_AFTER_MS;
        while (isWanted() && !mustGiveUp() && !await tryPrefetch(version)) await sleep(PREFETCH_PAUSE_MS);
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
