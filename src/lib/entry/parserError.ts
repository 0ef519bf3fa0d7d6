/** Sends problem documents for errors that Node's HTTP parser finds before a request reaches the routes. */
import { type IncomingMessage, type ServerResponse, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { type Problem, rejection, sendProblem, VERDICT_HEADER } from "./problem.js";

export interface ParserErrors {
    /** Registers a request until its response is closed. */
    track(request: IncomingMessage, response: ServerResponse): void;
    /** Handles the server's `clientError` event. */
    handleClientError(error: NodeJS.ErrnoException, socket: Socket): void;
}

export function createParserErrors(): ParserErrors {
    const latestBySocket = new WeakMap<
        Socket,
        { readonly request: IncomingMessage; readonly response: ServerResponse; }
    >();

    function track(request: IncomingMessage, response: ServerResponse): void {
        latestBySocket.set(request.socket, { request, response });
        response.once("close", () => {
            if (latestBySocket.get(request.socket)?.response === response) latestBySocket.delete(request.socket);
        });
    }

    function handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
        if (error.code === "ECONNRESET" || !socket.writable) {
            socket.destroy();
            return;
        }
        const problem = problemFor(error.code);
        const current = latestBySocket.get(socket);
        if (current === undefined) {
            writeProblem(socket, problem);
            return;
        }
        // The error is either in the body of the current request, which wasn't dispatched, or in a pipelined request,
        // whose response must not precede the current one.
        current.response.once("close", () => {
            // Once its response has ended, a request isn't told that its socket closed, and its reader would hang.
            current.request.destroy();
            socket.destroy();
        });
        if (!current.request.complete) sendProblem(current.response, problem);
    }

    return { track, handleClientError };
}

function problemFor(code: string | undefined): Problem {
    if (code === "HPE_HEADER_OVERFLOW") {
        return rejection(431, "the headers are too large", "send fewer or shorter headers");
    }
    if (code === "ERR_HTTP_REQUEST_TIMEOUT") return rejection(408, "the request took too long", "send it faster");
    return rejection(400, "invalid HTTP", "send a request according to RFC 9112");
}

function writeProblem(socket: Socket, { status, title, detail, verdict }: Problem): void {
    const body = JSON.stringify({ type: "about:blank", title, status, detail, verdict });
    const head = [
        `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
        "content-type: application/problem+json",
        `content-length: ${Buffer.byteLength(body)}`,
        `${VERDICT_HEADER}: ${verdict}`,
        "connection: close",
    ];
    socket.end(`${head.join("\r\n")}\r\n\r\n${body}`);
}
