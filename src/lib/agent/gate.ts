/**
 * The last check before the backend server. It refuses what it must not run, forwards the rest, and
 * voids an answer whose weights changed while it was made.
 */
import type { IncomingMessage } from "node:http";
import {
    bindRequest,
    CLOSING_EVENT,
    createConcurrencyLimit,
    createEventSplitter,
    createRankedQueue,
    isBindingKept,
    isRank,
    MAX_QUEUE_WAIT_MS,
    type QueueItem,
    type QueuePolicy,
    Rank,
    RANKS,
    Verdict,
} from "../core/index.js";
import { createLog } from "../observability/index.js";
import { type Engine, type EngineState, openRequest, wasNeverSent } from "../platform/index.js";
import type { AnswerEnd, AnswerFrame, DispatchRequest } from "../rpc/index.js";
import type { Claims } from "./claims.js";

const log = createLog("agent:gate");

type Frame = NonNullable<AnswerFrame["frame"]>;

/** One attempt's answer on its way to the entry. */
export interface AnswerSink {
    /** Returns false when the entry reads too slowly; the sender then waits for `drained`. */
    send(frame: Frame): boolean;
    /** Resolves when more can be sent; rejects if the entry reads nothing for too long. */
    drained(): Promise<void>;
    end(): void;
    /** Aborts when the entry cancels the attempt. */
    readonly signal: AbortSignal;
}

export interface GateLoad {
    readonly running: number;
    readonly queued: number;
    readonly limit: number;
    /** Predicted wait of a new request by rank, most urgent first. */
    readonly predictedWaitMs: number[];
}

export interface Gate {
    /** Queues the request and resolves when its answer has ended. */
    dispatch(request: DispatchRequest, sink: AnswerSink): Promise<void>;
    /**
     * Waits until no request uses the engine and keeps new ones out until `resume` is called. Queued
     * requests stay queued; those that the engine can no longer serve are then refused.
     */
    pause(): Promise<{ resume(): void; }>;
    /** Refuses all further and all queued requests and resolves when those in progress have ended. */
    drain(): Promise<void>;
    readonly load: () => GateLoad;
    readonly leaving: () => boolean;
}

export interface GateOptions {
    readonly backendUrl: string;
    readonly kind: "model" | "plain";
    readonly serving: () => EngineState;
    readonly engine: Engine;
    /** Greatest number of requests that run at the same time. */
    readonly concurrency: number;
    /** Floors and client weights in force. */
    readonly policy: () => QueuePolicy;
    /** `false` runs requests first in, first out without early refusal, as a baseline for benches. */
    readonly ranked: boolean;
    /** Called after each change of the load. */
    readonly onChange: () => void;
    readonly claims: Claims;
    readonly now: () => number;
}

const RETRY_AFTER_MS = 500;

const VERSION_CHANGED = "the engine changed its version during the answer";

/** Time without any byte from the backend server after which an attempt fails. */
const BACKEND_TIMEOUT_MS = 30_000;

const MAX_QUEUED_PER_CLIENT = 64;
const MAX_QUEUED_PER_RANK = 256;

/** Interval at which queued requests whose deadline has passed are refused. */
const EXPIRY_INTERVAL_MS = 250;

/**
 * Requests that start together also end together, and other ranks and clients then wait for a whole answer.
 * Paced requests start at least this fraction of a slot's mean turnover apart, so that slots become free evenly.
 */
const START_PACE = 0.8;

/** Weight of a new sample in the mean rate of a slot. */
const RATE_SMOOTHING = 0.1;

/** Characters of a prompt that make about one token, as in the entry's estimate. */
const CHARACTERS_PER_TOKEN = 4;

/** The end of a whole answer, which holds its usage. */
const TAIL_BYTES = 2048;

interface Waiting {
    readonly request: DispatchRequest;
    readonly sink: AnswerSink;
    /** Resolves `dispatch`. */
    readonly settle: () => void;
}

type Item = QueueItem<Waiting>;

