/** HTTP client of the administration API of an entry, used by the operator commands. */
import { randomUUID } from "node:crypto";
import VError from "verror";
import { sendRequest } from "../clients/index.js";
import { readSecret } from "../settings/index.js";
import { ExitCode } from "./exitCode.js";

export interface AdminResponse {
    readonly status: number;
    readonly etag: string;
    readonly body: unknown;
}

export type ChangeMethod = "PUT" | "DELETE" | "POST";

export interface AdminClient {
    get(path: string): Promise<AdminResponse>;
    /**
     * Sends a change under a new change identifier and repeats it under the same one after status 503, so that it is
     * applied at most once. If `etag` isn't empty, it is sent as `If-Match`. Throws a VError named `AdminError` if the
     * entry doesn't respond.
     */
    change(method: ChangeMethod, path: string, etag: string, body?: unknown): Promise<AdminResponse>;
}

const REQUEST_TIMEOUT_MS = 10_000;
const MAX_CHANGE_ATTEMPTS = 5;

export function createAdminClient(url: string, tokenFile: string): AdminClient {
    const authorization = `Bearer ${readSecret(tokenFile)}`;

    async function sendToEntry(method: string, path: string, headers: Record<string, string>, body?: unknown) {
        try {
            const response = await sendRequest({
                method,
                url: `${url}/admin/v1${path}`,
                headers: { authorization, ...headers },
                body: body === undefined ? undefined : JSON.stringify(body),
                timeoutMs: REQUEST_TIMEOUT_MS,
            });
            const text = response.body.toString("utf8");
            return {
                status: response.status,
                etag: response.headers.etag ?? "",
                body: parseBody(text),
            };
        }
        catch (error) {
            const info = { exitCode: ExitCode.unreachable };
            const message = method === "GET" ?
                "the entry at %s can't be reached; check --entry" :
                "the entry at %s did not respond, so the change may have been applied; check with 'profile list'" +
                " or 'status'";
            throw new VError({ name: "AdminError", cause: error as Error, info }, message, url);
        }
    }

    async function change(method: ChangeMethod, path: string, etag: string, body?: unknown) {
        const changeId = randomUUID();
        const headers: Record<string, string> = { "endivewell-change-id": changeId };
        if (etag !== "") headers["if-match"] = etag;
        for (let attempt = 1;; attempt++) {
            const response = await sendToEntry(method, path, headers, body);
            if (response.status !== 503 || attempt === MAX_CHANGE_ATTEMPTS) return response;
        }
    }

    return { get: path => sendToEntry("GET", path, {}), change };
}

/** Returns a problem document if the body isn't JSON, because `--entry` may name a server that isn't an entry. */
function parseBody(text: string): unknown {
    try {
        return text === "" ? {} : JSON.parse(text);
    }
    catch {
        return { title: "the response isn't JSON", detail: "check that --entry names an entry" };
    }
}
