/**
 * The agent on the platform: it learns which weights are named, fetches their pieces and has the engine on its own VM
 * load them.
 */
import * as http from "node:http";
import { createWeightsPolicy, FIRST_WEIGHTS, type RoutingConfiguration, type Row } from "../core/serving/index.js";
import { agentPortOf, openBeatSocket } from "../node/beats.js";
import { listen } from "../node/listen.js";
import type { MetadataStore } from "../node/metadataStore.js";
import { startRepeating } from "../node/repeat.js";
import { createServingMetrics, type EventLog } from "../observability/index.js";
import {
    CONFIGURATION_KEY,
    createOwnEngine,
    type NamedWeights,
    parseConfiguration,
    parseNamedWeights,
} from "../platform/index.js";
import type { VmBounds, VmSettings } from "../settings/vmSettings.js";
import type { AgentContext } from "./agentContext.js";
import { createEngineTask } from "./engineTask.js";
import { createFleetView } from "./fleetView.js";
import { startOperatorWatch } from "./operatorWatch.js";
import { createHeldSupply, createPieceServer } from "./peerApi.js";
import { createPieceStore } from "./pieceStore.js";
import { createRollout } from "./rollout.js";
import { createUploadPace, UPLINK_SHARE } from "./uploadPace.js";

export interface Stager {
    /** Takes the bounds of changed settings; everything else needs a new process. */
    applyBounds(bounds: VmBounds): void;
    stop(): void;
}

/** Time between two looks at an engine that loads or is to load weights. */
const WATCH_INTERVAL_MS = 150;

/** Time between two looks at an engine that holds the newest weights; it bounds how late a crash is noticed. */
const IDLE_INTERVAL_MS = 400;

/** An agent that has started lately may find pieces that an earlier process has staged. */
const FIRST_LOOK_MS = 5000;

export async function startStager(settings: VmSettings, store: MetadataStore, log: EventLog): Promise<Stager> {
    const now = () => performance.now();
    const metrics = createServingMetrics();
    const context: AgentContext = { settings, log, metrics, now, random: Math.random };
    const startedAt = now();
    let { bounds } = settings;
    const weights = createWeightsPolicy(() => bounds.weightsMs);
    const namedAt = new Map<number, number>();
    const pieces = createPieceStore();
    const engine = createOwnEngine(settings.backendAddress ?? "");
    const [entryPort] = settings.peerPorts;
    const agentPort = agentPortOf(entryPort);
    const connections = new http.Agent({ keepAlive: true });
    const fleet = createFleetView(context, store, { entry: entryPort, agent: agentPort }, connections);
    let configuration: RoutingConfiguration | undefined;
    log.info("process started", { ip: settings.ip, backend: settings.backendAddress, store: settings.storeAddress });

    const beats = openBeatSocket(settings.ip, agentPort, entryPort, beat => {
        if (beat.kind === "weights") applyNamedWeights(beat, "an entry");
    });
    const rollout = createRollout({
        context,
        fleet,
        pieces,
        readStaged: engine.readStaged,
        mayBeStaged: version => version === engineTask.loaded() || now() - startedAt < FIRST_LOOK_MS,
        onComplete: () => void look(),
    });
    const engineTask = createEngineTask({
        context,
        engine,
        fleet,
        pieces,
        rollout,
        weights,
        beats,
        namedAt: version => namedAt.get(version) ?? Number.NEGATIVE_INFINITY,
    });
    const supply = createHeldSupply(pieces, engineTask.loaded);
    const pace = createUploadPace(settings.linkMbps * UPLINK_SHARE);
    const server = createPieceServer(supply, () => pace, metrics);
    await listen(server, `${settings.ip}:${agentPort}`);

    let hasRead = false;
    const operatorWatch = startOperatorWatch({ store, onRows: applyRows, log, metrics, now, random: context.random });

    function applyRows(rows: readonly Row[]): boolean {
        for (const { key, value, revision } of rows) {
            if (value === undefined) continue;
            if (key === CONFIGURATION_KEY) applyConfiguration(value, revision);
            const named = parseNamedWeights(key, value);
            if (named === undefined) continue;
            applyNamedWeights(named, `revision ${revision}`);
        }
        hasRead = true;
        void look();
        return configuration !== undefined;
    }

    function applyNamedWeights({ model, version }: NamedWeights, source: string): void {
        if (version <= weights.newest(model)) return;
        weights.name(model, version, hasRead, now());
        if (hasRead) namedAt.set(version, now());
        log.info("weights named", { model, version, source });
        void look();
    }

    function applyConfiguration(text: string, revision: number): void {
        const parsed = parseConfiguration(text);
        if (parsed === undefined) log.warn("configuration rejected", { revision, kept: configuration?.version });
        else if (parsed.version > (configuration?.version ?? -1)) configuration = parsed;
    }

    async function look(): Promise<void> {
        const figures = configuration?.services.find(({ name }) => name === settings.backendService)?.engine;
        const source = configuration?.services.find(({ origin }) => origin !== undefined)?.origin;
        if (figures !== undefined && source !== undefined) {
            const version = Math.max(FIRST_WEIGHTS, weights.newest(figures.model));
            rollout.want(figures.model, version, figures.chunkCount * figures.chunkBytes, source);
        }
        await engineTask.look(figures?.model);
    }

    const engineWatch = startRepeating(look, () => engineTask.isSettled() ? IDLE_INTERVAL_MS : WATCH_INTERVAL_MS);

    function stop(): void {
        log.info("process stopping", {});
        void engineWatch.stop();
        rollout.stop();
        operatorWatch.stop();
        store.close();
        beats.close();
        server.close();
        server.closeAllConnections();
        connections.destroy();
    }

    return {
        applyBounds: next => {
            bounds = next;
        },
        stop,
    };
}
