/**
 * Stand-in of the weight store and the object store: objects in a directory, sent over a link whose rate
 * is shared by all readers.
 */
import { randomUUID } from "node:crypto";
import { mkdir, readFile, rename, stat, writeFile } from "node:fs/promises";
import type { IncomingMessage, ServerResponse } from "node:http";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { createTokenBucket, type TokenBucket } from "../core/index.js";
import { waitForDrain } from "../node/waitForDrain.js";
import type { FaultSwitches } from "./faults.js";
import { answerJson, readBody } from "./httpServer.js";

export interface ObjectsOptions {
    readonly directory: string;
    /** Rate of the store's link in bytes a second. */
    readonly bytesPerSecond: number;
    readonly faults: FaultSwitches;
    readonly now: () => number;
}

export interface ObjectsStandIn {
    serve(request: IncomingMessage, response: ServerResponse): Promise<void>;
    /** Bytes of chunks sent since the start. */
    readonly chunkBytesSent: () => number;
}

const PIECE_BYTES = 64 * 1024;

export function createObjectsStandIn(options: ObjectsOptions): ObjectsStandIn {
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
        if (key.split("/").includes("..")) return answerJson(response, 400, { error: "invalid key" });
        const path = join(directory, key);
        if (request.method === "PUT") return store(path, await readBody(request), response);
        const size = await stat(path).then(stats => stats.size, () => undefined);
        if (size === undefined) return answerJson(response, 404, { error: "no such object" });
        response.writeHead(200, { "content-length": size, "content-type": "application/octet-stream" });
        if (request.method === "HEAD") response.end();
        else await send(key, await readFile(path), response);
    }

    async function store(path: string, content: Buffer, response: ServerResponse): Promise<void> {
        await mkdir(dirname(path), { recursive: true });
        const temporary = `${path}.${randomUUID()}`;
        await writeFile(temporary, content);
        await rename(temporary, path);
        answerJson(response, 201, {});
    }

    async function send(key: string, content: Buffer, response: ServerResponse): Promise<void> {
        if (faults.strikes(faults.current().corrupt)) content[0] = (content[0] ?? 0) ^ 0xff;
        for (let offset = 0; offset < content.length; offset += PIECE_BYTES) {
            const piece = content.subarray(offset, offset + PIECE_BYTES);
            const wait = currentLink().reserve(piece.length, now());
            if (wait > 1) await sleep(wait);
            if (response.destroyed) return;
            if (faults.current().stall) return;
            if (key.startsWith("chunks/")) chunkBytesSent += piece.length;
            if (!response.write(piece)) await waitForDrain(response);
        }
        response.end();
    }

    return { serve, chunkBytesSent: () => chunkBytesSent };
}

function createLink(bytesPerSecond: number): TokenBucket {
    return createTokenBucket({ ratePerSecond: bytesPerSecond, burst: 2 * PIECE_BYTES });
}
