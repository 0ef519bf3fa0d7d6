/** Waits for receivers of HTTP answers. */
import type { ServerResponse } from "node:http";

/** Resolves when an answer takes more bytes again, or its receiver has gone. */
export function drained(response: ServerResponse): Promise<void> {
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
