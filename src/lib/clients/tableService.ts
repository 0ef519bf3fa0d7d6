/**
 * Adapter of the platform's transactional table service: rows of JSON with entity tags and conditional
 * writes (RFC 9110). A write whose answer is lost is reported as `unclear`; the caller settles it by
 * reading back its own token.
 */
import { type HttpAnswer, sendRequest } from "./http.js";

export type TableRead =
    | { readonly kind: "found"; readonly value: unknown; readonly etag: string; }
    | { readonly kind: "missing"; }
    | { readonly kind: "unavailable"; readonly cause: Error; };

/** The row still has the entity tag that the caller knows. */
export type UnchangedRow = { readonly kind: "unchanged"; };

export type TableWrite =
    | { readonly kind: "written"; readonly etag: string; }
    | { readonly kind: "conflict"; }
    /** The write may have taken effect, now or later. */
    | { readonly kind: "unclear"; readonly cause: Error; };

/** `absent` requires that the row doesn't exist; otherwise the row must still have the given tag. */
export type WriteCondition = { readonly kind: "absent"; } | { readonly kind: "unchanged"; readonly etag: string; };

export interface TableService {
    read(table: string, key: string): Promise<TableRead>;
    /**
     * With `knownEtag`, a row that still has this tag is answered without its content. Changed content may
     * come compressed; use its tag for further reads only, not for a conditional write.
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
            const answer = await sendRequest({
                method: "GET",
                url: rowUrl(table, key),
                headers: knownEtag === undefined ? {} : { "if-none-match": knownEtag },
                compressed: knownEtag !== undefined,
                timeoutMs: options.timeoutMs,
            });
            if (answer.status === 304) return { kind: "unchanged" };
            if (answer.status === 404) return { kind: "missing" };
            if (answer.status !== 200) return { kind: "unavailable", cause: unexpectedStatus(answer) };
            return { kind: "found", value: JSON.parse(answer.body.toString("utf8")), etag: etagOf(answer) };
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
        return send("PUT", rowUrl(table, key), conditionHeaders(condition), JSON.stringify(value));
    }

    async function remove(table: string, key: string, etag: string): Promise<TableWrite> {
        return send("DELETE", rowUrl(table, key), { "if-match": etag });
    }

    async function send(
        method: string,
        url: string,
        headers: Record<string, string>,
        body?: string,
    ): Promise<TableWrite> {
        try {
            const answer = await sendRequest({ method, url, headers, body, timeoutMs: options.timeoutMs });
            if (answer.status === 412 || answer.status === 404) return { kind: "conflict" };
            if (answer.status >= 200 && answer.status < 300) return { kind: "written", etag: etagOf(answer) };
            return { kind: "unclear", cause: unexpectedStatus(answer) };
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

function etagOf(answer: HttpAnswer): string {
    return answer.headers.etag ?? "";
}

function unexpectedStatus(answer: HttpAnswer): Error {
    return new Error(`the table service answered with status ${answer.status}`);
}
