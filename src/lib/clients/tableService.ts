/**
 * Client of the platform's transactional table service, which stores JSON rows with entity tags and conditional
 * writes (RFC 9110). A write whose response is lost is reported as `unclear`; the caller then reads the row to find
 * out whether it contains its own token.
 */
import { type HttpResponse, sendRequest } from "./http.js";

export type TableRead =
    | { readonly kind: "found"; readonly value: unknown; readonly etag: string; }
    | { readonly kind: "missing"; }
    | { readonly kind: "unavailable"; readonly cause: Error; };

/** Result of a conditional read: the row still has the given entity tag. */
export type UnchangedRow = { readonly kind: "unchanged"; };

export type TableWrite =
    | { readonly kind: "written"; readonly etag: string; }
    | { readonly kind: "conflict"; }
    /** The outcome is unknown: the write may have taken effect or may still do so. */
    | { readonly kind: "unclear"; readonly cause: Error; };

/** `absent` requires that the row doesn't exist; `unchanged` requires that it still has the given entity tag. */
export type WriteCondition = { readonly kind: "absent"; } | { readonly kind: "unchanged"; readonly etag: string; };

export interface TableService {
    read(table: string, key: string): Promise<TableRead>;
    /**
     * With `knownEtag`, returns `unchanged` if the row still has this tag. Changed content may be transferred
     * compressed, so use its entity tag only for further reads, not for conditional writes.
     */
    read(table: string, key: string, knownEtag: string | undefined): Promise<TableRead | UnchangedRow>;
    write(table: string, key: string, value: unknown, condition: WriteCondition): Promise<TableWrite>;
    remove(table: string, key: string, etag: string): Promise<TableWrite>;
}

export interface TableServiceOptions {
    readonly url: string;
    readonly timeoutMs: number;
}

export function createTableService(options: TableServiceOptions): TableService {
    const rowUrl = (table: string, key: string) =>
        `${options.url}/tables/${encodeURIComponent(table)}/${encodeURIComponent(key)}`;

    async function read(table: string, key: string): Promise<TableRead>;
    async function read(
        table: string,
        key: string,
        knownEtag: string | undefined,
    ): Promise<TableRead | UnchangedRow>;
    async function read(table: string, key: string, knownEtag?: string): Promise<TableRead | UnchangedRow> {
        try {
            const response = await sendRequest({
                method: "GET",
                url: rowUrl(table, key),
                headers: knownEtag === undefined ? {} : { "if-none-match": knownEtag },
                compressed: knownEtag !== undefined,
                timeoutMs: options.timeoutMs,
            });
            if (response.status === 304) return { kind: "unchanged" };
            if (response.status === 404) return { kind: "missing" };
            if (response.status !== 200) {
                return { kind: "unavailable", cause: unexpectedStatus(response, "GET", rowUrl(table, key)) };
            }
            return { kind: "found", value: JSON.parse(response.body.toString("utf8")), etag: etagOf(response) };
        }
        catch (error) {
            return { kind: "unavailable", cause: error as Error };
        }
    }

    async function write(
        table: string,
        key: string,
        value: unknown,
        condition: WriteCondition,
    ): Promise<TableWrite> {
        return sendWrite("PUT", rowUrl(table, key), conditionHeaders(condition), JSON.stringify(value));
    }

    async function remove(table: string, key: string, etag: string): Promise<TableWrite> {
        return sendWrite("DELETE", rowUrl(table, key), { "if-match": etag });
    }

    async function sendWrite(
        method: string,
        url: string,
        headers: Record<string, string>,
        body?: string,
    ): Promise<TableWrite> {
        try {
            const response = await sendRequest({ method, url, headers, body, timeoutMs: options.timeoutMs });
            if (response.status === 412 || response.status === 404) return { kind: "conflict" };
            if (response.status >= 200 && response.status < 300) return { kind: "written", etag: etagOf(response) };
            return { kind: "unclear", cause: unexpectedStatus(response, method, url) };
        }
        catch (error) {
            return { kind: "unclear", cause: error as Error };
        }
    }

    return { read, write, remove };
}

function conditionHeaders(condition: WriteCondition): Record<string, string> {
    return condition.kind === "absent" ? { "if-none-match": "*" } : { "if-match": condition.etag };
}

function etagOf(response: HttpResponse): string {
    return response.headers.etag ?? "";
}

function unexpectedStatus(response: HttpResponse, method: string, url: string): Error {
    return new Error(`the table service returned status ${response.status} for ${method} ${url}`);
}
