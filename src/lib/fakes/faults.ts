/**
 * Fault injection shared by all fakes. `PUT /faults` with a JSON object sets the named switches and leaves
 * the others unchanged; `GET /faults` returns all of them.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as z from "zod";
import { readJson, sendJson } from "./httpServer.js";

const faultsSchema = z.strictObject({
    /** Delay added to each response. */
    delayMs: z.number().min(0).default(0),
    /** Connections are closed without a response, and requests have no effect. */
    outage: z.boolean().default(false),
    /** Like `outage`, for objects only: tables and the VM list stay available. */
    objectsOutage: z.boolean().default(false),
    /** Like `outage`, for the table service only. */
    tableOutage: z.boolean().default(false),
    /** Fraction of writes that take effect but whose response is lost. */
    loseAnswers: z.number().min(0).max(1).default(0),
    /** Root digest of the version for which a model engine responds with 500; empty for none. */
    failVersion: z.string().default(""),
    /** Fraction of objects that are sent with a corrupted byte. */
    corrupt: z.number().min(0).max(1).default(0),
    /** Responses stop before their end while the connection stays open. */
    stall: z.boolean().default(false),
    /** Number of tokens after which an engine aborts each response; 0 for never. */
    breakAfterTokens: z.int().min(0).default(0),
    /** Overrides the token rate of an engine; 0 keeps the configured rate. */
    tokensPerSecond: z.number().min(0).default(0),
    /** Overrides the rate of the weight store's link; 0 keeps the configured rate. */
    linkBytesPerSecond: z.number().min(0).default(0),
    /** An engine executes load orders with a stale fencing token. */
    ignoreFence: z.boolean().default(false),
    /** Delay with which an engine publishes its prefix cache events. */
    cacheEventDelayMs: z.number().min(0).default(0),
    /** Fraction of an engine's prefix cache events that are never published. */
    loseCacheEvents: z.number().min(0).max(1).default(0),
    /** An engine sends events that aren't valid JSON. */
    malformed: z.boolean().default(false),
});

export type Faults = Readonly<z.infer<typeof faultsSchema>>;

export interface FaultSwitches {
    readonly current: () => Faults;
    readonly set: (changes: Partial<Faults>) => void;
    /** Decides at random whether to inject a fault that has this probability. */
    readonly shouldInject: (probability: number) => boolean;
    /** Handles requests to `/faults`. Returns false for any other path. */
    readonly serve: (request: IncomingMessage, response: ServerResponse) => Promise<boolean>;
}

export function createFaultSwitches(seed: number): FaultSwitches {
    const generator = xoroshiro128plus(seed);
    let faults = faultsSchema.parse({});

    function set(changes: Partial<Faults>): void {
        faults = faultsSchema.parse({ ...faults, ...changes });
    }

    function shouldInject(probability: number): boolean {
        return probability > 0 && uniformFloat64(generator) < probability;
    }

    async function serve(request: IncomingMessage, response: ServerResponse): Promise<boolean> {
        if (request.url !== "/faults") return false;
        if (request.method === "PUT") set(await readJson(request) as Partial<Faults>);
        sendJson(response, 200, faults);
        return true;
    }

    return { current: () => faults, set, shouldInject, serve };
}
