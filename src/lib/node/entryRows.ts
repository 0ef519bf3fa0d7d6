/** The row that each entry keeps of itself, so that processes which start later find it. */
import * as z from "zod";
import type { Neighbour, Row } from "../core/serving/index.js";

/** One row for each entry, written at its start. */
export const ENTRIES_TABLE = "endivewell-entries";

const entrySchema = z.object({ ip: z.string(), failureDomain: z.string() });

export function formatEntryRow({ ip, failureDomain }: Neighbour): string {
    return JSON.stringify({ ip, failureDomain });
}

/** Returns `undefined` for a row that isn't an entry's. */
export function parseEntryRow({ key, value }: Row): Neighbour | undefined {
    if (value === undefined) return undefined;
    try {
        const result = entrySchema.safeParse(JSON.parse(value));
        return result.success ? { name: key, ...result.data } : undefined;
    }
    catch {
        return undefined;
    }
}
