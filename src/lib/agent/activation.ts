/**
 * Brings the engine to the version that the configuration names. This task is the sole issuer of orders
 * to the engine: it orders only complete and verified versions and reads the engine's state before and
 * after each order. It holds the engine's lease, and for a switch also one of the pool's slots, and
 * validates the revision and both leases with the table right before the order. An empty engine has no
 * version to mix answers with, so it is loaded without leases while the table can't be reached.
 */
import { setTimeout as sleep } from "node:timers/promises";
import VError from "verror";
import type { Engine, EngineState } from "../clients/index.js";
import { type Configuration, type Digest, judgeRollout, type ProfileEntry, profilesOf } from "../core/index.js";
import type { ConfigurationSync, EventRecorder } from "../node/index.js";
import { createLog } from "../observability/index.js";
import type { ChunkStore } from "./chunkStore.js";
import type { Lease, LeaseResult } from "./lease.js";
import type { Transfer } from "./transfer.js";

const log = createLog("agent:activation");

/** Longest pause before the engine's state is read again. */
const POLL_INTERVAL_MS = 1000;

/** Pauses after failures grow up to this: each try hashes the whole version again. */
const MAX_RETRY_DELAY_MS = 30_000;

/** Held leases are renewed about three times in their lifetime. */
const LEASE_RENEWAL_INTERVAL_MS = 2500;

/** Pauses between two tries to take a slot; they grow, because hundreds of agents can wait at once. */
const INITIAL_LEASE_RETRY_MS = 250;
const MAX_LEASE_RETRY_MS = 4000;

/** How long a switched replica keeps its slot while no request has shown whether the version works. */
const OBSERVATION_TIMEOUT_MS = 2000;

/** Table for the leases of engines; the key is the name of the VM. */
export const ENGINE_LEASE_TABLE = "engineLeases";

/** Table for the slots of a pool, with keys `SERVICE.0`, `SERVICE.1` and so on. */
export const SLOT_TABLE = "switchSlots";

export interface Activation {
    /** State of the engine as last read. `digest` is empty while requests must not be sent to it. */
    readonly serving: () => EngineState;
    /** The transfer in progress or the last one. */
    readonly transfer: () => Transfer | undefined;
    /** Tells whether a complete version waits for a slot, for the engine's lease or for the table. */
    readonly isWaiting: () => boolean;
    /** Reports the outcome of a request that the engine answered or failed to answer. */
    recordOutcome(succeeded: boolean): void;
    /** Stops the task and frees its leases. */
    stop(): Promise<void>;
}

export interface ActivationOptions {
    readonly service: string;
    readonly engine: Engine;
    readonly store: ChunkStore;
    readonly configuration: ConfigurationSync;
    readonly events: EventRecorder;
    readonly startTransfer: (rootDigest: Digest) => Transfer;
    /** Waits until no request uses the engine and keeps new ones out until `resume` is called. */
    readonly pause: () => Promise<{ resume(): void; }>;
    /** Returns the lease with a key; the same object for the same key. */
    readonly lease: (tableName: string, key: string) => Lease;
    readonly engineKey: string;
    /** Pauses the profile if it still has the revision. Resolves to whether the outcome is settled. */
    readonly haltRollout: (entry: ProfileEntry, reason: string) => Promise<boolean>;
    readonly onChange: () => void;
}

