/**
 * Loads the model version that the configuration names into the engine. Only this task sends load requests
 * to the engine. It loads only complete and verified versions, and reads the engine's state before and after
 * each load. It holds the engine's lease and, to replace a loaded version, also one of the service's switch
 * slots; it validates the configuration revision and both leases with the table service right before the load
 * request. An empty engine can't mix the output of two versions, so it is loaded without leases while the
 * table service is unreachable.
 */
import { setTimeout as sleep } from "node:timers/promises";
import VError from "verror";
import type { EngineClient, EngineState } from "../clients/index.js";
import {
    type Configuration,
    type ConfiguredProfile,
    type Digest,
    evaluateRollout,
    OBSERVATION_TIMEOUT_MS,
    profilesOf,
} from "../core/index.js";
import type { ConfigurationSync, EventRecorder } from "../node/index.js";
import { createLog } from "../observability/index.js";
import type { ChunkStore } from "./chunkStore.js";
import type { Lease, LeaseResult } from "./lease.js";
import type { Transfer } from "./transfer.js";

const log = createLog("agent:activation");

/** Interval at which the engine's state is read if nothing wakes the task earlier. */
const POLL_INTERVAL_MS = 1000;

/** Upper bound of the backoff after failures. Each retry hashes the whole version again. */
const MAX_RETRY_DELAY_MS = 30_000;

/** Interval at which held leases are renewed, about a third of their validity period. */
const LEASE_RENEWAL_INTERVAL_MS = 2500;

/**
 * Bounds of the backoff between attempts to acquire the leases. It grows because hundreds of agents can wait at once.
 */
const INITIAL_LEASE_RETRY_MS = 250;
const MAX_LEASE_RETRY_MS = 4000;

/** Table of the engines' leases. The key is the name of the VM. */
export const ENGINE_LEASE_TABLE = "engineLeases";

/** Table of the switch slots of a service, with the keys `SERVICE.0`, `SERVICE.1` and so on. */
export const SLOT_TABLE = "switchSlots";

export interface Activation {
    /** Last known state of the engine. `digest` is empty while no requests may be sent to it. */
    readonly serving: () => EngineState;
    /** The current or the most recent transfer. */
    readonly transfer: () => Transfer | undefined;
    /** Whether a complete version waits for a slot, for the engine's lease or for the table service. */
    readonly isWaiting: () => boolean;
    /** Records whether the engine processed a request successfully. */
    recordOutcome(succeeded: boolean): void;
    /** Stops the task and releases its leases. */
    stop(): Promise<void>;
}

export interface ActivationOptions {
    readonly service: string;
    readonly engine: EngineClient;
    readonly store: ChunkStore;
    readonly configuration: ConfigurationSync;
    readonly events: EventRecorder;
    readonly startTransfer: (rootDigest: Digest) => Transfer;
    /** Waits until no request uses the engine and holds back new ones until `resume` is called. */
    readonly pause: () => Promise<{ resume(): void; }>;
    /** Returns the lease of a table row, and the same object each time. */
    readonly lease: (tableName: string, key: string) => Lease;
    readonly engineKey: string;
    /** Pauses the profile if its revision is unchanged. Resolves to `false` if the call must be retried. */
    readonly haltRollout: (profile: ConfiguredProfile, reason: string) => Promise<boolean>;
    readonly onChange: () => void;
}

type LeasePermission = "granted" | "refused" | "tableUnreachable";

interface PendingHalt {
    readonly digest: Digest;
    readonly reason: string;
}

const NOTHING_LOADED: EngineState = { digest: "", generation: 0, fence: 0 };

