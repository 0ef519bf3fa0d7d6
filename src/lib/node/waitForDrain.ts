/** Waits for slow receivers of HTTP responses (backpressure). */
import type { ServerResponse } from "node:http";

/** Resolves when a response can be written to again or its connection is closed. */
export function waitForDrain(response: ServerResponse): Promise<void> {
    return new Promise(resolve => {
        const finish = () => {
            response.off("drain", finish);
            response.off("close", finish);
            resolve();
        };
        response.on("drain", finish);
        response.on("close", finish);
    });
}
