/**
 * Rendezvous hashing: every process that knows the same members computes the same order of members for
 * a key, and losing a member moves only the keys that it was first for.
 */
import { createHash } from "node:crypto";

const WEIGHT_BYTES = 6;

/** Returns the members in order of preference for the key. Equal inputs give equal orders everywhere. */
export function rankMembers(key: string, members: readonly string[]): string[] {
    return members
        .map(member => ({ member, weight: weightOf(key, member) }))
        .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
        .map(({ member }) => member);
}

/** Returns the position of a member in the order for the key, or -1 if it isn't a member. */
export function rankOf(key: string, member: string, members: readonly string[]): number {
    if (!members.includes(member)) return -1;
    const own = weightOf(key, member);
    return members.filter(other => {
        const weight = weightOf(key, other);
        return weight > own || (weight === own && other < member);
    }).length;
}

function weightOf(key: string, member: string): number {
    return createHash("sha256").update(key).update("\0").update(member).digest().readUIntBE(0, WEIGHT_BYTES);
}
