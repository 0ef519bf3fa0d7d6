/**
 * Rendezvous hashing. All processes with the same members compute the same order of members for a key, and the loss
 * of a member moves only the keys for which it was first.
 *
 * The hash is fast rather than cryptographic. An agent hashes every VM for every chunk of a version, which is
 * millions of hashes for a large rollout, and a maliciously chosen name could only attract more load.
 */
import MurmurHash3 from "imurmurhash";

/** Returns the members in order of preference for the key, independent of the input order. */
export function orderMembers(key: string, members: readonly string[]): string[] {
    const seed = seedOf(key);
    return members
        .map(member => ({ member, weight: weightOf(seed, member) }))
        .sort((a, b) => isBefore(a.weight, a.member, b.weight, b.member) ? -1 : 1)
        .map(({ member }) => member);
}

/** Returns the first member in the order for the key, or `undefined` if there are none. */
export function firstMember(key: string, members: readonly string[]): string | undefined {
    const seed = seedOf(key);
    let first: string | undefined;
    let firstWeight = 0;
    for (const member of members) {
        const weight = weightOf(seed, member);
        if (first !== undefined && !isBefore(weight, member, firstWeight, first)) continue;
        first = member;
        firstWeight = weight;
    }
    return first;
}

/** Returns the position of a member in the order for the key, or -1 if it isn't a member. */
export function positionOf(key: string, member: string, members: readonly string[]): number {
    const seed = seedOf(key);
    const memberWeight = weightOf(seed, member);
    let position = 0;
    let isMember = false;
    for (const other of members) {
        if (other === member) isMember = true;
        else if (isBefore(weightOf(seed, other), other, memberWeight, member)) position++;
    }
    return isMember ? position : -1;
}

function isBefore(weight: number, member: string, otherWeight: number, other: string): boolean {
    return weight > otherWeight || (weight === otherWeight && member < other);
}

function seedOf(key: string): number {
    return MurmurHash3(key, 0).result();
}

function weightOf(seed: number, member: string): number {
    return MurmurHash3(member, seed).result();
}
