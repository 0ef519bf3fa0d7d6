/** Serves the administration API under `/admin/v1`: viewers may read, operators may also change profiles and evacuations. */
import { randomUUID } from "node:crypto";
import { match } from "ts-pattern";
import {
    type ConfiguredProfile,
    findConfiguredProfile,
    type Profile,
    type ProfileAction,
    type ProfileChange,
    Verdict,
} from "../core/index.js";
import type { ChangeResult, ProfileStore } from "../node/index.js";
import { readLimitedBody } from "../node/limitedBody.js";
import type { Operator } from "./accounts.js";
import type { AgentDirectory } from "./agentDirectory.js";
import { type Problem, rejection, sendProblem } from "./problem.js";
import type { ProcessQuery } from "./processQuery.js";
import type { ProfileUsage } from "./profileUsage.js";
import { parseJsonObject } from "./requestBody.js";
import type { EntryDependencies, RequestContext } from "./requestContext.js";

const PROFILES_PATH = "/admin/v1/profiles";
const EVACUATIONS_PATH = "/admin/v1/evacuations";
export const CHANGE_ID_HEADER = "endivewell-change-id";

/** A profile is in use for this long after its last request or an agent's last report of work on its version. */
export const PROFILE_IN_USE_MS = 60_000;

const RETRY_AFTER_MS = 1000;

export interface AdminDependencies extends EntryDependencies {
    readonly profileStore: ProfileStore;
    readonly profileUsage: ProfileUsage;
    readonly directory: AgentDirectory;
    /** Returns whether the VM list has a VM in a failure domain. */
    readonly isKnownDomain: (failureDomain: string) => boolean;
    /** Returns the status document: the state of the system as this entry sees it. */
    readonly status: () => object;
    readonly processQuery: ProcessQuery;
    /** Whether the entry is ready to route requests; reported by `/readyz`. */
    readonly isReady: () => boolean;
}

export async function serveAdmin(dependencies: AdminDependencies, context: RequestContext): Promise<void> {
    const { request, response, url } = context;
    const operator = dependencies.accounts.authenticateOperator(request);
    if (operator === undefined) return sendProblem(response, rejection(401, "unknown operator", "send a token"));
    const isRead = request.method === "GET";
    if (!isRead && operator.role !== "operator") {
        return sendProblem(response, rejection(403, "not allowed", "the token's role is viewer"));
    }
    if (isRead && url.pathname === "/admin/v1/status") return sendStatus(dependencies, context);
    if (isRead && url.pathname === "/admin/v1/timeline") {
        return sendJson(context, await dependencies.processQuery.readEvents(url.searchParams.get("subject") ?? ""));
    }
    if (isRead && url.pathname === PROFILES_PATH) {
        return sendJson(context, Object.values(dependencies.configuration.current().profiles));
    }
    if (url.pathname.startsWith(`${EVACUATIONS_PATH}/`)) return changeEvacuation(dependencies, context, operator);
    if (!url.pathname.startsWith(`${PROFILES_PATH}/`)) {
        return sendProblem(response, rejection(404, "no such resource", "see docs/operator/"));
    }
    return serveProfile(dependencies, context, operator);
}

async function serveProfile(
    dependencies: AdminDependencies,
    context: RequestContext,
    operator: Operator,
): Promise<void> {
    const { request, response, url } = context;
    const [rawName = "", operation = "", ...rest] = url.pathname.slice(PROFILES_PATH.length + 1).split("/");
    const name = decodeName(rawName);
    if (name === undefined) {
        return sendProblem(response, rejection(400, "invalid address", "encode the profile's name for a URL"));
    }
    const route = rest.length > 0 ? "" : `${request.method} ${operation}`;
    return match(route)
        .with("GET ", () => sendProfile(dependencies, context, name))
        .with("GET history", () => sendHistory(dependencies, context, name))
        .with(
            "PUT ",
            "DELETE ",
            "POST rollback",
            "POST pause",
            "POST resume",
            () => changeProfile(dependencies, context, name, operation, operator),
        )
        .otherwise(() => {
            const detail = "use GET, PUT or DELETE, GET history, or POST rollback, pause or resume";
            sendProblem(response, rejection(405, "the method isn't allowed", detail));
        });
}

