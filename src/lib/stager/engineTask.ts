/**
 * Polls the engine on this VM and loads the newest completely fetched weights version into it: stages the pieces,
 * verifies all of them by reading them back, and orders the load at once. An engine that restarted holds no weights and
 * is loaded again. Every change of the engine's state is sent to the entries in a heartbeat.
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
    type ClockReading,
    createWeightsPolicy,
    elapsedMs,
    mayOrder,
    planSwitch,
    type SwitchPlan,
    wasOrderInTime,
} from "../core/serving/index.js";
import type { PeerSocket } from "../node/peerMessages.js";
import type { EngineReport, LocalEngineClient } from "../platform/index.js";
import type { AgentContext } from "./agentContext.js";
import type { FleetView } from "./fleetView.js";
import { hasDigest, type HeldVersion, isComplete, type PieceStore } from "./pieceStore.js";
import type { VersionFetcher } from "./versionFetcher.js";

/** The weights of the engine's model that the agent fetches and holds. */
export interface ModelWeights {
    readonly pieceStore: PieceStore;
    readonly fetcher: VersionFetcher;
}

export interface EngineTask {
    /**
     * Polls the engine now and loads the newest complete version of the model, if one is configured. Does nothing while
     * an earlier poll is in progress. Never throws.
     */
    poll(weights: ModelWeights | undefined): Promise<void>;
    /** Returns the version of the model that the engine holds, or 0 for none. */
    loadedVersion(model: string): number;
    /** Returns whether the engine holds the newest named version and is idle, so that it can be polled less often. */
    isSettled(): boolean;
}

export interface EngineTaskOptions {
    readonly context: AgentContext;
    readonly engine: LocalEngineClient;
    readonly fleet: FleetView;
    readonly weightsPolicy: ReturnType<typeof createWeightsPolicy>;
    readonly peerSocket: PeerSocket;
    /** Returns when recent versions were named; lacks those that were named before this process started. */
    readonly namedAt: (model: string) => ReadonlyMap<number, number>;
    /** Returns the time after a version is named within which requests may still start on older ones. */
    readonly allowedMs: () => number;
}

/** Heartbeats are repeated without a change so that entries that have just started learn the engine's state. */
const IDLE_HEARTBEAT_INTERVAL_MS = 2000;

/** A change of the engine's slowdown by more than this fraction is sent at once. */
const SLOWDOWN_TOLERANCE = 0.1;

/** Heartbeat interval while the engine loads weights or is about to. */
const LOADING_HEARTBEAT_INTERVAL_MS = 200;

/**
 * Minimum time between the heartbeat that takes the engine out of rotation and the load order, so that no request is on
 * its way to the engine when the order arrives.
 */
const DRAIN_NOTICE_MS = 60;

/** Attempts to verify the staged pieces in one poll; each one that finds a corrupt piece or takes too long is repeated. */
const MAX_CHECKS_PER_POLL = 4;

/** An order that the engine may have accepted after the check of the staged pieces had expired. */
interface LateOrder {
    readonly model: string;
    readonly version: number;
    /** Start of the engine that got the order. */
    readonly engineStartedAt: number;
    /** Whether a staged piece was staged again since, so that its state at the order isn't known any more. */
    wasRepaired: boolean;
    /** Whether a staged piece was found corrupt since, so that the engine may have loaded it. */
    isSuspect: boolean;
}

