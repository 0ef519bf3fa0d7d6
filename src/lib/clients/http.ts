/**
 * Requests to the platform and to backend servers over Node's `http`. Use `sendRequest` for small
 * bodies that are read whole and `openRequest` for streams.
 */
import * as http from "node:http";
import { promisify } from "node:util";
import { gunzip } from "node:zlib";
import VError from "verror";

export interface HttpRequest {
    readonly method: string;
    readonly url: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly body?: Uint8Array | string;
    /** Time without any byte from the server after which the request fails. */
    readonly timeoutMs?: number;
    readonly signal?: AbortSignal;
    readonly agent?: http.Agent;
    /**
     * Lets the server compress the answer for `sendRequest`. The entity tag may then differ from that of the
     * uncompressed content, so don't use it for conditional writes.
     */
    readonly compressed?: boolean;
}

export interface HttpAnswer {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: Buffer;
}

const DEFAULT_TIMEOUT_MS = 5000;

/** Largest body that `sendRequest` accepts, in bytes. */
const MAX_BODY_BYTES = 64 * 1024 * 1024;

const decompress = promisify(gunzip) as (data: Buffer, options: { maxOutputLength: number; }) => Promise<Buffer>;

/**
 * Sends a request and resolves with the response once its head has arrived. The caller must consume
 * or destroy the stream.
 *
 * @throws VError named `HttpError`. Its info `connected` tells whether the connection was established,
 * and so whether the server may have seen the request.
 */
export function openRequest(request: HttpRequest): Promise<http.IncomingMessage> {
    return new Promise((resolve, reject) => {
        let connected = false;
        const fail = (cause: Error) => {
            reject(
                new VError({ name: "HttpError", cause, info: { connected } }, "%s %s", request.method, request.url),
            );
        };
        const outgoing = http.request(request.url, {
            method: request.method,
            headers: request.headers,
            signal: request.signal,
            agent: request.agent,
            // Covers the time until the connection stands; `setTimeout` below counts only from then on.
            timeout: request.timeoutMs ?? DEFAULT_TIMEOUT_MS,
        });
        outgoing.on("socket", socket => {
            if (!socket.connecting) connected = true;
            else socket.once("connect", () => connected = true);
        });
        outgoing.setTimeout(request.timeoutMs ?? DEFAULT_TIMEOUT_MS, () => {
            outgoing.destroy(new Error("timed out"));
        });
        outgoing.on("error", fail);
        outgoing.on("response", resolve);
        outgoing.end(request.body);
    });
}

/** Sends a request and reads the whole answer. Throws as `openRequest` does. */
export async function sendRequest(request: HttpRequest): Promise<HttpAnswer> {
    const headers = request.compressed === true ? { ...request.headers, "accept-encoding": "gzip" } : request.headers;
    const response = await openRequest({ ...request, headers });
    const pieces: Buffer[] = [];
    let size = 0;
    let body: Buffer;
    try {
        for await (const piece of response as AsyncIterable<Buffer>) {
            size += piece.length;
            if (size > MAX_BODY_BYTES) throw new Error("the answer is too large");
            pieces.push(piece);
        }
        body = Buffer.concat(pieces);
        if (response.headers["content-encoding"] === "gzip") {
            body = await decompress(body, { maxOutputLength: MAX_BODY_BYTES });
        }
    }
    catch (error) {
        const info = { connected: true };
        throw new VError({ name: "HttpError", cause: error as Error, info }, "%s %s", request.method, request.url);
    }
    return { status: response.statusCode ?? 0, headers: response.headers, body };
}

/** Tells whether a failed request certainly never reached the server. */
export function wasNeverSent(error: unknown): boolean {
    return error instanceof Error && VError.info(error).connected === false;
}
