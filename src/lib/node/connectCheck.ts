/** Checks whether a process listens at an address. */
import { connect } from "node:net";

/** Longer than a connection to the farthest region takes, also after the loss of a packet. */
const CHECK_TIMEOUT_MS = 300;

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
        socket.once("timeout", () => finish(false));
        socket.on("error", error => finish((error as NodeJS.ErrnoException).code === "ECONNREFUSED"));
    });
}
