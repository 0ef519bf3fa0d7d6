/**
 * Passive health checks (outlier detection): judges backend servers by the results of the requests that were sent to
 * them. A server that can't be reached, or that fails far more requests than a service normally does, is ejected for a
 * while; after that a single request probes it. The ejection time doubles with each failed probe.
 *
 * This detects servers that fail part of their requests while their active health check passes, that hang, or that
 * crash silently. The registry reports these late or never.
 */

export const Outcome = {
    /** A complete response other than a server error. */
    success: "success",
    /** The response has the status of a server error. */
    error: "error",
    /** The response was truncated, malformed or missing. */
    broken: "broken",
    /** The connection could not be established. */
    unreachable: "unreachable",
    /** The server refused the request without executing it. */
    refused: "refused",
    /** The server refused the request without executing it and said when it accepts the next one. */
    deferred: "deferred",
} as const;

export type Outcome = (typeof Outcome)[keyof typeof Outcome];

export interface ServerHealth {
    recordOutcome(id: string, outcome: Outcome, now: number): void;
    /**
     * Returns whether a new request may be sent to the server. An ejected server admits one probe request after its
     * ejection time.
     */
    isAvailable(id: string, now: number): boolean;
    /** Records that a request was sent, which counts as the probe of an ejected server. */
    recordSend(id: string, now: number): void;
    /** Returns the fraction of recent requests that failed, 0 to 1. */
    failureRate(id: string): number;
    isEjected(id: string): boolean;
    remove(id: string): void;
}

/** Weight of the newest result in the moving average: about the last ten requests count. */
const FAILURE_RATE_SMOOTHING = 0.15;

/**
 * Failure rate above which a server is ejected; services without a model engine have failure rates of up to 0.15 in
 * normal operation.
 */
const EJECTION_FAILURE_RATE = 0.45;

/**
 * Number of consecutive broken responses after which a server is ejected regardless of its failure rate. A single
 * failed connection ejects it as well.
 */
const EJECTION_BROKEN_COUNT = 3;

const BASE_EJECTION_MS = 500;
const MAX_EJECTION_MS = 4000;

/** Time after which a probe without a result counts as lost and another one is allowed. */
const PROBE_TIMEOUT_MS = 2000;

/**
 * Backoff after a refusal. It doubles with each consecutive one, because a server that has lost its weights refuses
 * every request.
 */
const BASE_REFUSAL_BACKOFF_MS = 100;
const MAX_REFUSAL_BACKOFF_MS = 1600;

interface HealthState {
    failureRate: number;
    consecutiveBroken: number;
    ejectedUntil: number | undefined;
    ejectionCount: number;
    probeSentAt: number | undefined;
    consecutiveRefusals: number;
    backoffUntil: number;
}

export function createServerHealth(): ServerHealth {
    const states = new Map<string, HealthState>();

    function getOrCreateState(id: string): HealthState {
        const existing = states.get(id);
        if (existing !== undefined) return existing;
        const state: HealthState = {
            failureRate: 0,
            consecutiveBroken: 0,
            ejectedUntil: undefined,
            ejectionCount: 0,
            probeSentAt: undefined,
            consecutiveRefusals: 0,
            backoffUntil: 0,
        };
        states.set(id, state);
        return state;
    }

    function recordOutcome(id: string, outcome: Outcome, now: number): void {
        const state = getOrCreateState(id);
        state.probeSentAt = undefined;
        if (outcome === Outcome.deferred) return;
        // A refusal indicates load or missing weights rather than a fault.
        if (outcome === Outcome.refused) {
            const backoffMs = Math.min(
                MAX_REFUSAL_BACKOFF_MS,
                BASE_REFUSAL_BACKOFF_MS * 2 ** state.consecutiveRefusals,
            );
            state.consecutiveRefusals++;
            state.backoffUntil = Math.max(state.backoffUntil, now + backoffMs);
            return;
        }
        state.consecutiveRefusals = 0;
        const failure = outcome === Outcome.success ? 0 : 1;
        state.failureRate += FAILURE_RATE_SMOOTHING * (failure - state.failureRate);
        if (outcome === Outcome.success) {
            state.consecutiveBroken = 0;
            if (state.ejectedUntil !== undefined) reinstate(state);
            return;
        }
        if (outcome !== Outcome.error) state.consecutiveBroken++;
        const shouldEject = outcome === Outcome.unreachable || state.consecutiveBroken >= EJECTION_BROKEN_COUNT ||
            state.failureRate > EJECTION_FAILURE_RATE;
        if (shouldEject) eject(state, now);
    }

    function reinstate(state: HealthState): void {
        state.ejectedUntil = undefined;
        state.ejectionCount = 0;
        state.failureRate = Math.min(state.failureRate, EJECTION_FAILURE_RATE / 2);
    }

    function eject(state: HealthState, now: number): void {
        if (state.ejectedUntil !== undefined && state.ejectedUntil > now) return;
        const ejectionMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** state.ejectionCount);
        state.ejectionCount = Math.min(state.ejectionCount + 1, 8);
        state.ejectedUntil = now + ejectionMs;
    }

    return {
        recordOutcome,
        isAvailable: (id, now) => {
            const state = states.get(id);
            if (state === undefined) return true;
            if (state.backoffUntil > now) return false;
            if (state.ejectedUntil === undefined) return true;
            if (state.ejectedUntil > now) return false;
            return state.probeSentAt === undefined || now - state.probeSentAt > PROBE_TIMEOUT_MS;
        },
        recordSend: (id, now) => {
            const state = states.get(id);
            if (state?.ejectedUntil !== undefined) state.probeSentAt = now;
        },
        failureRate: id => states.get(id)?.failureRate ?? 0,
        isEjected: id => states.get(id)?.ejectedUntil !== undefined,
        remove: id => void states.delete(id),
    };
}
