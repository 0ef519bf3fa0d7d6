/**
 * Runs a request on an agent and relays the answer. An attempt that fails before any part of the answer
 * was delivered is followed by another one where the verdict allows it.
 */
import type { ClientReadableStream } from "@grpc/grpc-js";
import { randomUUID } from "node:crypto";
import {
    type Attempt,
    canRetry,
    chooseAgent,
    CLOSING_EVENT,
    combineVerdicts,
    createAffinityTable,
    createAttempt,
    createEventSplitter,
    createRetryBudget,
    type EventSplitter,
    parseVerdict,
    type Rank,
    RANKS,
    Verdict,
} from "../core/index.js";
import { createLog } from "../observability/index.js";
import type { AnswerFrame, AnswerHead, Connections, Header } from "../rpc/index.js";
import type { AgentDirectory, KnownAgent } from "./agentDirectory.js";
import type { EntryQueue } from "./entryQueue.js";

const log = createLog("entry:dispatcher");

export interface Work {
    readonly requestId: string;
    readonly client: string;
    readonly rank: Rank;
    readonly service: string;
    readonly profile: string;
    readonly profileRevision: number;
    /** Empty for plain services. */
    readonly rootDigest: string;
    readonly method: string;
    readonly path: string;
    readonly headers: readonly Header[];
    readonly body: Buffer;
    /** Returns the request that continues an event stream after this many output events, if that is possible. */
    readonly resumedBody?: (position: number) => { readonly body: Buffer; readonly headers: readonly Header[]; };
    /** Identifies the beginning of the prompt; empty for plain services. */
    readonly prefix: string;
    readonly idempotent: boolean;
    readonly idempotencyKey: string;
    /** Milliseconds since the epoch. */
    readonly deadline: number;
    readonly estimatedTokens: number;
}

/** Receives the answer of the attempt that succeeds. Calls come in order: `head`, then `data`. */
export interface AnswerReceiver {
    head(head: AnswerHead): void;
    /** Resolves when the caller can take more. */
    data(piece: Buffer): Promise<void>;
    /** Aborts when the caller disconnects. */
    readonly signal: AbortSignal;
}

export interface DispatchFailure {
    readonly kind: "failed";
    readonly verdict: Verdict;
    readonly reason: string;
    readonly retryAfterMs: number;
    /** HTTP status from an agent if no other agent can answer differently; otherwise 0. */
    readonly status: number;
}

export type DispatchResult =
    | { readonly kind: "complete"; }
    | DispatchFailure;

export interface Dispatcher {
    dispatch(work: Work, receiver: AnswerReceiver): Promise<DispatchResult>;
    readonly inProgress: () => number;
    stop(): void;
}

export interface DispatcherOptions {
    readonly directory: AgentDirectory;
    readonly connections: Connections;
    /** Set if requests wait at the entry rather than at the agents. */
    readonly queue: EntryQueue | undefined;
    /** `random` is a baseline for benches. */
    readonly routing: "predictedWork" | "random";
    readonly now: () => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}

/** What the caller has received so far, over all attempts. */
interface Delivery {
    started: boolean;
    /** Output events, if the answer is an event stream. */
    outputs: number;
}

/** An attempt in progress, as the periodic check sees it. */
interface ActiveAttempt {
    readonly attempt: Attempt;
    readonly address: string;
    readonly call: ClientReadableStream<AnswerFrame>;
    readonly repeatable: boolean;
    readonly deadline: number;
    lastFrameAt: number;
    callerIsSlow: boolean;
    abandonedBecause: string | undefined;
}

const MAX_ATTEMPTS = 4;
const CONNECT_TIMEOUT_MS = 500;
const RETRY_AFTER_MS = 1000;
const CHECK_INTERVAL_MS = 250;

/** An agent that sent neither a report nor a frame for this long has lost its attempts. */
const SILENCE_TIMEOUT_MS = 3000;

/** Longer than an agent waits for its backend server, so that the agent's own verdict comes first. */
const PROGRESS_TIMEOUT_MS = 35_000;

/** The agent refuses queued requests at the deadline itself, with a better verdict. */
const DEADLINE_GRACE_MS = 1000;

const AFFINITY_CAPACITY = 4096;
const RETRY_BUDGET = { ratio: 0.1, burst: 20 };

