/**
 * Pools HTTP connections to backend servers with Node's `http` agents. The most recently used idle connection is
 * reused first. An idle connection that receives bytes is closed: they belong to no request, and anything that follows
 * them could be mistaken for the response to the next one.
 */
import * as http from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import VError from "verror";
import { Verdict } from "../core/verdict.js";
import { hasResponseBody } from "../node/responseBody.js";
import { createSilenceTimer } from "../node/silenceTimer.js";

export interface BackendRequest {
    readonly serverId: string;
    readonly address: string;
    readonly method: string;
    readonly path: string;
    /** Flat list of alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** Cancels the request and resets its connection; a text as its reason becomes the message of the error. */
    readonly signal: AbortSignal;
    /** If false, the request must not run twice; it gets a new connection, as a pooled one may be about to close. */
    readonly isRetryable: boolean;
    /** Called right before the request is written; if it returns false, nothing is written. */
    readonly mayWrite: () => boolean;
}

export interface BackendConnections {
    /**
     * Sends a request and resolves with the response once its headers have arrived.
     *
     * A response whose status isn't a final one is an error, and its connection is reset.
     *
     * @throws VError named `SendError` with the info `verdict`: `notRun` if nothing was written, else `mayHaveRun`; and
     * `isWithheld`: true if `mayWrite` returned false, which says nothing about the server.
     */
    send(request: BackendRequest): Promise<http.IncomingMessage>;
    /**
     * Tells whether a response that has ended is complete. A response without framing (neither a length nor chunked
     * encoding) is complete if its connection was closed cleanly; Node reports it as complete also after a reset.
     */
    isComplete(response: http.IncomingMessage): Promise<boolean>;
    /** Closes the idle connections to a server, so that the next requests open new ones. */
    closeIdle(serverId: string): void;
    /** Closes the idle connections to a removed server; requests in progress continue. */
    removeServer(serverId: string): void;
    close(): void;
}

/** A connection to the farthest region takes up to 10 ms to open, and a lost packet adds 200 ms. */
const CONNECT_TIMEOUT_MS = 500;

/** Informational (1xx) responses that may precede the final one. */
const MAX_INFORMATIONAL_RESPONSES = 8;

/** Statuses of final responses (RFC 9110, section 15). Node passes on any number; servers in trouble sent 0 to 999. */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/** Idle connections are closed well before the server's own idle timeout could close them under a new request. */
const IDLE_TIMEOUT_MS = 4000;

/**
 * Keeps a socket writable after the server ends it, so that `awaitCleanClose` can probe it with a write. HTTP agents
 * pass the option on to the socket.
 */
const SOCKET_OPTIONS = { allowHalfOpen: true } as http.AgentOptions;

