/** The administration API under `/admin/v1`. Viewers read; operators also change profiles. */
import { randomUUID } from "node:crypto";
import { match } from "ts-pattern";
import {
    entryOf,
    type Profile,
    type ProfileAction,
    type ProfileChange,
    type ProfileEntry,
    Verdict,
} from "../core/index.js";
import type { ChangeResult, ProfileStore } from "../node/index.js";
import type { Operator } from "./accounts.js";
import type { AgentDirectory } from "./agentDirectory.js";
import { type Problem, rejection, sendProblem } from "./problem.js";
import type { ProcessSurvey } from "./processSurvey.js";
import type { ProfileUse } from "./profileUse.js";
import { parseJsonObject, readLimitedBody } from "./requestBody.js";
import type { EntryParts, RequestContext } from "./requestContext.js";

const PROFILES_PATH = "/admin/v1/profiles";
export const CHANGE_ID_HEADER = "endivewell-change-id";

/** A profile counts as in use for this long after a request under it, or an agent's report of work on its version. */
export const IN_USE_MS = 60_000;

const RETRY_AFTER_MS = 1000;

export interface AdminParts extends EntryParts {
    readonly profileStore: ProfileStore;
    readonly profileUse: ProfileUse;
    readonly directory: AgentDirectory;
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
    return serveProfile(parts, context, operator);
}

async function serveProfile(parts: AdminParts, context: RequestContext, operator: Operator): Promise<void> {
    const { request, response, url } = context;
    const [rawName = "", verb = "", ...rest] = url.pathname.slice(PROFILES_PATH.length + 1).split("/");
    const name = decodeName(rawName);
    if (name === undefined) {
        return sendProblem(response, rejection(400, "invalid address", "encode the profile's name for a URL"));
    }
    const route = rest.length > 0 ? "" : `${request.method} ${verb}`;
    return match(route)
        .with("GET ", () => showProfile(parts, context, name))
        .with("GET history", () => showHistory(parts, context, name))
        .with(
            "PUT ",
            "DELETE ",
            "POST rollback",
            "POST pause",
            "POST resume",
            () => changeProfile(parts, context, name, verb, operator),
        )
        .otherwise(() => {
            const detail = "use GET, PUT or DELETE, GET history, or POST rollback, pause or resume";
            sendProblem(response, rejection(405, "the method isn't allowed", detail));
        });
}

function showProfile(parts: AdminParts, context: RequestContext, name: string): void {
    const entry = entryOf(parts.configuration.current(), name);
    if (entry === undefined) {
        return sendProblem(context.response, rejection(404, "unknown profile", `${name} doesn't exist`));
    }
    answerJson(context, entry.profile, entry);
}

async function showHistory(parts: AdminParts, context: RequestContext, name: string): Promise<void> {
    const values = await parts.profileStore.history(name);
    if (values === undefined) return sendProblem(context.response, unavailable("the table service is unavailable"));
    const current = entryOf(parts.configuration.current(), name);
    answerJson(context, { current: current ?? null, earlier: values.filter(v => v.revision !== current?.revision) });
}

async function answerStatus(parts: AdminParts, context: RequestContext): Promise<void> {
    answerJson(context, { ...parts.status(), ...await parts.survey.readEntries() });
}

async function changeProfile(
    parts: AdminParts,
    context: RequestContext,
    name: string,
    verb: string,
    operator: Operator,
): Promise<void> {
    const { request, response, url } = context;
    const read = await readLimitedBody(request, parts.settings.limits.bodyBytes);
    if (read.kind === "aborted") return;
    if (read.kind === "tooLarge") return sendProblem(response, rejection(413, "the body is too large", "shorten it"));
    const body = read.body.length === 0 ? {} : parseJsonObject(read.body);
    if (body === undefined || (request.method === "PUT" && read.body.length === 0)) {
        return sendProblem(response, rejection(400, "invalid JSON", "send a JSON object"));
    }
    const action = request.method === "DELETE" ? { kind: "retire" } as const : await actionFor(parts, name, verb, body);
    if ("status" in action) return sendProblem(response, action);
    const expected = parseEtag(request.headers["if-match"]);
    const change: ProfileChange = {
        changeId: String(request.headers[CHANGE_ID_HEADER] ?? randomUUID()),
        name,
        action,
        // Pausing must work in haste: it needs no revision, because it leaves the rest of the profile as it is.
        expectedRevision: expected ?? (action.kind === "setPaused" ? "any" : undefined),
    };
    const force = url.searchParams.get("force") === "true";
    const result = await parts.profileStore.apply(change, {
        dryRun: url.searchParams.get("dryRun") === "true",
        refuseRetire: force ? undefined : entry => useOf(parts, entry),
    });
    recordAudit(parts, change, operator, result);
    answerChange(parts, context, change, result);
}

