/** Types of the administration API's status document, and functions that derive a replica's progress from it. */
import type { AgentState, TransferState } from "../rpc/index.js";

export interface EntryStatus {
    readonly process: string;
    readonly configurationRevision: number;
    readonly configurationAgeMs: number;
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
