/** What agents ask each other for: manifests, the list of held pieces, and pieces. */
import * as http from "node:http";
import VError from "verror";
import * as z from "zod";
import { sendRequest } from "../clients/index.js";
import { answerMetrics, type ServingMetrics } from "../observability/index.js";
import type { WeightManifest } from "../platform/index.js";
import { countHeld, type PieceStore } from "./pieceStore.js";
import type { UploadPace } from "./uploadPace.js";

export interface PeerState {
    /** Numbers of the pieces held of the version. */
    readonly held: readonly number[];
    /** Version that the peer's engine holds. */
    readonly loaded: number;
}

export interface PeerClient {
    readManifest(version: number): Promise<WeightManifest>;
    /** Waits until the peer holds more than `known` pieces, but not for long. */
    readState(version: number, known: number): Promise<PeerState>;
    /** Waits up to `waitMs` until the peer holds the piece. */
    readPiece(version: number, piece: number, waitMs: number): Promise<Buffer>;
}

const manifestSchema = z.object({ version: z.int(), digests: z.array(z.string()) });
const stateSchema = z.object({ held: z.array(z.int()), loaded: z.int() });

/** Longest wait for a change of the state; the asker's watch of other things doesn't depend on it. */
const STATE_WAIT_MS = 1000;

/** Longest wait for a piece that the asked process doesn't hold yet. */
const MAX_PIECE_WAIT_MS = 2000;

/** Time without a byte after which a peer counts as stalled; a piece takes 50 ms on an idle link. */
const STALL_TIMEOUT_MS = 1500;

/** `rateMbps` is the rate at which pieces should arrive. */
export function createPeerClient(ip: string, port: number, agent: http.Agent, rateMbps: number): PeerClient {
    async function get(path: string, timeoutMs: number): Promise<Buffer> {
        const answer = await sendRequest({ method: "GET", url: `http://${ip}:${port}${path}`, timeoutMs, agent });
        if (answer.status !== 200) {
            throw new VError(
                { name: "PeerError", info: { status: answer.status } },
                "the peer answered %d",
                answer.status,
            );
        }
        return answer.body;
    }
    return {
        readManifest: async version => {
            return manifestSchema.parse(
                JSON.parse(String(await get(`/manifest?version=${version}`, STALL_TIMEOUT_MS))),
            );
        },
        readState: async (version, known) => {
            const path = `/state?version=${version}&known=${known}`;
            return stateSchema.parse(JSON.parse(String(await get(path, STATE_WAIT_MS + STALL_TIMEOUT_MS))));
        },
        readPiece: (version, piece, waitMs) => {
            const path = `/piece?version=${version}&piece=${piece}&wait=${waitMs}&rate=${rateMbps}`;
            return get(path, waitMs + STALL_TIMEOUT_MS);
        },
    };
}

/** Status of a process that is asked for what it could not get itself in time. */
export const LACKING_STATUS = 503;

/** Tells whether a call failed because the process that was asked lacks the piece, not because it is away. */
export function isLacking(error: Error): boolean {
    return VError.info(error).status === LACKING_STATUS;
}

/** What a process that serves pieces holds or fetches. */
export interface PieceSupply {
    manifest(version: number): Promise<WeightManifest | undefined>;
    /** Waits up to `waitMs` for the piece. */
    piece(version: number, piece: number, waitMs: number): Promise<Buffer | undefined>;
    /** Waits until more than `known` pieces are held, but not for long. */
    state(version: number, known: number): Promise<PeerState>;
}

/** Answers a request for pieces; returns false if it asks for something else. */
export async function answerPieces(
    supply: PieceSupply,
    paceFor: (request: http.IncomingMessage) => UploadPace,
    request: http.IncomingMessage,
    response: http.ServerResponse,
): Promise<boolean> {
    const url = new URL(request.url ?? "/", "http://peer");
    const number = (name: string) => Number(url.searchParams.get(name) ?? Number.NaN);
    const version = number("version");
    if (url.pathname === "/manifest") sendJson(response, await supply.manifest(version));
    else if (url.pathname === "/state") sendJson(response, await supply.state(version, number("known")));
    else if (url.pathname === "/piece") {
        const bytes = await supply.piece(version, number("piece"), Math.min(number("wait"), MAX_PIECE_WAIT_MS));
        if (bytes === undefined) response.writeHead(404).end();
        else {
            response.writeHead(200, { "content-length": bytes.length });
            await paceFor(request).send(bytes, response);
        }
    }
    else return false;
    return true;
}

/** A server for pieces that answers everything else with the process's metrics. */
export function createPieceServer(
    supply: PieceSupply,
    paceFor: (request: http.IncomingMessage) => UploadPace,
    metrics: ServingMetrics,
): http.Server {
    return http.createServer((request, response) => {
        answerPieces(supply, paceFor, request, response).then(
            isAnswered => isAnswered ? undefined : answerMetrics(metrics, response),
            // Only a process that has gone makes writing fail; it asks again.
            () => response.destroy(),
        );
    });
}

/** The pieces that an agent holds, for other agents. `loaded` returns the version that its engine holds. */
export function createHeldSupply(pieces: PieceStore, loaded: () => number): PieceSupply {
    return {
        manifest: async version => pieces.find(version)?.manifest,
        piece: (version, piece, waitMs) => waitForPiece(pieces, version, piece, waitMs),
        state: async (version, known) => {
            await pieces.untilMore(version, known, STATE_WAIT_MS);
            const held = pieces.find(version)?.pieces.flatMap((piece, index) => piece === undefined ? [] : [index]);
            return { held: held ?? [], loaded: loaded() };
        },
    };
}

async function waitForPiece(
    pieces: PieceStore,
    version: number,
    piece: number,
    waitMs: number,
): Promise<Buffer | undefined> {
    const until = performance.now() + waitMs;
    for (;;) {
        const held = pieces.find(version);
        const bytes = held?.pieces[piece];
        const rest = until - performance.now();
        if (bytes !== undefined || rest <= 0) return bytes;
        await pieces.untilMore(version, countHeld(held), rest);
    }
}

function sendJson(response: http.ServerResponse, value: unknown): void {
    if (value === undefined) response.writeHead(404).end();
    else response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(value));
}
