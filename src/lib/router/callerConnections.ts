/**
 * Tracks the connections of callers and the responses in progress on each of them. A caller may send further requests
 * before it has the response to the first one.
 */
import * as http from "node:http";
import type { Socket } from "node:net";

export interface CallerConnections {
    add(socket: Socket): void;
    /** Tracks a request. Returns false if its connection closes before the request could be answered. */
    accept(response: http.ServerResponse): boolean;
    /** Records that the connection closes after this response, so that requests behind it aren't accepted. */
    closeAfter(response: http.ServerResponse): void;
    /**
     * Ends a connection from which no further request can be read: the requests that were read are answered, and then
     * an error with this status.
     */
    endWith(status: number, socket: Socket): void;
    /** Tells the response that is being sent that the connection has drained, where Node doesn't. */
    reportDrain(socket: Socket): void;
    /** Returns the number of requests whose responses have neither ended nor been cut off. */
    inProgressCount(): number;
    /** Returns whether other requests on the connection of this response are in progress. */
    hasOtherRequests(response: http.ServerResponse): boolean;
    /** Returns whether requests on the connection are in progress. */
    hasRequests(socket: Socket): boolean;
    sockets(): Iterable<Socket>;
}

interface Connection {
    readonly responses: Set<http.ServerResponse>;
    isClosing: boolean;
}

/** Time for which a connection is read after its last response: closing it earlier could reset it under the response. */
const LINGER_MS = 1000;

export function createCallerConnections(): CallerConnections {
    const connections = new Map<Socket, Connection>();
    let inProgressCount = 0;

    function add(socket: Socket): void {
        const connection: Connection = { responses: new Set(), isClosing: false };
        connections.set(socket, connection);
        socket.once("close", () => {
            connections.delete(socket);
            for (const response of connection.responses) {
                // Node reports the close only to the response that is being sent, not to those that wait for it.
                if (response.socket === null && !response.writableFinished) response.destroy().emit("close");
            }
        });
    }

    function accept(response: http.ServerResponse): boolean {
        const connection = connections.get(response.req.socket);
        if (connection === undefined || connection.isClosing) return false;
        inProgressCount++;
        connection.responses.add(response);
        response.once("close", () => {
            inProgressCount--;
            connection.responses.delete(response);
        });
        return true;
    }

    function endWith(status: number, socket: Socket): void {
        const connection = connections.get(socket);
        if (connection === undefined) return;
        const responses = [...connection.responses];
        const received = responses.filter(({ req }) => req.complete);
        // The error may be in the body of the last request.
        const incomplete = responses.filter(({ req }) => !req.complete);
        const hasLeft = socket.readableEnded || !socket.writable;
        if (received.length > 0 && hasLeft) socket.destroy();
        // Each further chunk is reported as another error.
        if (connection.isClosing) return;
        connection.isClosing = true;
        const finish = () => {
            if (!socket.writable || incomplete.some(({ headersSent }) => headersSent)) return;
            socket.end(errorResponse(status));
            const timer = setTimeout(() => socket.destroy(), LINGER_MS);
            socket.once("close", () => clearTimeout(timer));
        };
        let remainingCount = received.length;
        if (remainingCount === 0) finish();
        for (const response of received) {
            response.once("close", () => {
                remainingCount--;
                if (remainingCount === 0) finish();
            });
        }
    }

    return {
        add,
        accept,
        endWith,
        reportDrain: socket => {
            for (const response of connections.get(socket)?.responses ?? []) {
                if (response.socket === socket) response.emit("drain");
            }
        },
        closeAfter: ({ req }) => {
            const connection = connections.get(req.socket);
            if (connection !== undefined) connection.isClosing = true;
        },
        inProgressCount: () => inProgressCount,
        hasOtherRequests: ({ req }) => (connections.get(req.socket)?.responses.size ?? 0) > 1,
        hasRequests: socket => (connections.get(socket)?.responses.size ?? 0) > 0,
        sockets: () => connections.keys(),
    };
}

function errorResponse(status: number): string {
    return `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}
