/**
 * Derives the route table, the named weights, the evacuations and the backend servers from the rows of the metadata
 * store, and logs each change.
 */
import {
    type BackendServer,
    createRouteTable,
    type Evacuations,
    type RouteTable,
    type Row,
    type ServerRegistry,
    type WeightsPolicy,
} from "../core/serving/index.js";
import type { EventLog } from "../observability/index.js";
import {
    type NamedWeights,
    parseEvacuationKey,
    parseNamedWeights,
    parseRoutingConfiguration,
    parseServerRow,
    ROUTING_CONFIGURATION_KEY,
} from "../platform/index.js";

export interface OperatorState {
    /** Returns the current route table, or `undefined` until a valid configuration has been read. */
    routeTable(): RouteTable | undefined;
    /** Applies changed rows of the operator table; `epoch` is the present one of the store. */
    applyOperatorRows(rows: readonly Row[], epoch: number, now: number): void;
    /** Applies changed rows of the server registry. `lastOutageAt` is the last time at which the store failed. */
    applyServerRows(rows: readonly Row[], lastOutageAt: number | undefined, now: number): void;
}

export interface OperatorStateOptions {
    readonly registry: ServerRegistry;
    readonly weights: WeightsPolicy;
    readonly evacuations: Evacuations;
    /** Failure domains of the settings with their regions. */
    readonly regions: ReadonlyMap<string, string>;
    readonly log: EventLog;
    readonly onConfiguration: (routeTable: RouteTable) => void;
    readonly onServerGone: (id: string) => void;
    /** Called with each row of a server; `isNew` is true for the first row of an incarnation. */
    readonly onServer: (server: BackendServer, isNew: boolean, now: number) => void;
    /** Called only for versions named while the process runs; earlier ones may already be distributed. */
    readonly onWeightsNamed: (named: NamedWeights) => void;
}

export function createOperatorState(options: OperatorStateOptions): OperatorState {
    const { registry, weights, evacuations, log } = options;
    const knownRegions = new Set(options.regions.values());
    let routeTable: RouteTable | undefined;
    let hasInitialRows = false;

    function applyOperatorRows(rows: readonly Row[], epoch: number, now: number): void {
        for (const row of rows) {
            const evacuatedDomain = parseEvacuationKey(row.key);
            if (evacuatedDomain !== undefined) applyEvacuation(evacuatedDomain, row, now);
            if (evacuatedDomain !== undefined || row.value === undefined) continue;
            // A row that a peer has retained from before a restoration may be old.
            const isNew = hasInitialRows && row.epoch === epoch;
            if (row.key === ROUTING_CONFIGURATION_KEY) applyConfiguration(row.value, row.revision);
            else applyNamedWeights(row.key, row.value, row.revision, isNew, now);
        }
        hasInitialRows = true;
    }

    function applyConfiguration(text: string, revision: number): void {
        const configuration = parseRoutingConfiguration(text);
        if (configuration === undefined) {
            log.warn("configuration rejected", { revision, kept: routeTable?.configuration.version });
            return;
        }
        if (routeTable !== undefined && configuration.version <= routeTable.configuration.version) return;
        log.info("configuration applied", {
            revision,
            version: configuration.version,
            previous: routeTable?.configuration.version,
            routes: configuration.routes.length,
        });
        routeTable = createRouteTable(configuration);
        warnOfUnknownRegions(routeTable, revision);
        options.onConfiguration(routeTable);
    }

    function applyEvacuation(failureDomain: string, { value, revision }: Row, now: number): void {
        if (!evacuations.record(failureDomain, value !== undefined, now)) return;
        log.info(value === undefined ? "evacuation withdrawn" : "evacuation begun", {
            revision,
            evacuatedDomain: failureDomain,
            evacuated: evacuations.all(),
        });
        if (!options.regions.has(failureDomain)) {
            log.warn("unknown failure domain evacuated", { revision, evacuatedDomain: failureDomain });
        }
    }

    function warnOfUnknownRegions({ configuration }: RouteTable, revision: number): void {
        const restricted = [...configuration.routes, ...configuration.accounts ?? []];
        const names = new Set(restricted.flatMap(({ allowedRegions }) => [...allowedRegions ?? []]));
        const unknown = [...names].filter(name => !knownRegions.has(name));
        if (unknown.length > 0) log.warn("unknown regions allowed", { revision, regions: unknown });
    }

    function applyNamedWeights(key: string, text: string, revision: number, isNew: boolean, now: number): void {
        const named = parseNamedWeights(key, text);
        if (named === undefined) return;
        if (!weights.recordNamed(named.model, named.version, isNew, now)) return;
        log.info("weights named", { revision, ...named });
        if (hasInitialRows) options.onWeightsNamed(named);
    }

    function applyServerRows(rows: readonly Row[], lastOutageAt: number | undefined, now: number): void {
        for (const row of rows) {
            const server = row.value === undefined ? undefined : parseServerRow(row.key, row.value);
            const registered = registry.get(row.key);
            if (server === undefined) {
                if (row.value !== undefined) {
                    log.warn("server entry rejected", { server: row.key, revision: row.revision });
                }
                registry.remove(row.key, now, lastOutageAt);
                if (registry.get(row.key) === undefined) options.onServerGone(row.key);
            }
            else {
                registry.put(server);
                options.onServer(server, registered?.startedAt !== server.startedAt, now);
            }
            log.info("server changed", {
                server: row.key,
                revision: row.revision,
                state: server === undefined ? "gone" : registry.get(row.key)?.isLeaving === true ? "leaving" : "ready",
                service: server?.service ?? registered?.service,
                weights: server?.weights?.version,
                address: server?.address ?? registered?.address,
            });
        }
    }

    return { routeTable: () => routeTable, applyOperatorRows, applyServerRows };
}
