/**
 * Runs a request on an agent and relays the answer. An attempt that fails before any part of the answer
 * was delivered is followed by another one where the verdict allows it.
 */
import { randomUUID } from "node:crypto";
import { canRetry, combineVerdicts, parseVerdict, type Rank, Verdict } from "../core/index.js";
import { createLog } from "../observability/index.js";
import type { AnswerFrame, AnswerHead, Connections, Header } from "../rpc/index.js";
import type { AgentDirectory, KnownAgent } from "./agentDirectory.js";

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
    readonly idempotent: boolean;
    readonly idempotencyKey: string;
    /** Milliseconds since the epoch. */
    readonly deadline: number;
    readonly estimatedTokens: number;
}

/** Receives the answer of the attempt that succeeds. Calls come in order: `head`, then `data`. */
export interface AnswerReceiver {
    head(head: AnswerHead): void;
    data(piece: Buffer): void;
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

type AttemptResult = DispatchResult & { readonly delivered: boolean; };

export interface Dispatcher {
    dispatch(work: Work, receiver: AnswerReceiver): Promise<DispatchResult>;
    readonly inProgress: () => number;
}

export interface DispatcherOptions {
    readonly directory: AgentDirectory;
    readonly connections: Connections;
    readonly now: () => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}

const MAX_ATTEMPTS = 3;
const CONNECT_TIMEOUT_MS = 500;
const RETRY_AFTER_MS = 1000;

export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { directory, connections, now, random } = options;
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
        let last = failure(Verdict.notRun, `no agent of ${work.service} can take the request`);
        const candidates = shuffled(candidatesFor(work), random);
        for (const agent of candidates.slice(0, MAX_ATTEMPTS)) {
            const result = await attempt(work, agent, receiver);
            if (result.kind === "complete") return result;
            verdicts.push(result.verdict);
            last = result;
            log.info("request %s: %s (%s)", work.requestId, result.reason, result.verdict);
            const repeatable = work.idempotent || work.idempotencyKey !== "";
            if (
                result.status !== 0 || result.delivered || receiver.signal.aborted ||
                !canRetry(result.verdict, repeatable)
            ) break;
        }
        return { ...last, verdict: combineVerdicts(verdicts) };
    }

    function candidatesFor(work: Work): KnownAgent[] {
        return directory.usable(work.service, now()).filter(({ state }) => state.servingDigest === work.rootDigest);
    }

    async function attempt(work: Work, agent: KnownAgent, receiver: AnswerReceiver): Promise<AttemptResult> {
        if (!await connections.connect(agent.address, CONNECT_TIMEOUT_MS)) {
            return { ...failure(Verdict.notRun, "the agent is unreachable"), delivered: false };
        }
        const attemptId = randomUUID();
        const call = connections.agent(agent.address).dispatch({
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
            headers: [...work.headers],
            body: work.body,
            idempotencyKey: work.idempotencyKey,
            idempotent: work.idempotent,
            resumePosition: 0,
        });
        const cancel = () => call.cancel();
        receiver.signal.addEventListener("abort", cancel);
        try {
            return await relay(call, attemptId, receiver);
        }
        finally {
            receiver.signal.removeEventListener("abort", cancel);
            call.cancel();
        }
    }

    return { dispatch, inProgress: () => inProgress };
}

async function relay(
    frames: AsyncIterable<AnswerFrame>,
    attemptId: string,
    receiver: AnswerReceiver,
): Promise<AttemptResult> {
    let delivered = false;
    try {
        for await (const { attemptId: answered, frame } of frames) {
            if (answered !== attemptId || frame === undefined) continue;
            if (frame.$case === "refused") {
                const { verdict, reason, retryAfterMs, status } = frame.refused;
                return { kind: "failed", verdict: parseVerdict(verdict), reason, retryAfterMs, status, delivered };
            }
            if (frame.$case === "head") {
                delivered = true;
                receiver.head(frame.head);
            }
            if (frame.$case === "data") receiver.data(frame.data);
            if (frame.$case === "end") {
                const { error, verdict } = frame.end;
                if (error === "") return { kind: "complete", delivered };
                return { ...failure(parseVerdict(verdict), error), delivered };
            }
        }
    }
    catch (error) {
        return { ...failure(Verdict.mayHaveRun, `the attempt failed: ${(error as Error).message}`), delivered };
    }
    return { ...failure(Verdict.mayHaveRun, "the agent ended the attempt without a result"), delivered };
}

function failure(verdict: Verdict, reason: string) {
    return { kind: "failed" as const, verdict, reason, retryAfterMs: RETRY_AFTER_MS, status: 0 };
}

function shuffled<T>(items: readonly T[], random: () => number): T[] {
    return items
        .map(item => ({ item, order: random() }))
        .sort((a, b) => a.order - b.order)
        .map(({ item }) => item);
}
