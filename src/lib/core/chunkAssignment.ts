/**
 * Assigns each chunk to the VM of a region that fetches it from outside the region. Every VM computes the same
 * assignment from the same list of VMs, without a lease or a coordinator. If the lists differ, a chunk may be
 * fetched twice, which costs bandwidth but doesn't affect correctness.
 */
import type { Digest } from "./manifest.js";
import { firstMember, orderMembers, positionOf } from "./rendezvous.js";

/** A VM that takes part in the transfer of a version. */
export interface Participant {
    readonly name: string;
    readonly region: string;
}

export interface ChunkAssignment {
    /** Position of the VM in its region's order for the chunk: 0 fetches at once, others take over after a delay. */
    readonly position: number;
    /** VMs in other regions, in the order in which to ask them. The origin is asked after all of them. */
    readonly sources: readonly string[];
    /**
     * VMs in regions that receive the chunk after this one. They are asked after the origin, when neither the
     * earlier regions nor the origin can be reached.
     */
    readonly fallbackSources: readonly string[];
}

/** Delay after which the next VM in the order takes over; several times the typical transfer time of one chunk. */
export const TAKEOVER_DELAY_MS = 1500;

/** Upper bound of the random delay that keeps VMs from taking over at the same time. */
export const MAX_TAKEOVER_JITTER_MS = 500;

/** Maximum number of takeover delays that a VM waits, which limits the wait of the last VM of a large region. */
export const MAX_TAKEOVER_STEPS = 8;

/** Returns the regions in the order in which a chunk is passed on between them; the origin's region is first. */
export function orderRegions(chunk: Digest, originRegion: string, regions: readonly string[]): string[] {
    const distinct = [...new Set(regions)];
    const otherRegions = orderMembers(chunk, distinct.filter(region => region !== originRegion));
    return distinct.includes(originRegion) ? [originRegion, ...otherRegions] : otherRegions;
}

/**
 * Returns a function that computes the assignment of `self` for a chunk. `vms` includes `self`. Each call hashes
 * every VM, so call it once for each chunk and list of VMs.
 */
export function createChunkAssigner(
    self: Participant,
    vms: readonly Participant[],
    originRegion: string,
): (chunk: Digest) => ChunkAssignment {
    const namesByRegion = new Map<string, string[]>();
    for (const { name, region } of vms) {
        const regionNames = namesByRegion.get(region);
        if (regionNames === undefined) namesByRegion.set(region, [name]);
        else regionNames.push(name);
    }
    const allRegions = [...namesByRegion.keys()];

    return chunk => {
        const position = Math.max(0, positionOf(chunk, self.name, namesByRegion.get(self.region) ?? []));
        const regions = orderRegions(chunk, originRegion, allRegions);
        const ownIndex = Math.max(0, regions.indexOf(self.region));
        const firstVmOfEach = (regionList: readonly string[]) => {
            return regionList.flatMap(region => firstMember(chunk, namesByRegion.get(region) ?? []) ?? []);
        };
        return {
            position,
            sources: firstVmOfEach(regions.slice(0, ownIndex).reverse()),
            fallbackSources: firstVmOfEach(regions.slice(ownIndex + 1)),
        };
    };
}

/**
 * Returns how many milliseconds the VM at the given position waits without any progress in its region before it
 * fetches the chunk itself. `stepMs` is the delay for each VM with an earlier position; `random` is in [0, 1).
 */
export function takeoverDelayMs(position: number, random: number, stepMs = TAKEOVER_DELAY_MS): number {
    if (position === 0) return 0;
    return Math.min(position, MAX_TAKEOVER_STEPS) * stepMs + random * MAX_TAKEOVER_JITTER_MS;
}