export function createGate(options: GateOptions): Gate {
    const { now } = options;
    const queue = createRankedQueue<Waiting>({
        policy: options.policy,
        maxPerClient: options.ranked ? MAX_QUEUED_PER_CLIENT : Infinity,
        maxPerRank: MAX_QUEUED_PER_RANK,
        maxWaitMs: options.ranked ? MAX_QUEUE_WAIT_MS : { urgent: Infinity, standard: Infinity, overnight: Infinity },
    });
    const limit = createConcurrencyLimit({ max: options.concurrency });
    const idleWaiters: (() => void)[] = [];
    let slotTokensPerSecond: number | undefined;
    const runningByClient = new Map<string, number>();
    let running = 0;
    let paused = false;
    let leaving = false;
    let meanDurationMs: number | undefined;
    let meanCost = 1;
    let lastStartAt = Number.NEGATIVE_INFINITY;
    let paceTimer: NodeJS.Timeout | undefined;
    let expiry: NodeJS.Timeout | undefined;

    function dispatch(request: DispatchRequest, sink: AnswerSink): Promise<void> {
        const refusal = refusalOf(request);
        if (refusal !== undefined) {
            refuse(sink, Verdict.notRun, refusal);
            return Promise.resolve();
        }
        return new Promise(settle => enqueue(itemOf({ request, sink, settle })));
    }

    function refusalOf(request: DispatchRequest): string | undefined {
        if (leaving) return "the VM is leaving";
        if (options.kind === "plain") return undefined;
        if (paused) return "the engine is switching versions";
        if (bindRequest(request.rootDigest, options.serving()) === undefined) {
            return "the engine doesn't serve the version";
        }
        return undefined;
    }

    function itemOf(value: Waiting): Item {
        const { attemptId, rank, client, estimatedTokens, remainingMs } = value.request;
        const rankOfItem = options.ranked && isRank(rank) ? rank : Rank.standard;
        return {
            id: attemptId,
            rank: rankOfItem,
            client: options.ranked ? client : "",
            cost: Math.max(1, estimatedTokens),
            deadline: now() + remainingMs,
            value,
        };
    }

    function enqueue(item: Item): void {
        const { sink, settle } = item.value;
        const offer = queue.offer(item, now(), tokensPerSecond());
        if (offer.kind === "refused") {
            refuse(sink, Verdict.notRun, offer.reason, offer.retryAfterMs);
            return settle();
        }
        if (offer.displaced !== undefined) dismiss(offer.displaced, "the queue of the rank is full");
        sink.signal.addEventListener("abort", () => {
            if (!queue.remove(item.id)) return;
            sink.end();
            settle();
            options.onChange();
        });
        expiry ??= setInterval(dismissExpired, EXPIRY_INTERVAL_MS);
        pump();
    }

    /** Refuses a request that was removed from the queue, so it has certainly not run. */
    function dismiss({ value }: Item, reason: string): void {
        refuse(value.sink, Verdict.notRun, reason);
        value.settle();
    }

    function dismissExpired(): void {
        for (const item of queue.expire(now())) dismiss(item, "the deadline has passed");
        if (queue.length() > 0) return;
        clearInterval(expiry);
        expiry = undefined;
    }

    /** Starts queued requests while there are free slots. */
    function pump(): void {
        while (!paused && running < limit.current()) {
            const pace = paceDelayMs();
            const item = queue.take(now(), (rank, client) => pace === 0 || !isPaced(rank, client));
            if (item === undefined) {
                if (pace > 0 && queue.length() > 0) paceTimer ??= setTimeout(pumpPaced, pace);
                break;
            }
            lastStartAt = now();
            void run(item);
        }
        options.onChange();
    }

    function pumpPaced(): void {
        paceTimer = undefined;
        pump();
    }

    /** Overnight work and clients that hold half of the slots start at a pace. */
    function isPaced(rank: Rank, client: string): boolean {
        return rank === Rank.overnight || 2 * (runningByClient.get(client) ?? 0) >= limit.current();
    }

    /** Time until the next paced request may start. */
    function paceDelayMs(): number {
        if (!options.ranked || meanDurationMs === undefined) return 0;
        const interval = START_PACE * meanDurationMs / limit.current();
        return Math.max(0, lastStartAt + interval - now());
    }

    function countRunning(client: string, change: 1 | -1): void {
        running += change;
        const own = (runningByClient.get(client) ?? 0) + change;
        if (own > 0) runningByClient.set(client, own);
        else runningByClient.delete(client);
    }

    async function run(item: Item): Promise<void> {
        const { request, sink, settle } = item.value;
        countRunning(item.client, 1);
        const startedAt = now();
        const measured = measure(sink, now);
        try {
            await forward(request, item.deadline, measured.sink);
        }
        catch (error) {
            log.warn("attempt %s failed: %s", request.attemptId, (error as Error).message);
            finish(sink, Verdict.mayHaveRun, "the agent failed");
        }
        finally {
            learn(item, startedAt, measured);
            countRunning(item.client, -1);
            if (running === 0) idleWaiters.splice(0).forEach(resolve => resolve());
            settle();
            pump();
        }
    }

    /** Corrects the estimated cost and adapts the limit and the rate. */
    function learn(item: Item, startedAt: number, { firstDataAt, lastDataAt, end }: Measured): void {
        const ended = end();
        // A client doesn't pay for a request that was refused after it had left the queue.
        if (ended === undefined) return queue.correct(item, 0, now());
        const prompt = Math.ceil(item.value.request.body.length / CHARACTERS_PER_TOKEN);
        const cost = options.kind === "plain" ? 1 : Math.max(1, prompt + ended.outputTokens);
        queue.correct(item, cost, now());
        if (ended.error !== "") return;
        meanCost += RATE_SMOOTHING * (cost - meanCost);
        const duration = Math.max(1, now() - startedAt);
        const rate = 1000 * cost / duration;
        meanDurationMs = meanDurationMs === undefined ?
            duration :
            meanDurationMs + RATE_SMOOTHING * (duration - meanDurationMs);
        slotTokensPerSecond = slotTokensPerSecond === undefined ?
            rate :
            slotTokensPerSecond + RATE_SMOOTHING * (rate - slotTokensPerSecond);
        const [first, last] = [firstDataAt(), lastDataAt()];
        if (options.kind === "plain" || first === undefined || last === undefined || last === first) return;
        limit.firstToken(first - startedAt, running, now());
        const gaps = ended.outputTokens - 1;
        if (gaps > 0) limit.betweenTokens((last - first) / gaps, running, now());
    }

    /** Infinite until the first answer has ended, so that nothing is refused on a guess. */
    function tokensPerSecond(): number {
        return slotTokensPerSecond === undefined ? Infinity : slotTokensPerSecond * limit.current();
    }

    async function forward(request: DispatchRequest, deadline: number, caller: AnswerSink): Promise<void> {
        const sink = await options.claims.claim(request, deadline, caller);
        if (sink === undefined) return;
        const start = options.serving();
        const refusal = refusalOf(request);
        if (refusal !== undefined) return refuse(sink, Verdict.notRun, refusal);
        if (options.now() >= deadline) return refuse(sink, Verdict.notRun, "the deadline has passed");
        sink.send({ $case: "admitted", admitted: { loadGeneration: start.generation, queueLength: queue.length() } });
        let response: IncomingMessage;
        try {
            response = await openRequest({
                method: request.method,
                url: options.backendUrl + request.path,
                headers: Object.fromEntries(request.headers.map(({ name, value }) => [name, value])),
                body: request.body,
                timeoutMs: BACKEND_TIMEOUT_MS,
                signal: sink.signal,
            });
        }
        catch (error) {
            log.info("attempt %s failed: %s", request.attemptId, (error as Error).message);
            const verdict = wasNeverSent(error) ? Verdict.notRun : Verdict.mayHaveRun;
            return refuse(sink, verdict, "the backend server is unavailable");
        }
        await relay(request, start, response, sink);
    }

    async function relay(
        request: DispatchRequest,
        start: EngineState,
        response: IncomingMessage,
        sink: AnswerSink,
    ): Promise<void> {
        if (options.kind === "model" && response.statusCode === 200 && !answeredBy(response, start)) {
            response.destroy();
            return refuse(sink, Verdict.mayHaveRun, "the engine changed its version");
        }
        if (request.resumePosition > 0 && response.headers["x-engine-resumed"] !== String(request.resumePosition)) {
            response.destroy();
            return refuse(sink, Verdict.ran, "the engine can't resume the answer");
        }
        sink.send({ $case: "head", head: { status: response.statusCode ?? 502, headers: headersOf(response) } });
        const counter = createOutputCounter(response);
        try {
            for await (const piece of response as AsyncIterable<Buffer>) {
                const whole = counter.push(piece);
                if (hasReloaded(start)) {
                    response.destroy();
                    return finish(sink, Verdict.ran, VERSION_CHANGED, counter.outputs());
                }
                if (whole.length > 0 && !sink.send({ $case: "data", data: whole })) await sink.drained();
            }
            if (!counter.complete()) throw new Error("the stream ended early");
            const error = await endProblem(start);
            if (error === "" && counter.closing.length > 0) sink.send({ $case: "data", data: counter.closing });
            // A void answer did run, and its beginning must not be continued by another attempt.
            finish(sink, Verdict.ran, error, counter.outputs());
        }
        catch (error) {
            response.destroy();
            log.info("attempt %s broke off: %s", request.attemptId, (error as Error).message);
            finish(sink, Verdict.mayHaveRun, "the backend server broke off its answer", counter.outputs());
        }
    }

    /** Tells whether the engine's state as last read shows another load; an unreadable state shows none. */
    function hasReloaded(start: EngineState): boolean {
        const { generation } = options.serving();
        return options.kind === "model" && generation > 0 && generation !== start.generation;
    }

    /** Returns why the answer is void, or an empty string. */
    async function endProblem(start: EngineState): Promise<string> {
        if (options.kind === "plain") return "";
        const end = await options.engine.readState();
        const binding = { rootDigest: start.digest, generation: start.generation };
        return isBindingKept(binding, end) ? "" : VERSION_CHANGED;
    }

    async function pause(): Promise<{ resume(): void; }> {
        paused = true;
        await idle();
        return { resume };
    }

    function resume(): void {
        paused = false;
        pump();
    }

    function drain(): Promise<void> {
        leaving = true;
        for (const item of queue.clear()) dismiss(item, "the VM is leaving");
        clearInterval(expiry);
        return idle();
    }

    function load(): GateLoad {
        const rate = tokensPerSecond();
        return {
            running,
            queued: queue.length(),
            limit: limit.current(),
            predictedWaitMs: RANKS.map(rank =>
                Math.min(MAX_REPORTED_WAIT_MS, Math.round(queue.predictWaitMs(rank, now(), rate, "", meanCost)))
            ),
        };
    }

    function idle(): Promise<void> {
        if (running === 0) return Promise.resolve();
        return new Promise(resolve => idleWaiters.push(resolve));
    }

    return { dispatch, pause, drain, load, leaving: () => leaving };
}

