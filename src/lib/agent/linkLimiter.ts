/** Limits the rates of this VM's weight traffic. The limits are shared by all transfers and uploads. */
import { setTimeout as sleep } from "node:timers/promises";
import { createTokenBucket, type TokenBucket } from "../core/index.js";
import type { AgentSettings } from "../settings/index.js";

export interface LinkLimiter {
    /** Waits until received bytes conform to the inbound rates. `region` is the sender's region. */
    throttleReceive(bytes: number, region: string): Promise<void>;
    /** Waits until the outbound rates permit sending the bytes to a VM in `region`. */
    throttleSend(bytes: number, region: string): Promise<void>;
}

/** Size of the pieces in which chunks are sent. The rates apply to each piece. */
export const PIECE_BYTES = 64 * 1024;

/** Covers timers that fire late on a busy VM. With a smaller burst the configured rate isn't reached. */
const BURST_BYTES = 4 * PIECE_BYTES;

/** Shorter waits are skipped and carried over to the next piece, because timers aren't more precise. */
const MIN_SLEEP_MS = 1;

export function createLinkLimiter(settings: AgentSettings["links"], ownRegion: string, now: () => number): LinkLimiter {
    // The links between regions use a smaller burst: larger ones would delay control and request traffic there.
    const createBucket = (ratePerSecond: number, burst = BURST_BYTES) => createTokenBucket({ ratePerSecond, burst });
    const inbound = createBucket(settings.inBytesPerSecond);
    const outbound = createBucket(settings.outBytesPerSecond);
    const inboundByRegion = new Map<string, TokenBucket>();
    const outboundByRegion = new Map<string, TokenBucket>();

    async function throttle(
        vmBucket: TokenBucket,
        regionBuckets: Map<string, TokenBucket>,
        bytes: number,
        region: string,
    ) {
        let waitMs = vmBucket.reserve(bytes, now());
        if (region !== ownRegion) {
            const regionBucket = regionBuckets.get(region) ?? createBucket(settings.regionBytesPerSecond, PIECE_BYTES);
            regionBuckets.set(region, regionBucket);
            waitMs = Math.max(waitMs, regionBucket.reserve(bytes, now()));
        }
        if (waitMs >= MIN_SLEEP_MS) await sleep(waitMs);
    }

    return {
        throttleReceive: (bytes, region) => throttle(inbound, inboundByRegion, bytes, region),
        throttleSend: (bytes, region) => throttle(outbound, outboundByRegion, bytes, region),
    };
}
