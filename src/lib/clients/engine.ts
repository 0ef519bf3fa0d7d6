/**
 * Orders to a model engine. Only the agent beside an engine sends them. Some engines refuse an order
 * with an old fencing number and others ignore it, so an order's effect is always read back.
 */
import VError from "verror";
import * as z from "zod";
import type { Digest } from "../core/index.js";
import { sendRequest } from "./http.js";

const engineStateSchema = z.object({
    /** Root digest of the loaded version; empty if none is loaded. */
    digest: z.string(),
    /** Increases with each load and each restart. */
    generation: z.number(),
    /** Fencing number of the last order; 0 from engines that ignore it. */
    fence: z.number(),
});

export type EngineState = Readonly<z.infer<typeof engineStateSchema>>;

export interface LoadOrder {
    readonly digest: Digest;
    /** Directory that holds the complete version. */
    readonly path: string;
    /** Configuration revision that asked for the version. */
    readonly fence: number;
}

export interface Engine {
    readState(): Promise<EngineState>;
    /** Resolves when the engine has loaded the version. Throws a VError named `EngineError` otherwise. */
    load(order: LoadOrder): Promise<void>;
}

/** Loading large weights takes minutes. */
const LOAD_TIMEOUT_MS = 15 * 60 * 1000;

export function createEngine(options: { readonly url: string; readonly timeoutMs: number; }): Engine {
    async function readState(): Promise<EngineState> {
        const answer = await sendRequest({
            method: "GET",
            url: `${options.url}/engine/state`,
            timeoutMs: options.timeoutMs,
        });
        if (answer.status !== 200) throw engineError("the engine answered with status %d", answer.status);
        return engineStateSchema.parse(JSON.parse(answer.body.toString("utf8")));
    }

    async function load(order: LoadOrder): Promise<void> {
        const answer = await sendRequest({
            method: "POST",
            url: `${options.url}/engine/load`,
            headers: { "content-type": "application/json" },
            body: JSON.stringify(order),
            timeoutMs: LOAD_TIMEOUT_MS,
        });
        if (answer.status === 409) throw engineError("the engine refused the old fencing number %d", order.fence);
        if (answer.status !== 200) {
            throw engineError("the engine did not load %s: %s", order.digest, answer.body.toString("utf8"));
        }
    }

    return { readState, load };
}

function engineError(format: string, ...args: unknown[]): VError {
    return new VError({ name: "EngineError" }, format, ...args);
}
