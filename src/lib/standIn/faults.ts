/**
 * Fault switches shared by all stand-ins. `PUT /faults` with a JSON object sets the named switches and
 * leaves the others; `GET /faults` returns them.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as z from "zod";
import { answerJson, readJson } from "./httpServer.js";

const faultsSchema = z.strictObject({
    /** Added to each answer. */
    delayMs: z.number().min(0).default(0),
    /** Connections are closed without an answer and without an effect. */
    outage: z.boolean().default(false),
    /** As `outage`, for objects only: tables and the list of VMs stay available. */
    objectsOutage: z.boolean().default(false),
    /** As `outage`, for the table service only. */
    tableOutage: z.boolean().default(false),
    /** Fraction of writes whose answer is lost after they have taken effect. */
    loseAnswers: z.number().min(0).max(1).default(0),
    /** Root digest whose requests a model engine answers with 500; empty for none. */
    failVersion: z.string().default(""),
    /** Fraction of objects that are sent with a wrong byte. */
    corrupt: z.number().min(0).max(1).default(0),
    /** Answers stop in the middle and the connection stays open. */
    stall: z.boolean().default(false),
    /** Tokens after which an engine breaks off each answer; 0 for never. */
    breakAfterTokens: z.int().min(0).default(0),
    /** Rate of an engine in place of its own one; 0 for its own. */
    tokensPerSecond: z.number().min(0).default(0),
    /** Rate of the weight store's link in place of its own one; 0 for its own. */
    linkBytesPerSecond: z.number().min(0).default(0),
    /** An engine executes orders with an old fencing number. */
    ignoreFence: z.boolean().default(false),
    /** How late an engine publishes the events of its prefix cache. */
    cacheEventDelayMs: z.number().min(0).default(0),
    /** Fraction of the events of an engine's prefix cache that it never publishes. */
    loseCacheEvents: z.number().min(0).max(1).default(0),
    /** An engine sends events that aren't valid JSON. */
    malformed: z.boolean().default(false),
});

export type Faults = Readonly<z.infer<typeof faultsSchema>>;

export interface FaultSwitches {
    readonly current: () => Faults;
    readonly set: (changes: Partial<Faults>) => void;
    /** Draws whether a fault with this probability strikes now. */
    readonly strikes: (probability: number) => boolean;
    /** Serves `/faults`; returns whether it handled the request. */
    readonly serve: (request: IncomingMessage, response: ServerResponse) => Promise<boolean>;
}

export function createFaultSwitches(seed: number): FaultSwitches {
    const generator = xoroshiro128plus(seed);
    let faults = faultsSchema.parse({});

    function set(changes: Partial<Faults>): void {
        faults = faultsSchema.parse({ ...faults, ...changes });
    }

    function strikes(probability: number): boolean {
        return probability > 0 && uniformFloat64(generator) < probability;
    }

    async function serve(request: IncomingMessage, response: ServerResponse): Promise<boolean> {
        if (request.url !== "/faults") return false;
        if (request.method === "PUT") set(await readJson(request) as Partial<Faults>);
        answerJson(response, 200, faults);
        return true;
    }

    return { current: () => faults, set, strikes, serve };
}
