/**
 * Watches the state of the agents in the platform's list. An agent counts as usable only while its own
 * state messages arrive; the list alone adds no trust.
 */
import type { ClientReadableStream } from "@grpc/grpc-js";
import type { MembershipTask } from "../node/index.js";
import { createLog } from "../observability/index.js";
import type { AgentState, Connections } from "../rpc/index.js";

const log = createLog("entry:directory");

/** An agent whose last state message is older than this is not used. */
const STATE_TIMEOUT_MS = 3000;

/** Pause between two comparisons of the watches with the list of VMs. */
const RECONCILE_MS = 250;

/** Versions whose last use is remembered; the oldest is forgotten first. */
const REMEMBERED_VERSIONS = 256;

export interface KnownAgent {
    readonly address: string;
    readonly state: AgentState;
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
    /** Every agent in the list with the age of its last state message, for the status report. */
    all(now: number): AgentReport[];
    /** Last time at which an agent of the pool reported work on a version; 0 if none did. */
    lastBusy(service: string, digest: string): number;
    /** Tells whether every listed agent has reported or has had the time to. False until the list is known. */
    ready(now: number): boolean;
    stop(): void;
}

interface Watch {
    readonly call: ClientReadableStream<AgentState>;
    readonly startedAt: number;
    state: AgentState | undefined;
    receivedAt: number;
}

export interface AgentDirectoryOptions {
    readonly process: string;
    readonly membership: MembershipTask;
    readonly connections: Connections;
    readonly now: () => number;
}

export function startAgentDirectory(options: AgentDirectoryOptions): AgentDirectory {
    const { connections, membership, now } = options;
    const watches = new Map<string, Watch>();
    const busyAt = new Map<string, number>();

    function reconcile(): void {
        const listed = membership.current().filter(vm => vm.role === "agent" && vm.state === "live");
        const addresses = new Set(listed.map(vm => vm.address));
        for (const address of addresses) if (!watches.has(address)) watch(address);
        for (const address of watches.keys()) if (!addresses.has(address)) forget(address);
    }

    function watch(address: string): void {
        const call = connections.agent(address).watchState({ process: options.process });
        const entry: Watch = { call, startedAt: now(), state: undefined, receivedAt: 0 };
        watches.set(address, entry);
        call.on("data", (state: AgentState) => {
            entry.state = state;
            entry.receivedAt = now();
            if (state.running + state.queued > 0) noteBusy(state.service, state.servingDigest);
        });
        const end = () => {
            if (watches.get(address) === entry) watches.delete(address);
        };
        call.on("error", error => {
            log.info("the watch of %s failed: %s", address, error.message);
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

    function forget(address: string): void {
        watches.get(address)?.call.cancel();
        watches.delete(address);
        connections.drop(address);
    }

    function usable(service: string, at: number): KnownAgent[] {
        const found: KnownAgent[] = [];
        for (const [address, { state, receivedAt }] of watches) {
            if (state === undefined || state.service !== service || state.leaving) continue;
            if (at - receivedAt <= STATE_TIMEOUT_MS) found.push({ address, state });
        }
        return found;
    }

    function all(at: number): AgentReport[] {
        return [...watches].map(([address, { state, receivedAt }]) => ({ address, state, ageMs: at - receivedAt }));
    }

    function ready(at: number): boolean {
        if (membership.current().length === 0) return false;
        return [...watches.values()].every(({ state, startedAt }) => {
            return state !== undefined || at - startedAt > STATE_TIMEOUT_MS;
        });
    }

    function stop(): void {
        clearInterval(timer);
        for (const { call } of watches.values()) call.cancel();
    }

    const timer = setInterval(reconcile, RECONCILE_MS);
    const lastBusy = (service: string, digest: string) => busyAt.get(`${service} ${digest}`) ?? 0;
    return { usable, all, lastBusy, ready, stop };
}
