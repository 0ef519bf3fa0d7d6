/**
 * Staggers the replicas' switch to new weights: decides which version a replica loads next, and when it stops accepting
 * requests (drains). An engine finishes its requests before it loads weights, so it is unavailable for at least as long
 * as its longest request. The replicas drain one after the other, the domains by turns, from the time at which the last
 * pieces are being transferred until entries stop sending requests to the older weights, so that only part of the pool
 * is unavailable at any time.
 *
 * Without this, a rollout under full load would leave no capacity while the whole pool switches at once. If only the
 * replicas of each domain took turns, all domains would lose a replica at the same moment. If a second version is named
 * while the first one is rolled out, replicas whose turn comes after its transfer load it directly.
 */
import { positionOf } from "../rendezvous.js";
import { SEND_MARGIN_MS } from "./weightsPolicy.js";

/** A recent version of the weights. */
export interface NamedVersion {
    readonly version: number;
    /** Time at which the operator named the version; `undefined` if it isn't known. */
    readonly namedAt: number | undefined;
    /** Predicted time until all of its pieces have arrived; 0 if they have, infinite if none arrive. */
    readonly remainingTransferMs: number;
}

/** The replicas among which turns are dealt. */
export interface ReplicaGroup {
    /** Name of this replica in `replicas`. */
    readonly self: string;
    /** Replicas of the failure domain, including this one. */
    readonly replicas: readonly string[];
    readonly failureDomain: string;
    /** All failure domains with replicas, including this one's. */
    readonly failureDomains: readonly string[];
}

export interface SwitchPlan {
    /** The version to load next; `undefined` if none can be loaded soon. */
    readonly target: number | undefined;
    /** Whether the replica should accept no new requests from now on. */
    readonly shouldDrain: boolean;
}

/** Time that an engine needs to finish its running requests and load the weights. */
export const TYPICAL_SWITCH_MS = 2300;

/** Fraction of the allowed time before the first replica may drain. */
const FIRST_TURN_FRACTION = 0.25;

/** Time between the last turn and the time at which entries stop sending requests to the older weights. */
const LAST_TURN_MARGIN_MS = 400;

const TURN_ORDER_KEY = "switch";

/**
 * The turns for a version wait until those for the version before are over, but at most this fraction of the time between
 * its first and its last turn.
 */
const MAX_START_DELAY_FRACTION = 0.4;

/**
 * Decides on the next switch of a replica that holds the version `loaded`. `named` are the recent versions in any order.
 * `allowedMs` is the time after a version is named within which requests may still start on older ones.
 */
export function planSwitch(
    loaded: number,
    named: readonly NamedVersion[],
    group: ReplicaGroup,
    allowedMs: number,
    now: number,
): SwitchPlan {
    const newestFirst = named.filter(({ version }) => version > loaded).sort((a, b) => b.version - a.version);
    const target = newestFirst.find(({ remainingTransferMs }) => remainingTransferMs === 0) ??
        newestFirst.find(({ remainingTransferMs }) => remainingTransferMs < TYPICAL_SWITCH_MS);
    if (target === undefined) return { target: undefined, shouldDrain: false };
    // A target that was named at an unknown time may be overdue. The turn for an older version counts too, because the
    // loaded weights are outdated with its deadline.
    const shouldDrain = target.namedAt === undefined || newestFirst.some(({ version }) => {
        const turnAt = version <= target.version ? drainTurnAt(version, named, group, allowedMs) : undefined;
        return turnAt !== undefined && now >= turnAt;
    });
    return { target: target.version, shouldDrain };
}

/** Returns the time of the replica's turn for a version; `undefined` if it isn't known when the version was named. */
export function drainTurnAt(
    version: number,
    named: readonly NamedVersion[],
    { self, replicas, failureDomain, failureDomains }: ReplicaGroup,
    allowedMs: number,
): number | undefined {
    const turns = turnTimes(version, named, allowedMs);
    if (turns === undefined) return undefined;
    const domainCount = Math.max(1, failureDomains.length);
    // The order is the same for all versions, so that a replica's turns for two of them are as far apart as possible.
    const domainTurn = Math.max(0, positionOf(TURN_ORDER_KEY, failureDomain, failureDomains));
    const turn = Math.max(0, positionOf(TURN_ORDER_KEY, self, replicas)) * domainCount + domainTurn;
    const turnCount = replicas.length * domainCount;
    return turnCount < 2 ? turns.firstAt : turns.firstAt + (turns.lastAt - turns.firstAt) * turn / (turnCount - 1);
}

/** Returns the times of the first and the last replica's turn for a version. */
function turnTimes(version: number, named: readonly NamedVersion[], allowedMs: number) {
    const namedAt = named.find(candidate => candidate.version === version)?.namedAt;
    if (namedAt === undefined) return undefined;
    const firstDelayMs = allowedMs * FIRST_TURN_FRACTION;
    const lastDelayMs = Math.max(firstDelayMs, allowedMs - SEND_MARGIN_MS - LAST_TURN_MARGIN_MS);
    const lastAt = namedAt + lastDelayMs;
    const latestFirstAt = namedAt + firstDelayMs + (lastDelayMs - firstDelayMs) * MAX_START_DELAY_FRACTION;
    const earlierNamedAt = named.flatMap(other => other.version < version ? other.namedAt ?? [] : []);
    const earlierLastAt = Math.max(...earlierNamedAt) + lastDelayMs;
    return { firstAt: Math.min(Math.max(namedAt + firstDelayMs, earlierLastAt), latestFirstAt), lastAt };
}
