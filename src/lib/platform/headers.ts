/**
 * Translates the platform's HTTP headers and stream fields between callers, entries and backend servers. Their names
 * are used in this module only.
 */
import { createHash } from "node:crypto";
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";

/** Metadata of a caller's request, parsed from its headers. */
export interface CallerRequest {
    /** Identifies one attempt of the caller; empty if it sent no identifier. */
    readonly id: string;
    /** Milliseconds for which the caller waits for the response; `undefined` if it sent no valid number. */
    readonly deadlineMs: number | undefined;
    /** API key of the client account; `undefined` if it is missing or too long. */
    readonly key: string | undefined;
    /** 0 if the caller sent no valid number. */
    readonly promptTokens: number;
    /** 0 if the caller sent no valid number. */
    readonly maxOutputTokens: number;
    /** The caller's estimate of the number of output tokens. */
    readonly expectedOutputTokens: number | undefined;
    /** Id of the event after which the caller resumes a stream. */
    readonly lastEventId: string | undefined;
    /** Identifiers of the prompt's parts that other requests may share, in order; without the last part. */
    readonly sharedPromptParts: readonly string[];
    /** Identifier of the last part of the prompt, which belongs to the request or its session; empty if unknown. */
    readonly ownPromptPart: string;
}

/** Metadata that an entry adds to a request that it forwards. */
export interface ForwardedRequestMetadata {
    readonly serverId: string;
    /** Milliseconds left until the request expires. */
    readonly remainingMs: number;
    /** Name of the client account; `undefined` on public routes. */
    readonly account: string | undefined;
    /** 0 is the most urgent, 9 the least; sent rounded down and clamped to this range. */
    readonly rank: number;
    /** The only weights version that may serve the request; `undefined` if any may. */
    readonly requiredWeightsVersion: number | undefined;
    readonly lastEventId: string | undefined;
}

/** Metadata of a backend server's response, parsed from its headers. */
export interface ResponseMetadata {
    /** Identifier of the request that the response belongs to. */
    readonly requestId: string | undefined;
    /** True if the server states that it didn't run the request. */
    readonly isNotRun: boolean;
    /** True if the response carries the server's signature, which is not verified here. */
    readonly isSigned: boolean;
    /** Identifier of the server that responded, if it sends one. */
    readonly serverId: string | undefined;
    /** Version of the weights that produced the response. */
    readonly weightsVersion: number | undefined;
    /** The server's requests in progress and in its queue; `undefined` if it doesn't report them. */
    readonly load: { readonly running: number; readonly waiting: number; } | undefined;
    /**
     * Factor by which work takes longer than usual on the server's VM at this moment; `undefined` if the server
     * doesn't report it.
     */
    readonly slowdown: number | undefined;
    /** True if the server that responded is leaving and must get no new requests. */
    readonly isLeaving: boolean;
    /** For how much longer the server is cold, in milliseconds; `undefined` if it doesn't say. */
    readonly coldRemainingMs: number | undefined;
    /** Time for which the server wants no further requests; `undefined` if it names none. */
    readonly backoffMs: number | undefined;
}