function sendProfile(dependencies: AdminDependencies, context: RequestContext, name: string): void {
    const configuredProfile = findConfiguredProfile(dependencies.configuration.current(), name);
    if (configuredProfile === undefined) {
        return sendProblem(context.response, rejection(404, "unknown profile", `${name} doesn't exist`));
    }
    sendJson(context, configuredProfile.profile, configuredProfile);
}

async function sendHistory(dependencies: AdminDependencies, context: RequestContext, name: string): Promise<void> {
    const history = await dependencies.profileStore.history(name);
    if (history === undefined) return sendProblem(context.response, unavailable("the table service is unavailable"));
    const current = findConfiguredProfile(dependencies.configuration.current(), name);
    sendJson(context, {
        current: current ?? null,
        earlier: history.filter(({ revision }) => revision !== current?.revision),
    });
}

async function changeEvacuation(
    dependencies: AdminDependencies,
    context: RequestContext,
    operator: Operator,
): Promise<void> {
    const { request, response, url } = context;
    const name = decodeName(url.pathname.slice(EVACUATIONS_PATH.length + 1));
    if (name === undefined) {
        return sendProblem(response, rejection(400, "invalid address", "encode the failure domain's name for a URL"));
    }
    if (request.method !== "PUT" && request.method !== "DELETE") {
        return sendProblem(response, rejection(405, "the method isn't allowed", "use PUT or DELETE"));
    }
    const change: ProfileChange = {
        changeId: String(request.headers[CHANGE_ID_HEADER] ?? randomUUID()),
        name,
        action: { kind: "setEvacuated", evacuated: request.method === "PUT" },
        expectedRevision: "any",
    };
    const result = await dependencies.profileStore.apply(change, { dryRun: url.searchParams.get("dryRun") === "true" });
    recordAudit(dependencies, change, operator, result);
    sendChangeResult(dependencies, context, change, result);
}

async function sendStatus(dependencies: AdminDependencies, context: RequestContext): Promise<void> {
    sendJson(context, { ...dependencies.status(), ...await dependencies.processQuery.readEntries() });
}

async function changeProfile(
    dependencies: AdminDependencies,
    context: RequestContext,
    name: string,
    operation: string,
    operator: Operator,
): Promise<void> {
    const { request, response, url } = context;
    const bodyResult = await readLimitedBody(request, {
        maxBytes: dependencies.settings.limits.bodyBytes,
        turns: dependencies.readTurns,
    });
    if (bodyResult.kind === "aborted") return;
    if (bodyResult.kind === "tooLarge") {
        return sendProblem(response, rejection(413, "the body is too large", "shorten it"));
    }
    const body = bodyResult.body.length === 0 ? {} : parseJsonObject(bodyResult.body);
    if (body === undefined || (request.method === "PUT" && bodyResult.body.length === 0)) {
        return sendProblem(response, rejection(400, "invalid JSON", "send a JSON object"));
    }
    const action = request.method === "DELETE" ?
        { kind: "retire" } as const :
        await resolveAction(dependencies, name, operation, body);
    if ("status" in action) return sendProblem(response, action);
    const expected = parseEtag(request.headers["if-match"]);
    const change: ProfileChange = {
        changeId: String(request.headers[CHANGE_ID_HEADER] ?? randomUUID()),
        name,
        action,
        // Pausing requires no revision, so that it works at once in an emergency; it changes no other field.
        expectedRevision: expected ?? (action.kind === "setPaused" ? "any" : undefined),
    };
    const force = url.searchParams.get("force") === "true";
    const result = await dependencies.profileStore.apply(change, {
        dryRun: url.searchParams.get("dryRun") === "true",
        refuseRetire: force ? undefined : configuredProfile => inUseReason(dependencies, configuredProfile),
    });
    recordAudit(dependencies, change, operator, result);
    sendChangeResult(dependencies, context, change, result);
}

