/** Records the timing and the end frame of an attempt, for the concurrency limit and the cost correction. */
import type { AnswerEnd } from "../rpc/index.js";
import type { AnswerSink, Frame } from "./answerSink.js";

export interface MeasuredSink {
    readonly sink: AnswerSink;
    readonly firstDataAt: () => number | undefined;
    readonly lastDataAt: () => number | undefined;
    /** Returns the end frame; `undefined` if the attempt was refused. */
    readonly endFrame: () => AnswerEnd | undefined;
}

export function createMeasuredSink(sink: AnswerSink, now: () => number): MeasuredSink {
    let firstDataAt: number | undefined;
    let lastDataAt: number | undefined;
    let endFrame: AnswerEnd | undefined;

    function send(frame: Frame): boolean {
        if (frame.$case === "data") {
            lastDataAt = now();
            firstDataAt ??= lastDataAt;
        }
        if (frame.$case === "end") endFrame = frame.end;
        return sink.send(frame);
    }

    return {
        sink: { ...sink, send },
        firstDataAt: () => firstDataAt,
        lastDataAt: () => lastDataAt,
        endFrame: () => endFrame,
    };
}
