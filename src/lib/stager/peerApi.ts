/**
 * HTTP API through which agents and entries exchange weights: manifests, the list of held pieces, and the pieces.
 * Requests and responses name the model, because the versions of different models have the same numbers.
 */
import * as http from "node:http";
import VError from "verror";
import * as z from "zod";
import { sendRequest } from "../clients/index.js";
import { DIGEST_PATTERN } from "../core/serving/index.js";
import { handleMetricsRequest, type ServingMetrics } from "../observability/index.js";
import { isVersionWithdrawn, type WeightManifest } from "../platform/index.js";
import { countHeld, type PieceStore } from "./pieceStore.js";
import type { UploadThrottle } from "./uploadThrottle.js";

export interface PeerState {
    /** Indices of the pieces of the version that the peer holds. */
    readonly held: readonly number[];
    /** Version that the peer's engine holds; 0 for none. */
    readonly loaded: number;
}

/**
 * Requests weights of one model. Every method throws if the peer can't be reached, times out, or responds with a status
 * other than 200 or for another model.
 */
export interface PeerClient {
    readManifest(version: number): Promise<WeightManifest>;
    /** Long-polls until the peer holds more than `knownCount` pieces, for at most `STATE_WAIT_MS`. */
    readState(version: number, knownCount: number): Promise<PeerState>;
    /** Waits up to `waitMs` for the peer to get the piece if it doesn't hold it. */
    readPiece(version: number, piece: number, waitMs: number): Promise<Buffer>;
}

const manifestSchema = z.object({ version: z.int(), digests: z.array(z.string().regex(DIGEST_PATTERN)).min(1) });
const stateSchema = z.object({ held: z.array(z.int()), loaded: z.int() });

/** Maximum duration of a long poll for a peer's state. It can be long because nothing else waits for the result. */
const STATE_WAIT_MS = 1000;

/** Maximum time that a server waits for a piece that it doesn't hold yet. */
const MAX_PIECE_WAIT_MS = 2000;

/**
 * A VM that is gone doesn't respond, and a request to it shouldn't hold its place for long. Packets may wait for half a
 * second at a link that is full.
 */
const CONNECT_TIMEOUT_MS = 800;

/** Inactivity timeout of a call, added to the requested wait. A piece takes 50 ms on an idle link. */
const STALL_TIMEOUT_MS = 1500;

/**
 * Response header with the URI-encoded name of the model. Processes of earlier versions send none and ignore the model
 * that a request names, so their responses may be for another one.
 */
const MODEL_HEADER = "weights-model";

export interface PeerClientOptions {
    readonly model: string;
    readonly ip: string;
    readonly port: number;
    readonly connections: http.Agent;
    /** Rate at which the peer is asked to send pieces. */
    readonly rateMbps: number;
}

export function createPeerClient({ model, ip, port, connections, rateMbps }: PeerClientOptions): PeerClient {
    const encodedModel = encodeURIComponent(model);

    async function get(path: string, timeoutMs: number): Promise<Buffer> {
        const url = `http://${ip}:${port}${path}&model=${encodedModel}`;
        const response = await sendRequest({
            method: "GET",
            url,
            timeoutMs,
            connectTimeoutMs: CONNECT_TIMEOUT_MS,
            agent: connections,
        });
        if (response.status !== 200) {
            throw new VError(
                { name: "PeerError", info: { status: response.status } },
                "peer %s:%d responded to %s with status %d",
                ip,
                port,
                path,
                response.status,
            );
        }
        if (response.headers[MODEL_HEADER] !== encodedModel) {
            throw new VError(
                { name: "PeerError" },
                "peer %s:%d responded for the model %s instead of %s",
                ip,
                port,
                response.headers[MODEL_HEADER] ?? "of an earlier version",
                encodedModel,
            );
        }
        return response.body;
    }
    return {
        readManifest: async version => {
            const manifest = manifestSchema.parse(
                JSON.parse(String(await get(`/manifest?version=${version}`, STALL_TIMEOUT_MS))),
            );
            if (manifest.version === version) return manifest;
            throw new VError(
                { name: "PeerError" },
                "peer %s:%d responded with the manifest of version %d instead of %d",
                ip,
                port,
                manifest.version,
                version,
            );
        },
        readState: async (version, knownCount) => {
            const path = `/state?version=${version}&known=${knownCount}`;
            return stateSchema.parse(JSON.parse(String(await get(path, STATE_WAIT_MS + STALL_TIMEOUT_MS))));
        },
        readPiece: (version, piece, waitMs) => {
            const path = `/piece?version=${version}&piece=${piece}&wait=${waitMs}&rate=${rateMbps}`;
            return get(path, waitMs + STALL_TIMEOUT_MS);
        },
    };
}

/** HTTP status of a process that couldn't get the requested piece or manifest in time. */
export const PIECE_UNAVAILABLE_STATUS = 503;

/** HTTP status of a process whose sources don't have the requested version any more. */
const PIECE_WITHDRAWN_STATUS = 410;

