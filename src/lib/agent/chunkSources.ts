/** Reads single chunks from other agents or the origin within the link rate limits, and verifies them. */
import type { ClientReadableStream } from "@grpc/grpc-js";
import { chunkKey, type ObjectStore, type Vm } from "../clients/index.js";
import { createByteCollector, type Digest, digestOf, type DistinctChunk, RequestOutcome } from "../core/index.js";
import type { ChunkPiece, Connections } from "../rpc/index.js";
import type { LinkLimiter } from "./linkLimiter.js";

/** `content` is set only if the outcome is `held`; `bytes` counts all received bytes. */
export interface ChunkResult {
    readonly outcome: RequestOutcome;
    readonly bytes: number;
    readonly content?: Buffer;
}

export interface ChunkSources {
    /** `waitMs` is how long the other agent may wait for the chunk if it doesn't have it yet. */
    readFromPeer(vm: Vm, rootDigest: Digest, chunk: DistinctChunk, waitMs: number, signal: AbortSignal): Promise<
        ChunkResult
    >;
    readFromOrigin(chunk: DistinctChunk, signal: AbortSignal): Promise<ChunkResult>;
}

export interface ChunkSourcesOptions {
    readonly process: string;
    readonly connections: Connections;
    readonly weightStore: ObjectStore;
    readonly weightStoreRegion: string;
    readonly linkLimiter: LinkLimiter;
}

/** A source is stalled if it sends nothing for this long. A busy sender's share of its link causes far shorter gaps. */
const STALL_TIMEOUT_MS = 2000;

export function createChunkSources(options: ChunkSourcesOptions): ChunkSources {
    const { linkLimiter, weightStore } = options;

    async function readFromPeer(
        vm: Vm,
        rootDigest: Digest,
        chunk: DistinctChunk,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<ChunkResult> {
        const call = options.connections.agent(vm.address).readChunk({
            process: options.process,
            rootDigest,
            chunkDigest: chunk.digest,
            waitMs,
        });
        const cancel = () => call.cancel();
        signal.addEventListener("abort", cancel, { once: true });
        try {
            return await receiveChunk(readPieces(call), chunk, vm.region, waitMs, signal);
        }
        finally {
            signal.removeEventListener("abort", cancel);
            call.cancel();
        }
    }

    async function readFromOrigin(chunk: DistinctChunk, signal: AbortSignal): Promise<ChunkResult> {
        const requestController = new AbortController();
        try {
            const combinedSignal = AbortSignal.any([signal, requestController.signal]);
            const response = await weightStore.open(chunkKey(chunk.digest), combinedSignal);
            return await receiveChunk(response as AsyncIterable<Buffer>, chunk, options.weightStoreRegion, 0, signal);
        }
        catch {
            return { outcome: signal.aborted ? RequestOutcome.cancelled : RequestOutcome.failed, bytes: 0 };
        }
        finally {
            requestController.abort();
        }
    }

    async function receiveChunk(
        pieces: AsyncIterable<Buffer | RequestOutcome>,
        chunk: DistinctChunk,
        region: string,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<ChunkResult> {
        const received = createByteCollector();
        let bytes = 0;
        const iterator = pieces[Symbol.asyncIterator]();
        try {
            for (let timeoutMs = STALL_TIMEOUT_MS + waitMs;; timeoutMs = STALL_TIMEOUT_MS) {
                const step = await withTimeout(iterator.next(), timeoutMs);
                if (step === undefined) return { outcome: RequestOutcome.stalled, bytes };
                if (step.done === true) break;
                if (typeof step.value === "string") return { outcome: step.value, bytes };
                bytes += step.value.length;
                if (bytes > chunk.size) return { outcome: RequestOutcome.corrupt, bytes };
                received.append(step.value);
                await linkLimiter.throttleReceive(step.value.length, region);
            }
        }
        catch {
            return { outcome: signal.aborted ? RequestOutcome.cancelled : RequestOutcome.failed, bytes };
        }
        if (signal.aborted) return { outcome: RequestOutcome.cancelled, bytes };
        const content = received.take();
        if (digestOf(content) !== chunk.digest) return { outcome: RequestOutcome.corrupt, bytes };
        return { outcome: RequestOutcome.held, bytes, content };
    }

    return { readFromPeer, readFromOrigin };
}

async function* readPieces(call: ClientReadableStream<ChunkPiece>): AsyncGenerator<Buffer | RequestOutcome> {
    for await (const piece of call as AsyncIterable<ChunkPiece>) {
        if (piece.refusal === "") yield piece.data;
        else yield piece.refusal === "busy" ? RequestOutcome.busy : RequestOutcome.unknown;
    }
}

/** Resolves to `undefined` if the promise hasn't settled within the timeout. */
async function withTimeout<T>(promise: Promise<T>, timeoutMs: number): Promise<T | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const expired = new Promise<undefined>(resolve => timer = setTimeout(resolve, timeoutMs, undefined));
    // After a timeout nothing awaits the promise. Its later rejection must not end the process as unhandled.
    promise.catch(() => undefined);
    try {
        return await Promise.race([promise, expired]);
    }
    finally {
        clearTimeout(timer);
    }
}
