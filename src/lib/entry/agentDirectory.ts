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

/** A request that was sent so shortly before a report is probably not counted in it. */
const REPORT_DELAY_MS = 50;

export interface KnownAgent {
    readonly address: string;
    readonly state: AgentState;
    /** Own requests that the last report can't contain yet. */
    readonly sentSinceReport: number;
}

export type AgentHealth = "usable" | "leaving" | "silent";

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
    health(address: string, now: number): AgentHealth;
    /** Counts a request that is sent to an agent now. */
    recordSent(address: string, now: number): void;
    /** Every agent in the list with the age of its last state message, for the status report. */
    all(now: number): AgentReport[];
    /** Tells whether every listed agent has reported or has had the time to. False until the list is known. */
    ready(now: number): boolean;
    stop(): void;
}

interface Watch {
    readonly call: ClientReadableStream<AgentState>;
    readonly startedAt: number;
    /** False once the list of VMs calls the agent leaving or no longer contains it. */
    listed: boolean;
    state: AgentState | undefined;
    receivedAt: number;
    sentAt: number[];
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

    function reconcile(): void {
        const listed = membership.current().filter(vm => vm.role === "agent" && vm.state === "live");
        const addresses = new Set(listed.map(vm => vm.address));
        for (const address of addresses) if (!watches.has(address)) watch(address);
        for (const [address, known] of watches) known.listed = addresses.has(address);
        for (const [address, known] of watches) if (!known.listed && isSilent(known, now())) forget(address);
    }

    function isSilent({ receivedAt, startedAt }: Watch, at: number): boolean {
        return at - Math.max(receivedAt, startedAt) > STATE_TIMEOUT_MS;
    }

    function watch(address: string): void {
        const call = connections.agent(address).watchState({ process: options.process });
        const entry: Watch = { call, startedAt: now(), listed: true, state: undefined, receivedAt: 0, sentAt: [] };
        watches.set(address, entry);
        call.on("data", (state: AgentState) => {
            entry.state = state;
            entry.receivedAt = now();
            entry.sentAt = entry.sentAt.filter(sentAt => sentAt > entry.receivedAt - REPORT_DELAY_MS);
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

    /** An agent that leaves is watched until it is silent, because it still finishes its requests. */
    function forget(address: string): void {
        watches.get(address)?.call.cancel();
        watches.delete(address);
        connections.drop(address);
    }

    function usable(service: string, at: number): KnownAgent[] {
        const found: KnownAgent[] = [];
        for (const [address, { state, sentAt }] of watches) {
            if (state === undefined || state.service !== service || health(address, at) !== "usable") continue;
            found.push({ address, state, sentSinceReport: sentAt.length });
        }
        return found;
    }

    function health(address: string, at: number): AgentHealth {
        const known = watches.get(address);
        if (known?.state === undefined || at - known.receivedAt > STATE_TIMEOUT_MS) return "silent";
        return known.state.leaving || !known.listed ? "leaving" : "usable";
    }

    function recordSent(address: string, at: number): void {
        watches.get(address)?.sentAt.push(at);
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
    return { usable, health, recordSent, all, ready, stop };
}
