/**
 * Polls the operator's table for an agent. Entries tell agents about newly named weights immediately, so this is a
 * fallback and can be slow. A change feed isn't used because it would send every full configuration to every agent,
 * which saturates the links between regions.
 */
import type { Row } from "../core/serving/index.js";
import { startPeriodicTask } from "../node/periodicTask.js";
import type { EventLog, ServingMetrics } from "../observability/index.js";
import { NAMED_WEIGHTS_KEY_PREFIX, PlatformTable } from "../platform/index.js";
import type { TableReader } from "./sharedReads.js";

export interface OperatorPoller {
    stop(): void;
}

export interface OperatorPollerOptions {
    readonly tables: TableReader;
    /** Receives the rows of each read, changed or not. Returns whether a configuration is known. */
    readonly onRows: (rows: readonly Row[]) => boolean;
    readonly log: EventLog;
    readonly metrics: ServingMetrics;
    /** Monotonic clock, in milliseconds. */
    readonly now: () => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}

/** Mean time between two reads of the named weights alone; about the time allowed for a rollout to all VMs. */
const WEIGHTS_POLL_INTERVAL_MS = 10_000;

/** Age at which the configuration is read again. Agents only use its origin and engines, which rarely change. */
const CONFIGURATION_MAX_AGE_MS = 60_000;

/** Bounds of the random pause while no configuration is known; many processes may start at the same time. */
const MIN_STARTUP_PAUSE_MS = 300;
const MAX_STARTUP_PAUSE_MS = 1200;

export function startOperatorPoller(options: OperatorPollerOptions): OperatorPoller {
    const { tables, log, metrics, now, random } = options;
    let isStopped = false;
    let hasConfiguration = false;
    let configurationReadAt = 0;
    let failures = 0;

    async function poll(): Promise<void> {
        const readsWholeTable = !hasConfiguration || now() - configurationReadAt > CONFIGURATION_MAX_AGE_MS;
        try {
            const { rows } = await tables.readTable(
                PlatformTable.operator,
                readsWholeTable ? "" : NAMED_WEIGHTS_KEY_PREFIX,
            );
            if (isStopped) return;
            if (failures > 0) log.info("store regained", { table: PlatformTable.operator, failures });
            failures = 0;
            hasConfiguration = options.onRows(rows);
            if (readsWholeTable) configurationReadAt = now();
        }
        catch (error) {
            if (isStopped) return;
            metrics.storeCalls.inc({ result: "failed" });
            if (failures === 0) {
                log.warn("store lost", { table: PlatformTable.operator, error: (error as Error).message });
            }
            failures++;
        }
    }

    function pauseMs(): number {
        if (hasConfiguration) return WEIGHTS_POLL_INTERVAL_MS * (0.75 + random() / 2);
        return MIN_STARTUP_PAUSE_MS + random() * (MAX_STARTUP_PAUSE_MS - MIN_STARTUP_PAUSE_MS);
    }

    const polling = startPeriodicTask(poll, pauseMs);
    return {
        stop: () => {
            isStopped = true;
            void polling.stop();
        },
    };
}
