/**
 * Watches the engine on the own VM and brings it to the newest complete version: stages the pieces, reads them back
 * and orders the load. An engine that restarts holds nothing and is loaded again. Entries hear of every change.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { createWeightsPolicy, shouldDrain, USUAL_SWITCH_MS } from "../core/serving/index.js";
import type { BeatSocket } from "../node/beats.js";
import type { EngineReport, OwnEngine } from "../platform/index.js";
import type { AgentContext } from "./agentContext.js";
import type { FleetView } from "./fleetView.js";
import { hasDigest, type HeldVersion, type PieceStore } from "./pieceStore.js";
import { isComplete, type Rollout } from "./rollout.js";

export interface EngineTask {
    /** Looks at the engine now instead of at the next interval. */
    look(model: string | undefined): Promise<void>;
    /** Version that the engine holds; 0 for none. */
    loaded(): number;
    /** Tells whether the engine holds the newest weights and nothing is to be done. */
    isSettled(): boolean;
}

export interface EngineTaskOptions {
    readonly context: AgentContext;
    readonly engine: OwnEngine;
    readonly fleet: FleetView;
    readonly pieces: PieceStore;
    readonly rollout: Rollout;
    readonly weights: ReturnType<typeof createWeightsPolicy>;
    readonly beats: BeatSocket;
    /** Time at which a version was named. */
    readonly namedAt: (version: number) => number;
}

/** Beats without news keep entries that have just started informed. */
const IDLE_BEAT_INTERVAL_MS = 2000;

/** Beats while a load is near are repeated at each look. */
const LOADING_BEAT_INTERVAL_MS = 200;

/** Entries are told before the order, so that no request is on its way to the engine when it arrives. */
const ANNOUNCE_MS = 60;

export function createEngineTask(options: EngineTaskOptions): EngineTask {
    const { context, engine, fleet, pieces, rollout, weights } = options;
    const { settings, log, metrics, now } = context;
    let report: EngineReport | undefined;
    let isAway = false;
    let isSettled = false;
    let lastBeatAt = Number.NEGATIVE_INFINITY;
    let isLooking = false;
    let isReachable = true;

    async function look(model: string | undefined): Promise<void> {
        if (isLooking) return;
        isLooking = true;
        try {
            await step(model);
            if (!isReachable) log.info("engine regained", { startedAt: report?.startedAt });
            isReachable = true;
        }
        catch (error) {
            isSettled = false;
            if (isReachable) log.warn("engine lost", { error: (error as Error).message });
            isReachable = false;
        }
        finally {
            isLooking = false;
        }
    }

    async function step(model: string | undefined): Promise<void> {
        const previous = report?.weights?.version;
        report = await engine.report();
        if (model === undefined) return;
        const loaded = loadedVersion();
        if (loaded !== (previous ?? 0)) log.info("weights loaded", { model, version: loaded, previous: previous ?? 0 });
        isSettled = loaded === weights.newest(model) && !report.isBusy;
        const target = targetVersion(model, loaded);
        isAway = target !== undefined && (report.isBusy || loaded === 0 || mustDrain(target));
        announce(model, loaded !== (previous ?? 0));
        const held = target === undefined ? undefined : pieces.find(target);
        if (!isAway || report.isBusy || held === undefined || !isComplete(held)) return;
        await load(held, loaded);
    }

    /** The newest version that is complete or will be soon, if the engine doesn't hold it. */
    function targetVersion(model: string, loaded: number): number | undefined {
        const newest = weights.newest(model);
        const near = [newest, newest - 1, newest - 2].filter(version => version > loaded);
        return near.find(version => rollout.missingMs(version) === 0) ??
            near.find(version => rollout.missingMs(version) < USUAL_SWITCH_MS);
    }

    function mustDrain(version: number): boolean {
        return shouldDrain({
            self: settings.ip,
            replicas: fleet.domainReplicas(),
            version,
            namedAt: options.namedAt(version),
            allowedMs: settings.bounds.weightsMs,
            missingMs: rollout.missingMs(version),
        }, now());
    }

    async function load(held: HeldVersion, loaded: number): Promise<void> {
        const { version } = held.manifest;
        const since = now();
        await stageAll(held);
        const stagedMs = now() - since;
        if (loaded > 0 && stagedMs < ANNOUNCE_MS) await sleep(ANNOUNCE_MS - stagedMs);
        const result = await engine.orderLoad(held.model, version);
        metrics.orders.inc({ result });
        const sinceNamedMs = Math.round(now() - options.namedAt(version));
        log.info("load ordered", { model: held.model, version, result, sinceNamedMs, stagedMs: Math.round(stagedMs) });
    }

    /** Stages what isn't staged yet or has turned bad there; everything is read back just before the order. */
    async function stageAll(held: HeldVersion): Promise<void> {
        let written = 0;
        for (const [index, bytes] of held.pieces.entries()) {
            if (bytes === undefined) continue;
            const staged = await engine.readStaged(held.model, index);
            if (staged !== undefined && hasDigest(held.manifest, index, staged)) continue;
            written++;
            await engine.stagePiece(held.model, index, bytes);
        }
        log.info("pieces staged", { version: held.manifest.version, written, kept: held.pieces.length - written });
    }

    function announce(model: string, isNews: boolean): void {
        const interval = isAway ? LOADING_BEAT_INTERVAL_MS : IDLE_BEAT_INTERVAL_MS;
        if (report === undefined || !isNews && now() - lastBeatAt < interval) return;
        lastBeatAt = now();
        options.beats.send({
            kind: "agent",
            backendAddress: settings.backendAddress ?? "",
            startedAt: report.startedAt,
            model,
            version: loadedVersion(),
            isLoading: isAway,
        }, fleet.entryIps());
    }

    const loadedVersion = () => report?.weights?.version ?? 0;

    return { look, loaded: loadedVersion, isSettled: () => isSettled };
}
