/** Parses the rows that the operator writes to the store: the configuration and the named weights. */
import * as z from "zod";
import { type EngineParameters, RequestKind, type Route, type RoutingConfiguration } from "../core/serving/index.js";
import { parseJson } from "./json.js";

/** Key of the row that holds the complete current configuration. */
export const ROUTING_CONFIGURATION_KEY = "config";

/** Prefix of the keys of rows that name the weights version of a model. */
export const NAMED_WEIGHTS_KEY_PREFIX = "version/";

/** Prefix of the keys of rows that exist while a failure domain is evacuated. */
const EVACUATION_KEY_PREFIX = "evacuate/";

const REQUEST_KINDS = {
    idempotent: RequestKind.idempotent,
    non_idempotent: RequestKind.nonIdempotent,
    streaming: RequestKind.stream,
} as const;

/** Without regions there is no restriction. */
const regionsSchema = z.array(z.string()).default([]);

const routeSchema = z.object({
    name: z.string(),
    host: z.string(),
    prefix: z.string(),
    kind: z.enum(["idempotent", "non_idempotent", "streaming"]),
    "timeout-ms": z.number().nonnegative(),
    "target-latency-ms": z.number().nonnegative(),
    priority: z.number().default(0),
    service: z.string().optional(),
    "traffic-split": z.array(z.object({ service: z.string(), weight: z.number() })).optional(),
    "max-attempts": z.number().default(1),
    public: z.boolean().default(false),
    resumable: z.boolean().default(false),
    "target-gap-ms": z.number().default(Number.POSITIVE_INFINITY),
    "allowed-regions": regionsSchema,
});

const engineSchema = z.object({
    slots: z.number(),
    stride: z.number().default(1),
    step_ms: z.number(),
    per_seq_ms: z.number(),
    /** Milliseconds per 1,000 context tokens. */
    context_per_k: z.number(),
    /** Prompt tokens that are processed per second. */
    read_per_s: z.number(),
    /** Milliseconds per million token pairs. */
    pairs_per_m: z.number(),
    usual: z.object({ prompt: z.number(), answer: z.number() }),
    layers: z.number().default(1),
    models: z.array(z.object({ name: z.string() })),
    chunks: z.number().default(0),
    "chunk-bytes": z.number().default(0),
    "kv-capacity-tokens": z.number().positive().default(Number.POSITIVE_INFINITY),
});

const serviceSchema = z.object({
    name: z.string(),
    "health-path": z.string().default("/"),
    "max-connections": z.number().default(Number.POSITIVE_INFINITY),
    zone: z.string().optional(),
    engine: engineSchema.optional(),
    /** Address that weights are downloaded from. */
    origin: z.string().optional(),
    "cold-s": z.number().nonnegative().default(0),
    "cold-per-s": z.number().nonnegative().default(0),
});

const configurationSchema = z.object({
    version: z.number(),
    routes: z.array(routeSchema),
    services: z.array(serviceSchema),
    limits: z.object({
        "max-header-bytes": z.number().nonnegative(),
        "max-body-bytes": z.number().nonnegative(),
        "header-timeout-ms": z.number().nonnegative(),
        "idle-timeout-ms": z.number().nonnegative(),
    }),
    tenants: z.array(z.object({
        name: z.string(),
        "api-keys": z.array(z.string()),
        priority: z.number().optional(),
        "allowed-regions": regionsSchema,
    })).optional(),
});

const namedWeightsSchema = z.object({ model: z.string(), version: z.int() });

/** Weights version that the operator has named for a model. */
export interface NamedWeights {
    readonly model: string;
    readonly version: number;
}

/** Returns `undefined` if the text isn't a valid configuration. */
export function parseRoutingConfiguration(text: string): RoutingConfiguration | undefined {
    const result = configurationSchema.safeParse(parseJson(text));
    if (!result.success) return undefined;
    const wire = result.data;
    return {
        version: wire.version,
        routes: wire.routes.map(translateRoute),
        services: wire.services.map(service => ({
            name: service.name,
            healthPath: service["health-path"],
            maxConnections: service["max-connections"],
            engine: service.engine === undefined ? undefined : translateEngine(service.engine),
            origin: service.origin === undefined ? undefined : {
                address: service.origin,
                failureDomain: service.zone ?? "",
                maxConnections: service["max-connections"],
            },
            coldMs: service["cold-s"] * 1000,
            coldRequestsPerSecond: service["cold-per-s"],
        })),
        limits: {
            maxHeaderBytes: wire.limits["max-header-bytes"],
            maxBodyBytes: wire.limits["max-body-bytes"],
            headerTimeoutMs: wire.limits["header-timeout-ms"],
            idleTimeoutMs: wire.limits["idle-timeout-ms"],
        },
        accounts: wire.tenants?.map(tenant => ({
            name: tenant.name,
            keys: tenant["api-keys"],
            rank: tenant.priority,
            allowedRegions: translateRegions(tenant["allowed-regions"]),
        })),
    };
}

/** Returns `undefined` if the row doesn't name weights or isn't valid. */
export function parseNamedWeights(key: string, text: string): NamedWeights | undefined {
    if (!key.startsWith(NAMED_WEIGHTS_KEY_PREFIX)) return undefined;
    const result = namedWeightsSchema.safeParse(parseJson(text));
    return result.success ? result.data : undefined;
}

/** Returns the failure domain that a row evacuates; `undefined` if the row is of another kind. */
export function parseEvacuationKey(key: string): string | undefined {
    return key.startsWith(EVACUATION_KEY_PREFIX) ? key.slice(EVACUATION_KEY_PREFIX.length) : undefined;
}

function translateRegions(regions: readonly string[]): ReadonlySet<string> | undefined {
    return regions.length === 0 ? undefined : new Set(regions);
}

function translateRoute(route: z.infer<typeof routeSchema>): Route {
    const defaultServices = route.service === undefined ? [] : [{ service: route.service, weight: 1 }];
    return {
        name: route.name,
        host: route.host,
        prefix: route.prefix,
        kind: REQUEST_KINDS[route.kind],
        timeoutMs: route["timeout-ms"],
        targetMs: route["target-latency-ms"],
        rank: route.priority,
        services: route["traffic-split"] ?? defaultServices,
        maxAttempts: route["max-attempts"],
        isPublic: route.public,
        isResumable: route.resumable,
        maxEventGapMs: route["target-gap-ms"],
        allowedRegions: translateRegions(route["allowed-regions"]),
    };
}

function translateEngine(engine: z.infer<typeof engineSchema>): EngineParameters {
    return {
        slots: engine.slots,
        stepMs: engine.step_ms,
        stepMsPerRequest: engine.per_seq_ms,
        stepMsPerKiloToken: engine.context_per_k,
        prefillTokensPerMs: engine.read_per_s / 1000,
        prefillMsPerMillionPairs: engine.pairs_per_m,
        tokensPerEvent: engine.stride,
        meanAnswerTokens: engine.usual.answer,
        layers: engine.layers,
        model: engine.models[0]?.name ?? "",
        chunkCount: engine.chunks,
        chunkBytes: engine["chunk-bytes"],
        memoryTokens: engine["kv-capacity-tokens"],
    };
}
