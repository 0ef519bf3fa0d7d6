/**
 * Clients of the platform's weight distribution: the runner on the agent's own VM (status report, staged weight
 * pieces, load orders) and the origin that weights are downloaded from.
 */
import * as http from "node:http";
import VError from "verror";
import * as z from "zod";
import { type HttpResponse, sendRequest } from "../clients/index.js";
import { DIGEST_PATTERN, type LoadedWeights } from "../core/serving/index.js";
import { parseJson } from "./json.js";
import { layersSchema, modelsSchema, translateLoadedWeights } from "./serverRows.js";

/** A runner on the same VM responds within milliseconds; if the VM freezes, this process freezes with it. */
const LOCAL_TIMEOUT_MS = 2000;

/** Names of the two servers in error messages. */
const RUNNER = "the runner on this VM";
const ORIGIN = "the weights origin";

/** State of the runner; it can be a few hundred milliseconds old. */
export interface EngineReport {
    /** `undefined` if the runner holds no complete weights. */
    readonly weights: LoadedWeights | undefined;
    /** True while a load order is in progress. */
    readonly isLoadInProgress: boolean;
    /** Unix time of the runner's start in milliseconds. */
    readonly startedAt: number;
    /** Factor by which the runner is slower than its service declares; 1 if it doesn't say so. */
    readonly slowdown: number;
}

export interface WeightManifest {
    readonly version: number;
    /** Hexadecimal SHA-256 digest of each piece, in order. */
    readonly digests: readonly string[];
}

/** `begun` means that the load is in progress, `conflict` that the runner refused the order with 409. */
export type LoadOrderResult = "begun" | "done" | "conflict";

/** Client of the runner on this VM. Calls throw a VError named `EngineError` on an unexpected response. */
export interface LocalEngineClient {
    report(): Promise<EngineReport>;
    stagePiece(model: string, pieceNumber: number, bytes: Buffer): Promise<void>;
    /** Returns `undefined` if the piece isn't staged. */
    readStagedPiece(model: string, pieceNumber: number): Promise<Buffer | undefined>;
    /** Orders the runner to load the staged pieces once its requests in progress have ended. */
    orderLoad(model: string, version: number): Promise<LoadOrderResult>;
}

/** Status with which the origin responds for a version that it doesn't have any more. */
const WITHDRAWN_STATUS = 410;

/** Returns whether a call failed because the origin doesn't have the version any more. */
export function isVersionWithdrawn(error: Error): boolean {
    return VError.info(error).status === WITHDRAWN_STATUS;
}

/** Client of the weights origin. Calls throw a VError named `EngineError` on an unexpected response. */
export interface WeightsOriginClient {
    readManifest(model: string, version: number): Promise<WeightManifest>;
    readPiece(model: string, version: number, pieceNumber: number): Promise<Buffer>;
}

const reportSchema = z.object({
    models: modelsSchema.default([]),
    /** Null if the runner holds no layers. */
    layers: layersSchema.nullish(),
    busy: z.boolean().default(false),
    /** Unix time of the runner's start in milliseconds. */
    born: z.number().default(0),
    /** Over 1 for a slow runner. It lasts; the load header of responses has the factor that changes all the time. */
    pace: z.number().positive().optional().catch(undefined),
});

const manifestSchema = z.object({
    version: z.int(),
    model: z.string().optional(),
    digests: z.array(z.string().regex(DIGEST_PATTERN)).min(1),
});

export function createLocalEngineClient(address: string): LocalEngineClient {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 2 });
    const call = (method: string, path: string, body?: Buffer | string, contentType?: string) =>
        sendRequest({
            method,
            url: `http://${address}${path}`,
            headers: contentType === undefined ? {} : { "content-type": contentType },
            body,
            timeoutMs: LOCAL_TIMEOUT_MS,
            agent,
        });

    return {
        report: async () => {
            const wire = parseResponse(RUNNER, await call("GET", "/-/report"), reportSchema);
            return {
                weights: translateLoadedWeights(wire.models, wire.layers),
                isLoadInProgress: wire.busy,
                startedAt: wire.born,
                slowdown: wire.pace ?? 1,
            };
        },
        stagePiece: async (model, pieceNumber, bytes) => {
            const path = `/-/stage-put/${encodeURIComponent(model)}?num-items=${pieceNumber}`;
            expectStatus(RUNNER, await call("PUT", path, bytes, "application/octet-stream"), [200, 201, 202, 204]);
        },
        readStagedPiece: async (model, pieceNumber) => {
            const response = await call("GET", `/-/stage-get/${encodeURIComponent(model)}?num-items=${pieceNumber}`);
            if (response.status === 404) return undefined;
            return expectStatus(RUNNER, response, [200]).body;
        },
        orderLoad: async (model, version) => {
            const orderBody = JSON.stringify({ op: "start", model, version, strategy: "queue" });
            const { status } = expectStatus(
                RUNNER,
                await call("POST", "/-/order", orderBody, "application/json"),
                [200, 202, 409],
            );
            if (status === 409) return "conflict";
            return status === 200 ? "done" : "begun";
        },
    };
}

/** A call to the origin fails after this time without a received byte. */
const ORIGIN_TIMEOUT_MS = 2500;

export function createWeightsOriginClient(address: string, agent: http.Agent): WeightsOriginClient {
    const call = (path: string) =>
        sendRequest({ method: "GET", url: `http://${address}${path}`, timeoutMs: ORIGIN_TIMEOUT_MS, agent });

    return {
        readManifest: async (model, version) => {
            const path = `/-/manifest/${encodeURIComponent(model)}?version=${version}`;
            const manifest = parseResponse(ORIGIN, await call(path), manifestSchema);
            // The response may be corrupt, and pieces are stored under the version that the manifest names.
            if (manifest.version !== version || (manifest.model ?? model) !== model) {
                throw new VError(
                    { name: "EngineError" },
                    "%s responded to a request for version %d of %s with version %d of %s",
                    ORIGIN,
                    version,
                    model,
                    manifest.version,
                    manifest.model ?? model,
                );
            }
            return { version, digests: manifest.digests };
        },
        readPiece: async (model, version, pieceNumber) => {
            // `num-items` is the number of the piece, not a count.
            const path = `/-/piece/${encodeURIComponent(model)}?num-items=${pieceNumber}&version=${version}`;
            return expectStatus(ORIGIN, await call(path), [200]).body;
        },
    };
}

function parseResponse<T>(server: string, response: HttpResponse, schema: z.ZodType<T>): T {
    const result = schema.safeParse(parseJson(expectStatus(server, response, [200]).body));
    if (result.success) return result.data;
    throw new VError(
        { name: "EngineError", cause: result.error },
        "the response of %s doesn't match the expected schema",
        server,
    );
}

function expectStatus(server: string, response: HttpResponse, expectedStatuses: readonly number[]): HttpResponse {
    if (expectedStatuses.includes(response.status)) return response;
    const info = { status: response.status };
    throw new VError({ name: "EngineError", info }, "%s responded with unexpected status %d", server, response.status);
}
