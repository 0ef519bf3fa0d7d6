/**
 * Keeps an engine from getting more tokens than its memory holds. A request holds the tokens of its prompt from the
 * start and those of its answer by its end. An engine whose memory runs out preempts its newest request, also in the
 * middle of its stream, and reads it again later, or it crashes; so a request is placed only where all requests still
 * fit at their ends.
 *
 * This handles long prompts and long answers that together exceed an engine's memory although it has free slots. The
 * load is that of this entry's requests and of those that other entries report, so no message is needed for it. Where
 * the configuration doesn't tell the size of the memory, nothing is limited.
 */
import type { EngineLoad } from "./engineModel.js";
import type { EngineParameters } from "./routeTable.js";

type EngineMemory = Pick<EngineParameters, "memoryTokens" | "meanAnswerTokens">;

/** What a request will need of an engine's memory. */
export interface MemoryRequest {
    readonly promptTokens: number;
    /** Expected length of the answer; 0 if it is unknown. */
    readonly outputTokens: number;
}

/**
 * Fraction of the memory that several requests fill together. The rest covers answers that become longer than expected
 * and requests of other entries that haven't been reported yet.
 */
const SHARED_MEMORY_FRACTION = 0.9;

/** Returns the tokens that the answer will hold; 0 for an engine whose memory is unknown, where they aren't counted. */
export function expectedAnswerTokens(engine: EngineMemory, { outputTokens }: MemoryRequest): number {
    if (!Number.isFinite(engine.memoryTokens)) return 0;
    return outputTokens > 0 ? outputTokens : engine.meanAnswerTokens;
}

/** Returns whether an engine without other requests can hold the request until its end. */
export function canEverHold(engine: EngineMemory, request: MemoryRequest): boolean {
    return request.promptTokens + expectedAnswerTokens(engine, request) <= engine.memoryTokens;
}

/** Returns how many requests like this one fit into the engine's memory beside its load until all of them end. */
export function countThatFit(engine: EngineMemory, load: EngineLoad, request: MemoryRequest): number {
    if (!Number.isFinite(engine.memoryTokens)) return Number.POSITIVE_INFINITY;
    const requestTokens = request.promptTokens + expectedAnswerTokens(engine, request);
    const freeTokens = engine.memoryTokens * SHARED_MEMORY_FRACTION - load.prefillTokens - load.contextTokens;
    const count = Math.max(0, Math.floor(freeTokens / Math.max(1, requestTokens)));
    const isIdle = load.decoding + load.prefilling === 0;
    return count === 0 && isIdle && requestTokens <= engine.memoryTokens ? 1 : count;
}

/** Returns whether the engine can hold the request beside its load until all of them end. */
export function fitsMemory(engine: EngineMemory, load: EngineLoad, request: MemoryRequest): boolean {
    return countThatFit(engine, load, request) >= 1;
}
