/**
 * Passes calls under `/services/NAME/` to a plain service. Idempotent methods (RFC 9110) may be retried;
 * others are retried only with an `Idempotency-Key`.
 */
import type { Account } from "./accounts.js";
import { createCallerAnswer } from "./answer.js";
import { rankOf } from "./openaiApi.js";
import { rejection, sendProblem, TOO_MANY_BYTES, TOO_MANY_REQUESTS } from "./problem.js";
import { dispatchRecorded } from "./recordedDispatch.js";
import { readLimitedBody } from "./requestBody.js";
import type { EntryParts, RequestContext } from "./requestContext.js";
import type { Permit } from "./requestLimit.js";

const IDEMPOTENT_METHODS = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);

/** Headers that aren't passed on: they belong to one hop or to the account. */
const DROPPED_HEADERS = new Set(["authorization", "connection", "host", "keep-alive", "transfer-encoding", "expect"]);

const MAX_KEY_LENGTH = 255;

export async function serveService(parts: EntryParts, context: RequestContext): Promise<void> {
    const { response } = context;
    const account = parts.accounts.client(context.request);
    if (account === undefined) return sendProblem(response, rejection(401, "unknown account", "send a bearer key"));
    const permit = parts.requestLimit.enter(account.client);
    if (permit === undefined) return sendProblem(response, TOO_MANY_REQUESTS);
    try {
        await servePermitted(parts, context, account, permit);
    }
    finally {
        permit.release();
    }
}

async function servePermitted(
    parts: EntryParts,
    context: RequestContext,
    account: Account,
    permit: Permit,
): Promise<void> {
    const { request, response, url, requestId } = context;
    const [, service, rest] = /^\/services\/([^/]+)(\/.*)?$/.exec(url.pathname) ?? [];
    if (service === undefined) return sendProblem(response, rejection(404, "unknown service", "name a service"));
    const rank = rankOf(request.headers["endivewell-rank"], account);
    if (rank === undefined) return sendProblem(response, rejection(400, "unknown rank", "see the header's values"));
    const key = String(request.headers["idempotency-key"] ?? "");
    if (key.length > MAX_KEY_LENGTH) {
        return sendProblem(response, rejection(400, "the Idempotency-Key is too long", `at most ${MAX_KEY_LENGTH}`));
    }
    const read = await readLimitedBody(request, parts.settings.limits.bodyBytes, permit.reserve);
    if (read.kind === "aborted") return;
    if (read.kind === "tooLarge") {
        if (read.overloaded === true) return sendProblem(response, TOO_MANY_BYTES);
        return sendProblem(response, rejection(413, "the body is too large", "shorten the request"));
    }
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
        prefix: "",
        method,
        path: (rest ?? "/") + url.search,
        headers,
        body: read.body,
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
