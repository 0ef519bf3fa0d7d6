/**
 * Fake model engine: an OpenAI-compatible server with a fixed token rate and a limited number of slots.
 * Its output is a function of the prompt and of the loaded version, so that a test can tell from a
 * response which weights and which request produced it. It verifies the digests of the weights that it
 * loads and counts mismatches.
 */
import { createHash } from "node:crypto";
import { readFile } from "node:fs/promises";
import type { IncomingMessage, ServerResponse } from "node:http";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { digestOf, parseManifest } from "../core/index.js";
import { createCacheEvents } from "./cacheEvents.js";
import { createFaultSwitches, type FaultSwitches } from "./faults.js";
import { readJson, type RunningServer, sendJson, startHttpServer } from "./httpServer.js";
import { createPrefixCache } from "./prefixCache.js";

export interface FakeEngineOptions {
    /** Requests that generate concurrently; further requests are queued. */
    readonly slots: number;
    readonly tokensPerSecond: number;
    /** Whether the engine executes load orders with a stale fencing token. */
    readonly ignoresFence: boolean;
    readonly seed: number;
    /** Prefill rate. If it is absent, prefill takes no time. */
    readonly promptTokensPerSecond?: number;
    /** Capacity of the prefix cache in blocks of 64 characters. 0 or absent disables the cache. */
    readonly prefixCacheBlocks?: number;
    /** Padding in each event, so that a test can fill the buffers between engine and caller. */
    readonly fillerBytes?: number;
    readonly port?: number;
    readonly host?: string;
}

/** Counters that tests assert on. */
export interface EngineEvidence {
    readonly loads: readonly { readonly digest: string; readonly fence: number; }[];
    /** Load orders whose directory didn't contain exactly the named version. */
    readonly wrongLoads: number;
    /** Requests that arrived while a version was loaded. */
    readonly started: number;
    /** Prompt tokens of all requests, and how many of them were found in the prefix cache. */
    readonly promptTokens: number;
    readonly cachedPromptTokens: number;
    readonly completed: number;
    readonly cancelled: number;
}

export interface FakeEngine extends RunningServer {
    readonly faults: FaultSwitches;
    readonly evidence: () => EngineEvidence;
    /** Simulates a restart of the engine, which unloads the version. */
    readonly restart: () => void;
}

interface QueuedRequest {
    readonly priority: number;
    readonly start: () => void;
}

interface LoadBody {
    readonly digest: string;
    readonly path: string;
    readonly fence: number;
}

interface CompletionBody {
    readonly messages?: readonly { readonly content: string; }[];
    readonly prompt?: string;
    readonly max_tokens?: number;
    readonly stream?: boolean;
    readonly priority?: number;
    /** Token position from which an interrupted response continues. */
    readonly resume_from?: number;
}

const DEFAULT_MAX_TOKENS = 16;
const CHARACTERS_PER_TOKEN = 4;

/** Returns the token that an engine serving `digest` generates for a prompt at a position. */
export function expectedToken(digest: string, prompt: string, position: number): string {
    const key = createHash("sha256").update(`${digest}|${prompt}`).digest("hex").slice(0, 12);
    return `${key}.${position} `;
}

