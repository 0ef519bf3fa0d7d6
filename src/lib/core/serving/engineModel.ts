/**
 * Predicts the latency of one more request at a model engine. An engine works in iterations: it prefills the waiting
 * prompts and then lets every running request decode `tokensPerEvent` tokens, which form one event. A request therefore
 * waits for the iteration in progress, for the prefill of its own prompt and of those before it, and for the iteration
 * that produces its first event.
 *
 * The model matters most when the pool is nearly full: adding one more long prompt to a batch delays the first events
 * of all requests queued behind it.
 */
import type { EngineParameters } from "./routeTable.js";

/** Load of one engine, as far as this process knows it. */
export interface EngineLoad {
    /** Requests whose first event has arrived. */
    readonly decoding: number;
    /** Requests that were sent and have produced no event yet. */
    readonly prefilling: number;
    /** Prompt tokens of the prefilling requests. */
    readonly prefillTokens: number;
    /**
     * Context tokens of the decoding requests; where the engine's memory is known, also the expected answers of all
     * requests. Together with `prefillTokens` they are what the requests will hold at their ends.
     */
    readonly contextTokens: number;
}

export interface LatencyPrediction {
    /** Time until the first event leaves the engine. */
    readonly firstEventMs: number;
    /** Longest gap between two events that the decoding requests will see. */
    readonly maxEventGapMs: number;
    /** Duration of an iteration without prefill, which is the time between two events of a decoding request. */
    readonly iterationMs: number;
}

const TOKENS_PER_KILO_TOKEN = 1000;
const ONE_MILLION = 1e6;

/** On average a request arrives halfway through an iteration. */
const ITERATION_IN_PROGRESS_FRACTION = 0.5;

/**
 * Predicts the latency of a request with `promptTokens`. `slowdown` is 1 for an engine at its declared speed and
 * greater for a slower one.
 */
export function predictLatency(
    engine: EngineParameters,
    load: EngineLoad,
    promptTokens: number,
    slowdown: number,
): LatencyPrediction {
    const running = load.decoding + load.prefilling + 1;
    const iterationMs = slowdown *
        decodeIterationMs(engine, running, load.contextTokens + load.prefillTokens + promptTokens);
    const prefillMs = slowdown * prefillDurationMs(engine, load.prefillTokens, promptTokens);
    const isIdle = load.decoding + load.prefilling === 0;
    const firstEventMs = (isIdle ? 0 : iterationMs * ITERATION_IN_PROGRESS_FRACTION) + prefillMs + iterationMs;
    return { firstEventMs, maxEventGapMs: iterationMs + prefillMs, iterationMs };
}

/** Returns the duration of an iteration that decodes for `running` requests and prefills nothing, in milliseconds. */
export function decodeIterationMs(engine: EngineParameters, running: number, contextTokens: number): number {
    const stepMs = engine.stepMs + engine.stepMsPerRequest * running +
        engine.stepMsPerKiloToken * contextTokens / TOKENS_PER_KILO_TOKEN;
    return engine.tokensPerEvent * stepMs;
}

function prefillDurationMs(engine: EngineParameters, queuedPrefillTokens: number, promptTokens: number): number {
    const tokenPairs = promptTokens * promptTokens / 2;
    return (queuedPrefillTokens + promptTokens) / engine.prefillTokensPerMs +
        engine.prefillMsPerMillionPairs * tokenPairs / ONE_MILLION;
}

/**
 * Returns the predicted time to the first event for a prompt of this length at an engine with half of its slots in use,
 * in milliseconds.
 */
export function typicalFirstEventMs(engine: EngineParameters, promptTokens: number): number {
    const load = { decoding: engine.slots / 2, prefilling: 0, prefillTokens: 0, contextTokens: 0 };
    return predictLatency(engine, load, promptTokens, 1).firstEventMs;
}
