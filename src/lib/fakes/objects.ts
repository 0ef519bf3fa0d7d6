/** Fake weight store: an object store whose objects are files in a directory and whose readers share one rate limit. */
import { randomUUID } from "node:crypto";
import { mkdir, readFile, rename, stat, writeFile } from "node:fs/promises";
import type { IncomingMessage, ServerResponse } from "node:http";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { createTokenBucket, type TokenBucket } from "../core/index.js";
import { waitForDrain } from "../node/waitForDrain.js";
import type { FaultSwitches } from "./faults.js";
import { readBody, sendJson } from "./httpServer.js";

export interface FakeObjectStoreOptions {
    readonly directory: string;
    /** Rate limit shared by all readers. */
    readonly bytesPerSecond: number;
    readonly faults: FaultSwitches;
    readonly now: () => number;
}

export interface FakeObjectStore {
    serve(request: IncomingMessage, response: ServerResponse): Promise<void>;
    /** Total bytes of weight chunks sent. */
    readonly chunkBytesSent: () => number;
}

const MAX_WRITE_BYTES = 64 * 1024;

export function createFakeObjectStore(options: FakeObjectStoreOptions): FakeObjectStore {
    const { directory, faults, now } = options;
    let link = createLink(options.bytesPerSecond);
    let linkRate = options.bytesPerSecond;
    let chunkBytesSent = 0;

    function currentLink(): TokenBucket {
        const rate = faults.current().linkBytesPerSecond || options.bytesPerSecond;
        if (rate !== linkRate) link = createLink(rate);
        linkRate = rate;
        return link;
    }

    async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const key = decodeURIComponent((request.url ?? "").replace(/^\/objects\//, ""));
        if (key.split("/").includes("..")) return sendJson(response, 400, { error: "invalid key" });
        const path = join(directory, key);
        if (request.method === "PUT") return putObject(path, await readBody(request), response);
        const size = await stat(path).then(stats => stats.size, () => undefined);
        if (size === undefined) return sendJson(response, 404, { error: "no such object" });
        response.writeHead(200, { "content-length": size, "content-type": "application/octet-stream" });
        if (request.method === "HEAD") response.end();
        else await sendObject(key, await readFile(path), response);
    }

    async function putObject(path: string, content: Buffer, response: ServerResponse): Promise<void> {
        await mkdir(dirname(path), { recursive: true });
        const temporary = `${path}.${randomUUID()}`;
        await writeFile(temporary, content);
        await rename(temporary, path);
        sendJson(response, 201, {});
    }

    async function sendObject(key: string, content: Buffer, response: ServerResponse): Promise<void> {
        if (faults.shouldInject(faults.current().corrupt)) content[0] = (content[0] ?? 0) ^ 0xff;
        for (let offset = 0; offset < content.length; offset += MAX_WRITE_BYTES) {
            const bytes = content.subarray(offset, offset + MAX_WRITE_BYTES);
            const waitMs = currentLink().reserve(bytes.length, now());
            if (waitMs > 1) await sleep(waitMs);
            if (response.destroyed) return;
            if (faults.current().stall) return;
            if (key.startsWith("chunks/")) chunkBytesSent += bytes.length;
            if (!response.write(bytes)) await waitForDrain(response);
        }
        response.end();
    }

    return { serve, chunkBytesSent: () => chunkBytesSent };
}

function createLink(bytesPerSecond: number): TokenBucket {
    return createTokenBucket({ ratePerSecond: bytesPerSecond, burst: 2 * MAX_WRITE_BYTES });
}
