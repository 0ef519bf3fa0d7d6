/** Makes HTTP servers listen at an address from the settings, and stop listening. */
import type * as http from "node:http";
import { type AddressInfo, Server as NetServer } from "node:net";
import type { Address } from "../settings/vmSettings.js";

/** Number of connections that may wait to be accepted, for many callers that connect at the same time. */
const ACCEPT_BACKLOG = 1024;

/** Listens at an address `IP:PORT`. Resolves with the port, which the system chooses for port 0, or rejects. */
export function listen(server: http.Server, address: Address): Promise<number> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port: Number(port), backlog: ACCEPT_BACKLOG }, () => {
            server.off("error", reject);
            resolve((server.address() as AddressInfo).port);
        });
    });
}

/**
 * Accepts no new connections. `onClosed` is called when the last open one has ended. `http.Server.close` would also
 * destroy connections whose last response is still being sent, and those on which a request has just arrived.
 */
export function stopListening(server: http.Server, onClosed?: () => void): void {
    NetServer.prototype.close.call(server, onClosed);
}
