/**
 * Client of the platform's metadata store. The store answers 429 beyond its rates and 503 when nothing was done; a
 * call without an answer may have been performed, or be performed later.
 */
import * as http from "node:http";
import VError from "verror";
import * as z from "zod";
import { type HttpAnswer, sendRequest } from "../clients/index.js";
import type { Row } from "../core/serving/index.js";
import type { FeedAnswer, MetadataStore, TableSnapshot } from "../node/metadataStore.js";
import { parseJson } from "./json.js";

/** Tables of the platform that the product reads. */
export const PlatformTable = {
    /** Configuration and named weights, written by the operator. */
    operator: "op",
    /** Registry of backend servers, written by themselves. */
    servers: "servers",
} as const;

/** Usual answers take a few milliseconds; a slow store takes 50 times as long. */
const CALL_TIMEOUT_MS = 1500;

/** The store answers a feed at most this long after its wait is over. */
const FEED_SLACK_MS = 1000;

/** Rows that the store returns at once at the most. */
const PAGE_ROWS = 500;

const rowsSchema = z.object({
    rows: z.array(z.object({
        key: z.string(),
        /** Base64; missing on removed rows. */
        value: z.string().optional(),
        /** Counter of the store that grows with each transaction over all tables. */
        ver: z.number(),
        /** True on a removed row. */
        tombstone: z.boolean().optional(),
    })),
    ver: z.number(),
    "has-more": z.boolean().optional(),
});

export function createPlatformStore(address: string): MetadataStore {
    const agent = new http.Agent({ keepAlive: true });
    const closing = new AbortController();

    async function call(method: string, path: string, timeoutMs: number, body?: string): Promise<HttpAnswer> {
        try {
            return await sendRequest({
                method,
                url: `http://${address}${path}`,
                headers: body === undefined ? {} : { "content-type": "application/json" },
                body,
                timeoutMs,
                agent,
                signal: closing.signal,
            });
        }
        catch (error) {
            throw new VError({ name: "StoreError", cause: error as Error }, "the store doesn't answer");
        }
    }

    async function readTable(table: string, keyPrefix = ""): Promise<TableSnapshot> {
        const rows: Row[] = [];
        const range = new URLSearchParams({ table, part: "", limit: String(PAGE_ROWS) });
        if (keyPrefix !== "") range.set("to", keyAfter(keyPrefix));
        let from = keyPrefix;
        let revision: number | undefined;
        for (;;) {
            range.set("from", from);
            const answer = await call("GET", `/-/rows-get?${range}`, CALL_TIMEOUT_MS);
            const page = parseRows(answer);
            rows.push(...page.rows);
            // Later pages may show later changes; the feed from the first page's revision repeats these.
            revision ??= page.revision;
            const last = page.rows.at(-1);
            if (!page.hasMore || last === undefined) return { rows, revision };
            // The smallest key after the last one.
            from = `${last.key}\0`;
        }
    }

    async function readFeed(table: string, after: number, waitMs: number): Promise<FeedAnswer> {
        const query = new URLSearchParams({ table, after: String(after), "wait-ms": String(waitMs) });
        const answer = await call("GET", `/-/rows-feed?${query}`, waitMs + FEED_SLACK_MS);
        if (answer.status === 410) return { kind: "historyLost" };
        const { rows, revision } = parseRows(answer);
        return { kind: "changes", rows, revision };
    }

    async function putRow(table: string, key: string, value: string): Promise<void> {
        const encoded = Buffer.from(value).toString("base64");
        const body = { precondition: [], puts: [{ table, part: "", key, value: encoded }], remove: [] };
        const answer = await call("POST", "/-/rows-tx", CALL_TIMEOUT_MS, JSON.stringify(body));
        if (answer.status !== 200) throw refusedBy(answer);
    }

    return { readTable, readFeed, putRow, close: () => closing.abort() };
}

/** Returns the first key after all keys that begin with the prefix, which ends with an ASCII character. */
function keyAfter(prefix: string): string {
    return prefix.slice(0, -1) + String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1);
}

function parseRows(answer: HttpAnswer): { rows: Row[]; revision: number; hasMore: boolean; } {
    if (answer.status !== 200) throw refusedBy(answer);
    const result = rowsSchema.safeParse(parseJson(answer.body));
    if (!result.success) {
        throw new VError({ name: "StoreError", cause: result.error }, "the store's answer isn't understood");
    }
    const { rows, ver, "has-more": hasMore } = result.data;
    return {
        rows: rows.map(row => ({
            key: row.key,
            revision: row.ver,
            value: row.tombstone === true || row.value === undefined ?
                undefined :
                Buffer.from(row.value, "base64").toString("utf8"),
        })),
        revision: ver,
        hasMore: hasMore === true,
    };
}

function refusedBy(answer: HttpAnswer): VError {
    return new VError({ name: "StoreError", info: { status: answer.status } }, "the store answered %d", answer.status);
}
