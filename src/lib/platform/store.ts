/**
 * HTTP client of the platform's metadata store. The store responds with 429 above its rate limits and with 503 if it
 * did nothing. A call without a response may have been executed, or may still be executed later. Each response states
 * the epoch of the store; one from an earlier epoch than another response has arrived late and is rejected.
 */
import * as http from "node:http";
import VError from "verror";
import * as z from "zod";
import { type HttpResponse, sendRequest } from "../clients/index.js";
import type { Row, StorePosition } from "../core/serving/index.js";
import type { FeedResult, MetadataStore, TableSnapshot } from "../node/metadataStore.js";
import { parseJson } from "./json.js";

/** Names of the platform's tables that this project reads. */
export const PlatformTable = {
    /** Configuration and named weights, written by the operator. */
    operator: "op",
    /** Registry of backend servers; each server writes its own row. */
    servers: "servers",
} as const;

/** Calls usually take a few milliseconds, and 50 times as long while the store is slow. */
const CALL_TIMEOUT_MS = 1500;

/** The store responds to a feed call at most this long after the requested wait. */
const FEED_TIMEOUT_MARGIN_MS = 1000;

/** The store's limit of rows per response. */
const MAX_PAGE_ROWS = 500;

/** Names the epoch; the store increments it when it is restored from a copy. */
const EPOCH_HEADER = "store-era";

/** A response and the epoch that it belongs to. */
interface StoreResponse extends HttpResponse {
    readonly epoch: number;
}

const rowsSchema = z.object({
    rows: z.array(z.object({
        key: z.string(),
        /** Base64; absent on removed rows. */
        value: z.string().optional(),
        /** Revision: a counter that the store increments with each transaction on any table. */
        ver: z.number(),
        /** True on a removed row. */
        tombstone: z.boolean().optional(),
    })),
    ver: z.number(),
    /** The store's steady clock. */
    "now-ms": z.number().optional(),
    "has-more": z.boolean().optional(),
});

export function createPlatformStore(address: string): MetadataStore {
    const agent = new http.Agent({ keepAlive: true });
    const closing = new AbortController();
    let newestEpoch = 0;

    async function call(
        method: string,
        path: string,
        timeoutMs: number,
        { body, signal }: { readonly body?: string; readonly signal?: AbortSignal | undefined; } = {},
    ): Promise<StoreResponse> {
        const response = await sendRequest({
            method,
            url: `http://${address}${path}`,
            headers: body === undefined ? {} : { "content-type": "application/json" },
            body,
            timeoutMs,
            agent,
            signal: signal === undefined ? closing.signal : AbortSignal.any([closing.signal, signal]),
        }).catch(error => {
            throw new VError({ name: "StoreError", cause: error as Error }, "the request to the store failed");
        });
        const epoch = parseEpoch(response) ?? newestEpoch;
        if (epoch < newestEpoch) {
            throw new VError(
                { name: "StoreError", info: { epoch, newestEpoch } },
                "the response is from epoch %d of the store, which is now in epoch %d",
                epoch,
                newestEpoch,
            );
        }
        newestEpoch = epoch;
        return { ...response, epoch };
    }

    async function readTable(table: string, keyPrefix = ""): Promise<TableSnapshot> {
        const rows: Row[] = [];
        const query = new URLSearchParams({ table, part: "", limit: String(MAX_PAGE_ROWS) });
        if (keyPrefix !== "") query.set("to", prefixUpperBound(keyPrefix));
        let from = keyPrefix;
        let position: StorePosition | undefined;
        let storeTime: number | undefined;
        for (;;) {
            query.set("from", from);
            const response = await call("GET", `/-/rows-get?${query}`, CALL_TIMEOUT_MS);
            const page = parseRows(response);
            rows.push(...page.rows);
            // Later pages may include newer changes; a feed from the first page's position delivers them again.
            position ??= page.position;
            storeTime ??= page.storeTime;
            if (page.position.epoch !== position.epoch) {
                throw new VError({ name: "StoreError" }, "the store was restored while table %s was read", table);
            }
            const lastRow = page.rows.at(-1);
            if (!page.hasMore || lastRow === undefined) return { rows, position, storeTime };
            // The smallest key greater than the last row's.
            from = `${lastRow.key}\0`;
        }
    }

    async function readFeed(
        table: string,
        afterRevision: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<FeedResult> {
        const query = new URLSearchParams({ table, after: String(afterRevision), "wait-ms": String(waitMs) });
        const response = await call("GET", `/-/rows-feed?${query}`, waitMs + FEED_TIMEOUT_MARGIN_MS, { signal });
        if (response.status === 410) return { kind: "historyLost" };
        const { rows, position, storeTime } = parseRows(response);
        return { kind: "changes", rows, position, storeTime };
    }

    async function putRow(table: string, key: string, value: string): Promise<void> {
        const encoded = Buffer.from(value).toString("base64");
        await write({ precondition: [], puts: [{ table, part: "", key, value: encoded }], remove: [] });
    }

    async function removeRow(table: string, key: string, revision: number): Promise<void> {
        const row = { table, part: "", key };
        await write({ precondition: [{ ...row, ver: revision }], puts: [], remove: [row] });
    }

    async function write(transaction: object): Promise<void> {
        const response = await call("POST", "/-/rows-tx", CALL_TIMEOUT_MS, { body: JSON.stringify(transaction) });
        if (response.status !== 200) throw statusError(response);
    }

    return { readTable, readFeed, putRow, removeRow, close: () => closing.abort() };
}

/** Returns the exclusive upper bound of the keys with a prefix, which must end with an ASCII character. */
function prefixUpperBound(prefix: string): string {
    return prefix.slice(0, -1) + String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1);
}

/** Returns `undefined` if the store states no epoch. */
function parseEpoch({ headers }: HttpResponse): number | undefined {
    const text = headers[EPOCH_HEADER];
    if (text === undefined) return undefined;
    if (typeof text === "string" && /^\d{1,15}$/.test(text)) return Number(text);
    throw new VError({ name: "StoreError" }, "the store's epoch %j isn't a whole number", text);
}

interface RowPage {
    readonly rows: Row[];
    readonly position: StorePosition;
    readonly storeTime: number | undefined;
    readonly hasMore: boolean;
}

function parseRows(response: StoreResponse): RowPage {
    if (response.status !== 200) throw statusError(response);
    const result = rowsSchema.safeParse(parseJson(response.body));
    if (!result.success) {
        throw new VError(
            { name: "StoreError", cause: result.error },
            "the store's response doesn't match the expected schema",
        );
    }
    const { epoch } = response;
    const { rows, ver, "now-ms": storeTime, "has-more": hasMore } = result.data;
    return {
        rows: rows.map(row => ({
            key: row.key,
            epoch,
            revision: row.ver,
            value: row.tombstone === true || row.value === undefined ?
                undefined :
                Buffer.from(row.value, "base64").toString("utf8"),
        })),
        position: { epoch, revision: ver },
        storeTime,
        hasMore: hasMore === true,
    };
}

function statusError(response: HttpResponse): VError {
    return new VError(
        { name: "StoreError", info: { status: response.status } },
        "the store responded with status %d",
        response.status,
    );
}
