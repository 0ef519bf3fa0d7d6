/** The work that an entry dispatches to agents, and what can become of it. */
import type { Rank, Verdict } from "../core/index.js";
import type { AnswerHead, Header } from "../rpc/index.js";

export interface Work {
    readonly requestId: string;
    readonly client: string;
    readonly rank: Rank;
    readonly service: string;
    readonly profile: string;
    readonly profileRevision: number;
    /** Version that answers, chosen for each attempt; empty for plain services. */
    readonly rootDigest: string;
    /** Versions that may answer; empty for plain services. */
    readonly servedDigests: readonly string[];
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

/** Tells whether work may run again after an attempt that may have run. */
export function isRepeatable(work: Work): boolean {
    return work.idempotent || work.idempotencyKey !== "";
}

const RETRY_AFTER_MS = 1000;

export function failure(verdict: Verdict, reason: string): DispatchFailure {
    return { kind: "failed", verdict, reason, retryAfterMs: RETRY_AFTER_MS, status: 0 };
}
