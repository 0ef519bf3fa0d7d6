/**
 * Loaded into a measured process with `--require`. Counts the bytes of all its TCP connections and writes
 * the totals to the file named by `ENDIVEWELL_SOCKET_METER` on SIGUSR2.
 */
import { subscribe } from "node:diagnostics_channel";
import { writeFileSync } from "node:fs";
import type { Socket } from "node:net";

export interface SocketTotals {
    readonly bytesRead: number;
    readonly bytesWritten: number;
    readonly openSockets: number;
}

const open = new Set<Socket>();
let closedRead = 0;
let closedWritten = 0;

function track(message: unknown): void {
    const { socket } = message as { socket: Socket; };
    open.add(socket);
    socket.once("close", () => {
        open.delete(socket);
        closedRead += socket.bytesRead;
        closedWritten += socket.bytesWritten;
    });
}

function totals(): SocketTotals {
    const sockets = [...open];
    return {
        bytesRead: sockets.reduce((sum, socket) => sum + socket.bytesRead, closedRead),
        bytesWritten: sockets.reduce((sum, socket) => sum + socket.bytesWritten, closedWritten),
        openSockets: open.size,
    };
}

const file = process.env.ENDIVEWELL_SOCKET_METER;
if (file !== undefined) {
    subscribe("net.client.socket", track);
    subscribe("net.server.socket", track);
    process.on("SIGUSR2", () => writeFileSync(file, JSON.stringify(totals())));
}
