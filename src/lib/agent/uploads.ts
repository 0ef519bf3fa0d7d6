/** Sends chunks to other VMs: bounded in number, at the rate of the links, from verified content only. */
import { setTimeout as sleep } from "node:timers/promises";
import type { PlacedChunk } from "../core/index.js";
import type { ReadChunkRequest } from "../rpc/index.js";
import type { ChunkStore } from "./chunkStore.js";
import type { HeldVersion, HeldVersions } from "./heldVersions.js";
import { type LinkLimiter, PIECE_BYTES } from "./linkLimiter.js";

export interface UploadSink {
    /** Returns false if the next write should wait for `onDrain`. */
    write(data: Buffer): boolean;
    onDrain(listener: () => void): void;
    readonly signal: AbortSignal;
}

export interface Uploads {
    /** Sends the chunk, or returns the reason for not doing so. */
    send(request: ReadChunkRequest, sink: UploadSink): Promise<"busy" | "unknown" | undefined>;
}

export interface UploadsOptions {
    readonly heldVersions: HeldVersions;
    readonly store: ChunkStore;
    readonly linkLimiter: LinkLimiter;
    readonly regionOf: (process: string) => string;
}

/**
 * Chunks are sent nearly one after the other: the first receiver can pass its chunk on while the next one
 * is being sent. The second place covers the time in which a chunk is read and its last piece is taken.
 */
const MAX_CONCURRENT_SENDS = 2;

/** With more uploads in progress, the last would wait long enough to look stalled on a small link. */
const MAX_UPLOADS = 4;

/** Requests that wait for a chunk hold no content, only a listener. */
const MAX_WAITING_REQUESTS = 512;
const MAX_CHUNK_WAIT_MS = 10_000;

/** A receiver that takes nothing for this long gives its place to another. */
const DRAIN_TIMEOUT_MS = 10_000;

export function createUploads({ heldVersions, store, linkLimiter, regionOf }: UploadsOptions): Uploads {
    const slotWaiters: (() => void)[] = [];
    let uploadCount = 0;
    let sendingCount = 0;
    let waitingCount = 0;

    async function send(request: ReadChunkRequest, sink: UploadSink): Promise<"busy" | "unknown" | undefined> {
        const found = await findHeld(request) ?? await waitForChunk(request, sink.signal);
        if (found === undefined) return "unknown";
        if (uploadCount >= MAX_UPLOADS) return "busy";
        uploadCount++;
        try {
            return await runInSendSlot(() => sendChunk(found.version, found.chunk, regionOf(request.process), sink));
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
            const next = slotWaiters.shift();
            // The place passes to the next upload, so that a new request can't take it first.
            if (next === undefined) sendingCount--;
            else next();
        }
    }

    async function findHeld({ rootDigest, chunkDigest }: ReadChunkRequest) {
        const version = await heldVersions.find(rootDigest);
        const chunk = version?.find(chunkDigest);
        return version !== undefined && chunk !== undefined && version.isHeld(chunk.index) ?
            { version, chunk } :
            undefined;
    }

    async function waitForChunk(request: ReadChunkRequest, signal: AbortSignal) {
        if (request.waitMs === 0 || waitingCount >= MAX_WAITING_REQUESTS) return undefined;
        waitingCount++;
        const done = new AbortController();
        const combinedSignal = AbortSignal.any([signal, done.signal]);
        const unwatch = heldVersions.watch(request.rootDigest, () => {
            void findHeld(request).then(found => found && done.abort());
        });
        try {
            // The chunk may have arrived between the first look and the start of the watch.
            if (await findHeld(request) === undefined) {
                await sleep(Math.min(request.waitMs, MAX_CHUNK_WAIT_MS), undefined, { signal: combinedSignal });
            }
        }
        catch {
            // The wait ended early, because the chunk is here or the caller has left.
        }
        finally {
            unwatch();
            waitingCount--;
        }
        return findHeld(request);
    }

    async function sendChunk(version: HeldVersion, chunk: PlacedChunk, region: string, sink: UploadSink) {
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
        const timer = setTimeout(() => reject(new Error("the receiver takes no data")), DRAIN_TIMEOUT_MS);
        const done = () => {
            clearTimeout(timer);
            resolve();
        };
        sink.onDrain(done);
        sink.signal.addEventListener("abort", done, { once: true });
    });
}
