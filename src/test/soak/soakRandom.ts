/** Random draws of a soak, from its seed. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

export interface SoakRandom {
    /** Returns a number from 0 to 1. */
    next(): number;
    pick<T>(items: readonly T[]): T;
    between(low: number, high: number): number;
}

export function createSoakRandom(seed: number): SoakRandom {
    const generator = xoroshiro128plus(seed);
    const next = () => uniformFloat64(generator);
    return {
        next,
        pick: <T>(items: readonly T[]) => items[Math.floor(next() * items.length)] as T,
        between: (low, high) => low + next() * (high - low),
    };
}
