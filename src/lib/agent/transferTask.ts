/** Defines the interface between a transfer and its strategy. */
import VError from "verror";
import type { ObjectStore, Vm } from "../clients/index.js";
import type { DistinctChunk } from "../core/index.js";
import type { EventRecorder } from "../node/index.js";
import type { Connections } from "../rpc/index.js";
import type { AgentSettings } from "../settings/index.js";
import type { ChunkResult, ChunkSources } from "./chunkSources.js";
import type { ChunkStore } from "./chunkStore.js";
import type { HeldVersion, HeldVersions } from "./heldVersions.js";

/** Dependencies that all transfers of an agent share. */
export interface TransferEnvironment {
    readonly settings: AgentSettings;
    readonly store: ChunkStore;
    readonly heldVersions: HeldVersions;
    readonly sources: ChunkSources;
    readonly weightStore: ObjectStore;
    readonly connections: Connections;
    readonly events: EventRecorder;
    /** Agents of the same service in all regions, without this one. */
    readonly peers: () => readonly Vm[];
    readonly now: () => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}

/** One transfer, passed to its strategy. */
export interface TransferTask {
    readonly environment: TransferEnvironment;
    readonly version: HeldVersion;
    readonly signal: AbortSignal;
    /** Counts the received bytes and stores the chunk if its content is set. `vm` is `undefined` for the origin. */
    acceptChunk(chunk: DistinctChunk, result: ChunkResult, vm: Vm | undefined): Promise<void>;
}

export type TransferStrategy = (task: TransferTask) => Promise<void>;

export function transferError(format: string, ...args: unknown[]): VError {
    return new VError({ name: "TransferError" }, format, ...args);
}
