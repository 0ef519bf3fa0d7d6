/**
 * Fetches named versions into memory, one at a time: the newest, or an older one first that is nearly complete. What
 * is complete stays available for the engine and for other agents.
 */
import * as http from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import VError from "verror";
import { originPatienceMs, predictMissingMs, shouldFinishFirst, usualTransferMs } from "../core/serving/index.js";
import { createOrigin, type Origin, type WeightManifest } from "../platform/index.js";
import type { AgentContext } from "./agentContext.js";
import type { FleetView } from "./fleetView.js";
import { countHeld, type HeldVersion, type PieceStore } from "./pieceStore.js";
import { type Relay, transferPieces } from "./pieceTransfer.js";

export interface WeightsSource {
    readonly address: string;
    readonly failureDomain: string;
}

export interface Rollout {
    /** Sees to it that the version is fetched. `bytes` is its size. */
    want(model: string, version: number, bytes: number, source: WeightsSource): void;
    /** Predicted time until a version is complete; 0 if it is, infinite if it isn't being fetched. */
    missingMs(version: number): number;
    stop(): void;
}

export interface RolloutOptions {
    readonly context: AgentContext;
    readonly fleet: FleetView;
    readonly pieces: PieceStore;
    /** Reads a piece that the engine may already have, for versions that it has held. */
    readonly readStaged: (model: string, piece: number) => Promise<Buffer | undefined>;
    /** Tells whether pieces of the version may be staged already. */
    readonly mayBeStaged: (version: number) => boolean;
    readonly onComplete: () => void;
}

interface Transfer {
    readonly version: number;
    readonly cancellation: AbortController;
    readonly startedAt: number;
    readonly usualMs: number;
    /** Whether it goes before a newer version; `undefined` until one is named. */
    finishFirst: boolean | undefined;
    /** Pieces held, and when the last change of their number was seen. */
    last: { readonly count: number; readonly at: number; };
}

/** Processes that are asked for a manifest before the origin. */
const MANIFEST_SOURCES = 2;

/** Pause before a transfer that could not start is tried again; half of it is spread. */
const RETRY_PAUSE_MS = 400;

/** An agent asks the origin for as many pieces at once. */
const ORIGIN_CONNECTIONS = 2;

/** Time that a transfer with a load of the weights before it needs beside the transfer itself. */
const LOAD_MS = 1500;

export function createRollout(options: RolloutOptions): Rollout {
    const { context, fleet, pieces } = options;
    const { settings, log, now, random } = context;
    /** Idle connections would take up places at the origin, which accepts few. */
    const originConnections = new http.Agent({ keepAlive: false, maxSockets: ORIGIN_CONNECTIONS });
    let transfer: Transfer | undefined;
    /** The version whose manifest is missing, and when the origin may be asked for it. */
    let wanted: { readonly version: number; readonly originDueAt: number; } | undefined;

    function originDueAt(version: number, hasEntries: boolean): number {
        if (wanted?.version !== version) {
            wanted = { version, originDueAt: now() + originPatienceMs(hasEntries, random()) };
        }
        return wanted.originDueAt;
    }

    function want(model: string, version: number, bytes: number, source: WeightsSource): void {
        if (isComplete(pieces.find(version))) return;
        if (transfer !== undefined) {
            if (transfer.version >= version || mustFinishFirst(transfer, version)) return;
            transfer.cancellation.abort();
        }
        const current: Transfer = {
            version,
            cancellation: new AbortController(),
            startedAt: now(),
            usualMs: usualTransferMs(bytes, settings.linkMbps),
            finishFirst: undefined,
            last: { count: 0, at: now() },
        };
        transfer = current;
        run(model, current, source)
            .catch(async error => {
                log.warn("transfer failed", { version, error: (error as Error).message });
                await sleep(RETRY_PAUSE_MS * (0.5 + random() / 2));
            })
            .finally(() => {
                if (transfer === current) transfer = undefined;
                options.onComplete();
            });
    }

    function mustFinishFirst(current: Transfer, newest: number): boolean {
        if (current.finishFirst === undefined) {
            const times = {
                elapsedMs: now() - current.startedAt,
                usualMs: current.usualMs,
                allowedMs: settings.bounds.weightsMs,
                loadMs: LOAD_MS,
            };
            current.finishFirst = shouldFinishFirst(times);
            const { version, finishFirst } = current;
            log.info("newer weights named during a transfer", { newest, version, finishFirst, ...times });
        }
        return current.finishFirst;
    }

    async function run(model: string, { version, cancellation }: Transfer, source: WeightsSource): Promise<void> {
        const since = now();
        await fleet.refresh();
        const origin = createOrigin(source.address, originConnections);
        const peers = fleet.peers();
        const relays = fleet.relays();
        const mayAskOrigin = () => now() >= originDueAt(version, relays.length > 0);
        const manifest = await readManifest(version, [...relays, ...peers], mayAskOrigin, origin, model);
        const held = pieces.open(model, manifest);
        if (options.mayBeStaged(version)) await readOwnStage(held);
        const fromStage = countHeld(held);
        await transferPieces({
            self: { name: settings.ip, region: settings.region, failureDomain: settings.failureDomain },
            peers,
            relays,
            origin,
            originRegion: settings.regions.get(source.failureDomain) ?? settings.region,
            pieces,
            held,
            signal: cancellation.signal,
            log,
            metrics: context.metrics,
            now,
            random,
        });
        const tookMs = Math.round(now() - since);
        log.info("transfer ended", { version, held: countHeld(held), fromStage, tookMs, peers: peers.length });
    }

    async function readOwnStage(held: HeldVersion): Promise<void> {
        try {
            for (const index of held.pieces.keys()) {
                const staged = await options.readStaged(held.model, index);
                if (staged !== undefined) pieces.put(held, index, staged);
            }
        }
        catch (error) {
            log.info("staged pieces not read", { version: held.manifest.version, error: (error as Error).message });
        }
    }

    function missingMs(version: number): number {
        const held = pieces.find(version);
        if (isComplete(held)) return 0;
        if (held === undefined || transfer?.version !== version) return Number.POSITIVE_INFINITY;
        const count = countHeld(held);
        if (count !== transfer.last.count) transfer.last = { count, at: now() };
        return predictMissingMs({
            share: count / Math.max(1, held.pieces.length),
            elapsedMs: now() - transfer.startedAt,
            sinceLastMs: now() - transfer.last.at,
        });
    }

    return { want, missingMs, stop: () => transfer?.cancellation.abort() };
}

export function isComplete(held: HeldVersion | undefined): boolean {
    return held !== undefined && countHeld(held) === held.pieces.length;
}

/** Relays and agents have it from the origin; asking them first spares its link and its connections. */
async function readManifest(
    version: number,
    sources: readonly Relay[],
    mayAskOrigin: () => boolean,
    origin: Origin,
    model: string,
): Promise<WeightManifest> {
    let cause: Error | undefined;
    for (const { client } of sources.slice(0, MANIFEST_SOURCES)) {
        try {
            return await client.readManifest(version);
        }
        catch (error) {
            cause = error as Error;
        }
    }
    if (mayAskOrigin()) return origin.readManifest(model, version);
    throw new VError({ cause }, "no entry has the manifest of version %d", version);
}
