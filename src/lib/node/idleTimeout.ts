/** Handles the timeout of idle connections of a server. */
import type { Socket } from "node:net";

/**
 * Closes an idle connection after its timeout, unless a request has arrived while this process didn't run. Register it
 * for the server's `timeout` event; Node then leaves the socket open.
 */
export function closeUnlessReceiving(socket: Socket): void {
    const receivedBytes = socket.bytesRead;
    // The event loop runs timers before it reads from sockets.
    setImmediate(() => {
        if (socket.bytesRead === receivedBytes) socket.destroy();
    });
}
