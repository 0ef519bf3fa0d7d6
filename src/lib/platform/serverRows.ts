/** Translates the entries that runners keep in the registry into backend servers. */
import * as z from "zod";
import type { BackendServer, HeldWeights } from "../core/serving/index.js";
import { parseJson } from "./json.js";

/** What a runner says of its layers; `to` is exclusive. */
export const layersSchema = z.object({ from: z.int(), to: z.int(), version: z.int() });

/** `version` is the version of the weights, not of the configuration. */
export const modelsSchema = z.array(z.object({ name: z.string(), version: z.int() }));

const entrySchema = z.object({
    service: z.string(),
    address: z.string().regex(/^[0-9.]+:\d+$/),
    zone: z.string(),
    slots: z.int().positive(),
    state: z.enum(["ready", "draining"]),
    "cold-remaining-ms": z.number(),
    /** Unix time of the runner's start in milliseconds. */
    born: z.int().optional(),
    models: modelsSchema.optional(),
    /** Null on a runner that holds no layers. */
    layers: layersSchema.nullish(),
});

/** Returns `undefined` for an entry that names no server to use, such as one of another writer. */
export function parseServer(id: string, text: string): BackendServer | undefined {
    const result = entrySchema.safeParse(parseJson(text));
    if (!result.success) return undefined;
    const entry = result.data;
    return {
        id,
        service: entry.service,
        address: entry.address,
        failureDomain: entry.zone,
        slots: entry.slots,
        isLeaving: entry.state === "draining",
        startedAt: entry.born ?? 0,
        coldMs: entry["cold-remaining-ms"],
        weights: heldWeights(entry.models ?? [], entry.layers),
    };
}

/** Returns the weights that a runner holds. Layers that don't begin with the first belong to a part of a model. */
export function heldWeights(
    models: z.infer<typeof modelsSchema>,
    layers: z.infer<typeof layersSchema> | null | undefined,
): HeldWeights | undefined {
    const model = models[0];
    if (model === undefined || layers === null || layers === undefined) return undefined;
    if (layers.from !== 0 || layers.to <= 0) return undefined;
    return { model: model.name, version: layers.version };
}
