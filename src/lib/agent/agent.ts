/** Starts the agent beside a backend server: configuration, transfer, activation, gate and its gRPC server. */
import { accessSync, constants, mkdirSync } from "node:fs";
import VError from "verror";
import { createEventRecorder, createNodeService, startConfigurationSync, startMembershipTask } from "../node/index.js";
import { createLog, createMetrics } from "../observability/index.js";
import { createEngine, createObjectStore, createTableService, createVmList } from "../platform/index.js";
import { type AgentState, createCredentials, startRpcServer } from "../rpc/index.js";
import type { AgentSettings } from "../settings/index.js";
import { type Activation, startActivation } from "./activation.js";
import { createAgentService } from "./agentService.js";
import { createChunkStore } from "./chunkStore.js";
import { createGate } from "./gate.js";
import { startTransfer } from "./transfer.js";

const log = createLog("agent");

export interface RunningAgent {
    /** Port of the gRPC server. */
    readonly port: number;
    readonly state: () => AgentState;
    /** Drains and stops: requests in progress are finished within `drainMs`. */
    stop(): Promise<void>;
}

const NOTHING_LOADED = { digest: "", generation: 0, fence: 0 };

export async function startAgent(settings: AgentSettings): Promise<RunningAgent> {
    const { platform, backendServer } = settings;
    const { timeoutMs } = platform;
    if (backendServer.kind === "model") prepareDirectory(settings.weightsPath);
    const now = () => Date.now();
    const metrics = await createMetrics(settings.metrics, settings.process);
    const events = createEventRecorder(settings.process, now);
    const table = createTableService({ url: platform.tableUrl, timeoutMs });
    const weightStore = createObjectStore({ url: platform.weightStoreUrl, timeoutMs });
    const engine = createEngine({ url: backendServer.url, timeoutMs });
    const membership = startMembershipTask(createVmList({ url: platform.vmListUrl, timeoutMs }), settings.pollMs);
    const configuration = startConfigurationSync(table, settings.pollMs, now);
    const store = createChunkStore(settings.weightsPath);
    const listeners = new Set<() => void>();
    const announce = () => listeners.forEach(listener => listener());
    let activation: Activation | undefined;

    const gate = createGate({
        backendUrl: backendServer.url,
        kind: backendServer.kind,
        serving: () => activation?.serving() ?? NOTHING_LOADED,
        engine,
        now,
    });

    function state(): AgentState {
        const serving = activation?.serving() ?? NOTHING_LOADED;
        const progress = activation?.transfer();
        return {
            process: settings.process,
            failureDomain: settings.failureDomain,
            region: settings.region,
            kind: backendServer.kind,
            service: settings.service,
            servingDigest: serving.digest,
            loadGeneration: serving.generation,
            leaving: gate.leaving(),
            running: gate.running(),
            queued: 0,
            concurrencyLimit: backendServer.concurrency,
            predictedWaitMs: [0, 0, 0],
            configurationRevision: configuration.current().revision,
            transfers: progress === undefined ? [] : [{
                rootDigest: progress.rootDigest,
                chunksHeld: progress.progress.chunksHeld,
                chunksTotal: progress.progress.chunksTotal,
                bytesFromOrigin: progress.progress.bytesFromOrigin,
                bytesFromDomain: 0,
                bytesFromRegion: 0,
                bytesFromOtherRegions: 0,
                bytesSent: 0,
                phase: progress.progress.phase,
                error: progress.progress.error,
            }],
        };
    }

    const subscribe = (listener: () => void) => {
        listeners.add(listener);
        return () => void listeners.delete(listener);
    };
    const rpc = await startRpcServer({
        ...settings.rpc,
        credentials: createCredentials(settings.tls),
        node: createNodeService({ configuration, events, status: state }),
        agent: createAgentService(gate, store, { current: state, subscribe }, { events, metrics }),
    });
    if (backendServer.kind === "model") {
        activation = startActivation({
            service: settings.service,
            engine,
            store,
            configuration,
            events,
            startTransfer: rootDigest => startTransfer({ rootDigest, store, weightStore }),
            pause: gate.pause,
            onChange: announce,
        });
    }
    log.info("agent %s listens on port %d", settings.process, rpc.port);

    async function stop(): Promise<void> {
        const drained = gate.drain();
        announce();
        await Promise.race([drained, new Promise(resolve => setTimeout(resolve, settings.drainMs).unref())]);
        activation?.stop();
        await Promise.all([membership.stop(), configuration.stop()]);
        await rpc.stop(1000);
        await metrics.close();
    }

    return { port: rpc.port, state, stop };
}

/** Finds an unusable directory at start instead of at the first rollout. */
function prepareDirectory(path: string): void {
    try {
        mkdirSync(path, { recursive: true });
        accessSync(path, constants.R_OK | constants.W_OK);
    }
    catch (error) {
        throw new VError({ name: "SettingsError", cause: error as Error }, "weightsPath %s can't be used", path);
    }
}
