/** Defines the dependencies that all tasks of an agent process share. */
import type { ClockReading } from "../core/serving/index.js";
import type { EventLog, ServingMetrics } from "../observability/index.js";
import type { VmSettings } from "../settings/vmSettings.js";

export interface AgentContext {
    readonly settings: VmSettings;
    readonly log: EventLog;
    readonly metrics: ServingMetrics;
    /** Monotonic clock, in milliseconds. */
    readonly now: () => number;
    readonly readClocks: () => ClockReading;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}
