/**
 * Passes calls under `/services/NAME/` to a plain service. Idempotent methods (RFC 9110) may be retried;
 * others are retried only with an `Idempotency-Key`.
 */
import { createCallerAnswer } from "./answer.js";
import { type ClientRequest, serveClient } from "./clientRequest.js";
import { rejection, sendProblem } from "./problem.js";
import { dispatchRecorded } from "./recordedDispatch.js";
import type { EntryParts, RequestContext } from "./requestContext.js";

const IDEMPOTENT_METHODS = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);

/** Headers that aren't passed on: they belong to one hop or to the account. */
const DROPPED_HEADERS = new Set(["authorization", "connection", "host", "keep-alive", "transfer-encoding", "expect"]);

const MAX_KEY_LENGTH = 255;

export function serveService(parts: EntryParts, context: RequestContext): Promise<void> {
    return serveClient(parts, context, client => serveKnownClient(parts, context, client));
}

async function serveKnownClient(
    parts: EntryParts,
    { request, response, url, requestId }: RequestContext,
    { account, rank, readBody }: ClientRequest,
): Promise<void> {
    const [, service, rest] = /^\/services\/([^/]+)(\/.*)?$/.exec(url.pathname) ?? [];
    if (service === undefined) return sendProblem(response, rejection(404, "unknown service", "name a service"));
    const key = String(request.headers["idempotency-key"] ?? "");
    if (key.length > MAX_KEY_LENGTH) {
        return sendProblem(response, rejection(400, "the Idempotency-Key is too long", `at most ${MAX_KEY_LENGTH}`));
    }
    const body = await readBody();
    if (body === undefined) return;
    const method = request.method ?? "GET";
    const headers = Object.entries(request.headers)
        .filter(([name]) => !DROPPED_HEADERS.has(name))
        .map(([name, value]) => ({ name, value: String(value) }));
    const answer = createCallerAnswer(response);
    const idempotent = IDEMPOTENT_METHODS.has(method);
    const result = await dispatchRecorded(parts, {
        requestId,
        client: account.client,
        rank,
        service,
        profile: "",
        profileRevision: 0,
        rootDigest: "",
        servedDigests: [],
        prefix: "",
        method,
        path: (rest ?? "/") + url.search,
        headers,
        body,
        idempotent,
        // Keys are scoped by client. The parts are encoded, so that a slash in a name can't make the keys
        // of two clients equal.
        idempotencyKey: idempotent || key === "" ?
            "" :
            [service, account.client, key].map(encodeURIComponent).join("/"),
        deadline: parts.now() + parts.settings.limits.answerMs,
        estimatedTokens: 1,
    }, answer);
    answer.finish(result);
}
