/** Types of the administration API's status document, and functions that derive a replica's progress from it. */
import type { AgentState, TransferState } from "../rpc/index.js";

export interface EntryStatus {
    readonly process: string;
    readonly configurationRevision: number;
    readonly configurationAgeMs: number;
    readonly requestsInProgress: number;
    /** Absent in the status of an entry that runs a version of the program that doesn't know evacuations. */
    readonly evacuatedDomains?: readonly EvacuatedDomain[];
}

export interface EvacuatedDomain {
    readonly failureDomain: string;
    readonly agents: number;
    readonly requestsInProgress: number;
}

export interface SystemStatus extends EntryStatus {
    readonly agents: readonly {
        readonly address: string;
        /** Absent until the agent's first state report. */
        readonly state?: AgentState;
        readonly ageMs: number;
    }[];
    readonly entries: readonly {
        readonly process: string;
        readonly address: string;
        readonly status: EntryStatus;
    }[];
    readonly unreachable: readonly {
        readonly process: string;
        readonly address: string;
        readonly reason: string;
    }[];
}

/** Returns the evacuated failure domains with the requests in progress there of all entries that replied. */
export function sumEvacuatedDomains({ evacuatedDomains = [], entries }: SystemStatus): EvacuatedDomain[] {
    return evacuatedDomains.map(domain => {
        const others = entries.flatMap(({ status }) => status.evacuatedDomains ?? [])
            .filter(({ failureDomain }) => failureDomain === domain.failureDomain);
        const requestsInProgress = others.reduce((sum, other) => sum + other.requestsInProgress, 0);
        return { ...domain, requestsInProgress: domain.requestsInProgress + requestsInProgress };
    });
}

/** Returns whether an agent's failure domain is evacuated. */
export function isInEvacuatedDomain({ evacuatedDomains = [] }: EntryStatus, state: AgentState): boolean {
    return evacuatedDomains.some(({ failureDomain }) => failureDomain === state.failureDomain);
}

/** Returns the phase of an agent's latest version change. */
export function replicaPhase(state: AgentState): string {
    if (state.kind === "plain") return "ready";
    const transfer = state.transfers[0];
    if (state.servingDigest !== "" && (transfer === undefined || transfer.rootDigest === state.servingDigest)) {
        return "serving";
    }
    return transfer?.phase ?? "waiting";
}

/** Returns the bytes that a transfer received from the origin and from peers. */
export function bytesReceived(transfer: TransferState): number {
    const { bytesFromOrigin, bytesFromDomain, bytesFromRegion, bytesFromOtherRegions } = transfer;
    return bytesFromOrigin + bytesFromDomain + bytesFromRegion + bytesFromOtherRegions;
}
