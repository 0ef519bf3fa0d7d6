/** Wraps a gate to report the outcome of each admitted request, from which the health of a rollout is evaluated. */
import type { AnswerFrame } from "../rpc/index.js";
import type { AnswerSink } from "./answerSink.js";
import type { Gate } from "./gate.js";

/** Statuses from here on are failures of the backend server; smaller ones are caused by the caller. */
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
        // Refusals before admission and cancelled attempts say nothing about the version.
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