export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { directory, connections, now, random } = options;
    const affinities = createAffinityTable(AFFINITY_CAPACITY);
    // Separate per rank, so that refusals of overnight work don't use up the retries of urgent work.
    const budgets = new Map(RANKS.map(rank => [rank, createRetryBudget(RETRY_BUDGET)]));
    const active = new Set<ActiveAttempt>();
    let inProgress = 0;

    async function dispatch(work: Work, receiver: AnswerReceiver): Promise<DispatchResult> {
        inProgress++;
        try {
            return await runAttempts(work, receiver);
        }
        finally {
            inProgress--;
        }
    }

    async function runAttempts(work: Work, receiver: AnswerReceiver): Promise<DispatchResult> {
        const verdicts: Verdict[] = [];
        const tried = new Set<string>();
        const delivery: Delivery = { started: false, outputs: 0 };
        let last = failure(Verdict.notRun, `no agent of ${work.service} can take the request`);
        while (verdicts.length < MAX_ATTEMPTS && now() < work.deadline) {
            const slot = await chooseSlot(work, tried, receiver.signal);
            if (slot.kind === "refused") {
                if (verdicts.length === 0) last = slot.failure;
                break;
            }
            if (verdicts.length > 0 && !budgets.get(work.rank)?.take()) {
                slot.release();
                break;
            }
            tried.add(slot.address);
            const result = await attempt(work, slot.address, delivery, receiver).finally(slot.release);
            if (result.kind === "complete") {
                budgets.get(work.rank)?.success();
                if (work.prefix !== "") affinities.record(work.prefix, slot.address, now());
                return result;
            }
            verdicts.push(result.verdict);
            last = result;
            log.info("request %s: %s (%s)", work.requestId, result.reason, result.verdict);
            const resumable = !delivery.started || (work.resumedBody !== undefined && delivery.outputs > 0);
            if (
                result.status !== 0 || !resumable || receiver.signal.aborted ||
                !canRetry(result.verdict, isRepeatable(work))
            ) break;
        }
        return { ...last, verdict: verdicts.length === 0 ? last.verdict : combineVerdicts(verdicts) };
    }

    async function chooseSlot(work: Work, tried: ReadonlySet<string>, signal: AbortSignal): Promise<Slot> {
        const candidates = () => candidatesFor(work).filter(({ address }) => !tried.has(address));
        const found = candidates();
        if (found.length === 0) {
            const reason = `no agent of ${work.service} can take the request`;
            return { kind: "refused", failure: failure(Verdict.notRun, reason) };
        }
        if (options.queue !== undefined) return options.queue.acquire(work, candidates, signal);
        const address = options.routing === "random" ?
            found[Math.floor(random() * found.length)]?.address :
            chooseAgent(found.map(agent => toCandidate(agent, work.rank)), affinities.find(work.prefix, now()), random)
                ?.address;
        return { kind: "chosen", address: address ?? "", release: () => undefined };
    }

    function candidatesFor(work: Work): KnownAgent[] {
        return directory.usable(work.service, now()).filter(({ state }) => state.servingDigest === work.rootDigest);
    }

    async function attempt(
        work: Work,
        address: string,
        delivery: Delivery,
        receiver: AnswerReceiver,
    ): Promise<DispatchResult> {
        if (!await connections.connect(address, CONNECT_TIMEOUT_MS)) {
            return failure(Verdict.notRun, "the agent is unreachable");
        }
        if (receiver.signal.aborted) return failure(Verdict.notRun, "the caller disconnected");
        const attemptId = randomUUID();
        const resumed = delivery.started ? work.resumedBody?.(delivery.outputs) : undefined;
        const { body, headers } = resumed ?? work;
        directory.recordSent(address, now());
        const call = connections.agent(address).dispatch({
            attemptId,
            requestId: work.requestId,
            client: work.client,
            rank: work.rank,
            profile: work.profile,
            rootDigest: work.rootDigest,
            profileRevision: work.profileRevision,
            remainingMs: Math.max(0, work.deadline - now()),
            estimatedTokens: work.estimatedTokens,
            method: work.method,
            path: work.path,
            headers: [...headers],
            body,
            idempotencyKey: work.idempotencyKey,
            idempotent: work.idempotent,
            resumePosition: delivery.started ? delivery.outputs : 0,
        });
        const current: ActiveAttempt = {
            attempt: createAttempt(attemptId),
            address,
            call,
            repeatable: isRepeatable(work),
            deadline: work.deadline,
            lastFrameAt: now(),
            callerIsSlow: false,
            abandonedBecause: undefined,
        };
        active.add(current);
        const cancel = () => call.cancel();
        receiver.signal.addEventListener("abort", cancel);
        try {
            return await relay(current, work, delivery, receiver);
        }
        finally {
            active.delete(current);
            receiver.signal.removeEventListener("abort", cancel);
            call.cancel();
        }
    }

    async function relay(
        current: ActiveAttempt,
        work: Work,
        delivery: Delivery,
        receiver: AnswerReceiver,
    ): Promise<DispatchResult> {
        const { attempt: own, call } = current;
        let head: AnswerHead | undefined;
        let splitter: EventSplitter | undefined;
        try {
            for await (const { attemptId, frame } of call as AsyncIterable<AnswerFrame>) {
                if (frame === undefined || !own.accept(attemptId, frame.$case)) continue;
                current.lastFrameAt = now();
                if (frame.$case === "refused") {
                    const { verdict, reason, retryAfterMs, status } = frame.refused;
                    return { kind: "failed", verdict: parseVerdict(verdict), reason, retryAfterMs, status };
                }
                if (frame.$case === "head") {
                    head = frame.head;
                    if (hasWrongDigest(head, work)) return failure(Verdict.mayHaveRun, "another version answered");
                    if (work.resumedBody !== undefined && isEventStream(head)) splitter = createEventSplitter();
                    if (delivery.started && splitter === undefined) {
                        return failure(Verdict.mayHaveRun, "the answer can't be continued");
                    }
                }
                if (frame.$case === "data") {
                    const before = splitter?.outputs() ?? 0;
                    // A part of an event isn't delivered: another attempt would begin with the whole event.
                    const piece = splitter === undefined ? frame.data : splitter.push(frame.data);
                    if (piece.length === 0) continue;
                    // The head waits for the first byte, because until then the request can run elsewhere.
                    if (!delivery.started && head !== undefined) receiver.head(head);
                    delivery.started = true;
                    if (splitter !== undefined) delivery.outputs += splitter.outputs() - before;
                    current.callerIsSlow = true;
                    await receiver.data(piece);
                    current.callerIsSlow = false;
                    current.lastFrameAt = now();
                }
                if (frame.$case === "end") {
                    const { error, verdict } = frame.end;
                    if (error !== "") return failure(parseVerdict(verdict), error);
                    if (splitter?.done() === false) return failure(Verdict.mayHaveRun, "the answer is incomplete");
                    if (!delivery.started && head !== undefined) receiver.head(head);
                    if (splitter !== undefined) await receiver.data(CLOSING_EVENT);
                    return { kind: "complete" };
                }
            }
        }
        catch (error) {
            const reason = current.abandonedBecause ?? `the attempt failed: ${(error as Error).message}`;
            return failure(Verdict.mayHaveRun, reason);
        }
        return failure(Verdict.mayHaveRun, current.abandonedBecause ?? "the agent ended the attempt without a result");
    }

    /** Abandons attempts whose agent can no longer be expected to answer. */
    function check(): void {
        const at = now();
        for (const current of active) {
            const reason = problemOf(current, at);
            if (reason === undefined) continue;
            current.abandonedBecause = reason;
            current.attempt.abandon();
            current.call.cancel();
        }
    }

    function problemOf(current: ActiveAttempt, at: number): string | undefined {
        const { attempt: own, address, repeatable, deadline, lastFrameAt, callerIsSlow } = current;
        if (at > deadline + DEADLINE_GRACE_MS) return "the deadline has passed";
        if (callerIsSlow) return undefined;
        const health = directory.health(address, at);
        const quietMs = at - lastFrameAt;
        if ((health === "silent" || health === "lost") && quietMs > SILENCE_TIMEOUT_MS) return "the agent is silent";
        if (own.phase() === "queued") {
            // A leaving agent hands its queue back itself; this covers one that doesn't know that it leaves.
            return health === "leaving" && repeatable && quietMs > CHECK_INTERVAL_MS ?
                "the agent is leaving" :
                undefined;
        }
        return quietMs > PROGRESS_TIMEOUT_MS ? "the agent makes no progress" : undefined;
    }

    const timer = setInterval(check, CHECK_INTERVAL_MS);
    return { dispatch, inProgress: () => inProgress, stop: () => clearInterval(timer) };
}

