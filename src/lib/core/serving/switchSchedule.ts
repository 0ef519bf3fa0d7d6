/**
 * Staggers the replicas' switch to new weights: decides when a replica stops accepting requests (drains). An engine
 * finishes its requests before it loads weights, so it is unavailable for at least as long as its longest request. The
 * replicas drain one after the other, the domains by turns, the first ones while the last pieces are still being
 * transferred, so that only part of the pool is unavailable at any time and the last replica is back before the
 * deadline.
 *
 * Without this, a rollout under full load would leave no capacity while the whole pool switches at once. If only the
 * replicas of each domain took turns, all domains would lose a replica at the same moment.
 */
import { positionOf } from "../rendezvous.js";

export interface SwitchState {
    /** Name of this replica in `replicas`. */
    readonly self: string;
    /** Replicas of the failure domain, including this one. */
    readonly replicas: readonly string[];
    readonly failureDomain: string;
    /** All failure domains with replicas, including this one's. */
    readonly failureDomains: readonly string[];
    readonly version: number;
    /** Time at which the operator named the version. */
    readonly namedAt: number;
    /** Time after `namedAt` by which every replica must have switched. */
    readonly allowedMs: number;
    /** Predicted time until all pieces have arrived; 0 if they have. */
    readonly remainingTransferMs: number;
}

/** Time that an engine needs to finish its running requests and load the weights. */
export const TYPICAL_SWITCH_MS = 2300;

/** Fraction of the allowed time before the first replica may drain. */
const FIRST_TURN_FRACTION = 0.25;

/** Margin at the end of the allowed time for load requests that have to be repeated. */
const LAST_TURN_MARGIN_MS = 400;

/** Returns whether the replica should accept no new requests from now on. */
export function shouldDrain(state: SwitchState, now: number): boolean {
    if (state.remainingTransferMs > TYPICAL_SWITCH_MS) return false;
    return now >= state.namedAt + drainDelayMs(state);
}

/** Returns the delay after `namedAt` at which the replica's turn begins, in milliseconds. */
export function drainDelayMs(state: SwitchState): number {
    const { self, replicas, failureDomain, failureDomains, version, allowedMs } = state;
    const domainCount = Math.max(1, failureDomains.length);
    const domainTurn = Math.max(0, positionOf(`switch ${version}`, failureDomain, failureDomains));
    const turn = Math.max(0, positionOf(`switch ${version}`, self, replicas)) * domainCount + domainTurn;
    const turnCount = replicas.length * domainCount;
    const firstTurnMs = allowedMs * FIRST_TURN_FRACTION;
    const lastTurnMs = Math.max(firstTurnMs, allowedMs - TYPICAL_SWITCH_MS - LAST_TURN_MARGIN_MS);
    return turnCount < 2 ? firstTurnMs : firstTurnMs + (lastTurnMs - firstTurnMs) * turn / (turnCount - 1);
}
