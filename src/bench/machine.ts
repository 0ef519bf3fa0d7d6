/**
 * Measures how much the load of the machine disturbs a benchmark, so that a target missed for that reason can be
 * distinguished from a fault of the design.
 */
import { loadavg } from "node:os";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { round } from "./load.js";

export interface MachineMeasurements {
    /** One-minute load average at the start and at the end. */
    readonly loadAverage: readonly number[];
    /** Delay with which timers of the benchmark process fired. */
    readonly timerDelayP99Ms: number;
    readonly timerDelayMaxMs: number;
}

const RESOLUTION_MS = 10;
const NANOSECONDS_PER_MS = 1e6;

/** Starts the measurement. The returned function ends it and returns the results. */
export function startMachineMonitor(): () => MachineMeasurements {
    const loadAtStart = loadavg()[0] ?? 0;
    const delay = monitorEventLoopDelay({ resolution: RESOLUTION_MS });
    // The histogram records the full interval between two timer ticks, not only the delay.
    const toDelayMs = (nanoseconds: number) => round(Math.max(0, nanoseconds / NANOSECONDS_PER_MS - RESOLUTION_MS), 1);
    delay.enable();
    return () => {
        delay.disable();
        return {
            loadAverage: [round(loadAtStart, 1), round(loadavg()[0] ?? 0, 1)],
            timerDelayP99Ms: toDelayMs(delay.percentile(99)),
            timerDelayMaxMs: toDelayMs(delay.max),
        };
    };
}
