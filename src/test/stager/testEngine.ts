/**
 * Test helper: one server that is both an origin and an engine, which loads the staged pieces when it is ordered to.
 */
import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import * as http from "node:http";
import type { AddressInfo } from "node:net";

export const MODEL = "m";
export const PIECE_COUNT = 8;
export const PIECE_BYTES = 2048;

export const pieceOf = (version: number, piece: number) => Buffer.alloc(PIECE_BYTES, `${version}/${piece} `);
export const digestOf = (bytes: Buffer) => createHash("sha256").update(bytes).digest("hex");

export interface Manifest {
    readonly model: string;
    readonly version: number;
    readonly digests: readonly string[];
}

export type TestEngine = Awaited<ReturnType<typeof startTestEngine>>;

export async function startTestEngine() {
    const staged = new Map<number, Buffer>();
    const state = {
        version: 1,
        startedAt: 1,
        pace: 1,
        orders: 0,
        piecesSent: 0,
        loaded: new Map<number, string>(),
        isCorruptingPieces: true,
        /** Versions of the requested pieces. */
        requestedVersions: [] as number[],
        /** Status with which the origin responds to a request for a piece of the version; 200 sends it. */
        pieceStatus: (_version: number) => 200,
        /** Called before the engine responds to a request about a staged piece, and before it accepts an order. */
        beforeStageCall: async (_call: string, _piece: number): Promise<void> => undefined,
        beforeOrder: async (): Promise<void> => undefined,
        /** Corrupts a manifest before it is sent. */
        corruptManifest: (manifest: Manifest) => manifest,
    };

    async function respondTo(request: http.IncomingMessage): Promise<[number, Buffer | object]> {
        const url = new URL(request.url ?? "/", "http://engine");
        const piece = Number(url.searchParams.get("num-items"));
        const version = Number(url.searchParams.get("version"));
        const body: Buffer[] = [];
        for await (const part of request as AsyncIterable<Buffer>) body.push(part);
        const [, , call] = url.pathname.split("/");
        if (call === "report") {
            const layers = state.version === 0 ? null : { from: 0, to: 4, version: state.version };
            const models = state.version === 0 ? [] : [{ name: MODEL, version: state.version, adapters: [] }];
            return [200, { models, layers, busy: false, born: state.startedAt, pace: state.pace }];
        }
        if (call === "manifest") {
            const digests = Array.from({ length: PIECE_COUNT }, (_, index) => digestOf(pieceOf(version, index)));
            return [200, state.corruptManifest({ model: MODEL, version, digests })];
        }
        if (call === "piece") {
            state.requestedVersions.push(version);
            const status = state.pieceStatus(version);
            if (status !== 200) return [status, {}];
            const isCorrupt = state.isCorruptingPieces && ++state.piecesSent % 3 === 0;
            return [200, isCorrupt ? Buffer.alloc(PIECE_BYTES) : pieceOf(version, piece)];
        }
        if (call === "stage-put" || call === "stage-get") await state.beforeStageCall(call, piece);
        if (call === "stage-put") {
            staged.set(piece, Buffer.concat(body));
            return [200, {}];
        }
        if (call === "stage-get") {
            const bytes = staged.get(piece);
            return bytes === undefined ? [404, {}] : [200, bytes];
        }
        await state.beforeOrder();
        const { version: ordered } = JSON.parse(Buffer.concat(body).toString()) as { version: number; };
        if (ordered === state.version) return [200, {}];
        state.orders++;
        state.version = ordered;
        state.loaded = new Map([...staged].map(([index, bytes]) => [index, digestOf(bytes)]));
        return [202, {}];
    }

    const server = http.createServer((request, response) => {
        void respondTo(request).then(([status, body]) => {
            const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
            response.writeHead(status, { "content-length": bytes.length }).end(bytes);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        staged,
        state,
        /** Asserts that the engine holds the version, and that all of its pieces were sound when it took them. */
        assertLoaded: (version: number) => {
            assert.equal(state.version, version);
            for (let piece = 0; piece < PIECE_COUNT; piece++) {
                assert.equal(state.loaded.get(piece), digestOf(pieceOf(version, piece)), `piece ${piece}`);
            }
        },
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
