/**
 * Main module of the agent process. It learns which weights versions the operator names, fetches their pieces and makes
 * the engine on the same VM load them.
 */
import * as http from "node:http";
import {
    createWeightsPolicy,
    INITIAL_WEIGHTS_VERSION,
    type RoutingConfiguration,
    type Row,
} from "../core/serving/index.js";
import { listen } from "../node/listen.js";
import type { MetadataStore } from "../node/metadataStore.js";
import { agentPortOf, openPeerSocket } from "../node/peerMessages.js";
import { startPeriodicTask } from "../node/periodicTask.js";
import { createServingMetrics, type EventLog } from "../observability/index.js";
import {
    createLocalEngineClient,
    type NamedWeights,
    parseNamedWeights,
    parseRoutingConfiguration,
    ROUTING_CONFIGURATION_KEY,
} from "../platform/index.js";
import type { VmBounds, VmSettings } from "../settings/vmSettings.js";
import type { AgentContext } from "./agentContext.js";
import { createEngineTask, type ModelWeights } from "./engineTask.js";
import { createEntryResponses } from "./entryResponses.js";
import { createFleetView } from "./fleetView.js";
import { startOperatorPoller } from "./operatorPoller.js";
import { createPieceServer, createStoredPieceProvider, type PieceProvider } from "./peerApi.js";
import { createPieceStore } from "./pieceStore.js";
import { createSharedReads } from "./sharedReads.js";
import { createUploadThrottle, UPLINK_FRACTION } from "./uploadThrottle.js";
import { createVersionFetcher } from "./versionFetcher.js";

export interface Stager {
    /** Applies the bounds of reloaded settings. Other settings take effect only in a new process. */
    applyBounds(bounds: VmBounds): void;
    stop(): void;
}

/** Namings are forgotten after this time; several times the time allowed for a switch. */
const NAMING_MAX_AGE_MS = 60_000;

/** Poll interval while the engine loads weights or has to load them. */
const ACTIVE_POLL_INTERVAL_MS = 150;

/** Poll interval while the engine holds the newest weights; bounds how late a crash is detected. */
const IDLE_POLL_INTERVAL_MS = 400;

/** For this long after its start, an agent looks for pieces that an earlier process staged. */
const STAGED_REUSE_WINDOW_MS = 5000;

