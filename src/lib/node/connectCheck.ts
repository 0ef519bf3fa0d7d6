/** Checks whether a process listens at an address. */
import { connect } from "node:net";

/** Several round trips to the farthest region. Requests wait for the result before they are sent to another server. */
const CHECK_TIMEOUT_MS = 100;

/**
 * Returns whether the VM at the address refuses a new connection. Returns false if the VM doesn't respond, because it
 * may be cut off.
 */
export function refusesConnections(address: string): Promise<boolean> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = connect({ host, port: Number(port), timeout: CHECK_TIMEOUT_MS });
        const finish = (isRefused: boolean) => {
            socket.destroy();
            resolve(isRefused);
        };
        socket.once("connect", () => finish(false));
        // A result that arrived while this process was paused is read first.
        socket.once("timeout", () => setImmediate(() => finish(false)));
        socket.on("error", error => finish((error as NodeJS.ErrnoException).code === "ECONNREFUSED"));
    });
}
