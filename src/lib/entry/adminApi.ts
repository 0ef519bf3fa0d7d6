/** The administration API under `/admin/v1`. Viewers read; operators also change profiles. */
import { randomUUID } from "node:crypto";
import { match } from "ts-pattern";
import { type ProfileChange, type ProfileEntry, Verdict } from "../core/index.js";
import type { TableService } from "../platform/index.js";
import { rejection, sendProblem } from "./problem.js";
import { applyChange } from "./profileStore.js";
import { parseJsonObject, readLimitedBody } from "./requestBody.js";
import type { EntryParts, RequestContext } from "./requestContext.js";

const PROFILES_PATH = "/admin/v1/profiles";
export const CHANGE_ID_HEADER = "endivewell-change-id";

export interface AdminParts extends EntryParts {
    readonly table: TableService;
    /** Returns the status document of the system as this entry sees it. */
    readonly status: () => unknown;
    /** Tells whether the entry knows the agents and the configuration that it needs. */
    readonly ready: () => boolean;
}

export async function serveAdmin(parts: AdminParts, context: RequestContext): Promise<void> {
    const { request, response, url } = context;
    const operator = parts.accounts.operator(request);
    if (operator === undefined) return sendProblem(response, rejection(401, "unknown operator", "send a token"));
    const reading = request.method === "GET";
    if (!reading && operator.role !== "operator") {
        return sendProblem(response, rejection(403, "not allowed", "the token's role is viewer"));
    }
    if (reading && url.pathname === "/admin/v1/status") return answerJson(context, parts.status());
    if (reading && url.pathname === "/admin/v1/timeline") {
        return answerJson(context, parts.events.read(url.searchParams.get("subject") ?? ""));
    }
    if (reading && url.pathname === PROFILES_PATH) {
        return answerJson(context, Object.values(parts.configuration.current().profiles));
    }
    if (!url.pathname.startsWith(`${PROFILES_PATH}/`)) {
        return sendProblem(response, rejection(404, "no such resource", "see docs/operator/"));
    }
    const name = decodeURIComponent(url.pathname.slice(PROFILES_PATH.length + 1));
    if (reading) return showProfile(parts, context, name);
    if (request.method === "PUT" || request.method === "DELETE") return changeProfile(parts, context, name);
    sendProblem(response, rejection(405, "the method isn't allowed", "use GET, PUT or DELETE"));
}

function showProfile(parts: AdminParts, context: RequestContext, name: string): void {
    const { profiles } = parts.configuration.current();
    const entry = Object.hasOwn(profiles, name) ? profiles[name] : undefined;
    if (entry === undefined) {
        return sendProblem(context.response, rejection(404, "unknown profile", `${name} doesn't exist`));
    }
    answerJson(context, entry.profile, entry);
}

async function changeProfile(parts: AdminParts, context: RequestContext, name: string): Promise<void> {
    const { request, response } = context;
    const read = await readLimitedBody(request, parts.settings.limits.bodyBytes);
    if (read.kind === "aborted") return;
    if (read.kind === "tooLarge") return sendProblem(response, rejection(413, "the body is too large", "shorten it"));
    const profile = request.method === "PUT" ? parseJsonObject(read.body) : undefined;
    if (request.method === "PUT" && profile === undefined) {
        return sendProblem(response, rejection(400, "invalid JSON", "send a JSON object"));
    }
    const change: ProfileChange = {
        changeId: String(request.headers[CHANGE_ID_HEADER] ?? randomUUID()),
        name,
        profile,
        expectedRevision: parseEtag(request.headers["if-match"]),
    };
    const result = await applyChange(parts.table, change);
    match(result)
        .with({ kind: "accepted" }, ({ configuration, revision }) => {
            parts.configuration.offer(configuration);
            parts.events.record("profile.accepted", name, { revision, changeId: change.changeId });
            answerJson(context, { name, revision }, { revision });
        })
        .with({ kind: "conflict" }, ({ current }) =>
            sendProblem(response, {
                ...rejection(412, "another change came first", "compare both values and send the change again"),
                extra: { current: current ?? null, proposed: profile ?? null },
            }))
        .with({ kind: "invalid" }, ({ problems }) =>
            sendProblem(response, {
                ...rejection(422, "the profile is invalid", problems.map(p => `${p.path}: ${p.reason}`).join("; ")),
                extra: { problems },
            }))
        .with({ kind: "unavailable" }, () =>
            sendProblem(response, {
                status: 503,
                title: "the table service is unavailable",
                detail: `send the same change again with ${CHANGE_ID_HEADER}: ${change.changeId}`,
                verdict: Verdict.mayHaveRun,
                retryAfterMs: 1000,
            }))
        .exhaustive();
}

function answerJson({ response }: RequestContext, body: unknown, entry?: Pick<ProfileEntry, "revision">): void {
    const etag = entry === undefined ? {} : { etag: `"${entry.revision}"` };
    response.writeHead(200, { "content-type": "application/json", ...etag });
    response.end(JSON.stringify(body));
}

function parseEtag(header: string | undefined): number | undefined {
    const text = /^"(\d+)"$/.exec(header ?? "")?.[1];
    return text === undefined ? undefined : Number(text);
}
