/**
 * Decides which VM of a region fetches a chunk from outside the region. Every VM computes the same answer
 * from the same list of VMs, without a lease or a coordinator. When lists differ, a chunk is fetched
 * twice, which costs bandwidth but never affects correctness.
 */
import type { Digest } from "./manifest.js";
import { firstMember, rankMembers, rankOf } from "./rendezvous.js";

/** A VM that wants the version. */
export interface Participant {
    readonly name: string;
    readonly region: string;
}

export interface ChunkAssignment {
    /** Position of the VM in its region's order for the chunk; 0 fetches at once, the others take over. */
    readonly rank: number;
    /** VMs in other regions to ask in this order. The origin comes after all of them. */
    readonly sources: readonly string[];
    /**
     * VMs in regions that get the chunk later. They help a VM that reaches neither the regions before its own nor
     * the origin, and come after it.
     */
    readonly lateSources: readonly string[];
}

/** Pause after which the next VM in the order takes over: several times the usual time of one chunk. */
export const TAKEOVER_DELAY_MS = 1500;

/** Spreads VMs whose takeover falls due together. */
export const TAKEOVER_JITTER_MS = 500;

/** Bounds the wait of the last VM of a large region. */
export const MAX_TAKEOVER_STEPS = 8;

/** Returns the regions in the order in which a chunk reaches them; the origin's region is first. */
export function orderRegions(chunk: Digest, originRegion: string, regions: readonly string[]): string[] {
    const distinct = [...new Set(regions)];
    const others = rankMembers(chunk, distinct.filter(region => region !== originRegion));
    return distinct.includes(originRegion) ? [originRegion, ...others] : others;
}

/**
 * Returns a function that gives the part of `self` in fetching a chunk. `vms` includes `self`. The function
 * weighs every VM once, so it is called once for each chunk and list of VMs.
 */
export function createChunkAssigner(
    self: Participant,
    vms: readonly Participant[],
    originRegion: string,
): (chunk: Digest) => ChunkAssignment {
    const names = new Map<string, string[]>();
    for (const { name, region } of vms) {
        const known = names.get(region);
        if (known === undefined) names.set(region, [name]);
        else known.push(name);
    }
    const all = [...names.keys()];

    return chunk => {
        const rank = Math.max(0, rankOf(chunk, self.name, names.get(self.region) ?? []));
        const regions = orderRegions(chunk, originRegion, all);
        const own = Math.max(0, regions.indexOf(self.region));
        const firstsOf = (list: readonly string[]) => {
            return list.flatMap(region => firstMember(chunk, names.get(region) ?? []) ?? []);
        };
        return {
            rank,
            sources: firstsOf(regions.slice(0, own).reverse()),
            lateSources: firstsOf(regions.slice(own + 1)),
        };
    };
}

/**
 * Returns how long the VM at `rank` waits without any progress in its region before it fetches the chunk
 * itself, in milliseconds. `random` is in [0, 1). `stepMs` is the wait for one VM.
 */
export function takeoverDelayMs(rank: number, random: number, stepMs = TAKEOVER_DELAY_MS): number {
    if (rank === 0) return 0;
    return Math.min(rank, MAX_TAKEOVER_STEPS) * stepMs + random * TAKEOVER_JITTER_MS;
}
