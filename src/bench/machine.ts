/** Records how far the machine itself disturbs a bench, so that a miss can be told from a fault of the design. */
import { loadavg } from "node:os";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { round } from "./load.js";

export interface MachineFigures {
    /** Load average of one minute at the beginning and at the end. */
    readonly loadAverage: readonly number[];
    /** How late the bench's own timers fired. */
    readonly timerDelayP99Ms: number;
    readonly timerDelayMaxMs: number;
}

const RESOLUTION_MS = 10;
const NANOSECONDS_PER_MS = 1e6;

/** Starts the record; the returned function ends it. */
export function watchMachine(): () => MachineFigures {
    const loadAtStart = loadavg()[0] ?? 0;
    const delay = monitorEventLoopDelay({ resolution: RESOLUTION_MS });
    // The histogram holds whole intervals between two ticks of its timer.
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
