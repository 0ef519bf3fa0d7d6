/** The administration API under `/admin/v1`. Viewers read; operators also change profiles. */
import { randomUUID } from "node:crypto";
import { match } from "ts-pattern";
import { type Profile, type ProfileChange, type ProfileEntry, Verdict } from "../core/index.js";
import type { TableService } from "../platform/index.js";
import type { Operator } from "./accounts.js";
import { rejection, sendProblem } from "./problem.js";
import type { ProcessSurvey } from "./processSurvey.js";
import { applyChange, type ChangeResult } from "./profileStore.js";
import { parseJsonObject, readLimitedBody } from "./requestBody.js";
import type { EntryParts, RequestContext } from "./requestContext.js";

const PROFILES_PATH = "/admin/v1/profiles";
export const CHANGE_ID_HEADER = "endivewell-change-id";

export interface AdminParts extends EntryParts {
    readonly table: TableService;
    /** Returns the status document of the system as this entry sees it. */
    readonly status: () => object;
    readonly survey: ProcessSurvey;
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
    if (reading && url.pathname === "/admin/v1/status") return answerStatus(parts, context);
    if (reading && url.pathname === "/admin/v1/timeline") {
        return answerJson(context, await parts.survey.readEvents(url.searchParams.get("subject") ?? ""));
    }
    if (reading && url.pathname === PROFILES_PATH) {
        return answerJson(context, Object.values(parts.configuration.current().profiles));
    }
    if (!url.pathname.startsWith(`${PROFILES_PATH}/`)) {
        return sendProblem(response, rejection(404, "no such resource", "see docs/operator/"));
    }
    const name = decodeName(url.pathname.slice(PROFILES_PATH.length + 1));
    if (name === undefined) {
        return sendProblem(response, rejection(400, "invalid address", "encode the profile's name for a URL"));
    }
    if (reading) return showProfile(parts, context, name);
    if (request.method === "PUT" || request.method === "DELETE") {
        return changeProfile(parts, context, name, operator);
    }
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

async function answerStatus(parts: AdminParts, context: RequestContext): Promise<void> {
    answerJson(context, { ...parts.status(), ...await parts.survey.readEntries() });
}

async function changeProfile(
    parts: AdminParts,
    context: RequestContext,
    name: string,
    operator: Operator,
): Promise<void> {
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
    recordAudit(parts, change, operator, result);
    match(result)
        .with({ kind: "accepted" }, ({ configuration, revision }) => {
            parts.configuration.offer(configuration);
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

/** Audit events state who changed what. An accepted version also starts the timeline of its rollout. */
function recordAudit(parts: AdminParts, change: ProfileChange, operator: Operator, result: ChangeResult): void {
    const { changeId, name, profile } = change;
    const action = profile === undefined ? "retire" : change.expectedRevision === undefined ? "create" : "change";
    const attributes = { operator: operator.name, action, changeId };
    if (result.kind !== "accepted") {
        parts.events.record("profile.refused", name, { ...attributes, reason: result.kind });
        return;
    }
    const { revision } = result;
    const { rootDigest = "" } = (profile ?? {}) as Partial<Profile>;
    parts.events.record("profile.accepted", name, { ...attributes, revision, rootDigest });
    if (rootDigest !== "") {
        parts.events.record("rollout.accepted", rootDigest, { operator: operator.name, profile: name, revision });
    }
}

function decodeName(text: string): string | undefined {
    try {
        return decodeURIComponent(text);
    }
    catch {
        return undefined;
    }
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
