/**
 * Judges backend servers by the results of the requests that were sent to them. A server that can't be reached,
 * or fails much more often than the others of its service, is ejected for a while; after that a single request
 * probes it. The pause doubles with each failed probe.
 *
 * Answers servers that fail part of their requests while their health check is good, that hang, or that crash
 * without a word: the registry tells of none of these, or late.
 */

export const Outcome = {
    /** A complete answer that isn't a server error. */
    success: "success",
    /** The server answered with an error of its own. */
    error: "error",
    /** Broken, malformed or missing answer. */
    broken: "broken",
    /** No connection. */
    unreachable: "unreachable",
    /** The server refused the request without running it. */
    refused: "refused",
} as const;

export type Outcome = (typeof Outcome)[keyof typeof Outcome];

export interface ServerHealth {
    record(id: string, outcome: Outcome, now: number): void;
    /** Records how much longer the server took than predicted. */
    recordPace(id: string, ratio: number): void;
    /** Tells whether a new request may go to the server; an ejected one takes one request after its pause. */
    admits(id: string, now: number): boolean;
    /** Tells that a request was sent, which uses up the probe of an ejected server. */
    sent(id: string, now: number): void;
    /** Factor by which the server is slower than declared, at least 1. */
    pace(id: string): number;
    /** Share of recent requests that failed, 0 to 1. */
    failureShare(id: string): number;
    isEjected(id: string): boolean;
    forget(id: string): void;
}

/** Weight of the newest result in the moving shares: about the last ten requests count. */
const RESULT_WEIGHT = 0.15;

/** An ejection needs a failure share above this; plain services fail up to 0.15 by themselves. */
const EJECT_SHARE = 0.45;

/** Consecutive broken answers that eject at once. */
const EJECT_AFTER_BROKEN = 3;

const BASE_PAUSE_MS = 500;
const MAX_PAUSE_MS = 4000;

/** A probe without a result counts as lost after this time. */
const PROBE_TIMEOUT_MS = 2000;

/** Pause after a refusal; doubled with each further one, because a server that lost its weights refuses everything. */
const REFUSAL_PAUSE_MS = 100;
const MAX_REFUSAL_PAUSE_MS = 1600;

const PACE_WEIGHT = 0.1;
const MAX_PACE = 10;

interface State {
    failureShare: number;
    brokenInRow: number;
    ejectedUntil: number | undefined;
    pauses: number;
    probeAt: number | undefined;
    refusalsInRow: number;
    refusedUntil: number;
    pace: number;
}

export function createServerHealth(): ServerHealth {
    const states = new Map<string, State>();

    function stateOf(id: string): State {
        const known = states.get(id);
        if (known !== undefined) return known;
        const state: State = {
            failureShare: 0,
            brokenInRow: 0,
            ejectedUntil: undefined,
            pauses: 0,
            probeAt: undefined,
            refusalsInRow: 0,
            refusedUntil: 0,
            pace: 1,
        };
        states.set(id, state);
        return state;
    }

    function record(id: string, outcome: Outcome, now: number): void {
        const state = stateOf(id);
        state.probeAt = undefined;
        // A refusal tells of load or missing weights, not of health.
        if (outcome === Outcome.refused) {
            const pause = Math.min(MAX_REFUSAL_PAUSE_MS, REFUSAL_PAUSE_MS * 2 ** state.refusalsInRow);
            state.refusalsInRow++;
            state.refusedUntil = Math.max(state.refusedUntil, now + pause);
            return;
        }
        state.refusalsInRow = 0;
        const failed = outcome === Outcome.success ? 0 : 1;
        state.failureShare += RESULT_WEIGHT * (failed - state.failureShare);
        if (outcome === Outcome.success) {
            state.brokenInRow = 0;
            if (state.ejectedUntil !== undefined) reinstate(state);
            return;
        }
        if (outcome !== Outcome.error) state.brokenInRow++;
        const mustEject = outcome === Outcome.unreachable || state.brokenInRow >= EJECT_AFTER_BROKEN ||
            state.failureShare > EJECT_SHARE;
        if (mustEject) eject(state, now);
    }

    function reinstate(state: State): void {
        state.ejectedUntil = undefined;
        state.pauses = 0;
        state.failureShare = Math.min(state.failureShare, EJECT_SHARE / 2);
    }

    function eject(state: State, now: number): void {
        if (state.ejectedUntil !== undefined && state.ejectedUntil > now) return;
        const pause = Math.min(MAX_PAUSE_MS, BASE_PAUSE_MS * 2 ** state.pauses);
        state.pauses = Math.min(state.pauses + 1, 8);
        state.ejectedUntil = now + pause;
    }

    return {
        record,
        recordPace: (id, ratio) => {
            const state = stateOf(id);
            const bounded = Math.min(MAX_PACE, Math.max(0.5, ratio));
            state.pace += PACE_WEIGHT * (bounded - state.pace);
        },
        admits: (id, now) => {
            const state = states.get(id);
            if (state === undefined) return true;
            if (state.refusedUntil > now) return false;
            if (state.ejectedUntil === undefined) return true;
            if (state.ejectedUntil > now) return false;
            return state.probeAt === undefined || now - state.probeAt > PROBE_TIMEOUT_MS;
        },
        sent: (id, now) => {
            const state = states.get(id);
            if (state?.ejectedUntil !== undefined) state.probeAt = now;
        },
        pace: id => Math.max(1, states.get(id)?.pace ?? 1),
        failureShare: id => states.get(id)?.failureShare ?? 0,
        isEjected: id => states.get(id)?.ejectedUntil !== undefined,
        forget: id => void states.delete(id),
    };
}
