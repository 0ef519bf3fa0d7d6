/** Handlers of the Agent service: dispatch of requests, state, manifests and chunks. */
import type { ServerWritableStream } from "@grpc/grpc-js";
import { placeChunks } from "../core/index.js";
import type { EventRecorder } from "../node/index.js";
import type { Metrics } from "../observability/index.js";
import type {
    AgentServer,
    AgentState,
    AnswerFrame,
    ChunkPiece,
    DispatchRequest,
    ReadChunkRequest,
    WatchStateRequest,
} from "../rpc/index.js";
import { type ChunkStore, loadManifest } from "./chunkStore.js";
import type { Gate } from "./gate.js";

/** Longest pause between two state messages. */
const STATE_INTERVAL_MS = 1000;

export interface StateFeed {
    readonly current: () => AgentState;
    /** Calls the listener after each change; returns a function that removes it. */
    subscribe(listener: () => void): () => void;
}

/** Where attempts are recorded. */
export interface AttemptRecords {
    readonly events: EventRecorder;
    readonly metrics: Metrics;
}

export function createAgentService(
    gate: Gate,
    store: ChunkStore,
    state: StateFeed,
    records: AttemptRecords,
): AgentServer {
    return {
        dispatch: call => dispatch(call, gate, records),
        watchState: call => watchState(call, state),
        watchChunks: call => call.end(),
        readChunk: call => void readChunk(call, store),
        readManifest: (call, reply) => {
            store.readManifest(call.request.rootDigest).then(
                manifest => reply(null, { manifest: manifest ?? Buffer.alloc(0) }),
                (error: Error) => reply(error),
            );
        },
    };
}

function dispatch(
    call: ServerWritableStream<DispatchRequest, AnswerFrame>,
    gate: Gate,
    { events, metrics }: AttemptRecords,
): void {
    const { attemptId, requestId, rank } = call.request;
    const started = performance.now();
    let verdict = "none";
    const cancellation = new AbortController();
    call.on("cancelled", () => cancellation.abort());
    call.on("error", () => cancellation.abort());
    const sink = {
        send: (frame: NonNullable<AnswerFrame["frame"]>) => {
            if (frame.$case === "refused") verdict = frame.refused.verdict;
            if (frame.$case === "end") verdict = frame.end.verdict;
            call.write({ attemptId, frame });
        },
        end: () => call.end(),
        signal: cancellation.signal,
    };
    events.record("attempt.started", requestId, { attemptId, client: call.request.client, rank });
    gate.dispatch(call.request, sink)
        .catch((error: Error) => call.destroy(error))
        .finally(() => {
            events.record("attempt.ended", requestId, { attemptId, verdict });
            metrics.count("agent.attempts", { rank, verdict });
            metrics.timing("agent.attempt_duration", performance.now() - started, { rank });
            metrics.gauge("agent.running", gate.running());
        });
}

function watchState(call: ServerWritableStream<WatchStateRequest, AgentState>, state: StateFeed): void {
    const send = () => void call.write(state.current());
    const timer = setInterval(send, STATE_INTERVAL_MS);
    const unsubscribe = state.subscribe(send);
    const stop = () => {
        clearInterval(timer);
        unsubscribe();
    };
    call.on("cancelled", stop);
    call.on("error", stop);
    send();
}

async function readChunk(call: ServerWritableStream<ReadChunkRequest, ChunkPiece>, store: ChunkStore): Promise<void> {
    const { rootDigest, chunkDigest } = call.request;
    const manifest = await loadManifest(store, rootDigest);
    const chunk = manifest && placeChunks(manifest).find(({ digest }) => digest === chunkDigest);
    const content = chunk && await store.read(rootDigest, chunk);
    call.write(content === undefined ? { data: Buffer.alloc(0), refusal: "unknown" } : { data: content, refusal: "" });
    call.end();
}
