/** Starts HTTP servers. */
import type * as http from "node:http";
import type { AddressInfo } from "node:net";
import type { Address } from "../settings/vmSettings.js";

/** Connections that wait to be accepted when many callers arrive at once. */
const BACKLOG = 1024;

/** Listens at an IP number and port; resolves with the port. */
export function listen(server: http.Server, address: Address): Promise<number> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port: Number(port), backlog: BACKLOG }, () => {
            server.off("error", reject);
            resolve((server.address() as AddressInfo).port);
        });
    });
}
