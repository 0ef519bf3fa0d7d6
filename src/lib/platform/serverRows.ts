/** Parses the rows that runners maintain in the server registry into backend servers. */
import * as z from "zod";
import type { BackendServer, LoadedWeights } from "../core/serving/index.js";
import { parseJson } from "./json.js";

/** Range of model layers that a runner holds; `to` is exclusive. */
export const layersSchema = z.object({ from: z.int(), to: z.int(), version: z.int() });

/** Models that a runner holds; `version` is the weights version, not the configuration version. */
export const modelsSchema = z.array(z.object({ name: z.string(), version: z.int() }));

const MAX_PORT = 65_535;

const hasValidPort = (address: string) => Number(address.split(":")[1]) <= MAX_PORT;

const serverRowSchema = z.object({
    service: z.string(),
    address: z.string().regex(/^[0-9.]+:\d+$/).refine(hasValidPort),
    zone: z.string(),
    slots: z.int().positive(),
    state: z.enum(["ready", "draining"]),
    "cold-remaining-ms": z.number(),
    /** Unix time of the runner's start in milliseconds. */
    born: z.int().optional(),
    models: modelsSchema.optional(),
    /** Null if the runner holds no layers. */
    layers: layersSchema.nullish(),
});

/** Returns `undefined` if the row describes no usable server, for example because another program wrote it. */
export function parseServerRow(id: string, text: string): BackendServer | undefined {
    const result = serverRowSchema.safeParse(parseJson(text));
    if (!result.success) return undefined;
    const row = result.data;
    return {
        id,
        service: row.service,
        address: row.address,
        failureDomain: row.zone,
        slots: row.slots,
        isLeaving: row.state === "draining",
        startedAt: row.born ?? 0,
        remainingWarmupMs: row["cold-remaining-ms"],
        weights: translateLoadedWeights(row.models ?? [], row.layers),
    };
}

/** Returns the weights that a runner holds, or `undefined` if it lacks layer 0 and so holds only part of a model. */
export function translateLoadedWeights(
    models: z.infer<typeof modelsSchema>,
    layers: z.infer<typeof layersSchema> | null | undefined,
): LoadedWeights | undefined {
    const model = models[0];
    if (model === undefined || layers === null || layers === undefined) return undefined;
    if (layers.from !== 0 || layers.to <= 0) return undefined;
    return { model: model.name, version: layers.version };
}
