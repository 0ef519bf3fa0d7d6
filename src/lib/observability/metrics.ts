/**
 * Counters, gauges and timings, sent over StatsD. Without metrics settings every call does nothing and the client
 * library isn't loaded. docs/metrics.md lists names and units.
 */
import type { ProcessSettings } from "../settings/index.js";

export type Tags = Readonly<Record<string, string>>;

export interface Metrics {
    count(name: string, tags?: Tags): void;
    gauge(name: string, value: number): void;
    /** Records a duration in milliseconds. */
    timing(name: string, durationMs: number, tags?: Tags): void;
    /** Sends the buffered values and closes the client. */
    close(): Promise<void>;
}

export const NO_METRICS: Metrics = {
    count: () => undefined,
    gauge: () => undefined,
    timing: () => undefined,
    close: () => Promise.resolve(),
};

/** Creates the client. Sending errors are ignored, so that an unreachable StatsD server never affects the process. */
export async function createMetrics(settings: ProcessSettings["metrics"], process: string): Promise<Metrics> {
    if (settings === undefined) return NO_METRICS;
    const { StatsD } = await import("hot-shots");
    const client = new StatsD({ ...settings, globalTags: { process }, errorHandler: () => undefined });
    return {
        count: (name, tags = {}) => void client.increment(name, { ...tags }),
        gauge: (name, value) => void client.gauge(name, value),
        timing: (name, durationMs, tags = {}) => void client.timing(name, durationMs, { ...tags }),
        close: () => new Promise(resolve => client.close(() => resolve())),
    };
}
