/** The OpenAI-compatible API for model work: completions, chat completions and the list of models. */
import { createHash } from "node:crypto";
import { type ProfileEntry, RANKS, servedDigestsOf } from "../core/index.js";
import { createCallerAnswer } from "./answer.js";
import { type ClientRequest, serveClient } from "./clientRequest.js";
import { rejection, sendProblem } from "./problem.js";
import { dispatchRecorded } from "./recordedDispatch.js";
import { parseJsonObject } from "./requestBody.js";
import type { EntryParts, RequestContext } from "./requestContext.js";

/** Characters of a prompt that make about one token. */
const CHARACTERS_PER_TOKEN = 4;

const DEFAULT_MAX_TOKENS = 256;

/** Prompts that agree in this many characters count as having the same prefix. */
const PREFIX_CHARACTERS = 512;

export function serveCompletion(parts: EntryParts, context: RequestContext): Promise<void> {
    return serveClient(parts, context, client => serveKnownClient(parts, context, client));
}

async function serveKnownClient(
    parts: EntryParts,
    { response, url, requestId }: RequestContext,
    { account, rank, readBody }: ClientRequest,
): Promise<void> {
    const content = await readBody();
    if (content === undefined) return;
    const body = parseJsonObject(content);
    if (body === undefined) return sendProblem(response, rejection(400, "invalid JSON", "send a JSON object"));
    const entry = findProfile(parts, String(body.model ?? ""));
    if (entry === undefined) {
        return sendProblem(response, rejection(404, "unknown model", "GET /v1/models lists the models"));
    }
    const answer = createCallerAnswer(response);
    const engineFields = { ...body, priority: RANKS.indexOf(rank), resume_from: undefined };
    const resumedBody = (position: number) => bodyOf({ ...engineFields, resume_from: position });
    const result = await dispatchRecorded(parts, {
        requestId,
        client: account.client,
        rank,
        service: entry.profile.service,
        profile: entry.profile.name,
        profileRevision: entry.revision,
        rootDigest: entry.profile.rootDigest,
        servedDigests: servedDigestsOf(entry),
        method: "POST",
        path: url.pathname,
        ...bodyOf(engineFields),
        resumedBody: body.stream === true ? resumedBody : undefined,
        prefix: prefixOf(entry.profile.rootDigest, body),
        idempotent: true,
        idempotencyKey: "",
        deadline: parts.now() + parts.settings.limits.answerMs,
        estimatedTokens: estimateTokens(body, content.length),
    }, answer);
    answer.finish(result);
}

export function serveModels(parts: EntryParts, { request, response }: RequestContext): void {
    if (parts.accounts.client(request) === undefined) {
        return sendProblem(response, rejection(401, "unknown account", "send a bearer key"));
    }
    const data = Object.values(parts.configuration.current().profiles)
        .map(({ profile }) => ({ id: profile.name, object: "model", owned_by: profile.model }));
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({ object: "list", data }));
}

/** A model name is a profile's name; the model that a profile names is accepted if just one profile has it. */
function findProfile(parts: EntryParts, model: string): ProfileEntry | undefined {
    const { profiles } = parts.configuration.current();
    if (Object.hasOwn(profiles, model)) return profiles[model];
    const matching = Object.values(profiles).filter(({ profile }) => profile.model === model);
    return matching.length === 1 ? matching[0] : undefined;
}

/** The engine's body with the headers that describe it. */
function bodyOf(fields: Record<string, unknown>) {
    const body = Buffer.from(JSON.stringify(fields));
    const headers = [
        { name: "content-type", value: "application/json" },
        { name: "content-length", value: String(body.length) },
    ];
    return { body, headers };
}

/** Identifies the beginning of the prompt, which an engine may have cached. */
function prefixOf(rootDigest: string, body: Record<string, unknown>): string {
    const prompt = typeof body.prompt === "string" ? body.prompt : JSON.stringify(body.messages ?? "");
    return createHash("sha256").update(rootDigest).update(prompt.slice(0, PREFIX_CHARACTERS)).digest("base64");
}

function estimateTokens(body: Record<string, unknown>, bodyBytes: number): number {
    const output = typeof body.max_tokens === "number" ? body.max_tokens : DEFAULT_MAX_TOKENS;
    return Math.max(1, Math.ceil(bodyBytes / CHARACTERS_PER_TOKEN) + Math.max(0, Math.ceil(output)));
}
