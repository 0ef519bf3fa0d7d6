/**
 * Applies profile changes to the configuration row. A change is accepted only after its commit is known;
 * an unclear write is settled by reading the change identifier back.
 */
import { type Configuration, decideChange, EMPTY_CONFIGURATION, type ProfileChange } from "../core/index.js";
import { CONFIGURATION_KEY, CONFIGURATION_TABLE } from "../node/index.js";
import type { TableRead, TableService, WriteCondition } from "../platform/index.js";

export type ChangeResult =
    | { readonly kind: "accepted"; readonly configuration: Configuration; readonly revision: number; }
    | Exclude<ReturnType<typeof decideChange>, { kind: "apply" | "alreadyApplied"; }>
    /** Nothing is known about the change; the same change identifier may be sent again. */
    | { readonly kind: "unavailable"; };

const MAX_TRIES = 20;

export async function applyChange(table: TableService, change: ProfileChange): Promise<ChangeResult> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
        const read = await table.read(CONFIGURATION_TABLE, CONFIGURATION_KEY);
        if (read.kind === "unavailable") continue;
        const current = read.kind === "found" ? read.value as Configuration : EMPTY_CONFIGURATION;
        const decision = decideChange(current, change);
        if (decision.kind === "alreadyApplied") {
            return { kind: "accepted", configuration: current, revision: decision.revision };
        }
        if (decision.kind !== "apply") return decision;
        const write = await table.write(CONFIGURATION_TABLE, CONFIGURATION_KEY, decision.next, conditionFor(read));
        if (write.kind === "written") {
            return { kind: "accepted", configuration: decision.next, revision: decision.next.revision };
        }
        // After a conflict or an unclear write, the next read shows whether this change was committed.
    }
    return { kind: "unavailable" };
}

function conditionFor(read: TableRead): WriteCondition {
    return read.kind === "found" ? { kind: "unchanged", etag: read.etag } : { kind: "absent" };
}
