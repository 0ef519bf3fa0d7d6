/**
 * Passes calls under `/services/NAME/` to a plain service. Idempotent methods (RFC 9110) may be retried;
 * others are retried only with an `Idempotency-Key`.
 */
import { createCallerAnswer } from "./answer.js";
import { rankOf } from "./openaiApi.js";
import { rejection, sendProblem } from "./problem.js";
import { dispatchRecorded } from "./recordedDispatch.js";
import { readLimitedBody } from "./requestBody.js";
import type { EntryParts, RequestContext } from "./requestContext.js";

const IDEMPOTENT_METHODS = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);

/** Headers that aren't passed on: they belong to one hop or to the account. */
const DROPPED_HEADERS = new Set(["authorization", "connection", "host", "keep-alive", "transfer-encoding", "expect"]);

const MAX_KEY_LENGTH = 255;

export async function serveService(parts: EntryParts, context: RequestContext): Promise<void> {
    const { request, response, url, requestId } = context;
    const account = parts.accounts.client(request);
    if (account === undefined) return sendProblem(response, rejection(401, "unknown account", "send a bearer key"));
    const [, service, rest] = /^\/services\/([^/]+)(\/.*)?$/.exec(url.pathname) ?? [];
    if (service === undefined) return sendProblem(response, rejection(404, "unknown service", "name a service"));
    const rank = rankOf(request.headers["endivewell-rank"], account);
    if (rank === undefined) return sendProblem(response, rejection(400, "unknown rank", "see the header's values"));
    const key = String(request.headers["idempotency-key"] ?? "");
    if (key.length > MAX_KEY_LENGTH) {
        return sendProblem(response, rejection(400, "the Idempotency-Key is too long", `at most ${MAX_KEY_LENGTH}`));
    }
    const read = await readLimitedBody(request, parts.settings.limits.bodyBytes);
    if (read.kind === "aborted") return;
    if (read.kind === "tooLarge") {
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
        method,
        path: (rest ?? "/") + url.search,
        headers,
        body: read.body,
        idempotent,
        // Keys are scoped by client, so that two clients can't collide.
        idempotencyKey: idempotent || key === "" ? "" : `${service}/${account.client}/${key}`,
        deadline: parts.now() + parts.settings.limits.answerMs,
        estimatedTokens: 1,
    }, answer);
    answer.finish(result);
}
