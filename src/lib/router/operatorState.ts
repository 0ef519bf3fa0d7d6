/**
 * What an entry believes about the operator's configuration, the named weights and the backend servers, built from
 * the rows of the store. Every change of belief is logged.
 */
import {
    createRouteTable,
    type RouteTable,
    type Row,
    type ServerRegistry,
    type WeightsPolicy,
} from "../core/serving/index.js";
import type { EventLog } from "../observability/index.js";
import { CONFIGURATION_KEY, parseConfiguration, parseNamedWeights, parseServer } from "../platform/index.js";

export interface OperatorState {
    /** `undefined` until a configuration is known. */
    table(): RouteTable | undefined;
    /** Takes changed rows of the operator. */
    applyOperatorRows(rows: readonly Row[], now: number): void;
    /** Takes changed rows of the registry. `disturbedAt` is the last time at which the store was disturbed. */
    applyServerRows(rows: readonly Row[], disturbedAt: number | undefined, now: number): void;
}

export interface OperatorStateOptions {
    readonly registry: ServerRegistry;
    readonly weights: WeightsPolicy;
    readonly log: EventLog;
    readonly onConfiguration: (table: RouteTable) => void;
    readonly onServerGone: (id: string) => void;
    /** Called for versions that are named while the process runs; earlier ones may be everywhere already. */
    readonly onWeightsNamed: (version: number) => void;
}

export function createOperatorState(options: OperatorStateOptions): OperatorState {
    const { registry, weights, log } = options;
    let table: RouteTable | undefined;
    let hasReadWeights = false;

    function applyOperatorRows(rows: readonly Row[], now: number): void {
        for (const row of rows) {
            if (row.value === undefined) continue;
            if (row.key === CONFIGURATION_KEY) applyConfiguration(row.value, row.revision);
            else applyWeights(row.key, row.value, row.revision, now);
        }
        hasReadWeights = true;
    }

    function applyConfiguration(text: string, revision: number): void {
        const configuration = parseConfiguration(text);
        if (configuration === undefined) {
            log.warn("configuration rejected", { revision, kept: table?.configuration.version });
            return;
        }
        if (table !== undefined && configuration.version <= table.configuration.version) return;
        log.info("configuration applied", {
            revision,
            version: configuration.version,
            previous: table?.configuration.version,
            routes: configuration.routes.length,
        });
        table = createRouteTable(configuration);
        options.onConfiguration(table);
    }

    function applyWeights(key: string, text: string, revision: number, now: number): void {
        const named = parseNamedWeights(key, text);
        if (named === undefined) return;
        weights.name(named.model, named.version, hasReadWeights, now);
        log.info("weights named", { revision, ...named });
        if (hasReadWeights) options.onWeightsNamed(named.version);
    }

    function applyServerRows(rows: readonly Row[], disturbedAt: number | undefined, now: number): void {
        for (const row of rows) {
            const server = row.value === undefined ? undefined : parseServer(row.key, row.value);
            const known = registry.get(row.key);
            if (server === undefined) {
                if (row.value !== undefined) {
                    log.warn("server entry rejected", { server: row.key, revision: row.revision });
                }
                registry.remove(row.key, now, disturbedAt);
                if (registry.get(row.key) === undefined) options.onServerGone(row.key);
            }
            else registry.put(server);
            log.info("server changed", {
                server: row.key,
                revision: row.revision,
                state: server === undefined ? "gone" : server.isLeaving ? "leaving" : "ready",
                service: server?.service ?? known?.service,
                weights: server?.weights?.version,
                address: server?.address ?? known?.address,
            });
        }
    }

    return { table: () => table, applyOperatorRows, applyServerRows };
}
