/**
 * Proxies requests under `/services/NAME/` to a plain service. Requests with an idempotent method (RFC 9110) may be
 * retried after they may have run; others only with an `Idempotency-Key`.
 */
import { createCallerResponse } from "./callerResponse.js";
import { type ClientRequest, serveClient } from "./clientRequest.js";
import { rejection, sendProblem } from "./problem.js";
import { dispatchRecorded } from "./recordedDispatch.js";
import type { EntryDependencies, RequestContext } from "./requestContext.js";

const IDEMPOTENT_METHODS = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);

/** Headers that aren't forwarded, because they concern a single hop or hold the caller's credentials. */
const DROPPED_HEADERS = new Set(["authorization", "connection", "host", "keep-alive", "transfer-encoding", "expect"]);

const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

export function serveService(dependencies: EntryDependencies, context: RequestContext): Promise<void> {
    return serveClient(dependencies, context, client => dispatchServiceCall(dependencies, context, client));
}

async function dispatchServiceCall(
    dependencies: EntryDependencies,
    { request, response, url, requestId }: RequestContext,
    { account, rank, readBody }: ClientRequest,
): Promise<void> {
    const [, service, servicePath] = /^\/services\/([^/]+)(\/.*)?$/.exec(url.pathname) ?? [];
    if (service === undefined) {
        return sendProblem(response, rejection(404, "unknown service", "name a service"));
    }
    const key = String(request.headers["idempotency-key"] ?? "");
    if (key.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
        return sendProblem(
            response,
            rejection(400, "the Idempotency-Key is too long", `at most ${MAX_IDEMPOTENCY_KEY_LENGTH}`),
        );
    }
    const body = await readBody();
    if (body === undefined) return;
    const method = request.method ?? "GET";
    const headers = Object.entries(request.headers)
        .filter(([name]) => !DROPPED_HEADERS.has(name))
        .map(([name, value]) => ({ name, value: String(value) }));
    const receiver = createCallerResponse(response);
    const isIdempotent = IDEMPOTENT_METHODS.has(method);
    const result = await dispatchRecorded(dependencies, {
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
        path: (servicePath ?? "/") + url.search,
        headers,
        body,
        isIdempotent,
        // Keys are scoped by client. The components are encoded, so that a slash in a name can't make the keys
        // of two clients equal.
        idempotencyKey: isIdempotent || key === "" ?
            "" :
            [service, account.client, key].map(encodeURIComponent).join("/"),
        deadline: dependencies.now() + dependencies.settings.limits.answerMs,
        estimatedTokens: 1,
    }, receiver);
    receiver.finish(result);
}
