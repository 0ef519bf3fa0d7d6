/** Implements the Agent gRPC service: request dispatch, state updates, manifests and chunks. */
import type { ServerWritableStream } from "@grpc/grpc-js";
import { once } from "node:events";
import type { EventRecorder } from "../node/index.js";
import type { Metrics } from "../observability/index.js";
import type {
    AgentServer,
    AgentState,
    AnswerFrame,
    ChunkAvailability,
    ChunkPiece,
    DispatchRequest,
    ReadChunkRequest,
    WatchChunksRequest,
    WatchStateRequest,
} from "../rpc/index.js";
import { differsBesidesLoad, loadReport } from "../rpc/index.js";
import type { Gate } from "./gate.js";
import type { HeldVersions } from "./heldVersions.js";
import { encodeBitmap } from "./peerWatches.js";
import type { Uploads } from "./uploads.js";

/** Interval of state messages while nothing changes. */
const MAX_STATE_INTERVAL_MS = 1000;

/** Minimum interval between load reports, so that their number doesn't grow with the request rate. */
const MIN_LOAD_INTERVAL_MS = 100;

/** New chunks are collected for this long and announced together; it is short compared with one chunk's transfer. */
const CHUNK_BATCH_MS = 20;

/** If the entry reads nothing for this long, the entry or its caller has stalled and the attempt fails. */
const SLOW_READER_TIMEOUT_MS = 20_000;

/** Called with `load` if only the load has changed, which may be reported with a delay. */
export type StateListener = (change: "load" | "other") => void;

export interface StateSource {
    readonly current: () => AgentState;
    /** Calls the listener after each change. Returns a function that removes it. */
    subscribe(listener: StateListener): () => void;
}

/** Receives the events and metrics of attempts. */
export interface AttemptTelemetry {
    readonly events: EventRecorder;
    readonly metrics: Metrics;
}

export function createAgentService(
    gate: Gate,
    heldVersions: HeldVersions,
    uploads: Uploads,
    state: StateSource,
    telemetry: AttemptTelemetry,
): AgentServer {
    return {
        dispatch: call => dispatch(call, gate, telemetry),
        watchState: call => watchState(call, state),
        watchChunks: call => void watchChunks(call, heldVersions),
        readChunk: call => void readChunk(call, uploads),
        readManifest: (call, reply) => {
            heldVersions.find(call.request.rootDigest).then(
                version => reply(null, { manifest: version?.manifestBytes ?? Buffer.alloc(0) }),
                (error: Error) => reply(error),
            );
        },
    };
}

function dispatch(
    call: ServerWritableStream<DispatchRequest, AnswerFrame>,
    gate: Gate,
    { events, metrics }: AttemptTelemetry,
): void {
    const { attemptId, requestId, rank } = call.request;
    const startedAt = performance.now();
    let verdict = "none";
    const cancellation = new AbortController();
    call.on("cancelled", () => cancellation.abort());
    call.on("error", () => cancellation.abort());
    const sink = {
        send: (frame: NonNullable<AnswerFrame["frame"]>) => {
            if (frame.$case === "refused") verdict = frame.refused.verdict;
            if (frame.$case === "end") verdict = frame.end.verdict;
            return call.write({ attemptId, frame });
        },
        waitForDrain: () => waitForDrain(call, cancellation.signal),
        end: () => call.end(),
        signal: cancellation.signal,
    };
    events.record("attempt.started", requestId, { attemptId, client: call.request.client, rank });
    gate.dispatch(call.request, sink)
        .catch((error: Error) => call.destroy(error))
        .finally(() => {
            events.record("attempt.ended", requestId, { attemptId, verdict });
            metrics.count("agent.attempts", { rank, verdict });
            metrics.timing("agent.attempt_duration", performance.now() - startedAt, { rank });
            metrics.gauge("agent.running", gate.load().running);
        });
}

/** Waits until the entry has read the buffered data. Rejects after a timeout, so that the engine slot is freed. */
async function waitForDrain(
    call: ServerWritableStream<DispatchRequest, AnswerFrame>,
    signal: AbortSignal,
): Promise<void> {
    if (!call.writableNeedDrain) return;
    await once(call, "drain", { signal: AbortSignal.any([signal, AbortSignal.timeout(SLOW_READER_TIMEOUT_MS)]) });
}

function watchState(call: ServerWritableStream<WatchStateRequest, AgentState>, state: StateSource): void {
    const loadIntervalMs = Math.min(Math.max(call.request.loadIntervalMs, MIN_LOAD_INTERVAL_MS), MAX_STATE_INTERVAL_MS);
    let lastSent: AgentState | undefined;
    let lastSentAt = 0;
    let loadPending = false;
    let timer: NodeJS.Timeout | undefined;

    function send(): void {
        clearTimeout(timer);
        loadPending = false;
        const current = state.current();
        call.write(lastSent === undefined || differsBesidesLoad(lastSent, current) ? current : loadReport(current));
        lastSent = current;
        lastSentAt = performance.now();
        timer = setTimeout(send, MAX_STATE_INTERVAL_MS);
    }

    function onLoadChange(): void {
        if (loadPending) return;
        loadPending = true;
        clearTimeout(timer);
        timer = setTimeout(send, Math.max(0, lastSentAt + loadIntervalMs - performance.now()));
    }

    const unsubscribe = state.subscribe(change => change === "load" ? onLoadChange() : send());
    const stop = () => {
        clearTimeout(timer);
        unsubscribe();
    };
    call.on("cancelled", stop);
    call.on("error", stop);
    call.on("close", stop);
    send();
}

async function watchChunks(
    call: ServerWritableStream<WatchChunksRequest, ChunkAvailability>,
    heldVersions: HeldVersions,
): Promise<void> {
    const { rootDigest } = call.request;
    let pendingIndexes: number[] = [];
    let timer: NodeJS.Timeout | undefined;
    const flush = () => {
        timer = undefined;
        call.write({ bitmap: Buffer.alloc(0), added: pendingIndexes });
        pendingIndexes = [];
    };
    // The watch starts before the bitmap is built, so that no chunk is missed between the two.
    const unwatch = heldVersions.watch(rootDigest, index => {
        pendingIndexes.push(index);
        timer ??= setTimeout(flush, CHUNK_BATCH_MS);
    });
    const stop = () => {
        clearTimeout(timer);
        unwatch();
    };
    call.on("cancelled", stop);
    call.on("error", stop);
    call.on("close", stop);
    const version = await heldVersions.find(rootDigest);
    const bitmap = version === undefined ? Buffer.alloc(0) : encodeBitmap(version.chunks.length, version.isHeld);
    call.write({ bitmap, added: [] });
}

async function readChunk(call: ServerWritableStream<ReadChunkRequest, ChunkPiece>, uploads: Uploads): Promise<void> {
    const cancellation = new AbortController();
    call.on("cancelled", () => cancellation.abort());
    call.on("error", () => cancellation.abort());
    const sink = {
        write: (data: Buffer) => call.write({ data, refusal: "" }),
        onDrain: (listener: () => void) => void call.once("drain", listener),
        signal: cancellation.signal,
    };
    try {
        const refusal = await uploads.send(call.request, sink);
        if (refusal !== undefined) call.write({ data: Buffer.alloc(0), refusal });
        call.end();
    }
    catch (error) {
        call.destroy(error as Error);
    }
}
