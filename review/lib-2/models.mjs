/** Weights of several models, and an origin that serves all of them. */
import { createHash } from "node:crypto";
import * as http from "node:http";
import { LAYERS } from "../lib/runner.mjs";

function pieceBytes(model, version, index, size) {
    const bytes = Buffer.alloc(size, index + 1);
    bytes.write(`${model} version ${version} piece ${index}`);
    return bytes;
}

/** Weights of one model, as `startRunner` takes them; `bytesOf` returns the bytes of a piece. */
export function createModelWeights({ model, chunks, chunkBytes }) {
    const bytesOf = (version, index) => pieceBytes(model, version, index, chunkBytes);
    const digestOf = bytes => createHash("sha256").update(bytes).digest("hex");
    const indices = Array.from({ length: chunks }, (_, index) => index);
    const digests = new Map();
    const digestsOf = version => {
        if (!digests.has(version)) digests.set(version, indices.map(index => digestOf(bytesOf(version, index))));
        return digests.get(version);
    };
    return { model, chunks, chunkBytes, bytesOf, digestsOf };
}

/** Stages all pieces at a runner, as those that are there at the start have them. */
export async function stageAll(address, { model, chunks, bytesOf }, version) {
    for (let index = 0; index < chunks; index++) {
        const url = `http://${address}/-/stage-put/${model}?num-items=${index}`;
        const response = await fetch(url, { method: "PUT", body: bytesOf(version, index) });
        await response.arrayBuffer();
    }
}

/**
 * Starts the origin. A version that `name` wasn't called with yet, or one that is two or more behind the newest, isn't
 * there. `onRead` gets each answered request.
 */
export async function startOriginOfModels(context, models, { ip, onRead }) {
    const newestVersions = new Map(models.map(({ model }) => [model, 1]));
    const server = http.createServer((request, response) => {
        const url = new URL(request.url, "http://origin");
        const [, , kind, id] = url.pathname.split("/");
        const weights = models.find(({ model }) => model === id);
        const newestVersion = newestVersions.get(id);
        const version = Number(url.searchParams.get("version") ?? newestVersion);
        const end = (status, bytes = Buffer.alloc(0), headers = {}) =>
            response.writeHead(status, { ...headers, "Content-Length": bytes.length }).end(bytes);
        if (weights === undefined || version > newestVersion) end(404);
        else if (version <= newestVersion - 2) end(410);
        else if (kind === "manifest") {
            onRead({ kind, model: id, version });
            const { chunkBytes, digestsOf } = weights;
            const manifest = {
                model: id,
                version,
                "chunk-bytes": chunkBytes,
                layers: LAYERS,
                digests: digestsOf(version),
            };
            end(200, Buffer.from(JSON.stringify(manifest)), { "Content-Type": "application/json" });
        }
        else {
            onRead({ kind, model: id, version });
            end(200, weights.bytesOf(version, Number(url.searchParams.get("num-items"))));
        }
    });
    await new Promise(resolve => server.listen(0, ip, resolve));
    context.onEnd(() => {
        server.close();
        server.closeAllConnections();
    });
    return {
        address: `${ip}:${server.address().port}`,
        name: (model, version) => void newestVersions.set(model, version),
    };
}
