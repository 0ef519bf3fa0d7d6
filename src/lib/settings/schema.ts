/**
 * Schemas of the settings files. Unknown keys are rejected, so that misspelt keys are found at startup. Settings
 * contain no secrets, only the names of the files that hold them.
 */
import * as z from "zod";
import { RANKS } from "../core/index.js";

const port = z.int().min(0).max(65535);
const url = z.url({ protocol: /^https?$/ });
const milliseconds = z.int().min(1).max(3_600_000);
const bytesPerSecond = z.int().min(1000);
const rank = z.enum(RANKS);

const listenSchema = z.strictObject({
    /** IP address to listen on. */
    host: z.string().default("127.0.0.1"),
    /** 0 selects a free port. */
    port,
});

const platformSchema = z.strictObject({
    tableUrl: url,
    weightStoreUrl: url,
    vmListUrl: url,
    /** A request fails after this time without receiving any byte from the platform. */
    timeoutMs: milliseconds.default(2000),
    /** Region of the weight store, which receives each chunk before the other regions. */
    weightStoreRegion: z.string(),
});

const tlsSchema = z.strictObject({
    certificateFile: z.string(),
    keyFile: z.string(),
    /** Certificate of the authority that issues the certificates of all processes of the system. */
    authorityFile: z.string(),
    /** Interval at which the files are checked for renewed content. */
    refreshMs: milliseconds.default(10_000),
});

const metricsSchema = z.strictObject({
    /** Host of the StatsD server. */
    host: z.string(),
    port,
    prefix: z.string().default("endivewell."),
});

const commonFields = {
    /** Unique name of this process; equal to its name in the platform's list of VMs. */
    process: z.string().min(1).max(100),
    failureDomain: z.string().min(1),
    region: z.string().min(1),
    /** Address of the gRPC server for other processes of the system. */
    rpc: listenSchema,
    platform: platformSchema,
    /** Mutual TLS between the processes of the system. Required unless every address is a loopback address. */
    tls: tlsSchema.optional(),
    metrics: metricsSchema.optional(),
    /** Interval at which the configuration row and the list of VMs are polled. */
    pollMs: milliseconds.default(500),
    /**
     * Where requests wait. `agentQueues`: in ranked queues at the agents. `entryQueues`: in ranked queues at the
     * entries, each of which uses a static share of every agent's slots. `fifo`: in FIFO queues at agents chosen at
     * random. The latter two are baselines for comparison. All processes of a fleet must use the same value.
     */
    scheduling: z.enum(["agentQueues", "entryQueues", "fifo"]).default("agentQueues"),
    /** Longest time that a graceful stop waits for in-flight requests. */
    drainMs: milliseconds.default(150_000),
};

type AddressSettings = Readonly<Pick<z.infer<z.ZodObject<typeof commonFields>>, "rpc" | "platform" | "tls">>;

/** Rejects settings without TLS if any address isn't a loopback address. */
function requireTls(settings: AddressSettings, context: z.RefinementCtx): void {
    if (settings.tls !== undefined) return;
    const { tableUrl, weightStoreUrl, vmListUrl } = settings.platform;
    const addresses: [string[], string][] = [
        [["rpc", "host"], settings.rpc.host],
        [["platform", "tableUrl"], new URL(tableUrl).hostname],
        [["platform", "weightStoreUrl"], new URL(weightStoreUrl).hostname],
        [["platform", "vmListUrl"], new URL(vmListUrl).hostname],
    ];
    for (const [path, host] of addresses) {
        if (!isLoopback(host)) context.addIssue({ code: "custom", path, message: TLS_REQUIRED });
    }
}

const TLS_REQUIRED = "expected a loopback address, or a tls section with certificate, key and authority";

function isLoopback(host: string): boolean {
    return host === "localhost" || host === "::1" || host === "[::1]" || /^127(\.\d{1,3}){3}$/.test(host);
}

const DRAIN_TOO_SHORT = "must be at least limits.requestMs + limits.answerMs, or a graceful stop cuts off requests";

export const entrySchema = z.strictObject({
    ...commonFields,
    /** Address of the HTTP server for callers and the administration API. */
    http: listenSchema,
    accounts: z.array(z.strictObject({
        client: z.string().min(1).max(100),
        /** File that contains the account's bearer key. */
        keyFile: z.string(),
        defaultRank: rank.default("standard"),
        highestRank: rank.default("urgent"),
    })),
    operators: z.array(z.strictObject({
        name: z.string().min(1).max(100),
        tokenFile: z.string(),
        role: z.enum(["viewer", "operator"]),
    })),
    limits: z.strictObject({
        bodyBytes: z.int().min(1024).default(1024 * 1024),
        headerBytes: z.int().min(1024).default(16 * 1024),
        connections: z.int().min(1).default(2000),
        /** Concurrent requests of one account at this entry. */
        requestsPerClient: z.int().min(1).default(500),
        /** Total size of the request bodies that this entry buffers at the same time. */
        bufferedBodyBytes: z.int().min(1024).default(64 * 1024 * 1024),
        /** Time within which a caller must send a complete request. */
        requestMs: milliseconds.default(15_000),
        /** Time within which an answer must be complete. */
        answerMs: milliseconds.default(120_000),
    }).prefault({}),
}).superRefine((settings, context) => {
    requireTls(settings, context);
    if (settings.tls === undefined && !isLoopback(settings.http.host)) {
        context.addIssue({ code: "custom", path: ["http", "host"], message: TLS_REQUIRED });
    }
    if (settings.drainMs < settings.limits.requestMs + settings.limits.answerMs) {
        context.addIssue({ code: "custom", path: ["drainMs"], message: DRAIN_TOO_SHORT });
    }
});

export const agentSchema = z.strictObject({
    ...commonFields,
    /** Pool that this agent belongs to. */
    service: z.string().min(1).max(63),
    backendServer: z.strictObject({
        kind: z.enum(["model", "plain"]),
        url,
        /** Concurrent requests on the backend server. */
        concurrency: z.int().min(1).max(10_000).default(8),
    }),
    /** Memory-backed directory from which the engine reads weights. Not used with a plain service. */
    weightsPath: z.string(),
    /** `peers` is for production use; `originOnly` and `chain` are baselines for the distribution benchmark. */
    transferStrategy: z.enum(["peers", "originOnly", "chain"]).default("peers"),
    links: z.strictObject({
        /** Rates at which weight transfers may use the VM's link, in each direction. */
        inBytesPerSecond: bytesPerSecond.default(125_000_000),
        outBytesPerSecond: bytesPerSecond.default(125_000_000),
        /**
         * Rate at which the weight transfers of all VMs of a region together may use the link to each other region,
         * in each direction. The rest of the link is left to control and request traffic.
         */
        regionBytesPerSecond: bytesPerSecond.default(1_500_000),
    }).prefault({}),
}).superRefine((settings, context) => {
    requireTls(settings, context);
    if (settings.tls === undefined && !isLoopback(new URL(settings.backendServer.url).hostname)) {
        context.addIssue({ code: "custom", path: ["backendServer", "url"], message: TLS_REQUIRED });
    }
});

export type EntrySettings = Readonly<z.infer<typeof entrySchema>>;
export type AgentSettings = Readonly<z.infer<typeof agentSchema>>;
export type ProcessSettings = EntrySettings | AgentSettings;
export type TlsSettings = Readonly<z.infer<typeof tlsSchema>>;
