/** What agents ask each other for: manifests, the list of held pieces, and pieces. */
import * as http from "node:http";
import VError from "verror";
import * as z from "zod";
import { sendRequest } from "../clients/index.js";
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

/** Time without a byte after which a peer counts as stalled; a piece takes 50 ms on an idle link. */
const STALL_TIMEOUT_MS = 1500;

export function createPeerClient(ip: string, port: number, agent: http.Agent): PeerClient {
    async function get(path: string, timeoutMs: number): Promise<Buffer> {
        const answer = await sendRequest({ method: "GET", url: `http://${ip}:${port}${path}`, timeoutMs, agent });
        if (answer.status !== 200) {
            throw new VError({ name: "PeerError", info: { status: answer.status } }, "the peer answered %d", answer.status);
        }
        return answer.body;
    }
    return {
        readManifest: async version => {
            return manifestSchema.parse(JSON.parse(String(await get(`/manifest?version=${version}`, STALL_TIMEOUT_MS))));
        },
        readState: async (version, known) => {
            const path = `/state?version=${version}&known=${known}`;
            return stateSchema.parse(JSON.parse(String(await get(path, STATE_WAIT_MS + STALL_TIMEOUT_MS))));
        },
        readPiece: (version, piece, waitMs) => {
            return get(`/piece?version=${version}&piece=${piece}&wait=${waitMs}`, waitMs + STALL_TIMEOUT_MS);
        },
    };
}

/** Answers the requests of other agents. `loaded` returns the version that the own engine holds. */
export function createPeerServer(pieces: PieceStore, uploads: UploadPace, loaded: () => number): http.Server {
    return http.createServer((request, response) => {
        void answerPeer(pieces, uploads, loaded, request, response).catch(() => {
            // Only a peer that has gone makes writing fail; it asks again.
            response.destroy();
        });
    });
}

async function answerPeer(
    pieces: PieceStore,
    uploads: UploadPace,
    loaded: () => number,
    request: http.IncomingMessage,
    response: http.ServerResponse,
): Promise<void> {
    const url = new URL(request.url ?? "/", "http://peer");
    const number = (name: string) => Number(url.searchParams.get(name) ?? Number.NaN);
    const version = number("version");
    if (url.pathname === "/manifest") {
        sendJson(response, pieces.find(version)?.manifest);
        return;
    }
    if (url.pathname === "/state") {
        await pieces.untilMore(version, number("known"), STATE_WAIT_MS);
        const held = pieces.find(version)?.pieces.flatMap((piece, index) => piece === undefined ? [] : [index]);
        sendJson(response, { held: held ?? [], loaded: loaded() });
        return;
    }
    if (url.pathname === "/piece") {
        const bytes = await waitForPiece(pieces, version, number("piece"), Math.min(number("wait"), STATE_WAIT_MS * 2));
        if (bytes === undefined) {
            response.writeHead(404).end();
            return;
        }
        response.writeHead(200, { "content-length": bytes.length });
        await uploads.send(bytes, response);
        return;
    }
    response.writeHead(404).end();
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
