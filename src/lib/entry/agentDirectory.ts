/**
 * Tracks the state of the agents that this entry routes to: a bounded subset of those in the platform's VM list.
 * An agent is usable only while its own state messages arrive; being listed isn't enough.
 */
import type { ClientReadableStream } from "@grpc/grpc-js";
import { setImmediate } from "node:timers/promises";
import type { Vm } from "../clients/index.js";
import {
    assignSubsetsInSteps,
    chooseSubstitutes,
    evaluateTrust,
    type Evidence,
    type ListedState,
    NO_EVIDENCE,
    OBSERVATION_TIMEOUT_MS,
    shouldKeepConnection,
    SILENCE_TIMEOUT_MS,
    SUBSET_SIZE,
    type SubsetMember,
    type Trust,
} from "../core/index.js";
import type { MembershipTask } from "../node/index.js";
import { createLog } from "../observability/index.js";
import { type AgentState, applyReport, type Connections } from "../rpc/index.js";

const log = createLog("entry:directory");

/** Interval at which the open watches are reconciled with the VM list. */
const RECONCILE_INTERVAL_MS = 250;

/**
 * Limits the load reports that an entry receives to 50 a second in total (1.3 KB/s), until the interval reaches
 * `MAX_LOAD_INTERVAL_MS` in a large subset.
 */
const LOAD_INTERVAL_PER_WATCH_MS = 20;

/** An agent sends a state message at least once a second in any case. */
const MAX_LOAD_INTERVAL_MS = 1000;

/** Maximum number of pairs of service and version in `lastBusyTimes`; the least recently busy one is evicted. */
const MAX_BUSY_VERSIONS = 256;

/** Minimum interval between assignments in a large fleet; one uses up to a few hundred milliseconds of CPU time. */
const ASSIGNMENT_INTERVAL_MS = 5000;

/** Minimum number of agents watched per pool, so that some remain when one fails. */
const MIN_AGENTS_PER_POOL = 4;

/** Delay before an unwatched agent's connection is dropped; longer than the longest response (`limits.answerMs`). */
const CONNECTION_DROP_DELAY_MS = 150_000;

/** A request that was dispatched this shortly before a state message is probably not counted in it. */
const REPORT_LATENCY_MS = 50;

export interface UsableAgent {
    readonly address: string;
    readonly state: AgentState;
    /** Requests dispatched by this entry that the last state message can't include yet. */
    readonly sentSinceReport: number;
    /** Whether the agent switched versions within the last `OBSERVATION_TIMEOUT_MS`. */
    readonly isObserved: boolean;
}

export interface WatchedAgent {
    readonly address: string;
    /** `undefined` until the first state message. */
    readonly state: AgentState | undefined;
    /** Milliseconds since the last state message; since the epoch if there was none. */
    readonly ageMs: number;
}

export interface AgentDirectory {
    /** Returns the agents of a pool that reported recently, aren't leaving and aren't in an evacuated failure domain. */
    usableAgents(service: string, nowMs: number): UsableAgent[];
    /**
     * Returns whether an agent can be relied on to do its work; `undefined` if the agent isn't watched. One in an
     * evacuated failure domain counts as leaving: it finishes its work and gets no new work.
     */
    trust(address: string, nowMs: number): Trust | undefined;
    /** Returns the failure domain of a listed or watched agent, or an empty string if it isn't known. */
    failureDomainOf(address: string): string;
    /** Returns whether an agent's failure domain is evacuated. */
    isEvacuated(address: string): boolean;
    /** Counts a request that is dispatched to an agent at `nowMs`. */
    recordDispatch(address: string, nowMs: number): void;
    /** Returns every watched agent with the age of its last state message, for the status document. */
    watchedAgents(nowMs: number): WatchedAgent[];
    /** Returns when an agent of the pool last reported work on a version, or 0 if none did. */
    lastBusyAt(service: string, digest: string): number;
    /** Returns whether every watched agent has reported or had time to. False until the VM list is known. */
    isReady(nowMs: number): boolean;
    stop(): void;
}

