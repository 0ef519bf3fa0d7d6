/** The entry's HTTP server: limits on input, routes, health, and a stop that lets requests finish. */
import { randomUUID } from "node:crypto";
import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import VError from "verror";
import { createLog } from "../observability/index.js";
import { type AdminParts, serveAdmin } from "./adminApi.js";
import { serveCompletion, serveModels } from "./openaiApi.js";
import { createParserErrors } from "./parserError.js";
import { rejection, sendProblem } from "./problem.js";
import type { RequestContext } from "./requestContext.js";
import { serveService } from "./servicesApi.js";

const log = createLog("entry:server");

/**
 * Time between failing readiness and closing the server. Requests that arrive before the load balancer
 * notices are answered; a server that closes at once resets connections on which a request is arriving.
 */
const READINESS_NOTICE_MS = 2000;

export const REQUEST_ID_HEADER = "endivewell-request-id";

/** How often connections are checked for requests that take too long to arrive. */
const CONNECTION_CHECK_MS = 1000;

/** Above this fraction of the connection limit, idle connections are closed for new ones. */
const FULL = 0.9;

export interface EntryServer {
    readonly port: number;
    /** Fails readiness at once, takes requests for a short time, and resolves when all have ended or after the timeout. */
    stop(timeoutMs: number): Promise<void>;
}

export async function startEntryServer(parts: AdminParts): Promise<EntryServer> {
    const { http: listen, limits } = parts.settings;
    let leaving = false;

    async function route(context: RequestContext): Promise<void> {
        const { response, request, url } = context;
        const { pathname } = url;
        if (pathname === "/healthz") return sendHealth(response, true);
        if (pathname === "/readyz") return sendHealth(response, !leaving && parts.ready());
        if (pathname.startsWith("/admin/")) return serveAdmin(parts, context);
        if (pathname.startsWith("/services/")) return serveService(parts, context);
        const isCompletion = pathname === "/v1/chat/completions" || pathname === "/v1/completions";
        if (isCompletion && request.method === "POST") return serveCompletion(parts, context);
        if (pathname === "/v1/models" && request.method === "GET") return serveModels(parts, context);
        sendProblem(response, rejection(404, "no such resource", `${request.method} ${pathname} isn't served`));
    }

    const options = {
        maxHeaderSize: limits.headerBytes,
        requestTimeout: limits.requestMs,
        headersTimeout: limits.requestMs,
        connectionsCheckingInterval: CONNECTION_CHECK_MS,
        // The server answers a missing Host header itself, with a problem document.
        requireHostHeader: false,
    };
    const parserErrors = createParserErrors();
    const server = http.createServer(options, (request, response) => {
        const requestId = randomUUID();
        response.setHeader(REQUEST_ID_HEADER, requestId);
        parserErrors.track(request, response);
        if (leaving) response.setHeader("connection", "close");
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
    server.on("clientError", parserErrors.answer);
    server.on("checkExpectation", (_request, response: http.ServerResponse) => {
        sendProblem(response, rejection(417, "unknown expectation", "send Expect: 100-continue or no Expect header"));
    });
    server.maxConnections = limits.connections;
    closeIdleWhenFull(server, limits.connections);
    await new Promise<void>((resolve, reject) => {
        server.once("error", error => {
            reject(
                new VError(
                    { name: "ListenError", cause: error },
                    "can't listen on %s:%d; choose a free port in http.port",
                    listen.host,
                    listen.port,
                ),
            );
        });
        server.listen(listen.port, listen.host, resolve);
    });

    async function stop(timeoutMs: number): Promise<void> {
        leaving = true;
        await sleep(Math.min(READINESS_NOTICE_MS, timeoutMs));
        await new Promise<void>(resolve => {
            const timer = setTimeout(() => server.closeAllConnections(), timeoutMs);
            server.close(() => {
                clearTimeout(timer);
                resolve();
            });
            server.closeIdleConnections();
        });
    }

    return { port: (server.address() as AddressInfo).port, stop };
}

/** Keeps many idle connections of some callers from using up the limit: the one idle for longest goes. */
function closeIdleWhenFull(server: http.Server, limit: number): void {
    const open = new Set<Socket>();
    // A Set keeps the order of insertion, so its first element is idle for longest.
    const idle = new Set<Socket>();
    server.on("connection", socket => {
        open.add(socket);
        idle.add(socket);
        socket.on("close", () => {
            open.delete(socket);
            idle.delete(socket);
        });
        const [oldest] = idle;
        if (open.size > limit * FULL) oldest?.destroy();
    });
    server.on("request", ({ socket }, response) => {
        idle.delete(socket);
        response.on("close", () => {
            if (!socket.destroyed) idle.add(socket);
        });
    });
}

function sendHealth(response: http.ServerResponse, healthy: boolean): void {
    response.writeHead(healthy ? 200 : 503, { "content-type": "text/plain" });
    response.end(healthy ? "ok\n" : "not ready\n");
}

function parseUrl(path: string): URL | undefined {
    return URL.canParse(path, "http://entry") ? new URL(path, "http://entry") : undefined;
}
