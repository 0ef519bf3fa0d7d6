/** Starts the agent process: configuration sync, weight transfer, activation, admission gate and gRPC server. */
import { randomUUID } from "node:crypto";
import { accessSync, constants, mkdirSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import VError from "verror";
import { createEngineClient } from "../clients/index.js";
import { type ConfiguredProfile, DEFAULT_QUEUE_POLICY, isEvacuated, profilesOf } from "../core/index.js";
import { createNodeService, createProfileStore, startNodeRuntime } from "../node/index.js";
import { createLog, DevWarning, issueDevWarning } from "../observability/index.js";
import { type AgentState, startRpcServer } from "../rpc/index.js";
import type { AgentSettings } from "../settings/index.js";
import { type Activation, startActivation } from "./activation.js";
import { createAgentService, type StateListener } from "./agentService.js";
import { createChunkSources } from "./chunkSources.js";
import { createChunkStore } from "./chunkStore.js";
import { createClaims } from "./claims.js";
import { createGate } from "./gate.js";
import { createHeldVersions } from "./heldVersions.js";
import { createElapsedClock, createLease, type Lease } from "./lease.js";
import { createLinkLimiter } from "./linkLimiter.js";
import { reportOutcomes } from "./reportOutcomes.js";
import { startTransfer } from "./transfer.js";
import type { TransferEnvironment } from "./transferTask.js";
import { createUploads } from "./uploads.js";

const log = createLog("agent");

export interface RunningAgent {
    /** Port of the gRPC server. */
    readonly port: number;
    readonly state: () => AgentState;
    /** Stops accepting requests, waits up to `drainMs` for those in progress, and stops the process's services. */
    stop(): Promise<void>;
}

/** With `entryQueues`, the entries limit the concurrency and the agent forwards every request at once. */
const UNLIMITED_CONCURRENCY = 10_000;

/**
 * Minimum time between announcing `leaving` and closing the gRPC server. Requests that arrive meanwhile are
 * refused with `notRun`; a closed connection wouldn't tell the entries that the request didn't run.
 */
const MIN_LEAVING_NOTICE_MS = 1000;

const NOTHING_LOADED = { digest: "", generation: 0, fence: 0 };

export async function startAgent(settings: AgentSettings): Promise<RunningAgent> {
    const { platform, backendServer } = settings;
    warnAboutBaselines(settings);
    if (backendServer.kind === "model") ensureDirectoryUsable(settings.weightsPath);
    const runtime = await startNodeRuntime(settings);
    const { now, metrics, events, table, weightStore, membership, credentials, connections, configuration } = runtime;
    const engine = createEngineClient({ url: backendServer.url, timeoutMs: platform.timeoutMs });
    const store = createChunkStore(settings.weightsPath);
    const heldVersions = createHeldVersions(store);
    const linkLimiter = createLinkLimiter(settings.links, settings.region, () => performance.now());
    const peers = () => {
        return membership.current().filter(vm => vm.service === settings.service && vm.name !== settings.process);
    };
    const uploads = createUploads({
        heldVersions,
        store,
        linkLimiter,
        regionOf: process => peers().find(vm => vm.name === process)?.region ?? settings.region,
    });
    const environment: TransferEnvironment = {
        settings,
        store,
        heldVersions,
        sources: createChunkSources({
            process: settings.process,
            connections,
            weightStore,
            weightStoreRegion: platform.weightStoreRegion,
            linkLimiter,
        }),
        weightStore,
        connections,
        events,
        peers,
        now: () => performance.now(),
        random: Math.random,
    };
    const elapsedClock = createElapsedClock(() => performance.now(), now);
    const profileStore = createProfileStore({ table, weightStore, now: elapsedClock, random: Math.random });
    const leaseToken = `${settings.process}/${randomUUID()}`;
    const leases = new Map<string, Lease>();
    const listeners = new Set<StateListener>();
    const notifyChange = () => listeners.forEach(listener => listener("other"));
    const notifyLoadChange = () => listeners.forEach(listener => listener("load"));
    let activation: Activation | undefined;

    const claims = createClaims({ table, now });
    const gate = createGate({
        backendUrl: backendServer.url,
        kind: backendServer.kind,
        serving: () => activation?.serving() ?? NOTHING_LOADED,
        engine,
        concurrency: settings.scheduling === "entryQueues" ? UNLIMITED_CONCURRENCY : backendServer.concurrency,
        policy: () => profilesOf(configuration.current(), settings.service)[0]?.profile ?? DEFAULT_QUEUE_POLICY,
        ranked: settings.scheduling === "agentQueues",
        onChange: notifyLoadChange,
        claims,
        now,
    });

    function getLease(tableName: string, key: string): Lease {
        const id = `${tableName}/${key}`;
        const lease = leases.get(id) ?? createLease({ table, tableName, key, token: leaseToken, now: elapsedClock });
        leases.set(id, lease);
        return lease;
    }

    async function haltRollout({ profile, revision }: ConfiguredProfile, reason: string): Promise<boolean> {
        const result = await profileStore.apply({
            changeId: `halt-${settings.process}-${revision}`,
            name: profile.name,
            action: { kind: "setPaused", paused: true, reason },
            expectedRevision: revision,
        });
        log.warn("halting the rollout of profile %s: %s (result: %s)", profile.name, reason, result.kind);
        if (result.kind === "accepted") configuration.applyIfNewer({ ...result.configuration, changes: [] });
        return result.kind !== "unavailable";
    }

    function state(): AgentState {
        const serving = activation?.serving() ?? NOTHING_LOADED;
        const transfer = activation?.transfer();
        const load = gate.load();
        return {
            process: settings.process,
            failureDomain: settings.failureDomain,
            region: settings.region,
            kind: backendServer.kind,
            service: settings.service,
            servingDigest: serving.digest,
            loadGeneration: serving.generation,
            leaving: gate.isLeaving(),
            running: load.running,
            queued: load.queued,
            concurrencyLimit: Math.min(load.limit, backendServer.concurrency),
            predictedWaitMs: load.predictedWaitMs,
            configurationRevision: configuration.current().revision,
            transfers: transfer === undefined ? [] : [{
                rootDigest: transfer.rootDigest,
                chunksHeld: transfer.progress.chunksHeld,
                chunksTotal: transfer.progress.chunksTotal,
                bytesFromOrigin: transfer.progress.bytesFromOrigin,
                bytesFromDomain: transfer.progress.bytesFromDomain,
                bytesFromRegion: transfer.progress.bytesFromRegion,
                bytesFromOtherRegions: transfer.progress.bytesFromOtherRegions,
                bytesSent: transfer.bytesSent(),
                phase: activation?.isWaiting() === true ? "waitingForSlot" : transfer.progress.phase,
                error: transfer.progress.error,
            }],
        };
    }

    const status = () => ({ ...state(), configurationAgeMs: now() - configuration.confirmedAt() });
    const subscribe = (listener: StateListener) => {
        listeners.add(listener);
        return () => void listeners.delete(listener);
    };
    const rpc = await startRpcServer({
        ...settings.rpc,
        credentials,
        node: createNodeService({ configuration, events, status }),
        agent: createAgentService(
            reportOutcomes(gate, succeeded => activation?.recordOutcome(succeeded)),
            heldVersions,
            uploads,
            { current: state, subscribe },
            { events, metrics },
        ),
    });
    const checkLeaving = () => {
        // The address distinguishes this VM from a replacement with the same name.
        const listedVm = membership.current().find(vm => vm.name === settings.process);
        const isThisVm = listedVm?.address.endsWith(`:${rpc.port}`) === true;
        const wasLeaving = gate.isLeaving();
        gate.setListedLeaving(isThisVm && listedVm.state === "leaving");
        gate.setEvacuated(isEvacuated(configuration.current(), settings.failureDomain));
        if (gate.isLeaving() !== wasLeaving) notifyChange();
    };
    const leavingCheckTimer = setInterval(checkLeaving, settings.pollMs);
    configuration.onChange(checkLeaving);
    if (backendServer.kind === "model") {
        activation = startActivation({
            service: settings.service,
            engine,
            store,
            configuration,
            events,
            startTransfer: rootDigest => startTransfer(rootDigest, environment),
            pause: gate.pause,
            lease: getLease,
            engineKey: settings.process,
            haltRollout,
            onChange: notifyChange,
        });
    }
    log.info("agent %s listens on port %d", settings.process, rpc.port);

    async function stop(): Promise<void> {
        clearInterval(leavingCheckTimer);
        const drained = gate.drain().then(() => claims.waitForSettlements());
        notifyChange();
        const leavingNotice = sleep(Math.min(MIN_LEAVING_NOTICE_MS, settings.drainMs));
        await Promise.race([Promise.all([drained, leavingNotice]), sleep(settings.drainMs, undefined, { ref: false })]);
        // A load in progress can take minutes. The process then exits without releasing the leases, which expire.
        await Promise.race([activation?.stop(), new Promise(resolve => setTimeout(resolve, 1000).unref())]);
        await runtime.stop();
        await rpc.stop(1000);
        await metrics.close();
    }

    return { port: rpc.port, state, stop };
}

/** Creates the weights directory and checks access to it at startup, before the first rollout needs it. */
function ensureDirectoryUsable(path: string): void {
    try {
        mkdirSync(path, { recursive: true });
        accessSync(path, constants.R_OK | constants.W_OK);
    }
    catch (error) {
        throw new VError({ name: "SettingsError", cause: error as Error }, "weightsPath %s is not accessible", path);
    }
}

function warnAboutBaselines({ scheduling, transferStrategy }: AgentSettings): void {
    if (scheduling !== "agentQueues") {
        issueDevWarning(DevWarning.baselineScheduling, `scheduling ${scheduling} is a baseline; use agentQueues`);
    }
    if (transferStrategy !== "peers") {
        issueDevWarning(DevWarning.baselineTransfer, `transferStrategy ${transferStrategy} is a baseline; use peers`);
    }
}
