/**
 * Client of the runner on an agent's own VM (report, staged pieces, orders) and of the origin of weights.
 */
import * as http from "node:http";
import VError from "verror";
import * as z from "zod";
import { type HttpAnswer, sendRequest } from "../clients/index.js";
import type { HeldWeights } from "../core/serving/index.js";
import { parseJson } from "./json.js";
import { heldWeights, layersSchema, modelsSchema } from "./serverRows.js";

/** A runner on the same VM answers within milliseconds; a frozen VM stops both. */
const LOCAL_TIMEOUT_MS = 2000;

/** The state of the runner, as of some hundred milliseconds ago. */
export interface EngineReport {
    readonly weights: HeldWeights | undefined;
    /** An order is in progress. */
    readonly isBusy: boolean;
    /** Unix time of the runner's start in milliseconds. */
    readonly startedAt: number;
}

export interface WeightManifest {
    readonly version: number;
    /** SHA-256 of each piece, hexadecimal. */
    readonly digests: readonly string[];
}

export type OrderResult = "begun" | "done" | "conflict";

export interface OwnEngine {
    report(): Promise<EngineReport>;
    stagePiece(model: string, piece: number, bytes: Buffer): Promise<void>;
    /** Returns `undefined` if the piece isn't staged. */
    readStaged(model: string, piece: number): Promise<Buffer | undefined>;
    /** Loads the staged pieces after the requests in progress. */
    orderLoad(model: string, version: number): Promise<OrderResult>;
}

export interface Origin {
    readManifest(model: string, version: number): Promise<WeightManifest>;
    readPiece(model: string, version: number, piece: number): Promise<Buffer>;
}

const reportSchema = z.object({
    models: modelsSchema.default([]),
    /** Null on a runner that holds no layers. */
    layers: layersSchema.nullish(),
    busy: z.boolean().default(false),
    /** Unix time of the runner's start in milliseconds. */
    born: z.number().default(0),
});

const manifestSchema = z.object({ version: z.int(), digests: z.array(z.string()) });

export function createOwnEngine(address: string): OwnEngine {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 2 });
    const call = (method: string, path: string, body?: Buffer | string, type?: string) =>
        sendRequest({
            method,
            url: `http://${address}${path}`,
            headers: type === undefined ? {} : { "content-type": type },
            body,
            timeoutMs: LOCAL_TIMEOUT_MS,
            agent,
        });

    return {
        report: async () => {
            const wire = parseAnswer(await call("GET", "/-/report"), reportSchema);
            return { weights: heldWeights(wire.models, wire.layers), isBusy: wire.busy, startedAt: wire.born };
        },
        stagePiece: async (model, piece, bytes) => {
            const path = `/-/stage-put/${encodeURIComponent(model)}?num-items=${piece}`;
            expectStatus(await call("PUT", path, bytes, "application/octet-stream"), [200, 201, 202, 204]);
        },
        readStaged: async (model, piece) => {
            const answer = await call("GET", `/-/stage-get/${encodeURIComponent(model)}?num-items=${piece}`);
            if (answer.status === 404) return undefined;
            return expectStatus(answer, [200]).body;
        },
        orderLoad: async (model, version) => {
            const order = JSON.stringify({ op: "start", model, version, strategy: "queue" });
            const { status } = expectStatus(
                await call("POST", "/-/order", order, "application/json"),
                [200, 202, 409],
            );
            if (status === 409) return "conflict";
            return status === 200 ? "done" : "begun";
        },
    };
}

/** Time without a byte after which a call to the origin counts as stalled. */
const ORIGIN_TIMEOUT_MS = 2500;

export function createOrigin(address: string, agent: http.Agent): Origin {
    const call = (path: string) =>
        sendRequest({ method: "GET", url: `http://${address}${path}`, timeoutMs: ORIGIN_TIMEOUT_MS, agent });

    return {
        readManifest: async (model, version) => {
            return parseAnswer(
                await call(`/-/manifest/${encodeURIComponent(model)}?version=${version}`),
                manifestSchema,
            );
        },
        readPiece: async (model, version, piece) => {
            // `num-items` is the number of the piece, not a count.
            const path = `/-/piece/${encodeURIComponent(model)}?num-items=${piece}&version=${version}`;
            return expectStatus(await call(path), [200]).body;
        },
    };
}

function parseAnswer<T>(answer: HttpAnswer, schema: z.ZodType<T>): T {
    const result = schema.safeParse(parseJson(expectStatus(answer, [200]).body));
    if (result.success) return result.data;
    throw new VError({ name: "EngineError", cause: result.error }, "the answer isn't understood");
}

function expectStatus(answer: HttpAnswer, accepted: readonly number[]): HttpAnswer {
    if (accepted.includes(answer.status)) return answer;
    const info = { status: answer.status };
    throw new VError({ name: "EngineError", info }, "the server answered with status %d", answer.status);
}
