/**
 * Replicas of the platform's tables. The operator writes a configuration or names weights once, and the versions in
 * these rows only rise, so an older one in a restored store doesn't replace what is known from before. An evacuation
 * has no version; one that the restored store lacks stays in force until the operator writes and removes it again,
 * because requests to an evacuated failure domain do more harm than its idle servers. Servers write their rows all the
 * time, so their table is taken as the restored store has it.
 */
import { createRowReplica, type Row, type RowReplica } from "../core/serving/index.js";
import {
    parseEvacuationKey,
    parseNamedWeights,
    parseRoutingConfiguration,
    ROUTING_CONFIGURATION_KEY,
} from "./operatorRows.js";
import { PlatformTable } from "./store.js";

export function createTableReplica(table: string): RowReplica {
    return createRowReplica(table === PlatformTable.operator ? outlivesRestoration : undefined);
}

function outlivesRestoration(earlier: Row, restored: Row | undefined): boolean {
    if (parseEvacuationKey(earlier.key) !== undefined) return earlier.value !== undefined && restored === undefined;
    const earlierVersion = versionOf(earlier);
    if (earlierVersion === undefined) return false;
    if (restored === undefined) return true;
    // The operator deleted the row after the restoration.
    if (restored.value === undefined) return false;
    const restoredVersion = versionOf(restored);
    return restoredVersion === undefined || earlierVersion > restoredVersion;
}

/** Returns the version in a row's value, or `undefined` for a deleted or invalid row. */
function versionOf({ key, value }: Row): number | undefined {
    if (value === undefined) return undefined;
    if (key === ROUTING_CONFIGURATION_KEY) return parseRoutingConfiguration(value)?.version;
    return parseNamedWeights(key, value)?.version;
}
