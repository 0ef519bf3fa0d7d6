/**
 * Keeps the greatest configuration revision that this process has seen, from the table service or from
 * other processes, and tells listeners about each new one. It never goes back to a smaller revision.
 */
import { type Configuration, EMPTY_CONFIGURATION, newerConfiguration } from "../core/index.js";
import { createLog } from "../observability/index.js";
import type { TableService } from "../platform/index.js";
import { type RepeatedTask, startRepeating } from "./repeat.js";

const log = createLog("node:configuration");

export const CONFIGURATION_TABLE = "configuration";
export const CONFIGURATION_KEY = "current";

export type ConfigurationListener = (configuration: Configuration) => void;

export interface ConfigurationSync extends RepeatedTask {
    readonly current: () => Configuration;
    /** Adopts a snapshot from another process if its revision is greater. */
    readonly offer: (snapshot: Configuration) => void;
    /** Calls the listener after each new revision. */
    readonly onChange: (listener: ConfigurationListener) => void;
    /** Time of the last successful read of the table, in milliseconds since the epoch; 0 if there was none. */
    readonly confirmedAt: () => number;
}

export function startConfigurationSync(
    table: TableService,
    pollMs: number,
    now: () => number,
): ConfigurationSync {
    const listeners: ConfigurationListener[] = [];
    let current = EMPTY_CONFIGURATION;
    let confirmedAt = 0;

    function offer(snapshot: Configuration): void {
        const newer = newerConfiguration(current, snapshot);
        if (newer === current) return;
        current = newer;
        log.info("revision %d is in force", current.revision);
        for (const listener of listeners) listener(current);
    }

    async function poll(): Promise<void> {
        const read = await table.read(CONFIGURATION_TABLE, CONFIGURATION_KEY);
        if (read.kind === "unavailable") return;
        confirmedAt = now();
        if (read.kind === "found") offer(read.value as Configuration);
    }

    const repeated = startRepeating(poll, () => pollMs);
    return {
        ...repeated,
        current: () => current,
        offer,
        onChange: listener => listeners.push(listener),
        confirmedAt: () => confirmedAt,
    };
}
