/** Format of the row in which each entry registers itself, so that processes that start later can find it. */
import * as z from "zod";
import type { EntryIdentity, Row } from "../core/serving/index.js";

/** Table with one row for each entry, written when the entry starts and renewed while it runs. */
export const ENTRIES_TABLE = "endivewell-entries";

const entrySchema = z.object({
    ip: z.string(),
    failureDomain: z.string(),
    /** Unix time in milliseconds. Entries of earlier versions write none, and don't renew their rows. */
    renewedAt: z.number().optional().catch(undefined),
});

/** `renewedAt` is Unix time in milliseconds. */
export function formatEntryRow({ ip, failureDomain }: EntryIdentity, renewedAt: number): string {
    return JSON.stringify({ ip, failureDomain, renewedAt });
}

export interface RegisteredEntry extends EntryIdentity {
    /** When the entry last renewed its row; `undefined` for an entry that doesn't. */
    readonly renewedAt: number | undefined;
}

/** Returns `undefined` for a removed or malformed row. */
export function parseEntryRow({ key, value }: Row): RegisteredEntry | undefined {
    if (value === undefined) return undefined;
    try {
        const result = entrySchema.safeParse(JSON.parse(value));
        if (!result.success) return undefined;
        const { ip, failureDomain, renewedAt } = result.data;
        return { name: key, ip, failureDomain, renewedAt };
    }
    catch {
        return undefined;
    }
}
