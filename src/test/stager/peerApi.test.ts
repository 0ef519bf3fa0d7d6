import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { Agent, createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, test } from "node:test";
import { createServingMetrics } from "../../lib/observability/index.js";
import {
    createPeerClient,
    createPieceServer,
    createStoredPieceProvider,
    type PeerClient,
    type PieceProvider,
} from "../../lib/stager/peerApi.js";
import { createPieceStore } from "../../lib/stager/pieceStore.js";
import { createUploadThrottle } from "../../lib/stager/uploadThrottle.js";

const PIECE = Buffer.from("held");
const MODEL = "m";

let server: Server | undefined;

afterEach(() => {
    server?.close();
    server?.closeAllConnections();
});

/** Serves a version with two pieces, of which the first one is held. */
async function startServer(): Promise<string> {
    const pieceStore = createPieceStore(MODEL);
    const digest = createHash("sha256").update(PIECE).digest("hex");
    pieceStore.put(pieceStore.open({ version: 1, digests: [digest, digest] }), 0, PIECE);
    const throttle = createUploadThrottle(1000);
    const provider = createStoredPieceProvider(pieceStore, () => 0);
    const findProvider = (model: string | undefined) => (model ?? MODEL) === MODEL ? provider : undefined;
    server = createPieceServer(findProvider, () => throttle, createServingMetrics());
    await new Promise<void>(resolve => server?.listen(0, "127.0.0.1", resolve));
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function createTestClient(port: number, model = MODEL): PeerClient {
    return createPeerClient({ model, ip: "127.0.0.1", port, connections: new Agent(), rateMbps: 1000 });
}

// Guards against requests with a missing or invalid number, which would be waited for without end.
test("a request with invalid numbers is answered at once", async () => {
    const url = await startServer();
    const statusOf = async (path: string) => {
        return (await fetch(`${url}${path}`, { signal: AbortSignal.timeout(1000) })).status;
    };
    assert.equal(await statusOf("/piece?version=1&piece=0"), 200);
    for (const wait of ["", "&wait=", "&wait=x", "&wait=-5", "&wait=NaN"]) {
        assert.equal(await statusOf(`/piece?version=1&piece=1${wait}`), 404, wait);
    }
    for (const path of ["/piece?version=1", "/piece?piece=1", "/piece?version=1&piece=-1", "/manifest", "/state"]) {
        assert.equal(await statusOf(path), 400, path);
    }
    assert.equal(await statusOf("/state?version=1"), 200);
});

// Guards against the digests of one version that are stored for another one, whoever sent them.
test("a peer's manifest of another version than the requested one is an error", async () => {
    const manifest = { version: 1, digests: [createHash("sha256").update(PIECE).digest("hex")] };
    const provider: PieceProvider = {
        model: MODEL,
        manifest: async () => manifest,
        piece: async () => undefined,
        state: async () => ({ held: [], loaded: 0 }),
    };
    const throttle = createUploadThrottle(1000);
    server = createPieceServer(() => provider, () => throttle, createServingMetrics());
    await new Promise<void>(resolve => server?.listen(0, "127.0.0.1", resolve));
    const client = createTestClient((server.address() as AddressInfo).port);
    assert.deepEqual(await client.readManifest(1), manifest);
    await assert.rejects(client.readManifest(2), /version 1 instead of 2/);
});

// Guards against weights of another model, which has a version with the same number (review/7).
test("a peer that has another model isn't a source", async () => {
    const port = Number(new URL(await startServer()).port);
    const client = createTestClient(port);
    assert.equal((await client.readManifest(1)).digests.length, 2);
    assert.deepEqual(await client.readPiece(1, 0, 0), PIECE);
    assert.deepEqual((await client.readState(1, 0)).held, [0]);
    const otherClient = createTestClient(port, "other/model");
    await assert.rejects(otherClient.readManifest(1), /status 404/);
    await assert.rejects(otherClient.readPiece(1, 0, 0), /status 404/);
    await assert.rejects(otherClient.readState(1, 0), /status 404/);
});

// Guards against the weights of another model from a process of an earlier version, which ignores the model that a request
// names, while some processes still run that version.
test("a peer that doesn't name the model of its response isn't a source", async () => {
    const manifest = { version: 1, digests: [createHash("sha256").update(PIECE).digest("hex")] };
    server = createServer((request, response) => {
        response.end(request.url?.startsWith("/manifest") === true ? JSON.stringify(manifest) : PIECE);
    });
    await new Promise<void>(resolve => server?.listen(0, "127.0.0.1", resolve));
    const client = createTestClient((server.address() as AddressInfo).port);
    await assert.rejects(client.readManifest(1), /earlier version/);
    await assert.rejects(client.readPiece(1, 0, 0), /earlier version/);
});