export function createEngineTask(options: EngineTaskOptions): EngineTask {
    const { context, engine, fleet, weightsPolicy } = options;
    const { settings, log, metrics, now, readClocks } = context;
    let lateOrder: LateOrder | undefined;
    let report: EngineReport | undefined;
    let isOutOfRotation = false;
    let isSettled = false;
    let lastHeartbeatAt = Number.NEGATIVE_INFINITY;
    /** Slowdown of the engine in the last heartbeat. */
    let sentSlowdown = 1;
    let isPolling = false;
    let isReachable = true;

    async function poll(weights: ModelWeights | undefined): Promise<void> {
        if (isPolling) return;
        isPolling = true;
        try {
            await pollOnce(weights);
            if (!isReachable) log.info("engine regained", { startedAt: report?.startedAt });
            isReachable = true;
        }
        catch (error) {
            isSettled = false;
            if (isReachable) log.warn("engine lost", { error: (error as Error).message });
            isReachable = false;
        }
        finally {
            isPolling = false;
        }
    }

    async function pollOnce(weights: ModelWeights | undefined): Promise<void> {
        const model = weights?.pieceStore.model;
        const previousVersion = model === undefined ? 0 : loadedVersion(model);
        report = await engine.report();
        if (weights === undefined || model === undefined) return;
        const loaded = loadedVersion(model);
        const hasVersionChanged = loaded !== previousVersion;
        if (hasVersionChanged) log.info("weights loaded", { model, version: loaded, previous: previousVersion });
        await examineLateOrder(weights.pieceStore, report);
        isSettled = loaded === weightsPolicy.newest(model) && !report.isLoadInProgress;
        const { target, shouldDrain } = planNextSwitch(weights, loaded);
        isOutOfRotation = lateOrder?.isSuspect === true ||
            target !== undefined && (report.isLoadInProgress || loaded === 0 || shouldDrain);
        sendHeartbeatIfDue(model, hasVersionChanged || hasSlowdownChanged());
        const held = target === undefined ? undefined : weights.pieceStore.find(target);
        if (!isOutOfRotation || report.isLoadInProgress || held === undefined || !isComplete(held)) return;
        await load(held, loaded);
    }

    function planNextSwitch({ pieceStore: { model }, fetcher }: ModelWeights, loaded: number): SwitchPlan {
        const newest = weightsPolicy.newest(model);
        // A version that was named before the start of this process may be the one before the newest.
        const namedAt = options.namedAt(model);
        const versions = new Set([newest, newest - 1, newest - 2, ...namedAt.keys()]);
        const named = [...versions].map(version => ({
            version,
            namedAt: namedAt.get(version),
            remainingTransferMs: fetcher.estimateRemainingMs(version),
        }));
        const group = {
            self: settings.ip,
            replicas: fleet.domainReplicas(),
            failureDomain: settings.failureDomain,
            failureDomains: fleet.failureDomains(),
        };
        return planSwitch(loaded, named, group, options.allowedMs(), now());
    }

    async function load(held: HeldVersion, loaded: number): Promise<void> {
        const { version } = held.manifest;
        const startedAt = now();
        const drainedAt = startedAt + (loaded > 0 ? DRAIN_NOTICE_MS : 0);
        const checkedSince = await stageAll(held, drainedAt);
        if (checkedSince === undefined) return;
        const stagedMs = now() - startedAt;
        // Until the response arrives in time, the order may be accepted late or may have been accepted unnoticed.
        const earlierOrder = lateOrder;
        lateOrder = {
            model: held.model,
            version,
            engineStartedAt: report?.startedAt ?? 0,
            wasRepaired: false,
            isSuspect: false,
        };
        const result = await engine.orderLoad(held.model, version);
        const respondedAt = readClocks();
        // If the order hasn't begun anything, an earlier one has taken effect.
        if (wasOrderInTime(checkedSince, respondedAt)) lateOrder = result === "begun" ? undefined : earlierOrder;
        metrics.orders.inc({ result });
        const namedAt = options.namedAt(held.model).get(version);
        log.info("load ordered", {
            model: held.model,
            version,
            result,
            sinceNamedMs: namedAt === undefined ? undefined : Math.round(now() - namedAt),
            stagedMs: Math.round(stagedMs),
            checkAgeMs: Math.round(elapsedMs(checkedSince, respondedAt)),
        });
    }

    /**
     * Stages the pieces that are missing or corrupt until a check finds all of them sound, and is young enough for an
     * order from `orderAt` on. Returns when that check began; `undefined` if none succeeds.
     */
    async function stageAll(held: HeldVersion, orderAt: number): Promise<ClockReading | undefined> {
        const { version } = held.manifest;
        let writtenCount = 0;
        for (let checks = 1; checks <= MAX_CHECKS_PER_POLL; checks++) {
            const checkedSince = readClocks();
            const repairedCount = await repairStagedPieces(held);
            writtenCount += repairedCount;
            if (repairedCount > 0) continue;
            if (now() < orderAt) await sleep(orderAt - now());
            if (!mayOrder(checkedSince, readClocks())) continue;
            log.info("pieces staged", {
                model: held.model,
                version,
                written: writtenCount,
                kept: held.pieces.length - writtenCount,
                checks,
            });
            return checkedSince;
        }
        log.warn("staged pieces not verified", { model: held.model, version, written: writtenCount });
        return undefined;
    }

    /** Reads back every staged piece and stages those that are missing or corrupt. Returns their number. */
    async function repairStagedPieces(held: HeldVersion): Promise<number> {
        let repairedCount = 0;
        for (const [index, bytes] of held.pieces.entries()) {
            if (bytes === undefined || await isStaged(held, index)) continue;
            repairedCount++;
            if (lateOrder?.model === held.model && lateOrder.version === held.manifest.version) {
                lateOrder.wasRepaired = true;
            }
            await engine.stagePiece(held.model, index, bytes);
        }
        return repairedCount;
    }

    async function isStaged(held: HeldVersion, index: number): Promise<boolean> {
        const staged = await engine.readStagedPiece(held.model, index);
        return staged !== undefined && hasDigest(held.manifest, index, staged);
    }

    /**
     * Checks the staged pieces after an order that the engine may have accepted late. A corrupt piece stays corrupt until
     * it is staged again, so pieces that are sound now were sound then. Otherwise the engine gets no requests until it
     * holds another version or has restarted.
     */
    async function examineLateOrder(
        { model, find }: PieceStore,
        { startedAt, isLoadInProgress }: EngineReport,
    ): Promise<void> {
        if (lateOrder === undefined) return;
        const { version, engineStartedAt, isSuspect } = lateOrder;
        const held = lateOrder.model === model ? find(version) : undefined;
        const loaded = loadedVersion(model);
        if (startedAt !== engineStartedAt || loaded > version || held === undefined) lateOrder = undefined;
        // The order may still be on its way to the engine.
        if (lateOrder === undefined || held === undefined || isSuspect || isLoadInProgress || loaded < version) return;
        for (const index of held.pieces.keys()) {
            if (!lateOrder.wasRepaired && await isStaged(held, index)) continue;
            lateOrder.isSuspect = true;
            log.warn("loaded weights may be corrupt", { model, version, piece: index });
            return;
        }
        lateOrder = undefined;
    }

    function hasSlowdownChanged(): boolean {
        return report !== undefined && Math.abs(report.slowdown / sentSlowdown - 1) > SLOWDOWN_TOLERANCE;
    }

    function sendHeartbeatIfDue(model: string, hasChanged: boolean): void {
        const intervalMs = isOutOfRotation ? LOADING_HEARTBEAT_INTERVAL_MS : IDLE_HEARTBEAT_INTERVAL_MS;
        if (report === undefined || !hasChanged && now() - lastHeartbeatAt < intervalMs) return;
        lastHeartbeatAt = now();
        sentSlowdown = report.slowdown;
        options.peerSocket.send({
            kind: "agent",
            backendAddress: settings.backendAddress ?? "",
            startedAt: report.startedAt,
            model,
            version: loadedVersion(model),
            isLoading: isOutOfRotation,
            slowdown: report.slowdown,
        }, fleet.entryIps());
    }

    function loadedVersion(model: string): number {
        return report?.weights?.model === model ? report.weights.version : 0;
    }

    return { poll, loadedVersion, isSettled: () => isSettled };
}
