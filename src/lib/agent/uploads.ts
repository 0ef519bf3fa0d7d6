/** Sends verified chunks to other VMs, within limits for the number of uploads and the link rates. */
import { setTimeout as sleep } from "node:timers/promises";
import type { DistinctChunk } from "../core/index.js";
import type { ReadChunkRequest } from "../rpc/index.js";
import type { ChunkStore } from "./chunkStore.js";
import type { HeldVersion, HeldVersions } from "./heldVersions.js";
import { type LinkLimiter, PIECE_BYTES } from "./linkLimiter.js";

export interface UploadSink {
    /** Returns false if the write buffer is full; wait for `onDrain` before the next write. */
    write(data: Buffer): boolean;
    onDrain(listener: () => void): void;
    readonly signal: AbortSignal;
}

export interface Uploads {
    /** Sends the chunk, or returns the reason for the refusal. */
    send(request: ReadChunkRequest, sink: UploadSink): Promise<"busy" | "unknown" | undefined>;
}

export interface UploadsOptions {
    readonly heldVersions: HeldVersions;
    readonly store: ChunkStore;
    readonly linkLimiter: LinkLimiter;
    readonly regionOf: (process: string) => string;
}

/**
 * Chunks are sent almost one after the other, so that the first receiver can already forward its chunk while the
 * next one is sent. The second slot uses the link while a chunk is read from disk or its last piece is received.
 */
const MAX_CONCURRENT_SENDS = 2;

/** Limit of accepted uploads. With more, the last one would wait so long on a slow link that it looks stalled. */
const MAX_UPLOADS = 4;

/** Limit of requests that wait for a chunk. It can be large, because they hold only a listener and no content. */
const MAX_WAITING_REQUESTS = 512;
const MAX_CHUNK_WAIT_MS = 10_000;

/** A receiver that reads nothing for this long loses its slot. */
const DRAIN_TIMEOUT_MS = 10_000;

export function createUploads({ heldVersions, store, linkLimiter, regionOf }: UploadsOptions): Uploads {
    const slotWaiters: (() => void)[] = [];
    let uploadCount = 0;
    let sendingCount = 0;
    let waitingCount = 0;

    async function send(request: ReadChunkRequest, sink: UploadSink): Promise<"busy" | "unknown" | undefined> {
        const heldChunk = await findHeldChunk(request) ?? await waitForChunk(request, sink.signal);
        if (heldChunk === undefined) return "unknown";
        if (uploadCount >= MAX_UPLOADS) return "busy";
        uploadCount++;
        try {
            return await runInSendSlot(() =>
                sendChunk(heldChunk.version, heldChunk.chunk, regionOf(request.process), sink)
            );
        }
        finally {
            uploadCount--;
        }
    }

    async function runInSendSlot<T>(upload: () => Promise<T>): Promise<T> {
        if (sendingCount >= MAX_CONCURRENT_SENDS) await new Promise<void>(resolve => slotWaiters.push(resolve));
        else sendingCount++;
        try {
            return await upload();
        }
        finally {
            const startNext = slotWaiters.shift();
            // The slot passes directly to the next upload, so that a new request can't take it first.
            if (startNext === undefined) sendingCount--;
            else startNext();
        }
    }

    async function findHeldChunk({ rootDigest, chunkDigest }: ReadChunkRequest) {
        const version = await heldVersions.find(rootDigest);
        const chunk = version?.find(chunkDigest);
        return version !== undefined && chunk !== undefined && version.isHeld(chunk.index) ?
            { version, chunk } :
            undefined;
    }

    async function waitForChunk(request: ReadChunkRequest, signal: AbortSignal) {
        if (request.waitMs === 0 || waitingCount >= MAX_WAITING_REQUESTS) return undefined;
        waitingCount++;
        const waitController = new AbortController();
        const combinedSignal = AbortSignal.any([signal, waitController.signal]);
        const unwatch = heldVersions.watch(request.rootDigest, () => {
            void findHeldChunk(request).then(found => found && waitController.abort());
        });
        try {
            // The chunk may have arrived between the first check and the start of the watch.
            if (await findHeldChunk(request) === undefined) {
                await sleep(Math.min(request.waitMs, MAX_CHUNK_WAIT_MS), undefined, { signal: combinedSignal });
            }
        }
        catch {
            // The wait ended early because the chunk has arrived or the request was cancelled.
        }
        finally {
            unwatch();
            waitingCount--;
        }
        return findHeldChunk(request);
    }

    async function sendChunk(version: HeldVersion, chunk: DistinctChunk, region: string, sink: UploadSink) {
        if (sink.signal.aborted) return undefined;
        const content = await store.read(version.rootDigest, chunk);
        if (content === undefined) {
            version.markMissing(chunk.index);
            return "unknown";
        }
        for (let offset = 0; offset < content.length; offset += PIECE_BYTES) {
            const piece = content.subarray(offset, offset + PIECE_BYTES);
            await linkLimiter.throttleSend(piece.length, region);
            if (sink.signal.aborted) return undefined;
            version.bytesSent += piece.length;
            if (!sink.write(piece)) await waitForDrain(sink);
        }
        return undefined;
    }

    return { send };
}

function waitForDrain(sink: UploadSink): Promise<void> {
    return new Promise((resolve, reject) => {
        const timer = setTimeout(() => reject(new Error("the receiver stopped reading")), DRAIN_TIMEOUT_MS);
        const onDrained = () => {
            clearTimeout(timer);
            resolve();
        };
        sink.onDrain(onDrained);
        sink.signal.addEventListener("abort", onDrained, { once: true });
    });
}
