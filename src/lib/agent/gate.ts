/**
 * Admits attempts to the backend server: it refuses those that must not run, queues the others, and starts
 * queued attempts while the concurrency limit permits.
 */
import type { EngineClient, EngineState } from "../clients/index.js";
import { bindRequest, createConcurrencyLimit, type QueuePolicy, type Rank, RANKS, Verdict } from "../core/index.js";
import { createLog } from "../observability/index.js";
import type { DispatchRequest } from "../rpc/index.js";
import { type AnswerSink, finish, MAX_REPORTED_WAIT_MS, refuse } from "./answerSink.js";
import { type AttemptItem, createAttemptQueue } from "./attemptQueue.js";
import { createBackendCall } from "./backendCall.js";
import type { Claims } from "./claims.js";
import { createMeasuredSink, type MeasuredSink } from "./measuredSink.js";
import { createSlotStatistics } from "./slotStatistics.js";
import { createStartPacer } from "./startPacer.js";

const log = createLog("agent:gate");

export interface GateLoad {
    readonly running: number;
    readonly queued: number;
    readonly limit: number;
    /** Predicted wait of a new request for each rank, most urgent first. */
    readonly predictedWaitMs: number[];
}

export interface Gate {
    /** Queues the request. Resolves when its response has ended. */
    dispatch(request: DispatchRequest, sink: AnswerSink): Promise<void>;
    /**
     * Waits until no request uses the engine and holds back new ones until `resume` is called. Queued requests
     * stay queued; after `resume`, those that the engine can no longer serve are refused.
     */
    pause(): Promise<{ resume(): void; }>;
    /** Refuses queued and new requests permanently. Resolves when the requests in progress have ended. */
    drain(): Promise<void>;
    /** Refuses queued and new requests while the platform lists this VM as leaving. */
    setListedLeaving(listed: boolean): void;
    /** Refuses queued and new requests while the operator evacuates the agent's failure domain. */
    setEvacuated(isEvacuated: boolean): void;
    readonly load: () => GateLoad;
    /** Returns whether new requests are refused for one of these reasons. */
    readonly isLeaving: () => boolean;
}

const LEAVING_REASON = "the VM is leaving";
const EVACUATED_REASON = "the failure domain is evacuated";

export interface GateOptions {
    readonly backendUrl: string;
    readonly kind: "model" | "plain";
    readonly serving: () => EngineState;
    readonly engine: EngineClient;
    /** Upper bound of the adaptive concurrency limit. */
    readonly concurrency: number;
    /** Current floors and client weights. */
    readonly policy: () => QueuePolicy;
    /** `false` runs requests first in, first out without early refusal; a baseline for benchmarks. */
    readonly ranked: boolean;
    /** Called after each change of the load. */
    readonly onChange: () => void;
    readonly claims: Claims;
    readonly now: () => number;
}

/** Approximate number of characters per prompt token, as in the entry's estimate. */
const CHARACTERS_PER_TOKEN = 4;

