/** Serves the OpenAI-compatible API: completions, chat completions and the list of models. */
import { createHash } from "node:crypto";
import { type ConfiguredProfile, RANKS, servedDigestsOf } from "../core/index.js";
import { createCallerResponse } from "./callerResponse.js";
import { type ClientRequest, serveClient } from "./clientRequest.js";
import { rejection, sendProblem } from "./problem.js";
import { dispatchRecorded } from "./recordedDispatch.js";
import { parseJsonObject } from "./requestBody.js";
import type { EntryDependencies, RequestContext } from "./requestContext.js";

/** Approximate number of characters per token of a prompt. */
const CHARACTERS_PER_TOKEN = 4;

const DEFAULT_MAX_TOKENS = 256;

/** Number of leading characters that identify a prompt's prefix for cache affinity. */
const PREFIX_CHARACTERS = 512;

export function serveCompletion(dependencies: EntryDependencies, context: RequestContext): Promise<void> {
    return serveClient(dependencies, context, client => dispatchCompletion(dependencies, context, client));
}

async function dispatchCompletion(
    dependencies: EntryDependencies,
    { response, url, requestId }: RequestContext,
    { account, rank, readBody }: ClientRequest,
): Promise<void> {
    const bodyBytes = await readBody();
    if (bodyBytes === undefined) return;
    const body = parseJsonObject(bodyBytes);
    if (body === undefined) return sendProblem(response, rejection(400, "invalid JSON", "send a JSON object"));
    const configuredProfile = findProfile(dependencies, String(body.model ?? ""));
    if (configuredProfile === undefined) {
        return sendProblem(response, rejection(404, "unknown model", "GET /v1/models lists the models"));
    }
    const receiver = createCallerResponse(response);
    const engineFields = { ...body, priority: RANKS.indexOf(rank), resume_from: undefined };
    const buildResumedRequest = (position: number) => encodeBody({ ...engineFields, resume_from: position });
    const result = await dispatchRecorded(dependencies, {
        requestId,
        client: account.client,
        rank,
        service: configuredProfile.profile.service,
        profile: configuredProfile.profile.name,
        profileRevision: configuredProfile.revision,
        rootDigest: configuredProfile.profile.rootDigest,
        servedDigests: servedDigestsOf(configuredProfile),
        method: "POST",
        path: url.pathname,
        ...encodeBody(engineFields),
        buildResumedRequest: body.stream === true ? buildResumedRequest : undefined,
        prefix: hashPromptPrefix(configuredProfile.profile.rootDigest, body),
        isIdempotent: true,
        idempotencyKey: "",
        deadline: dependencies.now() + dependencies.settings.limits.answerMs,
        estimatedTokens: estimateTokens(body, bodyBytes.length),
    }, receiver);
    receiver.finish(result);
}

export function serveModels(dependencies: EntryDependencies, { request, response }: RequestContext): void {
    if (dependencies.accounts.authenticateClient(request) === undefined) {
        return sendProblem(response, rejection(401, "unknown account", "send a bearer key"));
    }
    const data = Object.values(dependencies.configuration.current().profiles)
        .map(({ profile }) => ({ id: profile.name, object: "model", owned_by: profile.model }));
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({ object: "list", data }));
}

/** Finds a profile by its name, or by the name of its model if exactly one profile has that model. */
function findProfile(dependencies: EntryDependencies, model: string): ConfiguredProfile | undefined {
    const { profiles } = dependencies.configuration.current();
    if (Object.hasOwn(profiles, model)) return profiles[model];
    const matchingProfiles = Object.values(profiles).filter(({ profile }) => profile.model === model);
    return matchingProfiles.length === 1 ? matchingProfiles[0] : undefined;
}

/** Encodes the request body for the engine, with its content headers. */
function encodeBody(fields: Record<string, unknown>) {
    const body = Buffer.from(JSON.stringify(fields));
    const headers = [
        { name: "content-type", value: "application/json" },
        { name: "content-length", value: String(body.length) },
    ];
    return { body, headers };
}

/** Returns the affinity key of the prompt's prefix, which an engine may have in its cache. */
function hashPromptPrefix(rootDigest: string, body: Record<string, unknown>): string {
    const prompt = typeof body.prompt === "string" ? body.prompt : JSON.stringify(body.messages ?? "");
    return createHash("sha256").update(rootDigest).update(prompt.slice(0, PREFIX_CHARACTERS)).digest("base64");
}

function estimateTokens(body: Record<string, unknown>, bodyLengthBytes: number): number {
    const maxOutputTokens = typeof body.max_tokens === "number" ? body.max_tokens : DEFAULT_MAX_TOKENS;
    return Math.max(1, Math.ceil(bodyLengthBytes / CHARACTERS_PER_TOKEN) + Math.max(0, Math.ceil(maxOutputTokens)));
}
