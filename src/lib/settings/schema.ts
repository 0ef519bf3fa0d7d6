/**
 * Schemas of the settings files. Unknown keys are refused, so that a misspelt key is found at start.
 * Secrets never stand in settings; they are named by file.
 */
import * as z from "zod";
import { RANKS } from "../core/index.js";

const port = z.int().min(0).max(65535);
const url = z.url({ protocol: /^https?$/ });
const milliseconds = z.int().min(1).max(3_600_000);
const bytesPerSecond = z.int().min(1000);
const rank = z.enum(RANKS);

const listenSchema = z.strictObject({
    /** IP number to listen on. */
    host: z.string().default("127.0.0.1"),
    /** 0 takes a free port. */
    port,
});

const platformSchema = z.strictObject({
    tableUrl: url,
    weightStoreUrl: url,
    vmListUrl: url,
    /** Time without any byte from the platform after which a request fails. */
    timeoutMs: milliseconds.default(2000),
    /** Region of the weight store, which draws each chunk first. */
    weightStoreRegion: z.string(),
});

const tlsSchema = z.strictObject({
    certificateFile: z.string(),
    keyFile: z.string(),
    /** Certificate authority that signs all processes of the system. */
    authorityFile: z.string(),
    /** Interval at which the files are looked at for renewed content. */
    refreshMs: milliseconds.default(10_000),
});

const metricsSchema = z.strictObject({
    /** StatsD server. */
    host: z.string(),
    port,
    prefix: z.string().default("endivewell."),
});

const processFields = {
    /** Unique name of this process; equal to its name in the platform's list of VMs. */
    process: z.string().min(1).max(100),
    failureDomain: z.string().min(1),
    region: z.string().min(1),
    /** gRPC server for other processes of the system. */
    rpc: listenSchema,
    platform: platformSchema,
    /** Mutual TLS between own processes. Required unless every address is on loopback. */
    tls: tlsSchema.optional(),
    metrics: metricsSchema.optional(),
    /** Interval between two reads of the configuration row and of the list of VMs. */
    pollMs: milliseconds.default(500),
    /**
     * Where requests wait: in ranked queues at the agents; in ranked queues at the entries, which send only
     * what fits their static share of an agent; or first in, first out at agents chosen at random. The
     * latter two exist for comparison. All processes of a fleet use the same value.
     */
    scheduling: z.enum(["agentQueues", "entryQueues", "fifo"]).default("agentQueues"),
    /** How long a planned stop waits for requests in progress. */
    drainMs: milliseconds.default(150_000),
};

type Addresses = Readonly<Pick<z.infer<z.ZodObject<typeof processFields>>, "rpc" | "platform" | "tls">>;

/** Refuses settings without TLS in which any address is not on loopback. */
function requireTls(settings: Addresses, context: z.RefinementCtx): void {
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

const TLS_REQUIRED = "expected an address on loopback, or the section tls with certificate, key and authority";

function isLoopback(host: string): boolean {
    return host === "localhost" || host === "::1" || host === "[::1]" || /^127(\.\d{1,3}){3}$/.test(host);
}

const SHORT_DRAIN = "must be at least limits.requestMs + limits.answerMs, or a planned stop cuts off requests";

export const entrySchema = z.strictObject({
    ...processFields,
    /** HTTP server for callers and for the administration API. */
    http: listenSchema,
    accounts: z.array(z.strictObject({
        client: z.string().min(1).max(100),
        /** File that holds the bearer key. */
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
        /** Requests of one account that this entry works on at the same time. */
        requestsPerClient: z.int().min(1).default(500),
        /** Bytes of request bodies that the entry holds at the same time. */
        bufferedBodyBytes: z.int().min(1024).default(64 * 1024 * 1024),
        /** Time a caller may take to send a whole request. */
        requestMs: milliseconds.default(15_000),
        /** Longest time until an answer ends. */
        answerMs: milliseconds.default(120_000),
    }).prefault({}),
}).superRefine((settings, context) => {
    requireTls(settings, context);
    if (settings.tls === undefined && !isLoopback(settings.http.host)) {
        context.addIssue({ code: "custom", path: ["http", "host"], message: TLS_REQUIRED });
    }
    if (settings.drainMs < settings.limits.requestMs + settings.limits.answerMs) {
        context.addIssue({ code: "custom", path: ["drainMs"], message: SHORT_DRAIN });
    }
});

export const agentSchema = z.strictObject({
    ...processFields,
    /** Pool that this agent belongs to. */
    service: z.string().min(1).max(63),
    backendServer: z.strictObject({
        kind: z.enum(["model", "plain"]),
        url,
        /** Requests that the backend server works on at the same time. */
        concurrency: z.int().min(1).max(10_000).default(8),
    }),
    /** Memory-backed directory for weights, which the engine reads. Not used beside a plain service. */
    weightsPath: z.string(),
    /** `peers` is for use; `originOnly` and `chain` are baselines that the distribution bench measures. */
    transferStrategy: z.enum(["peers", "originOnly", "chain"]).default("peers"),
    links: z.strictObject({
        /** Share of the VM's link that weights may use, each way. */
        inBytesPerSecond: bytesPerSecond.default(125_000_000),
        outBytesPerSecond: bytesPerSecond.default(125_000_000),
        /**
         * Rate at which the weights of all VMs of a region together may use the link to each other region, each
         * way. The rest of the link's rate is left to control and live traffic.
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
