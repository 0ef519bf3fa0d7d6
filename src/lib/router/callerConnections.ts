/**
 * Tracks the connections of callers and the responses in progress on each of them. A caller may send further requests
 * before it has the response to the first one.
 */
import type * as http from "node:http";
import type { Socket } from "node:net";

export interface CallerConnections {
    add(socket: Socket): void;
    /** Tracks a request. Returns false if its connection closes before the request could be answered. */
    accept(response: http.ServerResponse): boolean;
    /** Records that the connection closes after this response, so that requests behind it aren't accepted. */
    closeAfter(response: http.ServerResponse): void;
    /** Returns the number of requests whose responses have neither ended nor been cut off. */
    inProgressCount(): number;
    /** Returns whether other requests on the connection of this response are in progress. */
    hasOtherRequests(response: http.ServerResponse): boolean;
    sockets(): Iterable<Socket>;
}

interface Connection {
    readonly responses: Set<http.ServerResponse>;
    isClosing: boolean;
}

export function createCallerConnections(): CallerConnections {
    const connections = new Map<Socket, Connection>();
    let inProgressCount = 0;

    function add(socket: Socket): void {
        connections.set(socket, { responses: new Set(), isClosing: false });
        socket.once("close", () => connections.delete(socket));
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

    return {
        add,
        accept,
        closeAfter: ({ req }) => {
            const connection = connections.get(req.socket);
            if (connection !== undefined) connection.isClosing = true;
        },
        inProgressCount: () => inProgressCount,
        hasOtherRequests: ({ req }) => (connections.get(req.socket)?.responses.size ?? 0) > 1,
        sockets: () => connections.keys(),
    };
}
