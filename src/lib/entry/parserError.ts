/** Answers errors that Node's HTTP parser finds before a request reaches the routes. */
import { type IncomingMessage, type ServerResponse, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { type Problem, rejection, sendProblem, VERDICT_HEADER } from "./problem.js";

export interface ParserErrors {
    /** Notes a request whose answer has not ended. */
    track(request: IncomingMessage, response: ServerResponse): void;
    /** Handles `clientError` of the server. */
    answer(error: NodeJS.ErrnoException, socket: Socket): void;
}

export function createParserErrors(): ParserErrors {
    const latest = new WeakMap<Socket, { readonly request: IncomingMessage; readonly response: ServerResponse; }>();

    function track(request: IncomingMessage, response: ServerResponse): void {
        latest.set(request.socket, { request, response });
        response.once("close", () => {
            if (latest.get(request.socket)?.response === response) latest.delete(request.socket);
        });
    }

    function answer(error: NodeJS.ErrnoException, socket: Socket): void {
        if (error.code === "ECONNRESET" || !socket.writable) {
            socket.destroy();
            return;
        }
        const problem = problemFor(error.code);
        const current = latest.get(socket);
        if (current === undefined) {
            writeProblem(socket, problem);
            return;
        }
        // The error stands in the body of the current request, which was not dispatched, or in a later request,
        // whose answer would come out of order.
        current.response.once("close", () => {
            // After its answer a request no longer notices that its socket closes, and its reader would wait forever.
            current.request.destroy();
            socket.destroy();
        });
        if (!current.request.complete) sendProblem(current.response, problem);
    }

    return { track, answer };
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