/** Returns the status of a response to a request for a piece or a manifest that failed with the error. */
export function pieceErrorStatus(error: Error): number {
    return isVersionWithdrawn(error) ? PIECE_WITHDRAWN_STATUS : PIECE_UNAVAILABLE_STATUS;
}

/** Returns whether a call failed because the peer, which is reachable, couldn't get the piece. */
export function isPieceUnavailable(error: Error): boolean {
    return VError.info(error).status === PIECE_UNAVAILABLE_STATUS;
}

/** Provides the pieces of a model that a process serves, held or fetched on demand. */
export interface PieceProvider {
    readonly model: string;
    manifest(version: number): Promise<WeightManifest | undefined>;
    /** Waits up to `waitMs` for the piece; `undefined` if it isn't available then. */
    piece(version: number, piece: number, waitMs: number): Promise<Buffer | undefined>;
    /** Waits a bounded time until more than `knownCount` pieces are held. */
    state(version: number, knownCount: number): Promise<PeerState>;
}

/**
 * Returns the provider of the model; `undefined` if the process has none. Processes of earlier versions name no model,
 * because they know one only.
 */
export type ProviderLookup = (model: string | undefined) => PieceProvider | undefined;

const PIECE_PATHS: ReadonlySet<string> = new Set(["/manifest", "/state", "/piece"]);

/** Handles a request of the peer API; returns false for any other path. Throws what the provider throws. */
export async function handlePieceRequest(
    findProvider: ProviderLookup,
    throttleFor: (request: http.IncomingMessage) => UploadThrottle,
    request: http.IncomingMessage,
    response: http.ServerResponse,
): Promise<boolean> {
    const url = new URL(request.url ?? "/", "http://peer");
    if (!PIECE_PATHS.has(url.pathname)) return false;
    const countParameter = (name: string) => parseCount(url.searchParams.get(name));
    const version = countParameter("version");
    const piece = countParameter("piece");
    if (version === undefined || url.pathname === "/piece" && piece === undefined) {
        response.writeHead(400).end();
        return true;
    }
    const provider = findProvider(url.searchParams.get("model") ?? undefined);
    if (provider === undefined) {
        response.writeHead(404).end();
        return true;
    }
    response.setHeader(MODEL_HEADER, encodeURIComponent(provider.model));
    if (url.pathname === "/manifest") sendJson(response, await provider.manifest(version));
    else if (url.pathname === "/state") sendJson(response, await provider.state(version, countParameter("known") ?? 0));
    else if (piece !== undefined) {
        const waitMs = Math.min(countParameter("wait") ?? 0, MAX_PIECE_WAIT_MS);
        const bytes = await provider.piece(version, piece, waitMs);
        if (bytes === undefined) response.writeHead(404).end();
        else {
            response.writeHead(200, { "content-length": bytes.length });
            await throttleFor(request).send(bytes, response);
        }
    }
    return true;
}

/** Returns `undefined` if the text isn't a whole number of 0 or more. */
function parseCount(text: string | null): number | undefined {
    return text === null || !/^\d+$/.test(text) ? undefined : Number(text);
}

/** Creates a server for the peer API. It responds to every other path with the metrics of the process. */
export function createPieceServer(
    findProvider: ProviderLookup,
    throttleFor: (request: http.IncomingMessage) => UploadThrottle,
    metrics: ServingMetrics,
): http.Server {
    return http.createServer((request, response) => {
        handlePieceRequest(findProvider, throttleFor, request, response).then(
            isHandled => isHandled ? undefined : handleMetricsRequest(metrics, response),
            // With stored pieces, only sending to a client that has disconnected fails; the client sends its request
            // again.
            () => response.destroy(),
        );
    });
}

/**
 * Provides the pieces in a store to other agents. `loadedVersion` returns the version that this agent's engine holds,
 * or 0 for none.
 */
export function createStoredPieceProvider(pieceStore: PieceStore, loadedVersion: () => number): PieceProvider {
    return {
        model: pieceStore.model,
        manifest: async version => pieceStore.find(version)?.manifest,
        piece: (version, piece, waitMs) => waitForPiece(pieceStore, version, piece, waitMs),
        state: async (version, knownCount) => {
            await pieceStore.waitForMore(version, knownCount, STATE_WAIT_MS);
            const held = pieceStore.find(version)?.pieces.flatMap((piece, index) => piece === undefined ? [] : [index]);
            return { held: held ?? [], loaded: loadedVersion() };
        },
    };
}

async function waitForPiece(
    pieceStore: PieceStore,
    version: number,
    piece: number,
    waitMs: number,
): Promise<Buffer | undefined> {
    const deadline = performance.now() + waitMs;
    for (;;) {
        const held = pieceStore.find(version);
        const bytes = held?.pieces[piece];
        const timeLeftMs = deadline - performance.now();
        if (bytes !== undefined || timeLeftMs <= 0) return bytes;
        await pieceStore.waitForMore(version, countHeld(held), timeLeftMs);
    }
}

function sendJson(response: http.ServerResponse, value: unknown): void {
    if (value === undefined) response.writeHead(404).end();
    else response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(value));
}