export async function startFakeEngine(options: FakeEngineOptions): Promise<FakeEngine> {
    const faults = createFaultSwitches(options.seed);
    const loads: { digest: string; fence: number; }[] = [];
    const queue: QueuedRequest[] = [];
    let state = { digest: "", generation: 1, fence: 0 };
    let runningCount = 0;
    const cacheEvents = createCacheEvents(() => faults.shouldInject(faults.current().loseCacheEvents));
    const prefixCache = createPrefixCache(options.prefixCacheBlocks ?? 0, (kind, block) => {
        cacheEvents.add(kind, block, performance.now());
    });
    const filler = "x".repeat(options.fillerBytes ?? 0);
    let promptTokens = 0;
    let cachedPromptTokens = 0;
    let wrongLoads = 0;
    let started = 0;
    let completed = 0;
    let cancelled = 0;

    async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (await faults.serve(request, response)) return;
        if (faults.current().outage) {
            request.socket.destroy();
            return;
        }
        const route = `${request.method} ${request.url}`;
        if (route === "GET /engine/state") return sendJson(response, 200, state);
        if (route === "GET /metrics.json") {
            return sendJson(response, 200, { running: runningCount, waiting: queue.length });
        }
        if (route === "GET /evidence") return sendJson(response, 200, evidence());
        if (route === "POST /restart") {
            restart();
            return sendJson(response, 200, state);
        }
        if (route.startsWith("GET /engine/cache-events")) {
            const after = Number(new URL(request.url ?? "", "http://engine").searchParams.get("after") ?? 0);
            const events = cacheEvents.read(after, faults.current().cacheEventDelayMs, performance.now());
            return sendJson(response, 200, events);
        }
        if (route === "POST /engine/load") return load(await readJson(request) as LoadBody, response);
        if (route === "POST /v1/chat/completions" || route === "POST /v1/completions") {
            return complete(await readJson(request) as CompletionBody, response);
        }
        sendJson(response, 404, { error: "no such resource" });
    }

    async function load(order: LoadBody, response: ServerResponse): Promise<void> {
        const ignoresFence = options.ignoresFence || faults.current().ignoreFence;
        if (!ignoresFence && order.fence < state.fence) {
            return sendJson(response, 409, { error: "stale fencing token" });
        }
        loads.push({ digest: order.digest, fence: order.fence });
        const problem = await verifyVersion(order.path, order.digest);
        if (problem !== undefined) {
            wrongLoads++;
            return sendJson(response, 422, { error: problem });
        }
        state = {
            digest: order.digest,
            generation: state.generation + 1,
            fence: ignoresFence ? 0 : order.fence,
        };
        sendJson(response, 200, state);
    }

    async function complete(body: CompletionBody, response: ServerResponse): Promise<void> {
        const prompt = body.prompt ?? body.messages?.map(message => message.content).join("\n") ?? "";
        const initialState = state;
        if (initialState.digest === "") return sendJson(response, 503, { error: "no version is loaded" });
        started++;
        const isBroken = initialState.digest === faults.current().failVersion;
        if (isBroken) return sendJson(response, 500, { error: "injected failure" });
        await acquireSlot(body.priority ?? 0);
        try {
            if (response.destroyed) {
                cancelled++;
                return;
            }
            await generate(body, prompt, initialState, response);
        }
        finally {
            releaseSlot();
        }
    }

    async function generate(
        body: CompletionBody,
        prompt: string,
        initialState: typeof state,
        response: ServerResponse,
    ): Promise<void> {
        const maxTokens = body.max_tokens ?? DEFAULT_MAX_TOKENS;
        const firstPosition = body.resume_from ?? 0;
        const headers = {
            "x-engine-digest": initialState.digest,
            "x-engine-generation": String(initialState.generation),
            ...firstPosition > 0 ? { "x-engine-resumed": String(firstPosition) } : {},
        };
        let text = "";
        if (body.stream === true) response.writeHead(200, { "content-type": "text/event-stream", ...headers });
        await simulatePrefill(prompt);
        for (let position = firstPosition; position < maxTokens; position++) {
            await sleep(1000 / (faults.current().tokensPerSecond || options.tokensPerSecond));
            const { breakAfterTokens, malformed } = faults.current();
            if (breakAfterTokens > 0 && position - firstPosition >= breakAfterTokens) response.destroy();
            if (malformed) response.write("data: {\"choices\": [\n\n");
            if (response.destroyed) {
                cancelled++;
                return;
            }
            // Uses the currently loaded version, as an engine would whose weights are replaced during a response.
            const token = expectedToken(state.digest, prompt, position);
            text += token;
            if (body.stream === true) response.write(`data: ${JSON.stringify(streamEvent(token, filler))}\n\n`);
        }
        completed++;
        if (body.stream === true) response.end("data: [DONE]\n\n");
        else sendJson(response, 200, completion(text, maxTokens), headers);
    }

    /** Waits for the prefill of the prompt tokens that aren't in the prefix cache. */
    async function simulatePrefill(prompt: string): Promise<void> {
        const cachedTokens = Math.floor(prefixCache.lookUpAndStore(prompt) / CHARACTERS_PER_TOKEN);
        const totalTokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
        promptTokens += totalTokens;
        cachedPromptTokens += cachedTokens;
        if (options.promptTokensPerSecond !== undefined) {
            await sleep(1000 * (totalTokens - cachedTokens) / options.promptTokensPerSecond);
        }
    }

    function acquireSlot(priority: number): Promise<void> {
        if (runningCount < options.slots) {
            runningCount++;
            return Promise.resolve();
        }
        return new Promise(start => {
            const position = queue.findIndex(queued => queued.priority > priority);
            queue.splice(position === -1 ? queue.length : position, 0, { priority, start });
        });
    }

    function releaseSlot(): void {
        const next = queue.shift();
        if (next === undefined) runningCount--;
        else next.start();
    }

    function evidence(): EngineEvidence {
        return { loads, wrongLoads, started, promptTokens, cachedPromptTokens, completed, cancelled };
    }

    function restart(): void {
        state = { digest: "", generation: state.generation + 1, fence: 0 };
    }

    const server = await startHttpServer(serve, options.port, options.host);
    return { ...server, faults, evidence, restart };
}

/** `sentAt` lets a benchmark distinguish tokens that the engine sent late from tokens that were delayed in transit. */
function streamEvent(content: string, filler: string) {
    const sentAt = performance.timeOrigin + performance.now();
    return {
        object: "chat.completion.chunk",
        sentAt,
        choices: [{ index: 0, delta: { content } }],
        ...filler === "" ? {} : { filler },
    };
}

function completion(content: string, tokens: number) {
    return {
        object: "chat.completion",
        choices: [{ index: 0, message: { role: "assistant", content }, finish_reason: "length" }],
        usage: { completion_tokens: tokens },
    };
}

/** Returns why a directory doesn't contain exactly the version, or `undefined` if it does. */
async function verifyVersion(path: string, digest: string): Promise<string | undefined> {
    try {
        const manifest = parseManifest(await readFile(`${path}.manifest.json`), digest);
        for (const file of manifest.files) {
            const content = await readFile(join(path, file.path));
            let offset = 0;
            for (const chunk of file.chunks) {
                const actual = digestOf(content.subarray(offset, offset + chunk.size));
                if (actual !== chunk.digest) return `${file.path} differs at byte ${offset}`;
                offset += chunk.size;
            }
            if (content.length !== file.size) return `${file.path} has ${content.length} bytes, expected ${file.size}`;
        }
        return undefined;
    }
    catch (error) {
        return String(error);
    }
}
