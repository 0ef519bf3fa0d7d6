/**
 * Runs the HTTP server for callers and the readiness server that the load balancer polls. During a graceful stop open
 * connections are still served, and responses tell callers to close them.
 */
import * as http from "node:http";
import type { Socket } from "node:net";
import type { CallerLimits } from "../core/serving/index.js";
import { closeUnlessReceiving } from "../node/idleTimeout.js";
import { listen, stopListening } from "../node/listen.js";
import type { Address } from "../settings/vmSettings.js";
import { createCallerConnections } from "./callerConnections.js";
import { CALLER_STALL_TIMEOUT_MS, createCallerStalls } from "./callerStalls.js";

export interface CallerServer {
    applyLimits(limits: CallerLimits): void;
    /** Returns the number of requests whose responses have neither ended nor been cut off. */
    inProgressCount(): number;
    /** Returns whether other requests on the connection of this response are in progress, which are pipelined. */
    hasOtherRequests(response: http.ServerResponse): boolean;
    /** Records that the connection closes after this response, so that requests behind it aren't served. */
    closeAfter(response: http.ServerResponse): void;
    /** Accepts no new connections; open ones continue. */
    stopListening(): void;
    /** Closes all connections, including those with requests in progress. */
    close(): void;
    readonly port: number;
}

/** Limit of the header size while it is parsed; requests are then held against the limit of the configuration. */
const MAX_HEADER_BYTES = 64 * 1024;

/** An idle connection is kept longer than its caller was told, for a request that is already on its way. */
const IDLE_MARGIN_MS = 1000;

/** Statuses for errors of Node's HTTP parser; all others are answered with 400. */
const ERROR_STATUSES: Readonly<Record<string, number>> = {
    HPE_HEADER_OVERFLOW: 431,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
    ERR_HTTP_REQUEST_TIMEOUT: 408,
};

export async function startCallerServer(
    address: Address,
    serve: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>,
    stallTimeoutMs = CALLER_STALL_TIMEOUT_MS,
): Promise<CallerServer> {
    const connections = createCallerConnections();
    const stalls = createCallerStalls(stallTimeoutMs, () => performance.now());
    // Node sets the timeout of an idle connection after its last response.
    const keepIdleFor = (socket: Socket, idleMs: number) => {
        if (!connections.hasRequests(socket)) extendIdleTimeout(socket, idleMs);
    };
    const server = http.createServer({ maxHeaderSize: MAX_HEADER_BYTES, noDelay: true }, (request, response) => {
        if (!connections.accept(response)) return;
        // The response carries the timeout that is set now.
        const advertisedIdleMs = server.keepAliveTimeout;
        response.once("close", () => keepIdleFor(request.socket, advertisedIdleMs + IDLE_MARGIN_MS));
        stalls.watch(request.socket);
        void serve(request, response);
    });
    server.on("connection", connections.add);
    server.on("timeout", socket => {
        if (connections.hasRequests(socket)) stalls.onTimeout(socket);
        else closeUnlessReceiving(socket);
    });
    // Also called for errors of the socket, which is destroyed then.
    server.on("clientError", ({ code = "" }: NodeJS.ErrnoException, socket) => {
        connections.endWith(ERROR_STATUSES[code] ?? 400, socket as Socket);
    });
    server.on("connect", (_, socket) => {
        // Node has removed its own listeners.
        socket.on("error", () => socket.destroy()).on("end", () => socket.destroy()).resume();
        socket.on("drain", () => connections.reportDrain(socket as Socket));
        connections.endWith(405, socket as Socket);
    });
    // Disabled, because the route's timeout bounds the whole request.
    server.requestTimeout = 0;
    const port = await listen(server, address);
    return {
        applyLimits: limits => {
            server.headersTimeout = limits.headerTimeoutMs;
            if (limits.idleTimeoutMs > server.keepAliveTimeout) {
                for (const socket of connections.sockets()) keepIdleFor(socket, limits.idleTimeoutMs + IDLE_MARGIN_MS);
            }
            server.keepAliveTimeout = limits.idleTimeoutMs;
        },
        inProgressCount: connections.inProgressCount,
        hasOtherRequests: connections.hasOtherRequests,
        closeAfter: connections.closeAfter,
        stopListening: () => stopListening(server),
        close: () => {
            for (const socket of connections.sockets()) socket.destroy();
        },
        port,
    };
}

/** Restarts the timeout of an idle connection with at least `idleMs`. */
function extendIdleTimeout(socket: Socket, idleMs: number): void {
    const { timeout = 0 } = socket;
    if (!socket.destroyed && timeout > 0) socket.setTimeout(Math.max(timeout, idleMs));
}

/** Starts a server that responds to every request with 200 while the process is ready and with 503 otherwise. */
export async function startReadinessServer(
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
