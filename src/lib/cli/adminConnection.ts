/** The operator commands' connection to the administration API of an entry. */
import { randomUUID } from "node:crypto";
import VError from "verror";
import { sendRequest } from "../clients/index.js";
import { readSecret } from "../settings/index.js";
import { ExitCode } from "./exitCode.js";

export interface AdminAnswer {
    readonly status: number;
    readonly etag: string;
    readonly body: unknown;
}

export type ChangeMethod = "PUT" | "DELETE" | "POST";

export interface AdminConnection {
    get(path: string): Promise<AdminAnswer>;
    /** Sends a change. The same `changeId` may be sent again after an unclear answer. */
    change(method: ChangeMethod, path: string, etag: string, body?: unknown): Promise<AdminAnswer>;
}

const TIMEOUT_MS = 10_000;
const CHANGE_TRIES = 5;

export function createAdminConnection(url: string, tokenFile: string): AdminConnection {
    const authorization = `Bearer ${readSecret(tokenFile)}`;

    async function send(method: string, path: string, headers: Record<string, string>, body?: unknown) {
        try {
            const answer = await sendRequest({
                method,
                url: `${url}/admin/v1${path}`,
                headers: { authorization, ...headers },
                body: body === undefined ? undefined : JSON.stringify(body),
                timeoutMs: TIMEOUT_MS,
            });
            const text = answer.body.toString("utf8");
            return {
                status: answer.status,
                etag: answer.headers.etag ?? "",
                body: parseAnswer(text),
            };
        }
        catch (error) {
            const info = { exitCode: ExitCode.unreachable };
            const advice = method === "GET" ?
                "the entry can't be reached; check --entry" :
                "the entry did not answer, so the change may be in force; check with 'profile list'";
            throw new VError({ name: "AdminError", cause: error as Error, info }, advice);
        }
    }

    async function change(method: ChangeMethod, path: string, etag: string, body?: unknown) {
        const changeId = randomUUID();
        const headers: Record<string, string> = { "endivewell-change-id": changeId };
        if (etag !== "") headers["if-match"] = etag;
        for (let tries = 1;; tries++) {
            const answer = await send(method, path, headers, body);
            if (answer.status !== 503 || tries === CHANGE_TRIES) return answer;
        }
    }

    return { get: path => send("GET", path, {}), change };
}

/** A server other than an entry may answer with anything. */
function parseAnswer(text: string): unknown {
    try {
        return text === "" ? {} : JSON.parse(text);
    }
    catch {
        return { title: "the answer isn't JSON", detail: "check that --entry names an entry" };
    }
}
