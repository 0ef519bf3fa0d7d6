/**
 * Client of a model engine's control API, which only the agent beside the engine uses. Some engines refuse a load
 * request with an old fencing token and others ignore the token, so the effect of a request is always read back.
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
    /** Fencing token of the last load request; 0 from engines that ignore it. */
    fence: z.number(),
});

export type EngineState = Readonly<z.infer<typeof engineStateSchema>>;

export interface LoadRequest {
    readonly digest: Digest;
    /** Directory that contains the complete version. */
    readonly path: string;
    /** Fencing token: the configuration revision that requires the version. */
    readonly fence: number;
}

export interface EngineClient {
    readState(): Promise<EngineState>;
    /** Resolves when the engine has loaded the version. Throws a VError named `EngineError` if the engine refuses. */
    load(request: LoadRequest): Promise<void>;
}

/** Long, because loading large weights takes minutes. */
const LOAD_TIMEOUT_MS = 15 * 60 * 1000;

export function createEngineClient(options: { readonly url: string; readonly timeoutMs: number; }): EngineClient {
    async function readState(): Promise<EngineState> {
        const response = await sendRequest({
            method: "GET",
            url: `${options.url}/engine/state`,
            timeoutMs: options.timeoutMs,
        });
        if (response.status !== 200) throw engineError("the engine returned status %d for its state", response.status);
        return engineStateSchema.parse(JSON.parse(response.body.toString("utf8")));
    }

    async function load(request: LoadRequest): Promise<void> {
        const response = await sendRequest({
            method: "POST",
            url: `${options.url}/engine/load`,
            headers: { "content-type": "application/json" },
            body: JSON.stringify(request),
            timeoutMs: LOAD_TIMEOUT_MS,
        });
        if (response.status === 409) throw engineError("the engine rejected the old fencing token %d", request.fence);
        if (response.status !== 200) {
            throw engineError("the engine failed to load %s: %s", request.digest, response.body.toString("utf8"));
        }
    }

    return { readState, load };
}

function engineError(format: string, ...args: unknown[]): VError {
    return new VError({ name: "EngineError" }, format, ...args);
}
