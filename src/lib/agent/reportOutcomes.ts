/** Wraps a gate so that the outcome of each admitted request is reported, for the judgement of a rollout. */
import type { AnswerFrame } from "../rpc/index.js";
import type { AnswerSink } from "./answerSink.js";
import type { Gate } from "./gate.js";

/** Statuses of the backend server from here on are failures; a smaller one is the caller's own. */
const FIRST_FAILURE_STATUS = 500;

export function reportOutcomes(gate: Gate, onOutcome: (succeeded: boolean) => void): Gate {
    return { ...gate, dispatch: (request, sink) => gate.dispatch(request, observeOutcome(sink, onOutcome)) };
}

function observeOutcome(sink: AnswerSink, onOutcome: (succeeded: boolean) => void): AnswerSink {
    let admitted = false;
    let hasFailureStatus = false;

    function observe(frame: NonNullable<AnswerFrame["frame"]>): void {
        if (frame.$case === "admitted") admitted = true;
        if (frame.$case === "head") hasFailureStatus = frame.head.status >= FIRST_FAILURE_STATUS;
        // A refusal before admission and an attempt that the entry cancelled say nothing about the version.
        if (!admitted || sink.signal.aborted) return;
        if (frame.$case === "refused") onOutcome(false);
        if (frame.$case === "end") onOutcome(frame.end.error === "" && !hasFailureStatus);
    }

    return {
        signal: sink.signal,
        end: () => sink.end(),
        waitForDrain: () => sink.waitForDrain(),
        send: frame => {
            observe(frame);
            return sink.send(frame);
        },
    };
}
