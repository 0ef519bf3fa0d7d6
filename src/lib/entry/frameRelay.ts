/** Relays the response frames of one attempt to the caller and returns the attempt's result. */
import { createEventSplitter, DONE_EVENT, type EventSplitter, parseVerdict, Verdict } from "../core/index.js";
import type { AnswerEnd, AnswerFrame, AnswerHead } from "../rpc/index.js";
import type { ActiveAttempt } from "./attemptMonitor.js";
import { type DispatchResult, failure, type ResponseReceiver, type Work } from "./work.js";

/** What the caller has received so far, across all attempts. */
export interface Delivery {
    hasStarted: boolean;
    /** Number of output events delivered, if the response is an event stream. */
    outputEventCount: number;
}

export async function relayFrames(
    activeAttempt: ActiveAttempt,
    work: Work,
    delivery: Delivery,
    receiver: ResponseReceiver,
    now: () => number,
): Promise<DispatchResult> {
    const { attempt, call } = activeAttempt;
    let head: AnswerHead | undefined;
    let result: DispatchResult | undefined;
    let splitter: EventSplitter | undefined;
    try {
        // Reads to the end of the call even after a result: leaving the loop would cancel the call, and a
        // cancellation makes both processes create an error with its stack trace.
        for await (const { attemptId, frame } of call as AsyncIterable<AnswerFrame>) {
            if (frame === undefined || !attempt.accept(attemptId, frame.$case)) continue;
            activeAttempt.lastFrameAt = now();
            if (frame.$case === "refused") {
                const { verdict, reason, retryAfterMs, status } = frame.refused;
                result = { kind: "failed", verdict: parseVerdict(verdict), reason, retryAfterMs, status };
            }
            if (frame.$case === "head") {
                head = frame.head;
                if (hasWrongDigest(head, work)) return failure(Verdict.mayHaveRun, "another version answered");
                if (work.buildResumedRequest !== undefined && isEventStream(head)) splitter = createEventSplitter();
                if (delivery.hasStarted && splitter === undefined) {
                    return failure(Verdict.mayHaveRun, "the answer can't be continued");
                }
            }
            if (frame.$case === "data") {
                const outputCountBefore = splitter?.outputCount() ?? 0;
                // Partial events aren't delivered, because a resuming attempt starts with the whole event.
                const bytes = splitter === undefined ? frame.data : splitter.push(frame.data);
                if (bytes.length === 0) continue;
                // The head is held back until the first byte, because until then the request can be retried elsewhere.
                if (!delivery.hasStarted && head !== undefined) receiver.head(head);
                delivery.hasStarted = true;
                if (splitter !== undefined) delivery.outputEventCount += splitter.outputCount() - outputCountBefore;
                activeAttempt.isWaitingForCaller = true;
                await receiver.data(bytes);
                activeAttempt.isWaitingForCaller = false;
                activeAttempt.lastFrameAt = now();
            }
            if (frame.$case === "end") {
                result = toDispatchResult(frame.end, splitter);
                if (result.kind === "complete") {
                    if (!delivery.hasStarted && head !== undefined) receiver.head(head);
                    if (splitter !== undefined) await receiver.data(DONE_EVENT);
                }
            }
        }
    }
    catch (error) {
        if (result !== undefined) return result;
        const reason = activeAttempt.abandonReason ?? `the attempt failed: ${(error as Error).message}`;
        return failure(Verdict.mayHaveRun, reason);
    }
    if (result !== undefined) return result;
    return failure(Verdict.mayHaveRun, activeAttempt.abandonReason ?? "the agent ended the attempt without a result");
}

function toDispatchResult({ error, verdict }: AnswerEnd, splitter: EventSplitter | undefined): DispatchResult {
    if (error !== "") return failure(parseVerdict(verdict), error);
    if (splitter?.hasEnded() === false) return failure(Verdict.mayHaveRun, "the answer is incomplete");
    return { kind: "complete" };
}

function isEventStream({ status, headers }: AnswerHead): boolean {
    const type = headers.find(({ name }) => name === "content-type")?.value ?? "";
    return status === 200 && type.startsWith("text/event-stream");
}

function hasWrongDigest(head: AnswerHead, work: Work): boolean {
    if (work.rootDigest === "" || head.status !== 200) return false;
    return head.headers.find(({ name }) => name === "x-engine-digest")?.value !== work.rootDigest;
}