/** Where an attempt runs; `release` must be called when it has ended. */
export type Slot =
    | { readonly kind: "chosen"; readonly address: string; readonly release: () => void; }
    | { readonly kind: "refused"; readonly failure: DispatchFailure; };

function toCandidate({ address, state, sentSinceReport }: KnownAgent, rank: Rank) {
    return {
        address,
        running: state.running,
        queued: state.queued,
        limit: state.concurrencyLimit,
        predictedWaitMs: state.predictedWaitMs[RANKS.indexOf(rank)] ?? 0,
        sentSinceReport,
    };
}

function isRepeatable(work: Work): boolean {
    return work.idempotent || work.idempotencyKey !== "";
}

function isEventStream({ status, headers }: AnswerHead): boolean {
    const type = headers.find(({ name }) => name === "content-type")?.value ?? "";
    return status === 200 && type.startsWith("text/event-stream");
}

function hasWrongDigest(head: AnswerHead, work: Work): boolean {
    if (work.rootDigest === "" || head.status !== 200) return false;
    return head.headers.find(({ name }) => name === "x-engine-digest")?.value !== work.rootDigest;
}

function failure(verdict: Verdict, reason: string): DispatchFailure {
    return { kind: "failed", verdict, reason, retryAfterMs: RETRY_AFTER_MS, status: 0 };
}
