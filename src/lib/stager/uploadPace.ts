/**
 * Sends pieces to other agents at a part of the link's rate. The engine's streams leave through the same link, and
 * events that wait behind pieces reach their callers late. Pieces go nearly one after the other, so that the first
 * receiver can pass its piece on while the next one is being sent.
 */
import type { IncomingMessage } from "node:http";
import type { Writable } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { createTokenBucket } from "../core/index.js";

export interface UploadPace {
    /** Writes the bytes and ends the stream; gives up if the receiver takes nothing. */
    send(bytes: Buffer, sink: Writable): Promise<void>;
}

/** Part of a VM's uplink for pieces; streams of a busy engine take about a sixth, and bursts need room. */
export const UPLINK_SHARE = 0.72;

/** Part of a VM's downlink for pieces; only prompts share it. */
export const DOWNLINK_SHARE = 0.85;

/** Bytes written at once: about 6 ms of the narrowest link, well below the time by which an event may be late. */
const SLICE_BYTES = 4096;

const MAX_SENDING = 2;

/** Rate of a receiver that names none. */
const MIN_RATE_MBPS = 1;

/** A receiver that takes nothing for this long gives its place to another. */
const DRAIN_TIMEOUT_MS = 1500;

/** `rateMbps` is the rate at which pieces may leave. */
export function createUploadPace(rateMbps: number): UploadPace {
    const bytesPerSecond = rateMbps * 1e6 / 8;
    const bucket = createTokenBucket({ ratePerSecond: bytesPerSecond, burst: SLICE_BYTES });
    const queue: (() => void)[] = [];
    let sending = 0;

    async function send(bytes: Buffer, sink: Writable): Promise<void> {
        if (sending >= MAX_SENDING) await new Promise<void>(resolve => queue.push(resolve));
        else sending++;
        try {
            for (let start = 0; start < bytes.length && !sink.destroyed; start += SLICE_BYTES) {
                const slice = bytes.subarray(start, start + SLICE_BYTES);
                const wait = bucket.take(slice.length, performance.now());
                if (wait >= 1) await sleep(wait);
                if (!sink.write(slice)) await untilDrained(sink);
            }
            sink.end();
        }
        finally {
            // The place passes to the next upload, so that a new one can't take it first.
            const next = queue.shift();
            if (next === undefined) sending--;
            else next();
        }
    }

    return { send };
}

/** Returns the pace of a receiver, which names its rate in the request's query; each address has its own. */
export function createReceiverPaces(): (request: IncomingMessage) => UploadPace {
    const paces = new Map<string, UploadPace>();
    return ({ url, socket }) => {
        const receiver = socket.remoteAddress ?? "";
        let pace = paces.get(receiver);
        if (pace === undefined) {
            const rate = Number(new URL(url ?? "/", "http://peer").searchParams.get("rate"));
            pace = createUploadPace(rate > 0 ? rate : MIN_RATE_MBPS);
            paces.set(receiver, pace);
        }
        return pace;
    };
}

async function untilDrained(sink: Writable): Promise<void> {
    await new Promise<void>(resolve => {
        const done = () => {
            clearTimeout(timer);
            sink.off("drain", done);
            sink.off("close", done);
            resolve();
        };
        const timer = setTimeout(() => {
            sink.destroy();
            done();
        }, DRAIN_TIMEOUT_MS);
        sink.on("drain", done);
        sink.on("close", done);
    });
}
