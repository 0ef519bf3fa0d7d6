/** Runs the entry's HTTP server: input limits, routing, health checks and graceful shutdown. */
import { randomUUID } from "node:crypto";
import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import VError from "verror";
import { closeUnlessReceiving } from "../node/idleTimeout.js";
import { stopListening } from "../node/listen.js";
import { createLog } from "../observability/index.js";
import { type AdminDependencies, serveAdmin } from "./adminApi.js";
import { serveCompletion, serveModels } from "./openaiApi.js";
import { createParserErrors } from "./parserError.js";
import { rejection, sendProblem } from "./problem.js";
import type { RequestContext } from "./requestContext.js";
import { serveService } from "./servicesApi.js";

const log = createLog("entry:server");

/**
 * Time between reporting not ready and closing the server, so that requests are served until the load balancer
 * notices. Closing at once would reset connections on which a request is arriving.
 */
const READINESS_GRACE_MS = 2000;

export const REQUEST_ID_HEADER = "endivewell-request-id";

/** Interval at which Node checks for requests that take longer than `limits.requestMs` to arrive. */
const CONNECTION_CHECK_INTERVAL_MS = 1000;

/** Above this fraction of the connection limit, a new connection evicts the longest idle one. */
const IDLE_EVICTION_FRACTION = 0.9;

export interface EntryServer {
    readonly port: number;
    /** Reports not ready, accepts requests for a grace period, then drains them for up to `timeoutMs` and closes. */
    stop(timeoutMs: number): Promise<void>;
}

export async function startEntryServer(dependencies: AdminDependencies): Promise<EntryServer> {
    const { http: listenAddress, limits } = dependencies.settings;
    let isDraining = false;

    async function route(context: RequestContext): Promise<void> {
        const { response, request, url } = context;
        const { pathname } = url;
        if (pathname === "/healthz") return sendHealth(response, true);
        if (pathname === "/readyz") return sendHealth(response, !isDraining && dependencies.isReady());
        if (pathname.startsWith("/admin/")) return serveAdmin(dependencies, context);
        if (pathname.startsWith("/services/")) return serveService(dependencies, context);
        const isCompletion = pathname === "/v1/chat/completions" || pathname === "/v1/completions";
        if (isCompletion && request.method === "POST") return serveCompletion(dependencies, context);
        if (pathname === "/v1/models" && request.method === "GET") return serveModels(dependencies, context);
        sendProblem(response, rejection(404, "no such resource", `${request.method} ${pathname} isn't served`));
    }

    const options = {
        maxHeaderSize: limits.headerBytes,
        requestTimeout: limits.requestMs,
        headersTimeout: limits.requestMs,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        // The request handler below rejects a missing Host header with a problem document.
        requireHostHeader: false,
    };
    const parserErrors = createParserErrors();
    const server = http.createServer(options, (request, response) => {
        const requestId = randomUUID();
        response.setHeader(REQUEST_ID_HEADER, requestId);
        parserErrors.track(request, response);
        if (isDraining) response.setHeader("connection", "close");
        if (request.httpVersion === "1.1" && request.headers.host === undefined) {
            return sendProblem(response, rejection(400, "no Host header", "name the entry in the Host header"));
        }
        const url = parseUrl(request.url ?? "/");
        if (url === undefined) return sendProblem(response, rejection(400, "invalid address", "send a valid path"));
        route({ requestId, request, response, url }).catch((error: Error) => {
            log.warn("request %s failed: %s", requestId, error.message);
            const detail = "see the entry's log for the request identifier";
            sendProblem(response, { status: 500, title: "internal error", detail, verdict: "mayHaveRun" });
        });
    });
    server.on("clientError", parserErrors.handleClientError);
    server.on("checkExpectation", (_request, response: http.ServerResponse) => {
        sendProblem(response, rejection(417, "unknown expectation", "send Expect: 100-continue or no Expect header"));
    });
    server.maxConnections = limits.connections;
    server.on("timeout", closeUnlessReceiving);
    const idleConnections = trackIdleConnections(server, limits.connections);
    await new Promise<void>((resolve, reject) => {
        server.once("error", error => {
            reject(
                new VError(
                    { name: "ListenError", cause: error },
                    "can't listen on %s:%d; choose a free port in http.port",
                    listenAddress.host,
                    listenAddress.port,
                ),
            );
        });
        server.listen(listenAddress.port, listenAddress.host, resolve);
    });

    async function stop(timeoutMs: number): Promise<void> {
        isDraining = true;
        await sleep(Math.min(READINESS_GRACE_MS, timeoutMs));
        await new Promise<void>(resolve => {
            const timer = setTimeout(() => server.closeAllConnections(), timeoutMs);
            stopListening(server, () => {
                clearTimeout(timer);
                resolve();
            });
            idleConnections.close();
        });
    }

    return { port: (server.address() as AddressInfo).port, stop };
}

/**
 * Closes the longest idle connection when the limit is near, so that idle callers can't use up all connections. After
 * `close` it closes every connection that is idle or becomes so.
 */
function trackIdleConnections(server: http.Server, maxConnections: number): { close(): void; } {
    let isClosing = false;
    const openSockets = new Set<Socket>();
    // A Map iterates in insertion order, so its first key has been idle for longest. The values are the bytes that had
    // been received by then.
    const idleSockets = new Map<Socket, number>();
    server.on("connection", socket => {
        openSockets.add(socket);
        idleSockets.set(socket, 0);
        socket.on("close", () => {
            openSockets.delete(socket);
            idleSockets.delete(socket);
        });
        const [longestIdle] = idleSockets.keys();
        if (openSockets.size > maxConnections * IDLE_EVICTION_FRACTION) longestIdle?.destroy();
    });
    server.on("request", ({ socket }, response) => {
        idleSockets.delete(socket);
        response.on("close", () => {
            if (isClosing) socket.destroySoon();
            else if (!socket.destroyed) idleSockets.set(socket, socket.bytesRead);
        });
    });
    return {
        close: () => {
            isClosing = true;
            for (const [socket, receivedBytes] of idleSockets) {
                // Otherwise a request has begun to arrive.
                if (socket.bytesRead === receivedBytes) socket.destroySoon();
            }
        },
    };
}

function sendHealth(response: http.ServerResponse, isHealthy: boolean): void {
    response.writeHead(isHealthy ? 200 : 503, { "content-type": "text/plain" });
    response.end(isHealthy ? "ok\n" : "not ready\n");
}

function parseUrl(path: string): URL | undefined {
    return URL.canParse(path, "http://entry") ? new URL(path, "http://entry") : undefined;
}
