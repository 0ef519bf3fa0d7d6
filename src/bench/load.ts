/** Sends streamed requests for benchmarks and records the arrival time of each token. */
import * as http from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Rank } from "../lib/core/index.js";
import { PROFILE } from "./pool.js";

export interface StreamOutcome {
    readonly client: string;
    readonly rank: Rank;
    readonly sentAt: number;
    /** HTTP status, or 0 if there was no response. */
    status: number;
    readonly tokenTimes: number[];
    /** When the engine sent each token, by the engine's clock; NaN if the event was split across reads. */
    readonly engineTimes: number[];
    endedAt: number;
    isComplete: boolean;
}

export interface StreamRequestOptions {
    readonly url: string;
    readonly client: string;
    readonly rank: Rank;
    readonly tokens: number;
    readonly prompt: string;
    readonly httpAgent: http.Agent;
}

/**
 * Sends one streamed completion. It never throws: `outcome` is updated while the response arrives, and `ended` resolves
 * when the response has ended or failed.
 */
export function sendStream(
    options: StreamRequestOptions,
): { readonly outcome: StreamOutcome; readonly ended: Promise<StreamOutcome>; } {
    const { url, client, rank, tokens, prompt, httpAgent } = options;
    const body = JSON.stringify({ model: PROFILE, stream: true, max_tokens: tokens, prompt });
    const outcome: StreamOutcome = {
        client,
        rank,
        sentAt: performance.now(),
        status: 0,
        tokenTimes: [],
        engineTimes: [],
        endedAt: 0,
        isComplete: false,
    };
    const ended = new Promise<StreamOutcome>(resolve => {
        const end = () => {
            outcome.endedAt = performance.now();
            resolve(outcome);
        };
        const request = http.request(`${url}/v1/completions`, {
            method: "POST",
            agent: httpAgent,
            headers: {
                "authorization": `Bearer ${client}`,
                "endivewell-rank": rank,
                "content-type": "application/json",
                "content-length": Buffer.byteLength(body),
            },
        }, response => {
            outcome.status = response.statusCode ?? 0;
            response.setEncoding("latin1");
            response.on("data", (text: string) => {
                if (outcome.status !== 200) return;
                const receivedAt = performance.now();
                for (const event of text.split("\n\n")) {
                    if (event.startsWith("data: [DONE]")) outcome.isComplete = true;
                    if (!event.startsWith("data: {\"object\"")) continue;
                    outcome.tokenTimes.push(receivedAt);
                    outcome.engineTimes.push(Number(/"sentAt":([\d.]+),/.exec(event)?.[1] ?? Number.NaN));
                }
            });
            response.on("close", end);
            response.on("error", end);
        });
        request.on("error", end);
        request.end(body);
    });
    return { outcome, ended };
}

export interface RequestStream {
    readonly urls: readonly string[];
    readonly clients: readonly string[];
    readonly rank: Rank;
    readonly tokens: number;
    readonly perSecond: number;
}

/** Seed of the arrivals of the first stream; each further stream uses the next number. */
const FIRST_SEED = 6;

const WARM_UP_DRAW_COUNT = 20;

/**
 * Sends the requests of every stream in an open loop, at the stream's mean rate and independently of the responses.
 * With `random` the arrivals are a Poisson process; with `even` the offered load is exact. Resolves after `durationMs`,
 * when requests may still be in flight.
 */
export async function runOpenLoop(
    streams: readonly RequestStream[],
    arrivals: "random" | "even",
    durationMs: number,
    httpAgent: http.Agent,
): Promise<StreamOutcome[]> {
    const outcomes: StreamOutcome[] = [];
    await Promise.all(streams.map(async ({ urls, clients, rank, tokens, perSecond }, index) => {
        const generator = xoroshiro128plus(FIRST_SEED + index);
        // With small seeds, the first numbers of the generator are near 1 for every stream.
        for (let draw = 0; draw < WARM_UP_DRAW_COUNT; draw++) uniformFloat64(generator);
        const meanGapMs = 1000 / perSecond;
        const gapMs = () => arrivals === "even" ? meanGapMs : -Math.log(1 - uniformFloat64(generator)) * meanGapMs;
        const startedAt = performance.now();
        let dueMs = gapMs();
        for (let sent = 0; dueMs < durationMs; sent++, dueMs += gapMs()) {
            const waitMs = startedAt + dueMs - performance.now();
            if (waitMs > 1) await sleep(waitMs);
            const client = clients[sent % clients.length] ?? "";
            const url = urls[sent % urls.length] ?? "";
            const prompt = `${rank} ${client} ${sent}`;
            outcomes.push(sendStream({ url, client, rank, tokens, prompt, httpAgent }).outcome);
        }
        const remainingMs = startedAt + durationMs - performance.now();
        if (remainingMs > 1) await sleep(remainingMs);
    }));
    return outcomes;
}

export interface Capacity {
    readonly tokensPerSecond: number;
    /** Outcomes of the direct calls, which show how much the machine itself delays tokens. */
    readonly outcomes: readonly StreamOutcome[];
}

/** Measures the capacity by calling the engines directly with all slots in use. */
export async function measureCapacity(engines: readonly string[], slots: number, tokens: number): Promise<Capacity> {
    const httpAgent = new http.Agent({ keepAlive: true });
    const startedAt = performance.now();
    const outcomes = await Promise.all(engines.flatMap(url => {
        return Array.from({ length: slots }, () => {
            return sendStream({ url, client: "direct", rank: "standard", tokens, prompt: "capacity", httpAgent }).ended;
        });
    }));
    const seconds = (Math.max(...outcomes.map(({ endedAt }) => endedAt)) - startedAt) / 1000;
    httpAgent.destroy();
    const tokenCount = outcomes.reduce((sum, { tokenTimes }) => sum + tokenTimes.length, 0);
    return { tokensPerSecond: tokenCount / seconds, outcomes };
}

/** Counts the tokens that arrived in the interval from `from` (inclusive) to `to` (exclusive). */
export function countTokensBetween(outcomes: readonly StreamOutcome[], from: number, to: number): number {
    return outcomes.reduce((sum, { tokenTimes }) => sum + tokenTimes.filter(at => at >= from && at < to).length, 0);
}

/** Returns the nearest-rank percentile, or NaN if there are no values. */
export function percentile(values: readonly number[], fraction: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.max(0, Math.ceil(fraction * sorted.length) - 1)] ?? Number.NaN;
}

export function round(value: number, digits = 3): number {
    return Number(value.toFixed(digits));
}
