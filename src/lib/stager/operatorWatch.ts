/**
 * The agent's own look at the operator's rows. Entries name weights to agents at once, so it is a fallback and may be
 * slow; a feed would deliver each configuration whole to every agent, which fills the links between regions.
 */
import type { Row } from "../core/serving/index.js";
import type { MetadataStore } from "../node/metadataStore.js";
import { startRepeating } from "../node/repeat.js";
import type { EventLog, ServingMetrics } from "../observability/index.js";
import { PlatformTable, WEIGHTS_KEY_PREFIX } from "../platform/index.js";

export interface OperatorWatch {
    stop(): void;
}

export interface OperatorWatchOptions {
    readonly store: MetadataStore;
    /** Takes rows of a look, whether they changed or not; returns whether a configuration is known. */
    readonly onRows: (rows: readonly Row[]) => boolean;
    readonly log: EventLog;
    readonly metrics: ServingMetrics;
    readonly now: () => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}

/** Time between two looks at the named weights alone; about the time that a rollout has for all VMs. */
const WEIGHTS_INTERVAL_MS = 10_000;

/** Age at which the configuration is read again; agents use its origin and engine figures, which change seldom. */
const CONFIGURATION_AGE_MS = 60_000;

/** Bounds of the pause while no configuration is known; spread, since many processes may start together. */
const MIN_PAUSE_MS = 300;
const MAX_PAUSE_MS = 1200;

export function startOperatorWatch(options: OperatorWatchOptions): OperatorWatch {
    const { store, log, metrics, now, random } = options;
    let stopped = false;
    let isKnown = false;
    let configuredAt = 0;
    let failures = 0;

    async function look(): Promise<void> {
        const isWhole = !isKnown || now() - configuredAt > CONFIGURATION_AGE_MS;
        try {
            const { rows } = await store.readTable(PlatformTable.operator, isWhole ? "" : WEIGHTS_KEY_PREFIX);
            if (stopped) return;
            metrics.storeCalls.inc({ result: "read" });
            if (failures > 0) log.info("store regained", { table: PlatformTable.operator, failures });
            failures = 0;
            isKnown = options.onRows(rows);
            if (isWhole) configuredAt = now();
        }
        catch (error) {
            if (stopped) return;
            metrics.storeCalls.inc({ result: "failed" });
            if (failures === 0) {
                log.warn("store lost", { table: PlatformTable.operator, error: (error as Error).message });
            }
            failures++;
        }
    }

    function pause(): number {
        if (isKnown) return WEIGHTS_INTERVAL_MS * (0.75 + random() / 2);
        return MIN_PAUSE_MS + random() * (MAX_PAUSE_MS - MIN_PAUSE_MS);
    }

    const looks = startRepeating(look, pause);
    return {
        stop: () => {
            stopped = true;
            void looks.stop();
        },
    };
}
