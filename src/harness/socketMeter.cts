/**
 * Counts the bytes of all TCP connections of a process. The module is loaded with `--require` and, on SIGUSR2,
 * writes the totals to the file named by `ENDIVEWELL_SOCKET_METER`.
 */
import { subscribe } from "node:diagnostics_channel";
import { writeFileSync } from "node:fs";
import type { Socket } from "node:net";

export interface SocketTotals {
    readonly bytesRead: number;
    readonly bytesWritten: number;
    readonly openSockets: number;
}

const openSockets = new Set<Socket>();
let closedBytesRead = 0;
let closedBytesWritten = 0;

function trackSocket(message: unknown): void {
    const { socket } = message as { socket: Socket; };
    openSockets.add(socket);
    socket.once("close", () => {
        openSockets.delete(socket);
        closedBytesRead += socket.bytesRead;
        closedBytesWritten += socket.bytesWritten;
    });
}

function readTotals(): SocketTotals {
    const sockets = [...openSockets];
    return {
        bytesRead: sockets.reduce((sum, socket) => sum + socket.bytesRead, closedBytesRead),
        bytesWritten: sockets.reduce((sum, socket) => sum + socket.bytesWritten, closedBytesWritten),
        openSockets: openSockets.size,
    };
}

const file = process.env.ENDIVEWELL_SOCKET_METER;
if (file !== undefined) {
    subscribe("net.client.socket", trackSocket);
    subscribe("net.server.socket", trackSocket);
    process.on("SIGUSR2", () => writeFileSync(file, JSON.stringify(readTotals())));
}
