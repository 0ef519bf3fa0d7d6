/**
 * Translates the headers between callers, entries and backend servers. Nothing else knows their names.
 */
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";

/** What a caller says about its request. */
export interface CallerRequest {
    /** Identifies one attempt of the caller. */
    readonly id: string;
    /** How long the caller waits; `undefined` if it didn't say. */
    readonly deadlineMs: number | undefined;
    readonly key: string | undefined;
    readonly promptTokens: number;
    readonly maxAnswerTokens: number;
    /** The caller's estimate of the length of the answer in tokens. */
    readonly expectedAnswerTokens: number | undefined;
    /** The caller continues a stream after this event. */
    readonly lastEventId: string | undefined;
}

/** What an entry adds to a request that it passes on. */
export interface ForwardingFacts {
    readonly serverId: string;
    readonly remainingMs: number;
    readonly account: string | undefined;
    /** 0 is the most urgent, 9 the least. */
    readonly rank: number;
    /** The only version of the weights that may answer. */
    readonly weights: number | undefined;
    readonly lastEventId: string | undefined;
}

/** What a backend server says about its answer. */
export interface ServerFacts {
    /** Identifier of the request that the answer belongs to. */
    readonly requestId: string | undefined;
    /** The server states that it did not run the request. */
    readonly isNotRun: boolean;
    /** The answer carries the server's signature. */
    readonly isSigned: boolean;
    /** Identifier of the server that answered, where it tells. */
    readonly serverId: string | undefined;
    /** Version of the weights that answer. */
    readonly weights: number | undefined;
    readonly load: { readonly running: number; readonly waiting: number; } | undefined;
}

const HOP_HEADERS = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
]);

/** Headers that the entry sets itself, or that callers may not use to steer a server. */
const OWN_HEADERS = new Set([
    "key",
    "tenant",
    "deadline-ms",
    "expect-instance",
    "expect-version",
    "request-priority",
    "last-event-id",
    "path",
    "content-length",
]);

/** Longest key that is looked up; longer ones are unknown. */
const MAX_KEY_LENGTH = 256;

export function readCallerRequest(headers: IncomingHttpHeaders): CallerRequest {
    const [prompt, answer] = (text(headers["token-usage"]) ?? "").split(",").map(Number);
    const hint = Number(text(headers["length-hint"]));
    const deadline = Number(text(headers["deadline-ms"]) ?? Number.NaN);
    const key = text(headers["key"]);
    return {
        id: text(headers["attempt-id"]) ?? "",
        deadlineMs: Number.isFinite(deadline) ? deadline : undefined,
        key: key === undefined || key.length > MAX_KEY_LENGTH ? undefined : key,
        promptTokens: Number.isFinite(prompt) ? prompt ?? 0 : 0,
        maxAnswerTokens: Number.isFinite(answer) ? answer ?? 0 : 0,
        expectedAnswerTokens: Number.isFinite(hint) && hint > 0 ? hint : undefined,
        lastEventId: text(headers["last-event-id"]),
    };
}

/** Returns the headers of a request to a backend server, as alternating names and values. */
export function forwardedHeaders(rawHeaders: readonly string[], facts: ForwardingFacts, bodyBytes: number): string[] {
    const headers = copyHeaders(rawHeaders, OWN_HEADERS);
    headers.push("Expect-Instance", facts.serverId, "Deadline-Ms", String(Math.max(1, Math.floor(facts.remainingMs))));
    headers.push("Request-Priority", String(Math.min(9, Math.max(0, Math.floor(facts.rank)))));
    if (facts.account !== undefined) headers.push("Tenant", facts.account);
    if (facts.weights !== undefined) headers.push("Expect-Version", String(facts.weights));
    if (facts.lastEventId !== undefined) headers.push("Last-Event-Id", facts.lastEventId);
    const hasBody = hasHeader(rawHeaders, "content-length") || hasHeader(rawHeaders, "transfer-encoding");
    if (hasBody) headers.push("Content-Length", String(bodyBytes));
    return headers;
}

export function readServerFacts(headers: IncomingHttpHeaders): ServerFacts {
    const [running, waiting] = (text(headers["instance-load"]) ?? "").split(",").map(Number);
    const hasLoad = Number.isFinite(running) && Number.isFinite(waiting) && headers["instance-load"] !== undefined;
    const weights = Number(text(headers["weight-versions"]) ?? Number.NaN);
    return {
        requestId: text(headers["attempt-id"]),
        isNotRun: headers["not-executed"] !== undefined,
        isSigned: headers["response-seal"] !== undefined,
        serverId: text(headers["at-server"]) ?? text(headers["instance-id"]),
        weights: Number.isInteger(weights) ? weights : undefined,
        load: hasLoad ? { running: running ?? 0, waiting: waiting ?? 0 } : undefined,
    };
}

/** Returns the headers of a server's answer for the caller. The body's length is set by whoever sends it. */
export function answerHeaders(rawHeaders: readonly string[]): string[] {
    return copyHeaders(rawHeaders, new Set(["content-length"]));
}

/** Headers of an answer of the entry's own. `retryAfterMs` is sent in seconds with fractions. */
export function refusalHeaders(retryAfterMs: number | undefined, requestId: string): OutgoingHttpHeaders {
    return {
        ...requestId === "" ? {} : { "Attempt-Id": requestId },
        ...retryAfterMs === undefined ? {} : { "Retry-After": (retryAfterMs / 1000).toFixed(2) },
    };
}

/** Returns the identifier of a stream's event, or `undefined` if it has none. */
export function eventIdOf(event: string): string | undefined {
    return /^id: ?(.*)$/m.exec(event)?.[1];
}

/** Returns the version of the weights that an event switches to, or `undefined` if it doesn't. */
export function eventWeightsOf(event: string): number | undefined {
    const version = /^weight-versions: ?(\d+)$/m.exec(event)?.[1];
    return version === undefined ? undefined : Number(version);
}

function copyHeaders(rawHeaders: readonly string[], left: ReadonlySet<string>): string[] {
    const named = connectionHeaders(rawHeaders);
    const copied: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] ?? "";
        const lower = name.toLowerCase();
        if (HOP_HEADERS.has(lower) || left.has(lower) || named.has(lower)) continue;
        copied.push(name, rawHeaders[index + 1] ?? "");
    }
    return copied;
}

/** Headers that the `Connection` header names concern this connection only. */
function connectionHeaders(rawHeaders: readonly string[]): Set<string> {
    const named = new Set<string>();
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        if (rawHeaders[index]?.toLowerCase() !== "connection") continue;
        for (const name of (rawHeaders[index + 1] ?? "").split(",")) named.add(name.trim().toLowerCase());
    }
    return named;
}

function hasHeader(rawHeaders: readonly string[], name: string): boolean {
    return rawHeaders.some((value, index) => index % 2 === 0 && value.toLowerCase() === name);
}

function text(value: string | string[] | undefined): string | undefined {
    return Array.isArray(value) ? value[0] : value;
}
