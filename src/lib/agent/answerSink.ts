/** Sends the response frames of one attempt to the entry. */
import type { Verdict } from "../core/index.js";
import type { AnswerFrame } from "../rpc/index.js";

export type Frame = NonNullable<AnswerFrame["frame"]>;

export interface AnswerSink {
    /** Returns false if the write buffer is full; wait for `waitForDrain` before sending more. */
    send(frame: Frame): boolean;
    /** Resolves when more can be sent; rejects if the entry stops reading. */
    waitForDrain(): Promise<void>;
    end(): void;
    /** Aborts when the entry cancels the attempt. */
    readonly signal: AbortSignal;
}

const RETRY_AFTER_MS = 500;

/** Upper bound of reported waits, because predictions are infinite while nothing is served. */
export const MAX_REPORTED_WAIT_MS = 3_600_000;

/** Ends an attempt that has sent no part of its response. */
export function refuse(sink: AnswerSink, verdict: Verdict, reason: string, retryAfterMs = RETRY_AFTER_MS): void {
    sink.send({
        $case: "refused",
        refused: { verdict, reason, retryAfterMs: Math.min(retryAfterMs, MAX_REPORTED_WAIT_MS), status: 0 },
    });
    sink.end();
}

/** Ends an attempt that may have sent part of its response; `error` is empty if the response is complete. */
export function finish(sink: AnswerSink, verdict: Verdict, error: string, outputTokens = 0): void {
    sink.send({ $case: "end", end: { verdict, error, outputTokens } });
    sink.end();
}
