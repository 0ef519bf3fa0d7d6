/** Configurations as the operator writes them. */

export const HOST = "desk.example";

const ROUTE = {
    host: HOST,
    "timeout-ms": 6000,
    "target-latency-ms": 400,
    priority: 1,
    public: false,
    sticky: false,
    resumable: false,
};

/** A route of calls that must not run twice. */
export const bookRoute = (service, changes = {}) => ({
    ...ROUTE,
    name: "book",
    prefix: "/book/",
    kind: "non_idempotent",
    "max-attempts": 1,
    service,
    ...changes,
});

/** A route of calls that may be repeated. */
export const lookupRoute = (service, changes = {}) => ({
    ...ROUTE,
    name: "lookup",
    prefix: "/lookup/",
    kind: "idempotent",
    "max-attempts": 2,
    service,
    ...changes,
});

/** A route of streams that may be resumed. */
export const draftRoute = (service, changes = {}) => ({
    ...ROUTE,
    name: "draft",
    prefix: "/draft/",
    kind: "streaming",
    "max-attempts": 2,
    sticky: true,
    resumable: true,
    "target-gap-ms": 300,
    service,
    ...changes,
});

export const plainService = (name, changes = {}) => ({
    name,
    "health-path": "/healthz",
    "max-connections": 96,
    protocol: "h1",
    tls: false,
    ...changes,
});

export const engineService = (name, { model, chunks, chunkBytes }) =>
    plainService(name, {
        "max-connections": 264,
        engine: {
            slots: 16,
            "kv-capacity-tokens": 685_000,
            "kv-token-bytes": 327_680,
            "link-mbps": 400_000,
            stride: 6,
            models: [{ name: model, pace: 1, "load-s": 4, "warm-s": 0.3 }],
            mb: 297_000,
            step_ms: 7.4,
            per_seq_ms: 0.0387,
            context_per_k: 0.0203,
            read_per_s: 31_900,
            pairs_per_m: 0.733,
            chunk: 2048,
            report_lag_ms: 200,
            usual: { prompt: 973, answer: 106 },
            layers: 16,
            layer_mb: 4540,
            act_bytes: 16_384,
            chunks,
            "chunk-bytes": chunkBytes,
        },
    });

export const originService = (name, { address, zone }) => ({
    name,
    origin: address,
    zone,
    "link-mbps": 9.9,
    "max-connections": 48,
});

export const configuration = (version, { routes, services, tenants }) => ({
    version,
    routes,
    services,
    limits: {
        "max-header-bytes": 16_384,
        "max-body-bytes": 4_194_304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15_000,
    },
    tenants,
});
