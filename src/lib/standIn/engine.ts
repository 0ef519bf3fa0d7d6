/**
 * Stand-in of a model engine: an OpenAI-compatible server with a fixed token rate and a limited number
 * of slots. Its output is a function of the prompt and of the loaded version, so that a test can tell
 * from an answer which weights and which request made it. It hashes what it loads and counts wrong loads.
 */
import { createHash } from "node:crypto";
import { readFile } from "node:fs/promises";
import type { IncomingMessage, ServerResponse } from "node:http";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { digestOf, parseManifest } from "../core/index.js";
import { createCacheEvents } from "./cacheEvents.js";
import { createFaultSwitches, type FaultSwitches } from "./faults.js";
import { answerJson, readJson, type RunningServer, startHttpServer } from "./httpServer.js";
import { createPrefixCache } from "./prefixCache.js";

export interface EngineOptions {
    /** Requests that generate at the same time; others wait. */
    readonly slots: number;
    readonly tokensPerSecond: number;
    /** Engines that don't check fencing numbers execute every order. */
    readonly ignoresFence: boolean;
    readonly seed: number;
    /** Speed of the prompt phase before the first token; without it that phase takes no time. */
    readonly promptTokensPerSecond?: number;
    /** Size of the prefix cache, in blocks of 64 characters; 0 or absent for none. */
    readonly prefixCacheBlocks?: number;
    /** Bytes of filler in each event, so that a test can fill the buffers on the way to a caller. */
    readonly fillerBytes?: number;
    readonly port?: number;
    readonly host?: string;
}

/** What the engine saw, for the assertions of tests. */
export interface EngineEvidence {
    readonly loads: readonly { readonly digest: string; readonly fence: number; }[];
    /** Orders whose directory didn't hold exactly the named version. */
    readonly wrongLoads: number;
    /** Requests that arrived while a version was loaded. */
    readonly started: number;
    /** Tokens of all prompts, and those among them that were cached. */
    readonly promptTokens: number;
    readonly cachedPromptTokens: number;
    readonly completed: number;
    readonly cancelled: number;
}

export interface EngineStandIn extends RunningServer {
    readonly faults: FaultSwitches;
    readonly evidence: () => EngineEvidence;
    /** Forgets the loaded version, as a restart of the engine does. */
    readonly restart: () => void;
}

interface Waiter {
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
    /** Position in tokens from which an answer that broke off continues. */
    readonly resume_from?: number;
}

const DEFAULT_TOKENS = 16;
const CHARACTERS_PER_TOKEN = 4;

/** Returns the text that an engine which serves `digest` generates at a position for a prompt. */
export function expectedToken(digest: string, prompt: string, position: number): string {
    const key = createHash("sha256").update(`${digest}|${prompt}`).digest("hex").slice(0, 12);
    return `${key}.${position} `;
}