export function createGate(options: GateOptions): Gate {
    const { now } = options;
    const limit = createConcurrencyLimit({ max: options.concurrency });
    const statistics = createSlotStatistics();
    const startPacer = createStartPacer(now);
    const queue = createAttemptQueue({ ...options, tokensPerSecond, onCancel: options.onChange });
    const callBackend = createBackendCall(options);
    const idleWaiters: (() => void)[] = [];
    const runningByClient = new Map<string, number>();
    let running = 0;
    let paused = false;
    let draining = false;
    let listedLeaving = false;
    let evacuated = false;
    let pacingTimer: NodeJS.Timeout | undefined;

    function dispatch(request: DispatchRequest, sink: AnswerSink): Promise<void> {
        const refusal = findRefusalReason(request);
        if (refusal !== undefined) {
            refuse(sink, Verdict.notRun, refusal);
            return Promise.resolve();
        }
        return new Promise(onEnded => {
            if (queue.add({ request, sink, onEnded })) startQueued();
        });
    }

    function findRefusalReason(request: DispatchRequest): string | undefined {
        if (draining || listedLeaving) return LEAVING_REASON;
        if (evacuated) return EVACUATED_REASON;
        if (options.kind === "plain") return undefined;
        if (paused) return "the engine is switching versions";
        if (bindRequest(request.rootDigest, options.serving()) === undefined) {
            return "the engine doesn't serve the version";
        }
        return undefined;
    }

    /** Starts queued requests while the concurrency limit permits. */
    function startQueued(): void {
        while (!paused && running < limit.current()) {
            let shortestDelayMs = Infinity;
            const item = queue.take((rank, client) => {
                const delayMs = startDelayMs(rank, client);
                if (delayMs > 0) shortestDelayMs = Math.min(shortestDelayMs, delayMs);
                return delayMs === 0;
            });
            if (item === undefined) {
                if (shortestDelayMs < Infinity) pacingTimer ??= setTimeout(startPaced, shortestDelayMs);
                break;
            }
            startPacer.recordStart();
            void run(item);
        }
        options.onChange();
    }

    function startPaced(): void {
        pacingTimer = undefined;
        startQueued();
    }

    function startDelayMs(rank: Rank, client: string): number {
        if (!options.ranked) return 0;
        return startPacer.delayMs(rank, runningByClient.get(client) ?? 0, limit.current(), statistics.meanDurationMs());
    }

    function changeRunningCount(client: string, change: 1 | -1): void {
        running += change;
        const clientRunning = (runningByClient.get(client) ?? 0) + change;
        if (clientRunning > 0) runningByClient.set(client, clientRunning);
        else runningByClient.delete(client);
    }

    async function run(item: AttemptItem): Promise<void> {
        const { request, sink, onEnded } = item.value;
        changeRunningCount(item.client, 1);
        const startedAt = now();
        const measuredSink = createMeasuredSink(sink, now);
        try {
            await checkAndForward(request, item.deadline, measuredSink.sink);
        }
        catch (error) {
            log.warn("attempt %s failed unexpectedly: %s", request.attemptId, (error as Error).message);
            finish(sink, Verdict.mayHaveRun, "the agent failed");
        }
        finally {
            recordResult(item, startedAt, measuredSink);
            changeRunningCount(item.client, -1);
            if (running === 0) idleWaiters.splice(0).forEach(resolve => resolve());
            onEnded();
            startQueued();
        }
    }

    async function checkAndForward(request: DispatchRequest, deadline: number, callerSink: AnswerSink): Promise<void> {
        const sink = await options.claims.claim(request, deadline, callerSink);
        if (sink === undefined) return;
        const engineAtDispatch = options.serving();
        const refusal = findRefusalReason(request);
        if (refusal !== undefined) return refuse(sink, Verdict.notRun, refusal);
        if (now() >= deadline) return refuse(sink, Verdict.notRun, "the deadline has passed");
        sink.send({
            $case: "admitted",
            admitted: { loadGeneration: engineAtDispatch.generation, queueLength: queue.length() },
        });
        await callBackend(request, engineAtDispatch, sink);
    }

    /** Corrects the estimated cost and updates the concurrency limit and the statistics. */
    function recordResult(item: AttemptItem, startedAt: number, measured: MeasuredSink): void {
        const endFrame = measured.endFrame();
        // A request that was refused after it left the queue costs its client nothing.
        if (endFrame === undefined) return queue.correctCost(item, 0);
        const promptTokens = Math.ceil(item.value.request.body.length / CHARACTERS_PER_TOKEN);
        const cost = options.kind === "plain" ? 1 : Math.max(1, promptTokens + endFrame.outputTokens);
        queue.correctCost(item, cost);
        if (endFrame.error !== "") return;
        statistics.recordAttempt(cost, now() - startedAt);
        const [firstAt, lastAt] = [measured.firstDataAt(), measured.lastDataAt()];
        if (options.kind === "plain" || firstAt === undefined || lastAt === undefined || lastAt === firstAt) return;
        limit.recordFirstToken(firstAt - startedAt, running, now());
        const intervals = endFrame.outputTokens - 1;
        if (intervals > 0) limit.recordTokenInterval((lastAt - firstAt) / intervals, running, now());
    }

    function tokensPerSecond(): number {
        const slotTokensPerSecond = statistics.tokensPerSecond();
        return slotTokensPerSecond === undefined ? Infinity : slotTokensPerSecond * limit.current();
    }

    async function pause(): Promise<{ resume(): void; }> {
        paused = true;
        await waitUntilIdle();
        return { resume };
    }

    function resume(): void {
        paused = false;
        startQueued();
    }

    function drain(): Promise<void> {
        draining = true;
        queue.refuseAll(LEAVING_REASON);
        return waitUntilIdle();
    }

    function setListedLeaving(listed: boolean): void {
        if (listed && !listedLeaving) queue.refuseAll(LEAVING_REASON);
        listedLeaving = listed;
    }

    function setEvacuated(isEvacuated: boolean): void {
        if (isEvacuated && !evacuated) queue.refuseAll(EVACUATED_REASON);
        evacuated = isEvacuated;
    }

    function isLeaving(): boolean {
        return draining || listedLeaving || evacuated;
    }

    function load(): GateLoad {
        const predict = (rank: Rank) => queue.predictWaitMs(rank, statistics.meanCost());
        return {
            running,
            queued: queue.length(),
            limit: limit.current(),
            predictedWaitMs: RANKS.map(rank => Math.min(MAX_REPORTED_WAIT_MS, Math.round(predict(rank)))),
        };
    }

    function waitUntilIdle(): Promise<void> {
        if (running === 0) return Promise.resolve();
        return new Promise(resolve => idleWaiters.push(resolve));
    }

    return { dispatch, pause, drain, setListedLeaving, setEvacuated, load, isLeaving };
}
