/**
 * Decides when a replica stops taking work in order to switch to new weights. An engine finishes its requests before
 * it loads, so it is away for as long as its longest request. The replicas of a failure domain begin one after the
 * other, the first ones while the last pieces are still on their way, so that only a part of the pool is away at any
 * moment and the last one is back in time.
 *
 * Answers a rollout under full load, where a pool that switches all at once has no place for any request.
 */
import { rankOf } from "../rendezvous.js";

export interface SwitchSituation {
    readonly self: string;
    /** Replicas of the failure domain, this one included. */
    readonly replicas: readonly string[];
    readonly version: number;
    readonly namedAt: number;
    /** Time after the naming in which every replica must have switched. */
    readonly allowedMs: number;
    /** Predicted time until all pieces are here; 0 if they are. */
    readonly missingMs: number;
}

/** Time that an engine needs for its running requests and the load. */
export const USUAL_SWITCH_MS = 2300;

/** Part of the allowed time before the first replica may begin. */
const FIRST_SHARE = 0.25;

/** Kept for orders that have to be repeated. */
const LAST_MARGIN_MS = 400;

/** Tells whether the replica should take no new work from now on. */
export function shouldDrain(situation: SwitchSituation, now: number): boolean {
    if (situation.missingMs > USUAL_SWITCH_MS) return false;
    return now >= situation.namedAt + drainDelayMs(situation);
}

/** Returns the time after the naming at which the replica's turn begins. */
export function drainDelayMs({ self, replicas, version, allowedMs }: SwitchSituation): number {
    const rank = Math.max(0, rankOf(`switch ${version}`, self, replicas));
    const first = allowedMs * FIRST_SHARE;
    const last = Math.max(first, allowedMs - USUAL_SWITCH_MS - LAST_MARGIN_MS);
    return replicas.length < 2 ? first : first + (last - first) * rank / (replicas.length - 1);
}
