/** One attempt's answer on its way to the entry, and the frames that end it without a result. */
import type { Verdict } from "../core/index.js";
import type { AnswerFrame } from "../rpc/index.js";

export type Frame = NonNullable<AnswerFrame["frame"]>;

export interface AnswerSink {
    /** Returns false when the entry reads too slowly; the sender then waits for `drained`. */
    send(frame: Frame): boolean;
    /** Resolves when more can be sent; rejects if the entry reads nothing for too long. */
    waitForDrain(): Promise<void>;
    end(): void;
    /** Aborts when the entry cancels the attempt. */
    readonly signal: AbortSignal;
}

const RETRY_AFTER_MS = 500;

/** Bounds the reported waits, which are infinite while nothing is served. */
export const MAX_REPORTED_WAIT_MS = 3_600_000;

/** Ends an attempt before any part of its answer was sent. */
export function refuse(sink: AnswerSink, verdict: Verdict, reason: string, retryAfterMs = RETRY_AFTER_MS): void {
    sink.send({
        $case: "refused",
        refused: { verdict, reason, retryAfterMs: Math.min(retryAfterMs, MAX_REPORTED_WAIT_MS), status: 0 },
    });
    sink.end();
}

/** Ends an attempt whose answer may have begun; `error` is empty if the answer is whole. */
export function finish(sink: AnswerSink, verdict: Verdict, error: string, outputTokens = 0): void {
    sink.send({ $case: "end", end: { verdict, error, outputTokens } });
    sink.end();
}