export async function startEngineStandIn(options: EngineOptions): Promise<EngineStandIn> {
    const faults = createFaultSwitches(options.seed);
    const loads: { digest: string; fence: number; }[] = [];
    const waiting: Waiter[] = [];
    let state = { digest: "", generation: 1, fence: 0 };
    let running = 0;
    const cacheEvents = createCacheEvents(() => faults.strikes(faults.current().loseCacheEvents));
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
        if (route === "GET /engine/state") return answerJson(response, 200, state);
        if (route === "GET /metrics.json") return answerJson(response, 200, { running, waiting: waiting.length });
        if (route === "GET /evidence") return answerJson(response, 200, evidence());
        if (route === "POST /restart") {
            restart();
            return answerJson(response, 200, state);
        }
        if (route.startsWith("GET /engine/cache-events")) {
            const after = Number(new URL(request.url ?? "", "http://engine").searchParams.get("after") ?? 0);
            const events = cacheEvents.read(after, faults.current().cacheEventDelayMs, performance.now());
            return answerJson(response, 200, events);
        }
        if (route === "POST /engine/load") return load(await readJson(request) as LoadBody, response);
        if (route === "POST /v1/chat/completions" || route === "POST /v1/completions") {
            return complete(await readJson(request) as CompletionBody, response);
        }
        answerJson(response, 404, { error: "no such resource" });
    }

    async function load(order: LoadBody, response: ServerResponse): Promise<void> {
        const ignoresFence = options.ignoresFence || faults.current().ignoreFence;
        if (!ignoresFence && order.fence < state.fence) {
            return answerJson(response, 409, { error: "old fencing number" });
        }
        loads.push({ digest: order.digest, fence: order.fence });
        const problem = await verifyVersion(order.path, order.digest);
        if (problem !== undefined) {
            wrongLoads++;
            return answerJson(response, 422, { error: problem });
        }
        state = {
            digest: order.digest,
            generation: state.generation + 1,
            fence: ignoresFence ? 0 : order.fence,
        };
        answerJson(response, 200, state);
    }

    async function complete(body: CompletionBody, response: ServerResponse): Promise<void> {
        const prompt = body.prompt ?? body.messages?.map(message => message.content).join("\n") ?? "";
        const start = state;
        if (start.digest === "") return answerJson(response, 503, { error: "no version is loaded" });
        started++;
        const isBroken = start.digest === faults.current().failVersion;
        if (isBroken) return answerJson(response, 500, { error: "broken" });
        await takeSlot(body.priority ?? 0);
        try {
            if (response.destroyed) {
                cancelled++;
                return;
            }
            await generate(body, prompt, start, response);
        }
        finally {
            releaseSlot();
        }
    }

    async function generate(
        body: CompletionBody,
        prompt: string,
        start: typeof state,
        response: ServerResponse,
    ): Promise<void> {
        const tokens = body.max_tokens ?? DEFAULT_TOKENS;
        const first = body.resume_from ?? 0;
        const headers = {
            "x-engine-digest": start.digest,
            "x-engine-generation": String(start.generation),
            ...first > 0 ? { "x-engine-resumed": String(first) } : {},
        };
        let text = "";
        if (body.stream === true) response.writeHead(200, { "content-type": "text/event-stream", ...headers });
        await readPrompt(prompt);
        for (let position = first; position < tokens; position++) {
            await sleep(1000 / (faults.current().tokensPerSecond || options.tokensPerSecond));
            const { breakAfterTokens, malformed } = faults.current();
            if (breakAfterTokens > 0 && position - first >= breakAfterTokens) response.destroy();
            if (malformed) response.write("data: {\"choices\": [\n\n");
            if (response.destroyed) {
                cancelled++;
                return;
            }
            // Uses the version that is loaded now, as an engine that is switched in mid-answer would.
            const token = expectedToken(state.digest, prompt, position);
            text += token;
            if (body.stream === true) response.write(`data: ${JSON.stringify(streamEvent(token, filler))}\n\n`);
        }
        completed++;
        if (body.stream === true) response.end("data: [DONE]\n\n");
        else answerJson(response, 200, completion(text, tokens), headers);
    }

    /** The prompt phase, which a cached prefix shortens. */
    async function readPrompt(prompt: string): Promise<void> {
        const cached = Math.floor(prefixCache.use(prompt) / CHARACTERS_PER_TOKEN);
        const whole = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
        promptTokens += whole;
        cachedPromptTokens += cached;
        if (options.promptTokensPerSecond !== undefined) {
            await sleep(1000 * (whole - cached) / options.promptTokensPerSecond);
        }
    }

    function takeSlot(priority: number): Promise<void> {
        if (running < options.slots) {
            running++;
            return Promise.resolve();
        }
        return new Promise(start => {
            const position = waiting.findIndex(waiter => waiter.priority > priority);
            waiting.splice(position === -1 ? waiting.length : position, 0, { priority, start });
        });
    }

    function releaseSlot(): void {
        const next = waiting.shift();
        if (next === undefined) running--;
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

/** `sentAt` lets a bench tell a token that the engine itself made late from one that was delayed on its way. */
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

/** Returns why a directory doesn't hold exactly the version, or `undefined` if it does. */
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
            if (content.length !== file.size) return `${file.path} has a wrong size`;
        }
        return undefined;
    }
    catch (error) {
        return String(error);
    }
}