const MAX_REPORTED_WAIT_MS = 3_600_000;

function refuse(sink: AnswerSink, verdict: Verdict, reason: string, retryAfterMs = RETRY_AFTER_MS): void {
    sink.send({
        $case: "refused",
        refused: { verdict, reason, retryAfterMs: Math.min(retryAfterMs, MAX_REPORTED_WAIT_MS), status: 0 },
    });
    sink.end();
}

function finish(sink: AnswerSink, verdict: Verdict, error: string, outputTokens = 0): void {
    sink.send({ $case: "end", end: { verdict, error, outputTokens } });
    sink.end();
}

interface Measured {
    readonly sink: AnswerSink;
    readonly firstDataAt: () => number | undefined;
    readonly lastDataAt: () => number | undefined;
    /** `undefined` if the attempt was refused. */
    readonly end: () => AnswerEnd | undefined;
}

/** Observes the frames of an attempt for the limit and the correction of its cost. */
function measure(sink: AnswerSink, now: () => number): Measured {
    let firstDataAt: number | undefined;
    let lastDataAt: number | undefined;
    let end: AnswerEnd | undefined;

    function send(frame: Frame): boolean {
        if (frame.$case === "data") {
            lastDataAt = now();
            firstDataAt ??= lastDataAt;
        }
        if (frame.$case === "end") end = frame.end;
        return sink.send(frame);
    }

    return {
        sink: { ...sink, send },
        firstDataAt: () => firstDataAt,
        lastDataAt: () => lastDataAt,
        end: () => end,
    };
}

