/**
 * HTTP client for the platform and for backend servers, based on Node's `http`. Use `sendRequest` for small response
 * bodies, which are read completely, and `openRequest` for streams.
 */
import * as http from "node:http";
import { promisify } from "node:util";
import { gunzip } from "node:zlib";
import VError from "verror";
import { createByteCollector } from "../core/byteCollector.js";

export interface HttpRequest {
    readonly method: string;
    readonly url: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly body?: Uint8Array | string;
    /**
     * The request fails after this time without receiving any byte from the server. `sendRequest` also fails after
     * `TOTAL_TIMEOUT_FACTOR` times this time in any case.
     */
    readonly timeoutMs?: number;
    /**
     * Time within which the connection must be established; by default `timeoutMs`. A packet that is sent to a VM
     * without power is lost, and TCP repeats it only after a second, even if the VM is back much earlier.
     */
    readonly connectTimeoutMs?: number;
    readonly signal?: AbortSignal;
    readonly agent?: http.Agent;
    /**
     * Lets the server compress the response; supported by `sendRequest` only. The entity tag may then differ from
     * that of the uncompressed content, so don't use it for conditional writes.
     */
    readonly compressed?: boolean;
}

export interface HttpResponse {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: Buffer;
}

const DEFAULT_TIMEOUT_MS = 5000;

/** Bounds the duration of a response that arrives byte by byte. */
const TOTAL_TIMEOUT_FACTOR = 6;

/** Largest body that `sendRequest` accepts, in bytes. */
const MAX_BODY_BYTES = 64 * 1024 * 1024;

const gunzipAsync = promisify(gunzip) as (data: Buffer, options: { maxOutputLength: number; }) => Promise<Buffer>;

/**
 * Sends a request and resolves with the response once its headers have arrived. The caller must consume or destroy
 * the stream.
 *
 * @throws VError named `HttpError`. Its info `connected` tells whether the connection was established, in which case
 * the server may have received the request, and `reusedConnection` whether an earlier request had used it.
 */
export function openRequest(request: HttpRequest): Promise<http.IncomingMessage> {
    return new Promise((resolve, reject) => {
        let connected = false;
        const rejectWith = (cause: Error) => {
            const info = { connected, reusedConnection: outgoing.reusedSocket };
            reject(new VError({ name: "HttpError", cause, info }, "%s %s", request.method, request.url));
        };
        const outgoing = http.request(request.url, {
            method: request.method,
            headers: request.headers,
            signal: request.signal,
            agent: request.agent,
            // Limits the time until the connection is established; `setTimeout` below takes effect only after that.
            timeout: request.timeoutMs ?? DEFAULT_TIMEOUT_MS,
        });
        outgoing.on("socket", socket => {
            if (!socket.connecting) {
                connected = true;
                return;
            }
            const onConnectTimeout = () => {
                if (!connected) outgoing.destroy(new Error("connecting timed out"));
            };
            // After a pause of this process the event loop first reads what has arrived; so does the timeout below.
            const timer = request.connectTimeoutMs === undefined ?
                undefined :
                setTimeout(() => setImmediate(onConnectTimeout), request.connectTimeoutMs);
            socket.once("connect", () => {
                connected = true;
                clearTimeout(timer);
            });
            socket.once("close", () => clearTimeout(timer));
        });
        outgoing.setTimeout(request.timeoutMs ?? DEFAULT_TIMEOUT_MS);
        outgoing.on("timeout", () => {
            const isConnecting = outgoing.socket?.connecting;
            const bytesRead = outgoing.socket?.bytesRead;
            setImmediate(() => {
                const hasProgressed = outgoing.socket?.connecting !== isConnecting ||
                    outgoing.socket?.bytesRead !== bytesRead;
                if (!hasProgressed) outgoing.destroy(new Error("no data received before the timeout"));
            });
        });
        outgoing.on("error", cause => {
            destroyIdleConnections(request);
            rejectWith(cause);
        });
        outgoing.on("response", resolve);
        outgoing.end(request.body);
    });
}

/**
 * Closes the idle connections to the server of a request that got no response. Whatever silenced the request's
 * connection may have silenced them too, and each would fail only after a time-out of its own.
 */
function destroyIdleConnections({ url, agent = http.globalAgent }: HttpRequest): void {
    const { hostname, port } = new URL(url);
    const idleSockets = agent.freeSockets[agent.getName({ host: hostname, port: Number(port) })] ?? [];
    for (const socket of idleSockets) socket.destroy();
}

/** Sends a request and reads the complete response. Throws the same errors as `openRequest`. */
export async function sendRequest(request: HttpRequest): Promise<HttpResponse> {
    const headers = request.compressed === true ? { ...request.headers, "accept-encoding": "gzip" } : request.headers;
    const totalTimeoutMs = TOTAL_TIMEOUT_FACTOR * (request.timeoutMs ?? DEFAULT_TIMEOUT_MS);
    const totalTimeout = new AbortController();
    const timer = setTimeout(() => totalTimeout.abort(), totalTimeoutMs);
    const signal = request.signal === undefined ?
        totalTimeout.signal :
        AbortSignal.any([request.signal, totalTimeout.signal]);
    try {
        return await readResponse(request, await openRequest({ ...request, headers, signal }));
    }
    finally {
        clearTimeout(timer);
    }
}

async function readResponse(request: HttpRequest, response: http.IncomingMessage): Promise<HttpResponse> {
    const received = createByteCollector();
    let body: Buffer;
    try {
        for await (const buffer of response as AsyncIterable<Buffer>) {
            received.append(buffer);
            if (received.byteCount() > MAX_BODY_BYTES) {
                throw new Error(`the response body exceeds ${MAX_BODY_BYTES} bytes`);
            }
        }
        body = received.take();
        if (response.headers["content-encoding"] === "gzip") {
            body = await gunzipAsync(body, { maxOutputLength: MAX_BODY_BYTES });
        }
    }
    catch (error) {
        const info = { connected: true };
        throw new VError({ name: "HttpError", cause: error as Error, info }, "%s %s", request.method, request.url);
    }
    return { status: response.statusCode ?? 0, headers: response.headers, body };
}

/** Returns whether an error proves that the request never reached the server. */
export function provesNotSent(error: unknown): boolean {
    return error instanceof Error && VError.info(error).connected === false;
}

/** Returns whether a call failed because the VM responds, but no process listens there. */
export function isConnectionRefused(error: unknown): boolean {
    return error instanceof Error && (VError.cause(error) as NodeJS.ErrnoException | null)?.code === "ECONNREFUSED";
}
