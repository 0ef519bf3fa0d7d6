/** Relays the frames of one attempt to the caller and returns how the attempt ended. */
import { createEventSplitter, parseVerdict, Verdict } from "../core/index.js";
import type { AnswerFrame, AnswerHead } from "../rpc/index.js";
import type { ActiveAttempt } from "./attemptWatch.js";
import { type AnswerReceiver, type DispatchResult, failure, type Work } from "./work.js";

/** What the caller has received so far, over all attempts. */
export interface Delivery {
    started: boolean;
    /** Output events, if the answer is an event stream. */
    outputs: number;
}

export async function relayFrames(
    current: ActiveAttempt,
    work: Work,
    delivery: Delivery,
    receiver: AnswerReceiver,
    now: () => number,
): Promise<DispatchResult> {
    const { attempt: own, call } = current;
    let head: AnswerHead | undefined;
    let result: DispatchResult | undefined;
    const splitter = createEventSplitter();
    try {
        // Reads to the end of the call also after a result: leaving the loop would cancel the call, and a
        // cancellation costs both processes an error with its stack trace.
        for await (const { attemptId, frame } of call as AsyncIterable<AnswerFrame>) {
            if (frame === undefined || !own.accept(attemptId, frame.$case)) continue;
            current.lastFrameAt = now();
            if (frame.$case === "refused") {
                const { verdict, reason, retryAfterMs, status } = frame.refused;
                result = { kind: "failed", verdict: parseVerdict(verdict), reason, retryAfterMs, status };
            }
            if (frame.$case === "head") {
                head = frame.head;
                if (hasWrongDigest(head, work)) return failure(Verdict.mayHaveRun, "another version answered");
            }
            if (frame.$case === "data") {
                // The head waits for the first byte, because until then the request can run elsewhere.
                if (!delivery.started && head !== undefined) receiver.head(head);
                delivery.started = true;
                if (work.resumedBody !== undefined) {
                    const before = splitter.outputs();
                    splitter.push(frame.data);
                    delivery.outputs += splitter.outputs() - before;
                }
                current.callerIsSlow = true;
                await receiver.data(frame.data);
                current.callerIsSlow = false;
                current.lastFrameAt = now();
            }
            if (frame.$case === "end") {
                const { error, verdict } = frame.end;
                if (error === "" && !delivery.started && head !== undefined) receiver.head(head);
                result = error === "" ? { kind: "complete" } : failure(parseVerdict(verdict), error);
            }
        }
    }
    catch (error) {
        if (result !== undefined) return result;
        const reason = current.abandonedBecause ?? `the attempt failed: ${(error as Error).message}`;
        return failure(Verdict.mayHaveRun, reason);
    }
    if (result !== undefined) return result;
    return failure(Verdict.mayHaveRun, current.abandonedBecause ?? "the agent ended the attempt without a result");
}

function hasWrongDigest(head: AnswerHead, work: Work): boolean {
    if (work.rootDigest === "" || head.status !== 200) return false;
    return head.headers.find(({ name }) => name === "x-engine-digest")?.value !== work.rootDigest;
}