interface OutputCounter {
    /** Returns the bytes to pass on now: whole events of an event stream, or every byte otherwise. */
    push(piece: Buffer): Buffer;
    readonly outputs: () => number;
    readonly complete: () => boolean;
    /** Bytes that end a valid answer. */
    readonly closing: Buffer;
}

function createOutputCounter(response: IncomingMessage): OutputCounter {
    if ((response.headers["content-type"] ?? "").startsWith("text/event-stream")) {
        const splitter = createEventSplitter();
        return { push: splitter.push, outputs: splitter.outputs, complete: splitter.done, closing: CLOSING_EVENT };
    }
    let tail = "";
    return {
        push: piece => {
            tail = (tail + piece.toString("latin1", Math.max(0, piece.length - TAIL_BYTES))).slice(-TAIL_BYTES);
            return piece;
        },
        outputs: () => Number(/"completion_tokens":\s*(\d{1,9})/.exec(tail)?.[1] ?? 0),
        complete: () => true,
        closing: Buffer.alloc(0),
    };
}

function answeredBy(response: IncomingMessage, state: EngineState): boolean {
    return response.headers["x-engine-digest"] === state.digest &&
        response.headers["x-engine-generation"] === String(state.generation);
}

const HOP_HEADERS = new Set(["connection", "keep-alive", "transfer-encoding", "content-length", "date"]);

function headersOf(response: IncomingMessage): { name: string; value: string; }[] {
    return Object.entries(response.headers)
        .filter(([name]) => !HOP_HEADERS.has(name))
        .map(([name, value]) => ({ name, value: Array.isArray(value) ? value.join(", ") : value ?? "" }));
}