type LeasePermission = "granted" | "refused" | "withoutTable";

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
    /** Last version that this process saw in the engine; a paused rollout may load it again. */
    let lastServedDigest = "";
    /** Outcomes since the last switch; `undefined` before the first switch. */
    let outcomes: boolean[] | undefined;
    let halt: PendingHalt | undefined;

    configuration.onChange(() => {
        const wanted = wantedDigest(configuration.current(), service);
        if (transfer !== undefined && transfer.rootDigest !== wanted) transfer.cancel();
        wake();
    });

    async function run(): Promise<void> {
        let retryMs = POLL_INTERVAL_MS;
        while (!stopped) {
            const succeeded = await runCycle().then(() => true, (error: Error) => {
                log.warn("the version could not be activated: %s", error.message);
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
        if (halt !== undefined) await reportHalt(halt);
        const wanted = nextDigest();
        if (wanted === undefined || wanted === serving.digest) return;
        events.record("rollout.fetching", wanted);
        transfer = options.startTransfer(wanted);
        await transfer.done;
        await activate(wanted);
    }

    /** Returns the version to serve next, or `undefined` if the engine stays as it is. */
    function nextDigest(): Digest | undefined {
        const current = configuration.current();
        const wanted = wantedDigest(current, service);
        const paused = profilesOf(current, service).some(({ profile }) => profile.paused);
        return paused && wanted !== lastServedDigest ? undefined : wanted;
    }

    async function activate(digest: Digest): Promise<void> {
        const held: Lease[] = [];
        const renewal = setInterval(() => held.forEach(lease => void lease.acquire()), LEASE_RENEWAL_INTERVAL_MS);
        try {
            isWaiting = true;
            let retryDelayMs = INITIAL_LEASE_RETRY_MS;
            while (!stopped && nextDigest() === digest) {
                const permission = await acquireLeases(held);
                const isFirst = serving.digest === "";
                if (permission === "granted" || (permission === "withoutTable" && isFirst)) {
                    isWaiting = false;
                    if (await orderLoad(digest, held)) return await observeOutcomes(digest, isFirst);
                }
                isWaiting = true;
                await waitForWake(retryDelayMs * (0.5 + Math.random()));
                retryDelayMs = Math.min(MAX_LEASE_RETRY_MS, retryDelayMs * 1.5);
            }
        }
        finally {
            isWaiting = false;
            clearInterval(renewal);
            await Promise.all(held.map(lease => lease.release()));
        }
    }

    /** Takes a slot of the pool if the engine serves another version, then the engine's lease. */
    async function acquireLeases(held: Lease[]): Promise<LeasePermission> {
        const slot = serving.digest === "" ? "held" : await acquireSlot(held);
        const result = slot === "held" ? await acquireInto(held, engineLease) : slot;
        if (result === "unavailable") return "withoutTable";
        return result === "busy" ? "refused" : "granted";
    }

    /** Tries one slot at a time, so that hundreds of waiting agents cost the table one read each per try. */
    function acquireSlot(held: Lease[]): Promise<LeaseResult> {
        const own = held.find(lease => lease !== engineLease);
        if (own !== undefined) return acquireInto(held, own);
        const slots = Math.max(1, ...profilesOf(configuration.current(), service).map(e => e.profile.maxUnavailable));
        const index = Math.floor(Math.random() * slots);
        return acquireInto(held, options.lease(SLOT_TABLE, `${service}.${index}`));
    }

    async function acquireInto(held: Lease[], lease: Lease): Promise<LeaseResult> {
        const result = await lease.acquire();
        const index = held.indexOf(lease);
        if (result === "held" && index === -1) held.push(lease);
        if (result === "busy" && index >= 0) held.splice(index, 1);
        return result;
    }

    /** Returns whether the engine serves the version; `false` asks for another try. */
    async function orderLoad(digest: Digest, held: readonly Lease[]): Promise<boolean> {
        const pausedRequests = await options.pause();
        try {
            const renewed = await Promise.all(held.map(lease => lease.acquire()));
            const leaseEpochs = held.map(lease => ({ lease, epoch: lease.epoch() }));
            // The revision and the engine's state are read under the leases: what another holder did before
            // is seen here, and what it does later shows in an epoch.
            const isTableReachable = await configuration.refresh();
            if (nextDigest() !== digest) return false;
            const { revision } = configuration.current();
            const before = await engine.readState();
            setServing(before);
            if (before.digest === digest) return true;
            if (before.fence > revision) throw staleOrderError(before.fence, revision);
            const isSwitch = before.digest !== "";
            const requiredLeaseCount = isSwitch ? 2 : isTableReachable ? 1 : 0;
            if (held.length < requiredLeaseCount || (isSwitch && !isTableReachable)) return false;
            if (requiredLeaseCount > 0 && renewed.some(result => result !== "held")) return false;
            // Nothing may be awaited between this check and the order: the process can be stopped anywhere.
            if (
                requiredLeaseCount > 0 &&
                leaseEpochs.some(({ epoch, lease }) => !lease.valid() || lease.epoch() !== epoch)
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
        if (loaded.digest !== digest) throw new Error(`the engine serves ${loaded.digest} after the order`);
        outcomes = isSwitch ? [] : undefined;
        halt = undefined;
        setServing(loaded);
        events.record("rollout.serving", digest, { generation: loaded.generation });
        return true;
    }

    /** Keeps the slot until the first requests on the new version have shown whether it works. */
    async function observeOutcomes(digest: Digest, isFirst: boolean): Promise<void> {
        if (isFirst || outcomes === undefined) return;
        const polls = 20;
        for (let poll = 0; poll < polls && !stopped && judgeRollout(outcomes) === "open"; poll++) {
            await sleep(OBSERVATION_TIMEOUT_MS / polls);
        }
        if (halt !== undefined) await reportHalt(halt);
        log.info("version %s is %s after its first requests", digest, judgeRollout(outcomes));
    }

    function recordOutcome(succeeded: boolean): void {
        if (outcomes === undefined || judgeRollout(outcomes) !== "open") return;
        outcomes.push(succeeded);
        if (judgeRollout(outcomes) !== "failing") return;
        const failures = outcomes.filter(outcome => !outcome).length;
        const reason = `${failures} of the first ${outcomes.length} requests failed on ${options.engineKey}`;
        halt = { digest: serving.digest, reason };
        wake();
    }

    async function reportHalt(reported: PendingHalt): Promise<void> {
        const entries = profilesOf(configuration.current(), service).filter(({ profile }) => {
            return profile.rootDigest === reported.digest && !profile.paused;
        });
        const settled = await Promise.all(entries.map(entry => options.haltRollout(entry, reported.reason)));
        if (settled.every(Boolean) && halt === reported) halt = undefined;
        events.record("rollout.halted", reported.digest, { reason: reported.reason });
    }

    function setServing(state: EngineState): void {
        const changed = state.digest !== serving.digest || state.generation !== serving.generation;
        serving = state;
        if (state.digest !== "") lastServedDigest = state.digest;
        if (changed) options.onChange();
    }

    const running = run();
    return {
        serving: () => serving,
        transfer: () => transfer,
        isWaiting: () => isWaiting,
        recordOutcome,
        stop: () => {
            stopped = true;
            transfer?.cancel();
            wake();
            return running;
        },
    };
}

function staleOrderError(fence: number, revision: number): VError {
    const format = "the engine has seen revision %d and this agent only %d; it waits for a newer configuration";
    return new VError({ name: "ActivationError" }, format, fence, revision);
}

/** Returns the root digest that a pool serves, or `undefined` if no profile names the pool. */
export function wantedDigest(configuration: Configuration, service: string): Digest | undefined {
    return profilesOf(configuration, service)[0]?.profile.rootDigest;
}
