/** Starts HTTP servers. */
import type * as http from "node:http";
import type { AddressInfo } from "node:net";
import type { Address } from "../settings/vmSettings.js";

/** Accept backlog, for many callers that connect at the same time. */
const BACKLOG = 1024;

/** Listens at an address `IP:PORT`. Resolves with the port, which the system chooses for port 0, or rejects. */
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
