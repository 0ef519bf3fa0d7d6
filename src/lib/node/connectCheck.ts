/** Checks whether a process listens at an address, and whether its VM is there at all. */
import { connect } from "node:net";

/** How an address answers the opening of a connection. */
export const ConnectResult = {
    accepted: "accepted",
    /** The VM responds, but no process listens. */
    refused: "refused",
    /** The VM doesn't respond: it is gone, has no power or is cut off. */
    none: "none",
} as const;

export type ConnectResult = (typeof ConnectResult)[keyof typeof ConnectResult];

/** Several round trips to the farthest region. Requests wait for the result before they are sent to another server. */
const REFUSAL_TIMEOUT_MS = 100;

export function checkConnect(host: string, port: number, timeoutMs: number): Promise<ConnectResult> {
    return new Promise(resolve => {
        const socket = connect({ host, port, timeout: timeoutMs });
        const finish = (result: ConnectResult) => {
            socket.destroy();
            resolve(result);
        };
        socket.once("connect", () => finish(ConnectResult.accepted));
        // A result that arrived while this process was paused is read first.
        socket.once("timeout", () => setImmediate(() => finish(ConnectResult.none)));
        socket.on("error", error => {
            const isRefused = (error as NodeJS.ErrnoException).code === "ECONNREFUSED";
            finish(isRefused ? ConnectResult.refused : ConnectResult.none);
        });
    });
}

/**
 * Returns whether the VM at the address refuses a new connection. Returns false if the VM doesn't respond, because it
 * may be cut off.
 */
export async function refusesConnections(address: string): Promise<boolean> {
    const [host = "", port] = address.split(":");
    return await checkConnect(host, Number(port), REFUSAL_TIMEOUT_MS) === ConnectResult.refused;
}