interface AgentWatch {
    readonly address: string;
    readonly startedAt: number;
    /** Stream of the agent's state messages; `undefined` from its loss until it is reopened. */
    stateStream: ClientReadableStream<AgentState> | undefined;
    state: AgentState | undefined;
    /** Digest of the version that the agent served last; empty before the first one. */
    servedDigest: string;
    /** Time at which the agent reported its last switch of versions. */
    switchedAt: number;
    evidence: Evidence;
    /** Dispatch times of the requests that the last state message can't include yet. */
    unreportedDispatchTimes: number[];
}

export interface AgentDirectoryOptions {
    readonly process: string;
    readonly failureDomain: string;
    readonly membership: MembershipTask;
    readonly connections: Connections;
    /** Returns whether the operator has evacuated a failure domain. */
    readonly isEvacuated: (failureDomain: string) => boolean;
    readonly now: () => number;
}

export function startAgentDirectory(options: AgentDirectoryOptions): AgentDirectory {
    const { connections, membership, now } = options;
    const watches = new Map<string, AgentWatch>();
    const lastBusyTimes = new Map<string, number>();
    let listedVms: ReadonlyMap<string, Vm> = new Map();
    let subset: ReadonlySet<string> = new Set();
    let isAssigning = false;
    /** The live VMs, as text, that the last assignment was made from. */
    let assignedInput = "";
    let assignedAt = Number.NEGATIVE_INFINITY;
    let reconciledAt = now();

    function reconcile(): void {
        const nowMs = now();
        excludePause(nowMs - reconciledAt - RECONCILE_INTERVAL_MS, nowMs);
        reconciledAt = nowMs;
        const vms = membership.current();
        listedVms = new Map(vms.map(vm => [vm.address, vm]));
        updateSubset(vms, nowMs);
        const neededAddresses = new Set([...subset, ...substitutes(nowMs)]);
        for (const address of neededAddresses) if (!watches.has(address)) openStateStream(createWatch(address));
        for (const watch of watches.values()) {
            const { address, stateStream, evidence } = watch;
            const isNeeded = neededAddresses.has(address) && listedState(address) === "live";
            const isKept = !isNeeded && listedState(address) !== "live" &&
                shouldKeepConnection(listedState(address), evidence, nowMs);
            if (!isNeeded && !isKept) stopWatching(watch);
            else if (stateStream === undefined) openStateStream(watch);
        }
    }

    /** Time in which this process didn't run is no silence of the agents. */
    function excludePause(pauseMs: number, nowMs: number): void {
        if (pauseMs < RECONCILE_INTERVAL_MS) return;
        for (const watch of watches.values()) {
            const { lastMessageAt, disconnectedAt } = watch.evidence;
            if (lastMessageAt === undefined || disconnectedAt !== undefined) continue;
            watch.evidence = { ...watch.evidence, lastMessageAt: Math.min(nowMs, lastMessageAt + pauseMs) };
        }
    }

    function updateSubset(vms: readonly Vm[], nowMs: number): void {
        if (isAssigning || nowMs - assignedAt < ASSIGNMENT_INTERVAL_MS && vms.length > SUBSET_SIZE) return;
        const live = vms.filter(vm => vm.state === "live");
        const assignmentInput = live.map(vm => `${vm.name} ${vm.address} ${vm.service} ${vm.failureDomain}`).join("\n");
        if (assignmentInput === assignedInput) return;
        assignedInput = assignmentInput;
        assignedAt = nowMs;
        const agents = liveAgents(vms);
        if (agents.length <= SUBSET_SIZE) {
            subset = new Set(agents.map(({ address }) => address));
            return;
        }
        isAssigning = true;
        void assignSubset(vms, agents, options).then(addresses => {
            subset = addresses;
            isAssigning = false;
        });
    }

    /** Returns replacements for lost or silent agents of the subset, at most half the subset's size per pool. */
    function substitutes(nowMs: number): string[] {
        const unusable = [...subset].filter(address => {
            const watch = watches.get(address);
            return watch !== undefined && nowMs - watch.startedAt > SILENCE_TIMEOUT_MS &&
                trustOf(watch, nowMs) !== "usable";
        });
        const unusableByService = new Map<string, number>();
        for (const address of unusable) {
            const service = listedVms.get(address)?.service ?? "";
            unusableByService.set(service, (unusableByService.get(service) ?? 0) + 1);
        }
        return [...unusableByService].flatMap(([service, count]) => {
            const pool = liveAgents([...listedVms.values()])
                .filter(vm => vm.service === service && !options.isEvacuated(vm.failureDomain))
                .map(toSubsetMember);
            const self = { name: options.process, failureDomain: options.failureDomain };
            return chooseSubstitutes(self, pool, subset, Math.min(count, SUBSET_SIZE / 2));
        });
    }

    function listedState(address: string): ListedState {
        return listedVms.get(address)?.state ?? "unlisted";
    }

    function trustOf({ address, evidence }: AgentWatch, nowMs: number): Trust {
        // After a pause, requests may be read before the states that the agents have sent meanwhile.
        const countedMs = Math.min(nowMs, reconciledAt + 2 * RECONCILE_INTERVAL_MS);
        if (!isEvacuated(address)) return evaluateTrust(listedState(address), evidence, countedMs);
        // The agent reports that it is leaving; its silence must still be noticed, so that its work can move.
        const trust = evaluateTrust(listedState(address), { ...evidence, leaving: false }, countedMs);
        return trust === "usable" ? "leaving" : trust;
    }

    function isEvacuated(address: string): boolean {
        return options.isEvacuated(failureDomainOf(address));
    }

    function failureDomainOf(address: string): string {
        return listedVms.get(address)?.failureDomain ?? watches.get(address)?.state?.failureDomain ?? "";
    }

    function createWatch(address: string): AgentWatch {
        const watch: AgentWatch = {
            address,
            startedAt: now(),
            stateStream: undefined,
            state: undefined,
            servedDigest: "",
            switchedAt: Number.NEGATIVE_INFINITY,
            evidence: NO_EVIDENCE,
            unreportedDispatchTimes: [],
        };
        watches.set(address, watch);
        return watch;
    }

    function openStateStream(watch: AgentWatch): void {
        const loadIntervalMs = Math.min(subset.size * LOAD_INTERVAL_PER_WATCH_MS, MAX_LOAD_INTERVAL_MS);
        const stateStream = connections.agent(watch.address).watchState({ process: options.process, loadIntervalMs });
        watch.stateStream = stateStream;
        stateStream.on("data", (report: AgentState) => {
            const state = applyReport(watch.state, report);
            if (state === undefined) return;
            const receivedAt = now();
            watch.state = state;
            recordVersion(watch, state.servingDigest, receivedAt);
            watch.evidence = { lastMessageAt: receivedAt, leaving: state.leaving, disconnectedAt: undefined };
            watch.unreportedDispatchTimes = watch.unreportedDispatchTimes.filter(dispatchedAt =>
                dispatchedAt > receivedAt - REPORT_LATENCY_MS
            );
            if (state.running + state.queued > 0) recordBusy(state.service, state.servingDigest);
        });
        const onEnd = () => {
            if (watch.stateStream !== stateStream) return;
            watch.stateStream = undefined;
            watch.evidence = { ...watch.evidence, disconnectedAt: now() };
        };
        stateStream.on("error", error => {
            log.info(
                "the state stream of agent %s failed and is reopened if still needed: %s",
                watch.address,
                error.message,
            );
            onEnd();
        });
        stateStream.on("end", onEnd);
    }

    function recordBusy(service: string, digest: string): void {
        const key = `${service} ${digest}`;
        lastBusyTimes.delete(key);
        lastBusyTimes.set(key, now());
        if (lastBusyTimes.size <= MAX_BUSY_VERSIONS) return;
        const [oldest] = lastBusyTimes.keys();
        if (oldest !== undefined) lastBusyTimes.delete(oldest);
    }

    function stopWatching(watch: AgentWatch): void {
        const { address, stateStream } = watch;
        watch.stateStream = undefined;
        stateStream?.cancel();
        watches.delete(address);
        // Requests in flight may still use the connection to an agent that left the subset.
        const dropConnection = () => {
            if (!watches.has(address)) connections.closeConnection(address);
        };
        setTimeout(dropConnection, CONNECTION_DROP_DELAY_MS).unref();
    }

    function usableAgents(service: string, nowMs: number): UsableAgent[] {
        const agents: UsableAgent[] = [];
        for (const watch of watches.values()) {
            const { address, state, switchedAt, unreportedDispatchTimes } = watch;
            if (state?.service !== service || trustOf(watch, nowMs) !== "usable") continue;
            const isObserved = nowMs - switchedAt < OBSERVATION_TIMEOUT_MS;
            agents.push({ address, state, sentSinceReport: unreportedDispatchTimes.length, isObserved });
        }
        return agents;
    }

    function trust(address: string, nowMs: number): Trust | undefined {
        const watch = watches.get(address);
        return watch && trustOf(watch, nowMs);
    }

    function recordDispatch(address: string, nowMs: number): void {
        watches.get(address)?.unreportedDispatchTimes.push(nowMs);
    }

    function watchedAgents(nowMs: number): WatchedAgent[] {
        return [...watches.values()].map(({ address, evidence, state }) => {
            return { address, state, ageMs: nowMs - (evidence.lastMessageAt ?? 0) };
        });
    }

    function isReady(nowMs: number): boolean {
        if (membership.current().length === 0 || (isAssigning && subset.size === 0)) return false;
        return [...watches.values()].every(({ state, startedAt }) => {
            return state !== undefined || nowMs - startedAt > SILENCE_TIMEOUT_MS;
        });
    }

    function stop(): void {
        clearInterval(timer);
        for (const { stateStream } of watches.values()) stateStream?.cancel();
    }

    // States that have arrived are read before the check.
    const timer = setInterval(() => void setImmediate().then(reconcile), RECONCILE_INTERVAL_MS);
    const lastBusyAt = (service: string, digest: string) => lastBusyTimes.get(`${service} ${digest}`) ?? 0;
    return {
        usableAgents,
        trust,
        failureDomainOf,
        isEvacuated,
        recordDispatch,
        watchedAgents,
        lastBusyAt,
        isReady,
        stop,
    };
}

