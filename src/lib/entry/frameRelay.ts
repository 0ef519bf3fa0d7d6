/** Relays the frames of one attempt to the caller and returns how the attempt ended. */
import { CLOSING_EVENT, createEventSplitter, type EventSplitter, parseVerdict, Verdict } from "../core/index.js";
import type { AnswerEnd, AnswerFrame, AnswerHead } from "../rpc/index.js";
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
    let splitter: EventSplitter | undefined;
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
                result = endOf(frame.end, splitter);
                if (result.kind === "complete") {
                    if (!delivery.started && head !== undefined) receiver.head(head);
                    if (splitter !== undefined) await receiver.data(CLOSING_EVENT);
                }
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

function endOf({ error, verdict }: AnswerEnd, splitter: EventSplitter | undefined): DispatchResult {
    if (error !== "") return failure(parseVerdict(verdict), error);
    if (splitter?.done() === false) return failure(Verdict.mayHaveRun, "the answer is incomplete");
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
