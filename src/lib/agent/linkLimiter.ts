/** Rate limits of this VM's weight traffic, shared by all its transfers and uploads. */
import { setTimeout as sleep } from "node:timers/promises";
import { createTokenBucket, type TokenBucket } from "../core/index.js";
import type { AgentSettings } from "../settings/index.js";

export interface LinkLimiter {
    /** Waits until received bytes fit the rates. `region` is the sender's region. */
    throttleReceive(bytes: number, region: string): Promise<void>;
    /** Waits until bytes may be sent to a VM in `region`. */
    throttleSend(bytes: number, region: string): Promise<void>;
}

/** Size of the pieces in which chunks are sent; the rates are applied to each piece. */
export const PIECE_BYTES = 64 * 1024;

/** Covers timers that fire late on a busy VM; with a smaller burst the rate is not reached. */
const BURST_BYTES = 4 * PIECE_BYTES;

/** Shorter waits are left to the next piece, because timers are not more precise. */
const MIN_SLEEP_MS = 1;

export function createLinkLimiter(settings: AgentSettings["links"], ownRegion: string, now: () => number): LinkLimiter {
    // Bursts on the slow link between regions would hold up control and live traffic.
    const createBucket = (ratePerSecond: number, burst = BURST_BYTES) => createTokenBucket({ ratePerSecond, burst });
    const inbound = createBucket(settings.inBytesPerSecond);
    const outbound = createBucket(settings.outBytesPerSecond);
    const fromRegions = new Map<string, TokenBucket>();
    const toRegions = new Map<string, TokenBucket>();

    async function throttle(direction: TokenBucket, regions: Map<string, TokenBucket>, bytes: number, region: string) {
        let wait = direction.take(bytes, now());
        if (region !== ownRegion) {
            const link = regions.get(region) ?? createBucket(settings.regionBytesPerSecond, PIECE_BYTES);
            regions.set(region, link);
            wait = Math.max(wait, link.take(bytes, now()));
        }
        if (wait >= MIN_SLEEP_MS) await sleep(wait);
    }

    return {
        throttleReceive: (bytes, region) => throttle(inbound, fromRegions, bytes, region),
        throttleSend: (bytes, region) => throttle(outbound, toRegions, bytes, region),
    };
}
