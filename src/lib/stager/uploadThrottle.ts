/**
 * Limits the rate at which pieces are sent to other agents. The engine's response streams use the same link, and stream
 * events queued behind pieces reach their callers late. Few pieces are sent at once, so that the first receiver can
 * forward its piece while the next one is being sent.
 */
import type { IncomingMessage } from "node:http";
import type { Writable } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { createTokenBucket } from "../core/index.js";

export interface UploadThrottle {
    /** Writes the bytes and ends the stream. Destroys the stream if the receiver stops reading. */
    send(bytes: Buffer, sink: Writable): Promise<void>;
}

/** Fraction of a VM's uplink for pieces. Streams of a busy engine take about a sixth; the rest absorbs bursts. */
export const UPLINK_FRACTION = 0.72;

/** Fraction of a VM's downlink for pieces; only prompts use the rest. */
export const DOWNLINK_FRACTION = 0.85;

/** Bytes written at once: about 6 ms on the slowest link, well below the tolerated delay of a stream event. */
const SLICE_BYTES = 4096;

const MAX_CONCURRENT_UPLOADS = 2;

/** Rate for a receiver that doesn't request one. */
const DEFAULT_RATE_MBPS = 1;

/** A receiver that reads nothing for this long is disconnected, which frees its upload slot. */
const DRAIN_TIMEOUT_MS = 1500;

/** More than the receivers that ask for pieces at the same time; the one that asked least recently is forgotten. */
const MAX_RECEIVERS = 1024;

/** Creates a throttle that limits the total rate of all uploads through it to `rateMbps`. */
export function createUploadThrottle(rateMbps: number): UploadThrottle {
    const bytesPerSecond = rateMbps * 1e6 / 8;
    const bucket = createTokenBucket({ ratePerSecond: bytesPerSecond, burst: SLICE_BYTES });
    const queuedUploads: (() => void)[] = [];
    let activeCount = 0;

    async function send(bytes: Buffer, sink: Writable): Promise<void> {
        if (activeCount >= MAX_CONCURRENT_UPLOADS) await new Promise<void>(resolve => queuedUploads.push(resolve));
        else activeCount++;
        try {
            for (let start = 0; start < bytes.length && !sink.destroyed; start += SLICE_BYTES) {
                const slice = bytes.subarray(start, start + SLICE_BYTES);
                const delayMs = bucket.reserve(slice.length, performance.now());
                if (delayMs >= 1) await sleep(delayMs);
                if (!sink.write(slice)) await waitForDrain(sink);
            }
            sink.end();
        }
        finally {
            // Hands the slot to the next queued upload directly, so that a new upload can't take it first.
            const startNext = queuedUploads.shift();
            if (startNext === undefined) activeCount--;
            else startNext();
        }
    }

    return { send };
}

/**
 * Returns a function that gives each receiver's IP address a throttle of its own, at the rate in the `rate` query
 * parameter of its first request.
 */
export function createReceiverThrottles(): (request: IncomingMessage) => UploadThrottle {
    const throttles = new Map<string, UploadThrottle>();
    return ({ url, socket }) => {
        const receiver = socket.remoteAddress ?? "";
        let throttle = throttles.get(receiver);
        if (throttle === undefined) {
            const rateMbps = Number(new URL(url ?? "/", "http://peer").searchParams.get("rate"));
            throttle = createUploadThrottle(rateMbps > 0 ? rateMbps : DEFAULT_RATE_MBPS);
        }
        throttles.delete(receiver);
        throttles.set(receiver, throttle);
        if (throttles.size > MAX_RECEIVERS) {
            const [leastRecent = ""] = throttles.keys();
            throttles.delete(leastRecent);
        }
        return throttle;
    };
}

async function waitForDrain(sink: Writable): Promise<void> {
    await new Promise<void>(resolve => {
        const finish = () => {
            clearTimeout(timer);
            sink.off("drain", finish);
            sink.off("close", finish);
            resolve();
        };
        const timer = setTimeout(() => {
            sink.destroy();
            finish();
        }, DRAIN_TIMEOUT_MS);
        sink.on("drain", finish);
        sink.on("close", finish);
    });
}
