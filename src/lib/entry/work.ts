/** Types of the work that an entry dispatches to agents, and of its results. */
import type { Rank, Verdict } from "../core/index.js";
import type { AnswerHead, Header } from "../rpc/index.js";

/** A client request in the form that is dispatched to an agent. */
export interface Work {
    readonly requestId: string;
    readonly client: string;
    readonly rank: Rank;
    readonly service: string;
    readonly profile: string;
    readonly profileRevision: number;
    /** Version that serves the request, set for each attempt; empty for plain services. */
    readonly rootDigest: string;
    /** Versions that may serve the request; empty for plain services. */
    readonly servedDigests: readonly string[];
    readonly method: string;
    readonly path: string;
    readonly headers: readonly Header[];
    readonly body: Buffer;
    /** Builds the request that resumes an event stream after `position` output events; absent if none can resume it. */
    readonly buildResumedRequest?: (
        position: number,
    ) => { readonly body: Buffer; readonly headers: readonly Header[]; };
    /** Affinity key of the prompt's prefix; empty for plain services. */
    readonly prefix: string;
    readonly isIdempotent: boolean;
    readonly idempotencyKey: string;
    /** Milliseconds since the epoch. */
    readonly deadline: number;
    readonly estimatedTokens: number;
}

/** Receives the response, which may come from several attempts: `head` is called once, then `data` repeatedly. */
export interface ResponseReceiver {
    head(head: AnswerHead): void;
    /** Resolves when the caller's connection can accept more data. */
    data(bytes: Buffer): Promise<void>;
    /** Aborts when the caller disconnects. */
    readonly signal: AbortSignal;
}

export interface DispatchFailure {
    readonly kind: "failed";
    readonly verdict: Verdict;
    readonly reason: string;
    readonly retryAfterMs: number;
    /** HTTP status from the agent if a retry at another agent can't help; otherwise 0. */
    readonly status: number;
}

export type DispatchResult =
    | { readonly kind: "complete"; }
    | DispatchFailure;

/** Returns whether the work may be retried after an attempt that may have run. */
export function isRetryable(work: Work): boolean {
    return work.isIdempotent || work.idempotencyKey !== "";
}

const RETRY_AFTER_MS = 1000;

export function failure(verdict: Verdict, reason: string): DispatchFailure {
    return { kind: "failed", verdict, reason, retryAfterMs: RETRY_AFTER_MS, status: 0 };
}