export function createBackendConnections(): BackendConnections {
    const httpAgents = new Map<string, http.Agent>();
    const cleanCloses = new WeakMap<http.IncomingMessage, Promise<boolean>>();

    function httpAgentFor(serverId: string): http.Agent {
        let httpAgent = httpAgents.get(serverId);
        if (httpAgent === undefined) httpAgents.set(serverId, httpAgent = createHttpAgent());
        return httpAgent;
    }

    function send(request: BackendRequest): Promise<http.IncomingMessage> {
        return new Promise((resolve, reject) => {
            if (request.signal.aborted) {
                reject(sendError("cancelled", Verdict.notRun));
                return;
            }
            const [host, port] = request.address.split(":");
            let mayBeWritten = false;
            let abortMessage: string | undefined;
            let isWithheld = false;
            const outgoing = http.request({
                host,
                port,
                method: request.method,
                path: request.path,
                // Node sends a flat list unchanged and adds no headers of its own.
                headers: [...request.headers, "Connection", request.isRetryable ? "keep-alive" : "close"],
                agent: request.isRetryable ? httpAgentFor(request.serverId) : new http.Agent(SOCKET_OPTIONS),
            });
            const abort = (message: string) => {
                abortMessage = message;
                // After a clean close, TCP would still deliver bytes that a partition delayed, and the
                // request would run late.
                if (outgoing.socket?.connecting === false) outgoing.socket.resetAndDestroy();
                outgoing.destroy(new Error(message));
            };
            const onAbort = () => {
                const reason: unknown = request.signal.reason;
                abort(typeof reason === "string" ? reason : "cancelled");
            };
            request.signal.addEventListener("abort", onAbort, { once: true });
            const fail = (message: string) => {
                connectTimer.stop();
                const verdict = mayBeWritten ? Verdict.mayHaveRun : Verdict.notRun;
                reject(sendError(abortMessage ?? message, verdict, isWithheld));
            };
            outgoing.once("close", () => {
                request.signal.removeEventListener("abort", onAbort);
                // There is no error if the server switches the protocol unasked.
                fail("closed without a response");
            });
            const connectTimer = createSilenceTimer(async () => abort("connecting timed out"));
            connectTimer.start(CONNECT_TIMEOUT_MS);
            const onConnected = () => {
                if (!request.mayWrite()) {
                    isWithheld = true;
                    abort("not sent in time");
                    return;
                }
                mayBeWritten = true;
                connectTimer.stop();
            };
            outgoing.on("socket", socket => {
                socket.setNoDelay(true);
                if (socket.connecting) socket.once("connect", onConnected);
                else onConnected();
            });
            outgoing.on("error", cause => fail(cause.message));
            let informationalCount = 0;
            outgoing.on("information", () => {
                if (++informationalCount > MAX_INFORMATIONAL_RESPONSES) abort("too many informational responses");
            });
            outgoing.on("response", response => {
                if (!isFinalStatus(response.statusCode)) {
                    // The end of the connection is reported to the response, which nobody reads.
                    response.on("error", () => undefined);
                    abort(`invalid status ${response.statusCode}`);
                    return;
                }
                if (isCloseDelimited(request.method, response)) {
                    cleanCloses.set(response, awaitCleanClose(response.socket, outgoing));
                }
                resolve(response);
            });
            outgoing.end(request.body);
        });
    }

    return {
        send,
        isComplete: async response => response.complete && (await cleanCloses.get(response) ?? true),
        closeIdle: serverId => {
            const httpAgent = httpAgents.get(serverId);
            if (httpAgent !== undefined) closeIdleSockets(httpAgent);
        },
        removeServer: serverId => {
            const httpAgent = httpAgents.get(serverId);
            httpAgents.delete(serverId);
            if (httpAgent === undefined) return;
            // Makes the HTTP agent close the connections in use when they become idle.
            httpAgent.maxFreeSockets = 0;
            closeIdleSockets(httpAgent);
        },
        close: () => {
            for (const httpAgent of httpAgents.values()) httpAgent.destroy();
            httpAgents.clear();
        },
    };
}

function closeIdleSockets(httpAgent: http.Agent): void {
    for (const sockets of Object.values(httpAgent.freeSockets)) sockets?.forEach(socket => socket.destroy());
}

function sendError(message: string, verdict: Verdict, isWithheld = false): VError {
    return new VError({ name: "SendError", info: { verdict, isWithheld } }, "%s", message);
}

function isFinalStatus(status = 0): boolean {
    return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}

function isCloseDelimited(method: string, { headers, statusCode }: http.IncomingMessage): boolean {
    return hasResponseBody(method, statusCode) && headers["content-length"] === undefined &&
        headers["transfer-encoding"] === undefined;
}

/**
 * Resolves with whether the server closed the connection cleanly. If the last bytes and a reset have both arrived when
 * libuv reads, it reports the end of the stream but not the reset. Only a write then reveals the reset, so an empty
 * line is sent, which servers ignore between requests.
 */
function awaitCleanClose(socket: Socket, outgoing: http.ClientRequest): Promise<boolean> {
    return new Promise(resolve => {
        outgoing.once("error", () => resolve(false));
        socket.once("close", () => resolve(false));
        // Must run before Node's own listener, which closes the connection for writing.
        socket.prependOnceListener("end", () => {
            socket.write("\r\n", error => resolve(error === undefined || error === null));
        });
    });
}

function createHttpAgent(): http.Agent {
    const agent = new http.Agent({ ...SOCKET_OPTIONS, keepAlive: true, timeout: IDLE_TIMEOUT_MS, scheduling: "lifo" });
    const destroyOnData = function(this: Duplex) {
        this.destroy();
    };
    // Node calls `keepSocketAlive` when a connection becomes idle and `reuseSocket` when it is used again.
    const keepSocketAlive = agent.keepSocketAlive.bind(agent) as (socket: Duplex) => boolean;
    Object.assign(agent, {
        keepSocketAlive: (socket: Duplex) => {
            if (!keepSocketAlive(socket)) return false;
            socket.on("data", destroyOnData);
            return true;
        },
        reuseSocket: (socket: Duplex, request: http.ClientRequest) => {
            socket.off("data", destroyOnData);
            http.Agent.prototype.reuseSocket.call(agent, socket, request);
        },
    });
    return agent;
}
