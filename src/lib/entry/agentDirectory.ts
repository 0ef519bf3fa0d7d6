/**
 * Watches the state of a bounded subset of the agents in the platform's list. An agent counts as usable
 * only while its own state messages arrive; the list alone adds no trust.
 */
import type { ClientReadableStream } from "@grpc/grpc-js";
import { setImmediate } from "node:timers/promises";
import type { Vm } from "../clients/index.js";
import {
    assignInSteps,
    type Evidence,
    isWorthWatching,
    type ListedState,
    NO_EVIDENCE,
    SILENT_AFTER_MS,
    SUBSET_SIZE,
    type SubsetMember,
    substitutesFor,
    type Trust,
    trustIn,
} from "../core/index.js";
import type { MembershipTask } from "../node/index.js";
import { createLog } from "../observability/index.js";
import { type AgentState, applyReport, type Connections } from "../rpc/index.js";

const log = createLog("entry:directory");

/** Pause between two comparisons of the watches with the list of VMs. */
const RECONCILE_MS = 250;

/** Reports of the load that an entry receives are at most 50 a second in total, 1.3 KB/s, until the subset is large. */
const LOAD_INTERVAL_PER_WATCH_MS = 20;

/** An agent reports at least once a second anyway. */
const LONGEST_LOAD_INTERVAL_MS = 1000;

/** Versions whose last use is remembered; the oldest is forgotten first. */
const REMEMBERED_VERSIONS = 256;

/** Pause between two assignments of a large system, because one takes up to a few hundred milliseconds of a core. */
const CHOOSE_INTERVAL_MS = 5000;

/** Agents of each pool that an entry watches at least, so that one can fail. */
const SMALLEST_POOL_SUBSET = 4;

/** Longer than the longest answer (`limits.answerMs`). */
const DROP_AFTER_MS = 150_000;

/** A request that was sent so shortly before a report is probably not counted in it. */
const REPORT_DELAY_MS = 50;

export interface KnownAgent {
    readonly address: string;
    readonly state: AgentState;
    /** Own requests that the last report can't contain yet. */
    readonly sentSinceReport: number;
}

export interface AgentReport {
    readonly address: string;
    /** `undefined` until the first state message. */
    readonly state: AgentState | undefined;
    readonly ageMs: number;
}

export interface AgentDirectory {
    /** Agents of a pool that reported recently and aren't leaving. */
    usable(service: string, now: number): KnownAgent[];
    /** Whether work at an agent can go on; an agent that isn't watched is silent. */
    health(address: string, now: number): Trust;
    /** Counts a request that is sent to an agent now. */
    recordSent(address: string, now: number): void;
    /** Every agent in the list with the age of its last state message, for the status report. */
    all(now: number): AgentReport[];
    /** Last time at which an agent of the pool reported work on a version; 0 if none did. */
    lastBusy(service: string, digest: string): number;
    /** Tells whether every listed agent has reported or has had the time to. False until the list is known. */
    ready(now: number): boolean;
    stop(): void;
}

interface Watch {
    readonly address: string;
    readonly startedAt: number;
    /** `undefined` between the loss of a stream and the next try. */
    call: ClientReadableStream<AgentState> | undefined;
    state: AgentState | undefined;
    evidence: Evidence;
    /** Times at which requests were sent that the last report can't contain yet. */
    sentAt: number[];
}

export interface AgentDirectoryOptions {
    readonly process: string;
    readonly failureDomain: string;
    readonly membership: MembershipTask;
    readonly connections: Connections;
    readonly now: () => number;
}

