/**
 * The HTTP server for callers and the one that the load balancer asks whether the process is ready. Open
 * connections are served until the process ends; once it stops, answers tell callers to close them.
 */
import * as http from "node:http";
import type { CallerLimits } from "../core/serving/index.js";
import { listen } from "../node/listen.js";
import type { Address } from "../settings/vmSettings.js";

export interface CallerServer {
    applyLimits(limits: CallerLimits): void;
    /** Requests in progress. */
    active(): number;
    /** Takes no new connections and closes the idle ones. */
    stopListening(): void;
    close(): void;
    readonly port: number;
}

/** Room for the headers of any configuration; the limits of the callers lie below. */
const MAX_HEADER_BYTES = 64 * 1024;

export async function startCallerServer(
    address: Address,
    serve: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>,
): Promise<CallerServer> {
    let active = 0;
    const server = http.createServer({ maxHeaderSize: MAX_HEADER_BYTES, noDelay: true }, (request, response) => {
        active++;
        response.once("close", () => active--);
        void serve(request, response);
    });
    // The whole time of a request is bounded by its route.
    server.requestTimeout = 0;
    const port = await listen(server, address);
    return {
        applyLimits: limits => {
            server.headersTimeout = limits.headerTimeoutMs;
            server.keepAliveTimeout = limits.idleTimeoutMs;
        },
        active: () => active,
        stopListening: () => {
            server.close();
            server.closeIdleConnections();
        },
        close: () => server.closeAllConnections(),
        port,
    };
}

/** Answers every request with whether the process is ready. */
export async function startReadyServer(
    address: Address,
    isReady: () => boolean,
): Promise<{ readonly port: number; close(): void; }> {
    const server = http.createServer((_, response) => {
        response.writeHead(isReady() ? 200 : 503, { "content-length": 0 }).end();
    });
    const port = await listen(server, address);
    return {
        port,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
