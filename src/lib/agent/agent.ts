/** Starts the agent beside a backend server: configuration, transfer, activation, gate and its gRPC server. */
import { DEFAULT_QUEUE_POLICY, profilesOf } from "../core/index.js";
import { createEventRecorder, createNodeService, startConfigurationSync, startMembershipTask } from "../node/index.js";
import { createLog } from "../observability/index.js";
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

/** Changes of the load are reported together, so that their number doesn't grow with the requests. */
const LOAD_INTERVAL_MS = 100;

/** With queues at the entries, the agent passes on whatever the entries' shares let through. */
const UNLIMITED = 10_000;

const NOTHING_LOADED = { digest: "", generation: 0, fence: 0 };

export async function startAgent(settings: AgentSettings): Promise<RunningAgent> {
    const { platform, backendServer } = settings;
    const { timeoutMs } = platform;
    const now = () => Date.now();
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
    let loadTimer: NodeJS.Timeout | undefined;
    const announceLoad = () => {
        loadTimer ??= setTimeout(() => {
            loadTimer = undefined;
            announce();
        }, LOAD_INTERVAL_MS);
    };

    const gate = createGate({
        backendUrl: backendServer.url,
        kind: backendServer.kind,
        serving: () => activation?.serving() ?? NOTHING_LOADED,
        engine,
        concurrency: settings.scheduling === "entryQueues" ? UNLIMITED : backendServer.concurrency,
        policy: () => profilesOf(configuration.current(), settings.service)[0]?.profile ?? DEFAULT_QUEUE_POLICY,
        ranked: settings.scheduling === "agentQueues",
        onChange: announceLoad,
        now,
    });

    function state(): AgentState {
        const serving = activation?.serving() ?? NOTHING_LOADED;
        const progress = activation?.transfer();
        const load = gate.load();
        return {
            process: settings.process,
            failureDomain: settings.failureDomain,
            region: settings.region,
            kind: backendServer.kind,
            service: settings.service,
            servingDigest: serving.digest,
            loadGeneration: serving.generation,
            leaving: gate.leaving(),
            running: load.running,
            queued: load.queued,
            concurrencyLimit: Math.min(load.limit, backendServer.concurrency),
            predictedWaitMs: load.predictedWaitMs,
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
        agent: createAgentService(gate, store, { current: state, subscribe }),
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
    }

    return { port: rpc.port, state, stop };
}