async function resolveAction(
    dependencies: AdminDependencies,
    name: string,
    operation: string,
    body: Record<string, unknown>,
): Promise<ProfileAction | Problem> {
    if (operation === "") return { kind: "put", profile: body };
    if (operation === "resume") return { kind: "setPaused", paused: false, reason: "" };
    if (operation === "pause") {
        return { kind: "setPaused", paused: true, reason: String(body.reason ?? "paused by an operator") };
    }
    const history = await dependencies.profileStore.history(name);
    if (history === undefined) return unavailable("the table service is unavailable");
    const earlier = history.find(({ revision }) => revision === body.revision);
    if (earlier !== undefined) return { kind: "put", profile: earlier.profile };
    const knownRevisions = history.map(({ revision }) => revision).join(", ");
    return rejection(422, "unknown revision", `send {"revision": N} with one of: ${knownRevisions}`);
}

/** Returns the reason why the profile counts as in use, or `undefined` if it doesn't. */
function inUseReason(dependencies: AdminDependencies, { profile }: ConfiguredProfile): string | undefined {
    const reportedAt = dependencies.directory.lastBusyAt(profile.service, profile.rootDigest);
    const lastUsedAt = Math.max(reportedAt, dependencies.profileUsage.lastUsedAt(profile.name));
    const ageMs = dependencies.now() - lastUsedAt;
    if (ageMs > PROFILE_IN_USE_MS) return undefined;
    return `the profile was used ${Math.ceil(ageMs / 1000)} s ago; add force=true to retire it`;
}

function sendChangeResult(
    dependencies: AdminDependencies,
    context: RequestContext,
    change: ProfileChange,
    result: ChangeResult,
): void {
    const { response } = context;
    const { action, changeId, name } = change;
    const isUnknownDomain = action.kind === "setEvacuated" && !dependencies.isKnownDomain(name);
    const extra = isUnknownDomain ? { warning: `no VM of the VM list is in the failure domain ${name}` } : {};
    match(result)
        .with({ kind: "accepted" }, ({ configuration, revision }) => {
            dependencies.configuration.applyIfNewer({ ...configuration, changes: [] });
            sendJson(context, { name, revision, ...extra }, { revision });
        })
        .with(
            { kind: "unchanged" },
            ({ revision }) => sendJson(context, { unchanged: true, name, revision, ...extra }, { revision }),
        )
        .with(
            { kind: "wouldApply" },
            ({ revision, entry }) =>
                sendJson(context, { dryRun: true, name, revision, profile: entry?.profile ?? null, ...extra }),
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

/** Records who changed what. An accepted version also records the first event of its rollout's timeline. */
function recordAudit(
    dependencies: AdminDependencies,
    change: ProfileChange,
    operator: Operator,
    result: ChangeResult,
): void {
    const { action, changeId, name } = change;
    const actionName = action.kind !== "setEvacuated" ? action.kind : action.evacuated ? "evacuate" : "withdraw";
    const attributes = { operator: operator.name, action: actionName, changeId };
    const subjectKind = action.kind === "setEvacuated" ? "evacuation" : "profile";
    if (result.kind === "wouldApply" || result.kind === "unchanged") return;
    if (result.kind !== "accepted") {
        dependencies.events.record(`${subjectKind}.refused`, name, { ...attributes, reason: result.kind });
        return;
    }
    const { revision } = result;
    const { rootDigest = "" } = (action.kind === "put" ? action.profile : {}) as Partial<Profile>;
    dependencies.events.record(`${subjectKind}.accepted`, name, { ...attributes, revision, rootDigest });
    if (rootDigest !== "") {
        dependencies.events.record("rollout.accepted", rootDigest, {
            operator: operator.name,
            profile: name,
            revision,
        });
    }
}

function sendJson(
    { response }: RequestContext,
    body: unknown,
    configuredProfile?: Pick<ConfiguredProfile, "revision">,
): void {
    const etag = configuredProfile === undefined ? {} : { etag: `"${configuredProfile.revision}"` };
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
