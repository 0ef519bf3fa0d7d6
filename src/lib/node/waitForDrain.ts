/** Backpressure for HTTP responses. */
import type { ServerResponse } from "node:http";

/** Resolves when a response can be written to again or its connection is closed. */
export function waitForDrain(response: ServerResponse): Promise<void> {
    return new Promise(resolve => {
        const done = () => {
            response.off("drain", done);
            response.off("close", done);
            resolve();
        };
        response.on("drain", done);
        response.on("close", done);
    });
}