/**
 * Returns the addresses of the agents that this entry watches. Each pool's part of the subset is proportional to its
 * size. The assignment takes a few hundred milliseconds in a large fleet, so it yields to the event loop between steps.
 */
async function assignSubset(
    vms: readonly Vm[],
    agents: readonly Vm[],
    self: { process: string; failureDomain: string; },
): Promise<Set<string>> {
    const otherEntries = vms.filter(vm => vm.role === "entry" && vm.state === "live" && vm.name !== self.process);
    const entries = [...otherEntries, { name: self.process, failureDomain: self.failureDomain }];
    const addresses = new Set<string>();
    for (const service of new Set(agents.map(agent => agent.service))) {
        const pool = agents.filter(vm => vm.service === service);
        const size = Math.max(MIN_AGENTS_PER_POOL, Math.ceil(SUBSET_SIZE * pool.length / agents.length));
        const steps = assignSubsetsInSteps(entries, pool.map(toSubsetMember), size);
        let step = steps.next();
        while (step.done !== true) {
            await setImmediate();
            step = steps.next();
        }
        for (const address of step.value.get(self.process) ?? []) addresses.add(address);
    }
    return addresses;
}

/** Records a switch if the agent served another version before. During a switch, it serves none. */
function recordVersion(watch: AgentWatch, servingDigest: string, nowMs: number): void {
    if (servingDigest === "" || servingDigest === watch.servedDigest) return;
    if (watch.servedDigest !== "") watch.switchedAt = nowMs;
    watch.servedDigest = servingDigest;
}

function liveAgents(vms: readonly Vm[]): Vm[] {
    return vms.filter(vm => vm.role === "agent" && vm.state === "live");
}

function toSubsetMember({ address, failureDomain }: Vm): SubsetMember {
    return { name: address, failureDomain };
}
