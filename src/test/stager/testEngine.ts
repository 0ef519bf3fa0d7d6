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

export const pieceOf = (version: number, piece: number, model = MODEL) =>
    Buffer.alloc(PIECE_BYTES, `${model} ${version}/${piece} `);
export const digestOf = (bytes: Buffer) => createHash("sha256").update(bytes).digest("hex");

export interface Manifest {
    readonly model: string;
    readonly version: number;
    readonly digests: readonly string[];
}

export type TestEngine = Awaited<ReturnType<typeof startTestEngine>>;

export async function startTestEngine(ip = "127.0.0.1") {
    const staged = new Map<number, Buffer>();
    const stagedByModel = new Map([[MODEL, staged]]);
    const state = {
        model: MODEL,
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
        const [, , call, model = MODEL] = url.pathname.split("/");
        if (call === "report") {
            const layers = state.version === 0 ? null : { from: 0, to: 4, version: state.version };
            const models = state.version === 0 ? [] : [{ name: state.model, version: state.version, adapters: [] }];
            return [200, { models, layers, busy: false, born: state.startedAt, pace: state.pace }];
        }
        if (call === "manifest") {
            const digests = Array.from({ length: PIECE_COUNT }, (_, index) => digestOf(pieceOf(version, index, model)));
            return [200, state.corruptManifest({ model, version, digests })];
        }
        if (call === "piece") {
            state.requestedVersions.push(version);
            const status = state.pieceStatus(version);
            if (status !== 200) return [status, {}];
            const isCorrupt = state.isCorruptingPieces && ++state.piecesSent % 3 === 0;
            return [200, isCorrupt ? Buffer.alloc(PIECE_BYTES) : pieceOf(version, piece, model)];
        }
        if (call === "stage-put" || call === "stage-get") await state.beforeStageCall(call, piece);
        if (call === "stage-put") {
            const stagedPieces = stagedByModel.get(model) ?? new Map<number, Buffer>();
            stagedByModel.set(model, stagedPieces.set(piece, Buffer.concat(body)));
            return [200, {}];
        }
        if (call === "stage-get") {
            const bytes = stagedByModel.get(model)?.get(piece);
            return bytes === undefined ? [404, {}] : [200, bytes];
        }
        await state.beforeOrder();
        const ordered = JSON.parse(Buffer.concat(body).toString()) as { model: string; version: number; };
        if (ordered.model === state.model && ordered.version === state.version) return [200, {}];
        state.orders++;
        state.model = ordered.model;
        state.version = ordered.version;
        state.loaded = new Map(
            [...stagedByModel.get(ordered.model) ?? []].map(([index, bytes]) => [index, digestOf(bytes)]),
        );
        return [202, {}];
    }

    const server = http.createServer((request, response) => {
        void respondTo(request).then(([status, body]) => {
            const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
            response.writeHead(status, { "content-length": bytes.length }).end(bytes);
        });
    });
    await new Promise<void>(resolve => server.listen(0, ip, resolve));
    return {
        address: `${ip}:${(server.address() as AddressInfo).port}`,
        staged,
        state,
        /** Asserts that the engine holds the version, and that all of its pieces were sound when it took them. */
        assertLoaded: (version: number, model = MODEL) => {
            assert.deepEqual([state.model, state.version], [model, version]);
            for (let piece = 0; piece < PIECE_COUNT; piece++) {
                assert.equal(state.loaded.get(piece), digestOf(pieceOf(version, piece, model)), `piece ${piece}`);
            }
        },
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