async function actionFor(
    parts: AdminParts,
    name: string,
    verb: string,
    body: Record<string, unknown>,
): Promise<ProfileAction | Problem> {
    if (verb === "") return { kind: "put", profile: body };
    if (verb === "resume") return { kind: "setPaused", paused: false, reason: "" };
    if (verb === "pause") {
        return { kind: "setPaused", paused: true, reason: String(body.reason ?? "paused by an operator") };
    }
    const values = await parts.profileStore.history(name);
    if (values === undefined) return unavailable("the table service is unavailable");
    const earlier = values.find(({ revision }) => revision === body.revision);
    if (earlier !== undefined) return { kind: "put", profile: earlier.profile };
    const known = values.map(({ revision }) => revision).join(", ");
    return rejection(422, "unknown revision", `send {"revision": N} with one of: ${known}`);
}

/** Returns why a profile counts as in use, or `undefined` if it doesn't. */
function useOf(parts: AdminParts, { profile }: ProfileEntry): string | undefined {
    const reported = parts.directory.lastBusy(profile.service, profile.rootDigest);
    const busy = Math.max(reported, parts.profileUse.lastUsed(profile.name));
    const ageMs = parts.now() - busy;
    if (ageMs > IN_USE_MS) return undefined;
    return `the profile was used ${Math.ceil(ageMs / 1000)} s ago; add force=true to retire it`;
}

function answerChange(parts: AdminParts, context: RequestContext, change: ProfileChange, result: ChangeResult): void {
    const { response } = context;
    const { action, changeId, name } = change;
    match(result)
        .with({ kind: "accepted" }, ({ configuration, revision }) => {
            parts.configuration.offer({ ...configuration, changes: [] });
            answerJson(context, { name, revision }, { revision });
        })
        .with(
            { kind: "wouldApply" },
            ({ revision, entry }) =>
                answerJson(context, { dryRun: true, name, revision, profile: entry?.profile ?? null }),
        )
        .with({ kind: "conflict" }, ({ current }) =>
            sendProblem(response, {
                ...rejection(412, "another change came first", "compare both values and send the change again"),
                extra: { current: current ?? null, proposed: action.kind === "put" ? action.profile : null },
            }))
        .with({ kind: "invalid" }, ({ problems }) => {
            const detail = problems.map(({ path, reason }) => path === "" ? reason : `${path}: ${reason}`).join("; ");
            sendProblem(response, { ...rejection(422, "the change is refused", detail), extra: { problems } });
        })
        .with({ kind: "unavailable", mayHaveRun: false }, ({ reason }) => sendProblem(response, unavailable(reason)))
        .with({ kind: "unavailable" }, ({ reason }) =>
            sendProblem(response, {
                status: 503,
                title: "the outcome of the change is unknown",
                detail: `${reason}; send the same change again with ${CHANGE_ID_HEADER}: ${changeId}`,
                verdict: Verdict.mayHaveRun,
                retryAfterMs: RETRY_AFTER_MS,
                extra: { changeId },
            }))
        .exhaustive();
}

function unavailable(reason: string): Problem {
    const detail = `${reason}; serving continues, send the change again later`;
    return { ...rejection(503, "changes are refused", detail), retryAfterMs: RETRY_AFTER_MS };
}

/** Audit events state who changed what. An accepted version also starts the timeline of its rollout. */
function recordAudit(parts: AdminParts, change: ProfileChange, operator: Operator, result: ChangeResult): void {
    const { action, changeId, name } = change;
    const attributes = { operator: operator.name, action: action.kind, changeId };
    if (result.kind === "wouldApply") return;
    if (result.kind !== "accepted") {
        parts.events.record("profile.refused", name, { ...attributes, reason: result.kind });
        return;
    }
    const { revision } = result;
    const { rootDigest = "" } = (action.kind === "put" ? action.profile : {}) as Partial<Profile>;
    parts.events.record("profile.accepted", name, { ...attributes, revision, rootDigest });
    if (rootDigest !== "") {
        parts.events.record("rollout.accepted", rootDigest, { operator: operator.name, profile: name, revision });
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

function decodeName(text: string): string | undefined {
    try {
        return decodeURIComponent(text);
    }
    catch {
        return undefined;
    }
}
