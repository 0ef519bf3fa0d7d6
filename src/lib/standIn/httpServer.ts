/** Small HTTP server shared by the stand-ins. */
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { gzipSync } from "node:zlib";

/** Shorter bodies gain nothing from compression. */
const COMPRESSED_FROM_BYTES = 512;

export interface RunningServer {
    readonly url: string;
    readonly port: number;
    stop(): Promise<void>;
}

export type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

/** Starts a server on loopback; port 0 takes a free one. A handler that throws answers 500. */
export async function startHttpServer(handler: RequestHandler, port = 0, host = "127.0.0.1"): Promise<RunningServer> {
    const server = http.createServer((request, response) => {
        handler(request, response).catch((error: unknown) => {
            if (response.headersSent) response.destroy();
            else answerJson(response, 500, { error: String(error) });
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
    const pieces: Buffer[] = [];
    for await (const piece of request as AsyncIterable<Buffer>) pieces.push(piece);
    return Buffer.concat(pieces);
}

export async function readJson(request: http.IncomingMessage): Promise<unknown> {
    return JSON.parse((await readBody(request)).toString("utf8") || "{}");
}

export function answerJson(
    response: http.ServerResponse,
    status: number,
    body: unknown,
    headers: http.OutgoingHttpHeaders = {},
): void {
    response.writeHead(status, { "content-type": "application/json", ...headers });
    response.end(JSON.stringify(body));
}

/** Answers with JSON text, compressed if the client accepts that and the text is long enough. */
export function answerCompressible(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: Buffer,
    headers: http.OutgoingHttpHeaders,
): void {
    const isCompressed = body.length >= COMPRESSED_FROM_BYTES && request.headers["accept-encoding"] === "gzip";
    const encoding = isCompressed ? { "content-encoding": "gzip" } : {};
    response.writeHead(200, { "content-type": "application/json", ...encoding, ...headers });
    response.end(isCompressed ? gzipSync(body) : body);
}