/** Headers that apply to a single connection and aren't forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
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

/** Request headers that the entry sets itself or that callers may not use to control a server. */
const ENTRY_ONLY_HEADERS = new Set([
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

/** Status with which a server turns a request away for now. */
const UNAVAILABLE_STATUS = 503;

/** Longer identifiers of parts are replaced by their digests, which are as long as this. */
const MAX_PART_ID_LENGTH = 64;

export function parseCallerRequest(headers: IncomingHttpHeaders): CallerRequest {
    const [promptTokens, maxOutputTokens] = (firstValue(headers["token-usage"]) ?? "").split(",").map(Number);
    const expectedOutputTokens = Number(firstValue(headers["length-hint"]));
    const deadlineMs = Number(firstValue(headers["deadline-ms"]) ?? Number.NaN);
    const key = firstValue(headers["key"]);
    const promptParts = parsePromptParts(firstValue(headers["prompt-prefix"]));
    return {
        id: firstValue(headers["attempt-id"]) ?? "",
        deadlineMs: Number.isFinite(deadlineMs) ? deadlineMs : undefined,
        key,
        promptTokens: Number.isFinite(promptTokens) ? promptTokens ?? 0 : 0,
        maxOutputTokens: Number.isFinite(maxOutputTokens) ? maxOutputTokens ?? 0 : 0,
        expectedOutputTokens: Number.isFinite(expectedOutputTokens) && expectedOutputTokens > 0 ?
            expectedOutputTokens :
            undefined,
        lastEventId: firstValue(headers["last-event-id"]),
        sharedPromptParts: promptParts.slice(0, -1),
        ownPromptPart: promptParts.at(-1) ?? "",
    };
}

/**
 * Returns the identifiers of a prompt's parts, which are listed with their numbers of tokens. Only the limit of the headers
 * bounds their number.
 */
function parsePromptParts(value: string | undefined): string[] {
    const parts = value?.split(",") ?? [];
    return parts.map(part => {
        const id = part.trim().split(":")[0] ?? "";
        return id.length <= MAX_PART_ID_LENGTH ? id : createHash("sha256").update(id).digest("hex");
    });
}

/** Returns the headers of the request to a backend server as alternating names and values. */
export function forwardedRequestHeaders(
    rawHeaders: readonly string[],
    metadata: ForwardedRequestMetadata,
    bodyLengthBytes: number,
): string[] {
    const headers = copyHeaders(rawHeaders, ENTRY_ONLY_HEADERS);
    headers.push(
        "Expect-Instance",
        metadata.serverId,
        "Deadline-Ms",
        String(Math.max(1, Math.floor(metadata.remainingMs))),
    );
    headers.push("Request-Priority", String(Math.min(9, Math.max(0, Math.floor(metadata.rank)))));
    if (metadata.account !== undefined) headers.push("Tenant", metadata.account);
    if (metadata.requiredWeightsVersion !== undefined) {
        headers.push("Expect-Version", String(metadata.requiredWeightsVersion));
    }
    if (metadata.lastEventId !== undefined) headers.push("Last-Event-Id", metadata.lastEventId);
    const hasBody = hasHeader(rawHeaders, "content-length") || hasHeader(rawHeaders, "transfer-encoding");
    if (hasBody) headers.push("Content-Length", String(bodyLengthBytes));
    return headers;
}

export function parseResponseMetadata(status: number, headers: IncomingHttpHeaders): ResponseMetadata {
    const [running, waiting, , percentOfUsualTime = Number.NaN] = (firstValue(headers["instance-load"]) ?? "")
        .split(",")
        .map(Number);
    const hasLoad = Number.isFinite(running) && Number.isFinite(waiting) && headers["instance-load"] !== undefined;
    const weightsVersion = Number(firstValue(headers["weight-versions"]) ?? Number.NaN);
    const coldRemainingMs = Number(firstValue(headers["cold-ms"]) ?? Number.NaN);
    return {
        requestId: firstValue(headers["attempt-id"]),
        isNotRun: headers["not-executed"] !== undefined,
        isSigned: headers["response-seal"] !== undefined,
        serverId: firstValue(headers["at-server"]) ?? firstValue(headers["instance-id"]),
        weightsVersion: Number.isInteger(weightsVersion) ? weightsVersion : undefined,
        load: hasLoad ? { running: running ?? 0, waiting: waiting ?? 0 } : undefined,
        slowdown: Number.isFinite(percentOfUsualTime) && percentOfUsualTime > 0 ? percentOfUsualTime / 100 : undefined,
        coldRemainingMs: Number.isFinite(coldRemainingMs) ? Math.max(0, coldRemainingMs) : undefined,
        isLeaving: firstValue(headers["server-leaving"]) === "1",
        backoffMs: status === UNAVAILABLE_STATUS ? parseRetryAfterMs(headers["retry-after"]) : undefined,
    };
}

/** HTTP dates are ignored: the platform's servers send seconds, and the clocks of VMs may differ. */
function parseRetryAfterMs(text: string | undefined): number | undefined {
    if (text === undefined || !/^\d+(\.\d+)?$/.test(text)) return undefined;
    const seconds = Number(text);
    return seconds > 0 ? seconds * 1000 : undefined;
}

/** Returns the headers of a server's response for the caller, without `Content-Length`, which the sender sets. */
export function forwardedResponseHeaders(rawHeaders: readonly string[]): string[] {
    return copyHeaders(rawHeaders, new Set(["content-length"]));
}

/** Returns the headers of a response of the entry itself. `retryAfterMs` is sent in fractional seconds. */
export function localResponseHeaders(retryAfterMs: number | undefined, requestId: string): OutgoingHttpHeaders {
    return {
        ...requestId === "" ? {} : { "Attempt-Id": requestId },
        ...retryAfterMs === undefined ? {} : { "Retry-After": (retryAfterMs / 1000).toFixed(2) },
    };
}

/** Returns the id of a server-sent event, or `undefined` if it has none. */
export function parseEventId(event: string): string | undefined {
    return /^id: ?(.*)$/m.exec(event)?.[1];
}

/** Returns the weights version that an event switches to, or `undefined` if it names none. */
export function parseEventWeightsVersion(event: string): number | undefined {
    const version = /^weight-versions: ?(\d+)$/m.exec(event)?.[1];
    return version === undefined ? undefined : Number(version);
}

function copyHeaders(rawHeaders: readonly string[], excluded: ReadonlySet<string>): string[] {
    const connectionNames = connectionHeaderNames(rawHeaders);
    const copied: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] ?? "";
        const lowerName = name.toLowerCase();
        if (HOP_BY_HOP_HEADERS.has(lowerName) || excluded.has(lowerName) || connectionNames.has(lowerName)) continue;
        copied.push(name, rawHeaders[index + 1] ?? "");
    }
    return copied;
}

/** Returns the lower-case names of the headers that `Connection` lists as hop-by-hop. */
function connectionHeaderNames(rawHeaders: readonly string[]): Set<string> {
    const names = new Set<string>();
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        if (rawHeaders[index]?.toLowerCase() !== "connection") continue;
        for (const name of (rawHeaders[index + 1] ?? "").split(",")) names.add(name.trim().toLowerCase());
    }
    return names;
}

function hasHeader(rawHeaders: readonly string[], name: string): boolean {
    return rawHeaders.some((value, index) => index % 2 === 0 && value.toLowerCase() === name);
}

function firstValue(value: string | string[] | undefined): string | undefined {
    return Array.isArray(value) ? value[0] : value;
}
