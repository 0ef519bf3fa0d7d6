/**
 * Estimates by which factor each backend server is slower than its declared speed. It is the product of three factors:
 * the lasting one that the engine reports to its agent, the current one that a server on a shared VM reports with its
 * responses, and the remaining error of the predictions, learned from the measured times to the first event. The current
 * factor changes many times per second, so recent reports are averaged.
 *
 * This handles servers that become slow and recover in turn, and pools in which some servers are always slow: without
 * it, a server at a quarter of its speed gets the work of a server at full speed, and all of its first events are late.
 * Many entries share a large pool, so that each one measures a server too rarely to learn that by itself.
 */
import { TARGET_FRACTION } from "./placement.js";

/** Time to the first event of a request, as predicted when it was placed and as measured. */
export interface FirstEventTimes {
    readonly predictedMs: number;
    readonly measuredMs: number;
    /** Slowdown that the prediction assumed. */
    readonly assumedSlowdown: number;
    /** The server is in a ramp (`serverPace.ts`), so that little is known of its speed. */
    readonly isUnsettled?: boolean;
}

export interface ServerSpeed {
    /** Records the current slowdown that the server reported with a response; 1 is the declared speed. */
    recordReport(id: string, slowdown: number, now: number): void;
    /** Records the lasting slowdown of the server's engine, which its agent repeats in heartbeats. */
    recordEngineSlowdown(id: string, slowdown: number, now: number): void;
    recordFirstEvent(id: string, times: FirstEventTimes, now: number): void;
    /** Returns the factor by which the server is expected to be slower than declared, at least 1. */
    slowdown(id: string, now: number): number;
    remove(id: string): void;
}

/** Time constant of the moving average of reports. */
const REPORT_SMOOTHING_MS = 400;

/** Older reports say nothing about the present. */
const REPORT_MAX_AGE_MS = 2000;

/** Three intervals between the heartbeats of an agent. */
const ENGINE_SLOWDOWN_MAX_AGE_MS = 6000;

/** Weight of the newest measurement in the moving average of the correction. */
const CORRECTION_SMOOTHING = 0.05;

/** Weight for a server in a ramp, which gets few requests: the predictions are right after a few answers. */
const UNSETTLED_CORRECTION_SMOOTHING = 0.5;

/**
 * Without new measurements, half of the correction's deviation from 1 is forgotten in this time: a server that seems slow
 * gets few requests, and would otherwise seem slow long after its recovery.
 */
const CORRECTION_HALF_LIFE_MS = 2000;

/** Measurements of a server in use are less than this apart. */
const CORRECTION_MAX_AGE_MS = 500;

const MIN_CORRECTION = 0.5;
const MAX_SLOWDOWN = 10;

interface SpeedState {
    report: { readonly slowdown: number; readonly at: number; } | undefined;
    engine: { readonly slowdown: number; readonly at: number; } | undefined;
    /** Ratio of the measured times to the predictions at the reported speed. */
    correction: number;
    /** When the correction was last measured. */
    correctedAt: number;
}

export function createServerSpeed(): ServerSpeed {
    const states = new Map<string, SpeedState>();

    function getOrCreateState(id: string): SpeedState {
        let state = states.get(id);
        if (state === undefined) {
            states.set(id, state = { report: undefined, engine: undefined, correction: 1, correctedAt: 0 });
        }
        return state;
    }

    function reportedSlowdown({ report, engine }: SpeedState, now: number): number {
        const current = report === undefined || now - report.at > REPORT_MAX_AGE_MS ? 1 : report.slowdown;
        const lasting = engine === undefined || now - engine.at > ENGINE_SLOWDOWN_MAX_AGE_MS ? 1 : engine.slowdown;
        return Math.min(MAX_SLOWDOWN, current * lasting);
    }

    function correctionOf({ correction, correctedAt }: SpeedState, now: number): number {
        const excessAgeMs = Math.max(0, now - correctedAt - CORRECTION_MAX_AGE_MS);
        return 1 + (correction - 1) * 0.5 ** (excessAgeMs / CORRECTION_HALF_LIFE_MS);
    }

    /** Smaller corrections are within the margin that a placement leaves anyway. */
    function correctionBeyondMargin(state: SpeedState, now: number): number {
        const correction = correctionOf(state, now);
        return correction <= 1 ? correction : Math.max(1, correction * TARGET_FRACTION);
    }

    return {
        recordReport: (id, slowdown, now) => {
            const state = getOrCreateState(id);
            const bounded = Math.min(MAX_SLOWDOWN, slowdown);
            const { report } = state;
            const previousWeight = report === undefined || now - report.at > REPORT_MAX_AGE_MS ?
                0 :
                Math.exp(-(now - report.at) / REPORT_SMOOTHING_MS);
            const previous = report?.slowdown ?? bounded;
            state.report = { slowdown: previous * previousWeight + bounded * (1 - previousWeight), at: now };
        },
        recordEngineSlowdown: (id, slowdown, now) => {
            getOrCreateState(id).engine = { slowdown: Math.min(MAX_SLOWDOWN, slowdown), at: now };
        },
        recordFirstEvent: (id, { predictedMs, measuredMs, assumedSlowdown, isUnsettled = false }, now) => {
            if (predictedMs <= 0) return;
            const state = getOrCreateState(id);
            const totalSlowdown = measuredMs * assumedSlowdown / predictedMs;
            const ratio = totalSlowdown / reportedSlowdown(state, now);
            const boundedRatio = Math.min(MAX_SLOWDOWN, Math.max(MIN_CORRECTION, ratio));
            const correction = correctionOf(state, now);
            const smoothing = isUnsettled ? UNSETTLED_CORRECTION_SMOOTHING : CORRECTION_SMOOTHING;
            state.correction = correction + smoothing * (boundedRatio - correction);
            state.correctedAt = now;
        },
        slowdown: (id, now) => {
            const state = states.get(id);
            if (state === undefined) return 1;
            return Math.min(
                MAX_SLOWDOWN,
                Math.max(1, reportedSlowdown(state, now) * correctionBeyondMargin(state, now)),
            );
        },
        remove: id => void states.delete(id),
    };
}
