/**
 * Connections to backend servers over Node's `http`. Kept connections are reused most recent first. One on which
 * bytes arrive while no request is in progress is closed: they belong to no request, and what follows them can't
 * be told from an answer.
 */
import * as http from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import VError from "verror";
import { Verdict } from "../core/verdict.js";

export interface BackendRequest {
    readonly serverId: string;
    readonly address: string;
    readonly method: string;
    readonly path: string;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** Time until the head of the answer must be there; `undefined` if only `signal` ends the wait. */
    readonly answerTimeoutMs: number | undefined;
    /** Cancels the request. */
    readonly signal: AbortSignal;
    /** A request that must not run twice gets a connection of its own, as a kept one may be closing. */
    readonly isRepeatable: boolean;
}

export interface BackendConnections {
    /**
     * Sends a request and resolves with the answer once its head is there.
     *
     * @throws VError named `SendError` with the info `verdict`: `notRun` if nothing was written.
     */
    send(request: BackendRequest): Promise<http.IncomingMessage>;
    /**
     * Tells whether an answer that has ended is whole. An answer without a length is whole if its connection was
     * closed in order; Node reports it as complete also after a reset.
     */
    isWhole(response: http.IncomingMessage): Promise<boolean>;
    /** Closes the idle connections to a server that is gone; requests in progress go on. */
    forget(serverId: string): void;
    close(): void;
}

/** A VM in the farthest region answers a connection within 10 ms; a lost packet takes 200 ms more. */
const CONNECT_TIMEOUT_MS = 500;

/** Idle connections are closed after this time, well before a server's own timeout makes them unsafe. */
const IDLE_TIMEOUT_MS = 4000;

/** A connection stays writable after its end, so that the end can be checked. Agents pass this on to the socket. */
const SOCKET_OPTIONS = { allowHalfOpen: true } as http.AgentOptions;

export function createBackendConnections(): BackendConnections {
    const agents = new Map<string, http.Agent>();
    const orderlyEnds = new WeakMap<http.IncomingMessage, Promise<boolean>>();

    function agentOf(serverId: string): http.Agent {
        let agent = agents.get(serverId);
        if (agent === undefined) agents.set(serverId, agent = createAgent());
        return agent;
    }

    function send(request: BackendRequest): Promise<http.IncomingMessage> {
        return new Promise((resolve, reject) => {
            const [host, port] = request.address.split(":");
            let isWritten = false;
            let reason: string | undefined;
            const outgoing = http.request({
                host,
                port,
                method: request.method,
                path: request.path,
                // A flat list is sent as it is, without headers of Node's own.
                headers: [...request.headers, "Connection", request.isRepeatable ? "keep-alive" : "close"],
                agent: request.isRepeatable ? agentOf(request.serverId) : new http.Agent(SOCKET_OPTIONS),
            });
            const abandon = (why: string) => {
                reason = why;
                // Bytes that a cut holds up would be delivered after an orderly close, and the request would run late.
                if (outgoing.socket?.connecting === false) outgoing.socket.resetAndDestroy();
                outgoing.destroy(new Error(why));
            };
            const cancel = () => abandon("cancelled");
            request.signal.addEventListener("abort", cancel, { once: true });
            outgoing.once("close", () => request.signal.removeEventListener("abort", cancel));
            if (request.signal.aborted) cancel();
            const { answerTimeoutMs } = request;
            let timer: NodeJS.Timeout | undefined = setTimeout(
                () => abandon("connecting timed out"),
                CONNECT_TIMEOUT_MS,
            );
            const connected = () => {
                isWritten = true;
                clearTimeout(timer);
                timer = answerTimeoutMs === undefined ?
                    undefined :
                    setTimeout(() => abandon("the answer timed out"), answerTimeoutMs);
            };
            outgoing.on("socket", socket => {
                socket.setNoDelay(true);
                if (socket.connecting) socket.once("connect", connected);
                else connected();
            });
            outgoing.on("error", cause => {
                clearTimeout(timer);
                const verdict = isWritten ? Verdict.mayHaveRun : Verdict.notRun;
                reject(new VError({ name: "SendError", info: { verdict } }, "%s", reason ?? cause.message));
            });
            outgoing.on("response", response => {
                clearTimeout(timer);
                if (isUnframed(response)) orderlyEnds.set(response, watchEnd(response.socket, outgoing));
                resolve(response);
            });
            outgoing.end(request.body);
        });
    }

    return {
        send,
        isWhole: async response => response.complete && (await orderlyEnds.get(response) ?? true),
        forget: serverId => {
            const agent = agents.get(serverId);
            agents.delete(serverId);
            if (agent === undefined) return;
            // Connections in use are closed when they become idle.
            agent.maxFreeSockets = 0;
            for (const sockets of Object.values(agent.freeSockets)) sockets?.forEach(socket => socket.destroy());
        },
        close: () => {
            for (const agent of agents.values()) agent.destroy();
            agents.clear();
        },
    };
}

function isUnframed({ headers }: http.IncomingMessage): boolean {
    return headers["content-length"] === undefined && headers["transfer-encoding"] === undefined;
}

/**
 * Resolves with whether a connection was closed in order. libuv reports the end of the stream, not the reset, if both
 * the last bytes and the reset are there when it reads. Only a write then shows the reset, so an empty line is sent,
 * which a server ignores between requests.
 */
function watchEnd(socket: Socket, outgoing: http.ClientRequest): Promise<boolean> {
    return new Promise(resolve => {
        outgoing.once("error", () => resolve(false));
        socket.once("close", () => resolve(false));
        // Before Node's own listener, which closes the connection for writing.
        socket.prependOnceListener("end", () => {
            socket.write("\r\n", error => resolve(error === undefined || error === null));
        });
    });
}

function createAgent(): http.Agent {
    const agent = new http.Agent({ ...SOCKET_OPTIONS, keepAlive: true, timeout: IDLE_TIMEOUT_MS, scheduling: "lifo" });
    const closeOnBytes = function(this: Duplex) {
        this.destroy();
    };
    // Node calls these when a connection becomes idle and when it is used again.
    const keepSocketAlive = agent.keepSocketAlive.bind(agent) as (socket: Duplex) => boolean;
    Object.assign(agent, {
        keepSocketAlive: (socket: Duplex) => {
            if (!keepSocketAlive(socket)) return false;
            socket.on("data", closeOnBytes);
            return true;
        },
        reuseSocket: (socket: Duplex, request: http.ClientRequest) => {
            socket.off("data", closeOnBytes);
            http.Agent.prototype.reuseSocket.call(agent, socket, request);
        },
    });
    return agent;
}
