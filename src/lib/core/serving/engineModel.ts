/**
 * Predicts what a model engine does with one more request. An engine works in passes: it reads waiting prompts
 * and then lets every running request write `stride` tokens, which form one event. A request therefore waits for
 * the pass in progress, for the prompts before it and its own, and for the pass that writes its first event.
 *
 * Answers the load pattern of a nearly full pool, where a batch that takes one more long prompt makes the first
 * events of everybody behind it late.
 */
import type { EngineFigures } from "./routeTable.js";

/** Requests at one engine, as far as a process knows them. */
export interface EngineLoad {
    /** Requests whose first event was seen. */
    readonly writing: number;
    /** Requests that were sent and have no event yet. */
    readonly reading: number;
    /** Prompt tokens of the requests that have no event yet. */
    readonly unreadTokens: number;
    /** Tokens of context of the requests that write. */
    readonly contextTokens: number;
}

export interface EnginePrediction {
    /** Time until the first event leaves the engine. */
    readonly firstEventMs: number;
    /** Longest pause that the requests which already write will see. */
    readonly pauseMs: number;
    /** Time between two events while nothing is read. */
    readonly passMs: number;
}

const TOKENS_PER_KILO_TOKEN = 1000;
const PAIRS_PER_MILLION = 1e6;

/** A request arrives in the middle of a pass on average. */
const SHARE_OF_PASS_IN_PROGRESS = 0.5;

/** Predicts a request of `promptTokens`. `pace` is 1 for an engine at its declared speed and more for a slow one. */
export function predictEngine(
    figures: EngineFigures,
    load: EngineLoad,
    promptTokens: number,
    pace: number,
): EnginePrediction {
    const running = load.writing + load.reading + 1;
    const passMs = pace * passDurationMs(figures, running, load.contextTokens + load.unreadTokens + promptTokens);
    const readMs = pace * readDurationMs(figures, load.unreadTokens, promptTokens);
    const isIdle = load.writing + load.reading === 0;
    const firstEventMs = (isIdle ? 0 : passMs * SHARE_OF_PASS_IN_PROGRESS) + readMs + passMs;
    return { firstEventMs, pauseMs: passMs + readMs, passMs };
}

/** Duration of a pass of `running` requests that reads nothing. */
export function passDurationMs(figures: EngineFigures, running: number, contextTokens: number): number {
    const perStep = figures.stepMs + figures.stepMsPerRequest * running +
        figures.stepMsPerKiloToken * contextTokens / TOKENS_PER_KILO_TOKEN;
    return figures.stride * perStep;
}

function readDurationMs(figures: EngineFigures, unreadTokens: number, promptTokens: number): number {
    const pairs = promptTokens * promptTokens / 2;
    return (unreadTokens + promptTokens) / figures.readTokensPerMs +
        figures.readMsPerMillionPairs * pairs / PAIRS_PER_MILLION;
}

/** Time to the first event of a usual prompt at an engine with half of its slots in use. */
export function usualFirstEventMs(figures: EngineFigures, promptTokens: number): number {
    const load = { writing: figures.slots / 2, reading: 0, unreadTokens: 0, contextTokens: 0 };
    return predictEngine(figures, load, promptTokens, 1).firstEventMs;
}
