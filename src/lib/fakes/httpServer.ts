/** HTTP server and response helpers shared by the fakes. */
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { gzipSync } from "node:zlib";

/** Shorter bodies aren't compressed, because compression gains nothing for them. */
const MIN_COMPRESSED_BODY_BYTES = 512;

export interface RunningServer {
    readonly url: string;
    readonly port: number;
    stop(): Promise<void>;
}

export type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

/** Starts a server, by default on loopback. Port 0 selects a free port. A handler that throws yields a 500 response. */
export async function startHttpServer(handler: RequestHandler, port = 0, host = "127.0.0.1"): Promise<RunningServer> {
    const server = http.createServer((request, response) => {
        handler(request, response).catch((error: unknown) => {
            if (response.headersSent) response.destroy();
            else sendJson(response, 500, { error: String(error) });
        });
    });
    server.keepAliveTimeout = 60_000;
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    const address = server.address() as AddressInfo;

    function stop(): Promise<void> {
        return new Promise(resolve => {
            server.close(() => resolve());
            server.closeAllConnections();
        });
    }

    return { url: `http://${host}:${address.port}`, port: address.port, stop };
}

export async function readBody(request: http.IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
    return Buffer.concat(chunks);
}

export async function readJson(request: http.IncomingMessage): Promise<unknown> {
    return JSON.parse((await readBody(request)).toString("utf8") || "{}");
}

export function sendJson(
    response: http.ServerResponse,
    status: number,
    body: unknown,
    headers: http.OutgoingHttpHeaders = {},
): void {
    response.writeHead(status, { "content-type": "application/json", ...headers });
    response.end(JSON.stringify(body));
}

/** Sends JSON text, compressed if the client accepts gzip and the text is long enough. */
export function sendCompressibleJson(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: Buffer,
    headers: http.OutgoingHttpHeaders,
): void {
    const isCompressed = body.length >= MIN_COMPRESSED_BODY_BYTES && request.headers["accept-encoding"] === "gzip";
    const encoding = isCompressed ? { "content-encoding": "gzip" } : {};
    response.writeHead(200, { "content-type": "application/json", ...encoding, ...headers });
    response.end(isCompressed ? gzipSync(body) : body);
}
