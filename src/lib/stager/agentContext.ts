/** What the tasks of an agent share. */
import type { EventLog, ServingMetrics } from "../observability/index.js";
import type { VmSettings } from "../settings/vmSettings.js";

export interface AgentContext {
    readonly settings: VmSettings;
    readonly log: EventLog;
    readonly metrics: ServingMetrics;
    /** Milliseconds of a steady clock. */
    readonly now: () => number;
    readonly random: () => number;
}