export function startAgentDirectory(options: AgentDirectoryOptions): AgentDirectory {
    const { connections, membership, now } = options;
    const watches = new Map<string, Watch>();
    const busyAt = new Map<string, number>();
    let listed: ReadonlyMap<string, Vm> = new Map();
    let chosen: ReadonlySet<string> = new Set();
    let isChoosing = false;
    let chosenFrom = "";
    let chosenAt = Number.NEGATIVE_INFINITY;

    function reconcile(): void {
        const at = now();
        const vms = membership.current();
        listed = new Map(vms.map(vm => [vm.address, vm]));
        choose(vms, at);
        const wanted = new Set([...chosen, ...substitutes(at)]);
        for (const address of wanted) if (!watches.has(address)) open(createWatch(address));
        for (const watch of watches.values()) {
            const { address, call, evidence } = watch;
            const isWanted = wanted.has(address) && listedState(address) === "live";
            const isKept = !isWanted && listedState(address) !== "live" &&
                isWorthWatching(listedState(address), evidence, at);
            if (!isWanted && !isKept) forget(watch);
            else if (call === undefined) open(watch);
        }
    }

    function choose(vms: readonly Vm[], at: number): void {
        if (isChoosing || at - chosenAt < CHOOSE_INTERVAL_MS && vms.length > SUBSET_SIZE) return;
        const live = vms.filter(vm => vm.state === "live");
        const from = live.map(vm => `${vm.name} ${vm.address} ${vm.service} ${vm.failureDomain}`).join("\n");
        if (from === chosenFrom) return;
        chosenFrom = from;
        chosenAt = at;
        const agents = liveAgents(vms);
        if (agents.length <= SUBSET_SIZE) {
            chosen = new Set(agents.map(({ address }) => address));
            return;
        }
        isChoosing = true;
        void chooseAgents(vms, agents, options).then(addresses => {
            chosen = addresses;
            isChoosing = false;
        });
    }

    /** Agents in place of those of the subset that are lost or silent, at most as many as half of the subset. */
    function substitutes(at: number): string[] {
        const missing = [...chosen].filter(address => {
            const watch = watches.get(address);
            return watch !== undefined && at - watch.startedAt > SILENT_AFTER_MS && trust(watch, at) !== "usable";
        });
        const services = new Map<string, number>();
        for (const address of missing) {
            const service = listed.get(address)?.service ?? "";
            services.set(service, (services.get(service) ?? 0) + 1);
        }
        return [...services].flatMap(([service, count]) => {
            const pool = liveAgents([...listed.values()]).filter(vm => vm.service === service).map(byAddress);
            const own = { name: options.process, failureDomain: options.failureDomain };
            return substitutesFor(own, pool, chosen, Math.min(count, SUBSET_SIZE / 2));
        });
    }

    function listedState(address: string): ListedState {
        return listed.get(address)?.state ?? "unlisted";
    }

    function trust({ address, evidence }: Watch, at: number): Trust {
        return trustIn(listedState(address), evidence, at);
    }

    function createWatch(address: string): Watch {
        const watch: Watch = {
            address,
            startedAt: now(),
            call: undefined,
            state: undefined,
            evidence: NO_EVIDENCE,
            sentAt: [],
        };
        watches.set(address, watch);
        return watch;
    }

    function open(watch: Watch): void {
        const loadIntervalMs = Math.min(chosen.size * LOAD_INTERVAL_PER_WATCH_MS, LONGEST_LOAD_INTERVAL_MS);
        const call = connections.agent(watch.address).watchState({ process: options.process, loadIntervalMs });
        watch.call = call;
        call.on("data", (report: AgentState) => {
            const state = applyReport(watch.state, report);
            if (state === undefined) return;
            watch.state = state;
            const heardAt = now();
            watch.evidence = { heardAt, leaving: state.leaving, lostAt: undefined };
            watch.sentAt = watch.sentAt.filter(sentAt => sentAt > heardAt - REPORT_DELAY_MS);
            if (state.running + state.queued > 0) noteBusy(state.service, state.servingDigest);
        });
        const end = () => {
            if (watch.call !== call) return;
            watch.call = undefined;
            watch.evidence = { ...watch.evidence, lostAt: now() };
        };
        call.on("error", error => {
            log.info("the watch of %s failed: %s", watch.address, error.message);
            end();
        });
        call.on("end", end);
    }

    function noteBusy(service: string, digest: string): void {
        const key = `${service} ${digest}`;
        busyAt.delete(key);
        busyAt.set(key, now());
        if (busyAt.size <= REMEMBERED_VERSIONS) return;
        const [oldest] = busyAt.keys();
        if (oldest !== undefined) busyAt.delete(oldest);
    }

    function forget(watch: Watch): void {
        const { address, call } = watch;
        watch.call = undefined;
        call?.cancel();
        watches.delete(address);
        // Requests in progress may still use the connection of an agent that left the subset.
        const drop = () => {
            if (!watches.has(address)) connections.drop(address);
        };
        setTimeout(drop, DROP_AFTER_MS).unref();
    }

    function usable(service: string, at: number): KnownAgent[] {
        const found: KnownAgent[] = [];
        for (const watch of watches.values()) {
            const { address, state, sentAt } = watch;
            if (state?.service !== service || trust(watch, at) !== "usable") continue;
            found.push({ address, state, sentSinceReport: sentAt.length });
        }
        return found;
    }

    function health(address: string, at: number): Trust {
        const watch = watches.get(address);
        return watch === undefined ? "silent" : trust(watch, at);
    }

    function recordSent(address: string, at: number): void {
        watches.get(address)?.sentAt.push(at);
    }

    function all(at: number): AgentReport[] {
        return [...watches.values()].map(({ address, evidence, state }) => {
            return { address, state, ageMs: at - (evidence.heardAt ?? 0) };
        });
    }

    function ready(at: number): boolean {
        if (membership.current().length === 0 || (isChoosing && chosen.size === 0)) return false;
        return [...watches.values()].every(({ state, startedAt }) => {
            return state !== undefined || at - startedAt > SILENT_AFTER_MS;
        });
    }

    function stop(): void {
        clearInterval(timer);
        for (const { call } of watches.values()) call?.cancel();
    }

    const timer = setInterval(reconcile, RECONCILE_MS);
    const lastBusy = (service: string, digest: string) => busyAt.get(`${service} ${digest}`) ?? 0;
    return { usable, health, recordSent, all, lastBusy, ready, stop };
}

/**
 * Returns the addresses of an entry's agents. A pool's part of the subset follows its size. Other work runs
 * between the steps of the assignment, which together take a few hundred milliseconds in a large system.
 */
async function chooseAgents(
    vms: readonly Vm[],
    agents: readonly Vm[],
    own: { process: string; failureDomain: string; },
): Promise<Set<string>> {
    const others = vms.filter(vm => vm.role === "entry" && vm.state === "live" && vm.name !== own.process);
    const entries = [...others, { name: own.process, failureDomain: own.failureDomain }];
    const addresses = new Set<string>();
    for (const service of new Set(agents.map(agent => agent.service))) {
        const pool = agents.filter(vm => vm.service === service);
        const size = Math.max(SMALLEST_POOL_SUBSET, Math.ceil(SUBSET_SIZE * pool.length / agents.length));
        const steps = assignInSteps(entries, pool.map(byAddress), size);
        let step = steps.next();
        while (step.done !== true) {
            await setImmediate();
            step = steps.next();
        }
        for (const address of step.value.get(own.process) ?? []) addresses.add(address);
    }
    return addresses;
}

function liveAgents(vms: readonly Vm[]): Vm[] {
    return vms.filter(vm => vm.role === "agent" && vm.state === "live");
}

function byAddress({ address, failureDomain }: Vm): SubsetMember {
    return { name: address, failureDomain };
}
