/** Format of the row in which each entry registers itself, so that processes that start later can find it. */
import * as z from "zod";
import type { EntryIdentity, Row } from "../core/serving/index.js";

/** Table with one row for each entry, written when the entry starts. */
export const ENTRIES_TABLE = "endivewell-entries";

const entrySchema = z.object({ ip: z.string(), failureDomain: z.string() });

export function formatEntryRow({ ip, failureDomain }: EntryIdentity): string {
    return JSON.stringify({ ip, failureDomain });
}

/** Returns `undefined` for a removed or malformed row. */
export function parseEntryRow({ key, value }: Row): EntryIdentity | undefined {
    if (value === undefined) return undefined;
    try {
        const result = entrySchema.safeParse(JSON.parse(value));
        return result.success ? { name: key, ...result.data } : undefined;
    }
    catch {
        return undefined;
    }
}