/** Starts the agent. Resolves when its piece server listens; rejects if it can't. */
export async function startStager(settings: VmSettings, store: MetadataStore, log: EventLog): Promise<Stager> {
    const now = () => performance.now();
    const metrics = createServingMetrics();
    const readClocks = () => ({ monotonicMs: performance.now(), wallMs: Date.now() });
    const context: AgentContext = { settings, log, metrics, now, readClocks, random: Math.random };
    const startedAt = now();
    let { bounds } = settings;
    const weightsPolicy = createWeightsPolicy(() => bounds.weightsMs);
    /** When recent versions of each model were named, by version. */
    const namingTimes = new Map<string, Map<number, number>>();
    let isStopped = false;
    /** Replaced if a configuration gives the service another model. */
    let weights: ModelWeights | undefined;
    const engine = createLocalEngineClient(settings.backendAddress ?? "");
    const [entryPort] = settings.peerPorts;
    const agentPort = agentPortOf(entryPort);
    const connections = new http.Agent({ keepAlive: true });
    const entryResponses = createEntryResponses();
    const fleet = createFleetView(
        context,
        store,
        () => tables,
        { entry: entryPort, agent: agentPort },
        connections,
        entryResponses,
    );
    const tables = createSharedReads({
        store,
        entryIps: fleet.regionEntryIps,
        entryPort,
        entryResponses,
        log,
        metrics,
        now,
        random: context.random,
    });
    let configuration: RoutingConfiguration | undefined;
    log.info("process started", { ip: settings.ip, backend: settings.backendAddress, store: settings.storeAddress });

    const peerSocket = openPeerSocket(settings.ip, agentPort, entryPort, message => {
        if (message.kind === "weights") applyNamedWeights(message, "an entry");
    });
    const engineTask = createEngineTask({
        context,
        engine,
        fleet,
        weightsPolicy,
        peerSocket,
        namedAt,
        allowedMs: () => bounds.weightsMs,
    });
    function findProvider(model: string | undefined): PieceProvider | undefined {
        if (weights === undefined) return undefined;
        const { pieceStore } = weights;
        // Agents of earlier versions name no model, and ask only the agents of their own service.
        if (model !== undefined && model !== pieceStore.model) return undefined;
        return createStoredPieceProvider(pieceStore, () => engineTask.loadedVersion(pieceStore.model));
    }
    const uploadThrottle = createUploadThrottle(settings.linkMbps * UPLINK_FRACTION);
    const server = createPieceServer(findProvider, () => uploadThrottle, metrics);
    await listen(server, `${settings.ip}:${agentPort}`);

    function namedAt(model: string): ReadonlyMap<number, number> {
        return namingTimes.get(model) ?? new Map();
    }

    function createModelWeights(model: string): ModelWeights {
        const pieceStore = createPieceStore(model);
        const mayBeStaged = (version: number) =>
            version === engineTask.loadedVersion(model) || now() - startedAt < STAGED_REUSE_WINDOW_MS;
        const fetcher = createVersionFetcher({
            context,
            fleet,
            pieceStore,
            readStagedPiece: piece => engine.readStagedPiece(model, piece),
            mayBeStaged,
            untilOutdatedMs: () => {
                const loaded = engineTask.loadedVersion(model);
                const newerNamedAt = [...namedAt(model)].flatMap(([version, at]) =>
                    loaded > 0 && version > loaded ? at : []
                );
                return Math.min(...newerNamedAt) + bounds.weightsMs - now();
            },
            onTransferEnd: () => void reconcile(),
        });
        return { pieceStore, fetcher };
    }

    /** Returns the weights of the model; gives up those of an earlier one. */
    function weightsOf(model: string): ModelWeights {
        if (weights?.pieceStore.model === model) return weights;
        if (weights !== undefined) log.info("model changed", { model, previous: weights.pieceStore.model });
        weights?.fetcher.stop();
        weights = createModelWeights(model);
        return weights;
    }

    let hasReadOperatorTable = false;
    const operatorPoller = startOperatorPoller({
        tables,
        onRows: applyRows,
        log,
        metrics,
        now,
        random: context.random,
    });

    function applyRows(rows: readonly Row[]): boolean {
        for (const { key, value, revision } of rows) {
            if (value === undefined) continue;
            if (key === ROUTING_CONFIGURATION_KEY) applyConfiguration(value, revision);
            const namedWeights = parseNamedWeights(key, value);
            if (namedWeights === undefined) continue;
            applyNamedWeights(namedWeights, `revision ${revision}`);
        }
        hasReadOperatorTable = true;
        void reconcile();
        return configuration !== undefined;
    }

    function applyNamedWeights({ model, version }: NamedWeights, source: string): void {
        if (version <= weightsPolicy.newest(model)) return;
        weightsPolicy.recordNamed(model, version, hasReadOperatorTable, now());
        if (hasReadOperatorTable) {
            const recent = [...namedAt(model)].filter(([, at]) => at > now() - NAMING_MAX_AGE_MS);
            namingTimes.set(model, new Map([...recent, [version, now()]]));
        }
        log.info("weights named", { model, version, source });
        void reconcile();
    }

    function applyConfiguration(text: string, revision: number): void {
        const newConfiguration = parseRoutingConfiguration(text);
        if (newConfiguration === undefined) {
            log.warn("configuration rejected", { revision, kept: configuration?.version });
        }
        else if (newConfiguration.version > (configuration?.version ?? -1)) configuration = newConfiguration;
    }

    /** Starts the transfer of the newest named version if it is needed, and polls the engine. */
    async function reconcile(): Promise<void> {
        if (isStopped) return;
        const engineConfiguration = configuration?.services.find(({ name }) => name === settings.backendService)
            ?.engine;
        const origin = configuration?.services.find(({ origin }) => origin !== undefined)?.origin;
        const current = engineConfiguration === undefined ? undefined : weightsOf(engineConfiguration.model);
        if (engineConfiguration !== undefined && origin !== undefined) {
            const { model, chunkCount, chunkBytes } = engineConfiguration;
            const version = Math.max(INITIAL_WEIGHTS_VERSION, weightsPolicy.newest(model));
            current?.fetcher.ensureFetched(version, chunkCount * chunkBytes, origin);
        }
        await engineTask.poll(current);
    }

    const reconcileTask = startPeriodicTask(
        reconcile,
        () => engineTask.isSettled() ? IDLE_POLL_INTERVAL_MS : ACTIVE_POLL_INTERVAL_MS,
    );

    function stop(): void {
        log.info("process stopping", {});
        void reconcileTask.stop();
        isStopped = true;
        weights?.fetcher.stop();
        operatorPoller.stop();
        store.close();
        peerSocket.close();
        server.close();
        server.closeAllConnections();
        connections.destroy();
    }

    return {
        applyBounds: newBounds => {
            bounds = newBounds;
        },
        stop,
    };
}