export function startActivation(options: ActivationOptions): Activation {
    const { engine, store, configuration, events, service } = options;
    const engineLease = options.lease(ENGINE_LEASE_TABLE, options.engineKey);
    let serving = NOTHING_LOADED;
    let transfer: Transfer | undefined;
    let isWaiting = false;
    let stopped = false;
    let wake: () => void = () => undefined;
    /** The last version that this process saw in the engine. It may be loaded again during a paused rollout. */
    let lastServedDigest = "";
    /** Request outcomes since the last switch; `undefined` before the first switch. */
    let outcomes: boolean[] | undefined;
    let pendingHalt: PendingHalt | undefined;

    configuration.onChange(() => {
        const target = targetDigest(configuration.current(), service);
        if (transfer !== undefined && transfer.rootDigest !== target) transfer.cancel();
        wake();
    });

    async function run(): Promise<void> {
        let retryMs = POLL_INTERVAL_MS;
        while (!stopped) {
            const succeeded = await runCycle().then(() => true, (error: Error) => {
                log.warn("failed to activate the configured version, will retry: %s", error.message);
                return false;
            });
            retryMs = succeeded ? POLL_INTERVAL_MS : Math.min(MAX_RETRY_DELAY_MS, retryMs * 2);
            if (!stopped) await waitForWake(retryMs);
        }
    }

    function waitForWake(ms: number): Promise<void> {
        return new Promise<void>(resolve => {
            const timer = setTimeout(resolve, ms).unref();
            wake = () => {
                clearTimeout(timer);
                resolve();
            };
        });
    }

    async function runCycle(): Promise<void> {
        setServing(await engine.readState().catch(() => NOTHING_LOADED));
        if (pendingHalt !== undefined) await reportHalt(pendingHalt);
        const target = digestToServe();
        if (target === undefined || target === serving.digest) return;
        events.record("rollout.fetching", target);
        transfer = options.startTransfer(target);
        await transfer.completion;
        await activate(target);
    }

    /** Returns the version to serve, or `undefined` if the engine's version must not change. */
    function digestToServe(): Digest | undefined {
        const current = configuration.current();
        const target = targetDigest(current, service);
        const paused = profilesOf(current, service).some(({ profile }) => profile.paused);
        return paused && target !== lastServedDigest ? undefined : target;
    }

    async function activate(digest: Digest): Promise<void> {
        const heldLeases: Lease[] = [];
        const renewalTimer = setInterval(
            () => heldLeases.forEach(lease => void lease.acquire()),
            LEASE_RENEWAL_INTERVAL_MS,
        );
        try {
            isWaiting = true;
            let retryDelayMs = INITIAL_LEASE_RETRY_MS;
            while (!stopped && digestToServe() === digest) {
                const permission = await acquireLeases(heldLeases);
                const isFirstLoad = serving.digest === "";
                if (permission === "granted" || (permission === "tableUnreachable" && isFirstLoad)) {
                    isWaiting = false;
                    if (await loadIfAllowed(digest, heldLeases)) return await observeOutcomes(digest, isFirstLoad);
                }
                isWaiting = true;
                await waitForWake(retryDelayMs * (0.5 + Math.random()));
                retryDelayMs = Math.min(MAX_LEASE_RETRY_MS, retryDelayMs * 1.5);
            }
        }
        finally {
            isWaiting = false;
            clearInterval(renewalTimer);
            await Promise.all(heldLeases.map(lease => lease.release()));
        }
    }

    /** Acquires a switch slot if the engine has a version loaded, then the engine's lease. */
    async function acquireLeases(heldLeases: Lease[]): Promise<LeasePermission> {
        const slot = serving.digest === "" ? "held" : await acquireSlot(heldLeases);
        const result = slot === "held" ? await acquireAndTrack(heldLeases, engineLease) : slot;
        if (result === "unavailable") return "tableUnreachable";
        return result === "busy" ? "refused" : "granted";
    }

    /** Tries one random slot per call, so that each of hundreds of waiting agents reads only one row per attempt. */
    function acquireSlot(heldLeases: Lease[]): Promise<LeaseResult> {
        const heldSlot = heldLeases.find(lease => lease !== engineLease);
        if (heldSlot !== undefined) return acquireAndTrack(heldLeases, heldSlot);
        const profiles = profilesOf(configuration.current(), service);
        const slotCount = Math.max(1, ...profiles.map(({ profile }) => profile.maxUnavailable));
        const index = Math.floor(Math.random() * slotCount);
        return acquireAndTrack(heldLeases, options.lease(SLOT_TABLE, `${service}.${index}`));
    }

    /** Acquires or renews a lease and adds it to or removes it from the held leases accordingly. */
    async function acquireAndTrack(heldLeases: Lease[], lease: Lease): Promise<LeaseResult> {
        const result = await lease.acquire();
        const index = heldLeases.indexOf(lease);
        if (result === "held" && index === -1) heldLeases.push(lease);
        if (result === "busy" && index >= 0) heldLeases.splice(index, 1);
        return result;
    }

    /** Loads the version if all checks pass. Resolves to whether the engine serves it; the caller retries if not. */
    async function loadIfAllowed(digest: Digest, heldLeases: readonly Lease[]): Promise<boolean> {
        const pausedRequests = await options.pause();
        try {
            const renewed = await Promise.all(heldLeases.map(lease => lease.acquire()));
            const leaseEpochs = heldLeases.map(lease => ({ lease, epoch: lease.epoch() }));
            // The revision and the engine's state are read while the leases are held. Changes by earlier holders
            // are therefore visible here, and a later holder increases the epoch of a lease.
            const isTableReachable = await configuration.refresh();
            if (digestToServe() !== digest) return false;
            const { revision } = configuration.current();
            const engineState = await engine.readState();
            setServing(engineState);
            if (engineState.digest === digest) return true;
            if (engineState.fence > revision) throw staleRevisionError(engineState.fence, revision);
            const isSwitch = engineState.digest !== "";
            const requiredLeaseCount = isSwitch ? 2 : isTableReachable ? 1 : 0;
            if (heldLeases.length < requiredLeaseCount || (isSwitch && !isTableReachable)) return false;
            if (requiredLeaseCount > 0 && renewed.some(result => result !== "held")) return false;
            // Don't await anything between this check and the load request: the process can be suspended at any
            // point, and the leases may have expired when it resumes.
            if (
                requiredLeaseCount > 0 &&
                leaseEpochs.some(({ epoch, lease }) => !lease.isValid() || lease.epoch() !== epoch)
            ) return false;
            const loading = engine.load({ digest, path: store.path(digest), fence: revision });
            setServing(NOTHING_LOADED);
            await loading;
            return await confirmLoad(digest, isSwitch);
        }
        finally {
            pausedRequests.resume();
        }
    }

    async function confirmLoad(digest: Digest, isSwitch: boolean): Promise<boolean> {
        const loaded = await engine.readState();
        if (loaded.digest !== digest) throw new Error(`the engine serves "${loaded.digest}" after a load of ${digest}`);
        outcomes = isSwitch ? [] : undefined;
        pendingHalt = undefined;
        setServing(loaded);
        events.record("rollout.serving", digest, { generation: loaded.generation });
        return true;
    }

    /** Waits, with the slot held, until the first requests have shown whether the new version works. */
    async function observeOutcomes(digest: Digest, isFirstLoad: boolean): Promise<void> {
        if (isFirstLoad || outcomes === undefined) return;
        const pollCount = 20;
        for (let poll = 0; poll < pollCount && !stopped && evaluateRollout(outcomes) === "open"; poll++) {
            await sleep(OBSERVATION_TIMEOUT_MS / pollCount);
        }
        if (pendingHalt !== undefined) await reportHalt(pendingHalt);
        log.info(
            "health of version %s after its first %d requests: %s",
            digest,
            outcomes.length,
            evaluateRollout(outcomes),
        );
    }

    function recordOutcome(succeeded: boolean): void {
        if (outcomes === undefined || evaluateRollout(outcomes) !== "open") return;
        outcomes.push(succeeded);
        if (evaluateRollout(outcomes) !== "failing") return;
        const failures = outcomes.filter(outcome => !outcome).length;
        const reason = `${failures} of the first ${outcomes.length} requests failed on ${options.engineKey}`;
        pendingHalt = { digest: serving.digest, reason };
        wake();
    }

    async function reportHalt(halt: PendingHalt): Promise<void> {
        const runningRollouts = profilesOf(configuration.current(), service).filter(({ profile }) => {
            return profile.rootDigest === halt.digest && !profile.paused;
        });
        const results = await Promise.all(runningRollouts.map(profile => options.haltRollout(profile, halt.reason)));
        if (results.every(Boolean) && pendingHalt === halt) pendingHalt = undefined;
        events.record("rollout.halted", halt.digest, { reason: halt.reason });
    }

    function setServing(state: EngineState): void {
        const changed = state.digest !== serving.digest || state.generation !== serving.generation;
        serving = state;
        if (state.digest !== "") lastServedDigest = state.digest;
        if (changed) options.onChange();
    }

    const runLoop = run();
    return {
        serving: () => serving,
        transfer: () => transfer,
        isWaiting: () => isWaiting,
        recordOutcome,
        stop: () => {
            stopped = true;
            transfer?.cancel();
            wake();
            return runLoop;
        },
    };
}

function staleRevisionError(fence: number, revision: number): VError {
    const format =
        "the engine has seen configuration revision %d, but this agent has only %d; waiting for a newer configuration";
    return new VError({ name: "ActivationError" }, format, fence, revision);
}

/** Returns the root digest that a service must serve, or `undefined` if no profile names the service. */
export function targetDigest(configuration: Configuration, service: string): Digest | undefined {
    return profilesOf(configuration, service)[0]?.profile.rootDigest;
}
