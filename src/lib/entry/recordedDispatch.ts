/** Dispatches a request and records its start and its end for the timeline and the metrics. */
import type { EntryParts } from "./requestContext.js";
import type { AnswerReceiver, DispatchResult, Work } from "./work.js";

export async function dispatchRecorded(
    parts: EntryParts,
    work: Work,
    receiver: AnswerReceiver,
): Promise<DispatchResult> {
    const { client, rank, requestId, service } = work;
    parts.events.record("request.started", requestId, { client, rank, service });
    const started = parts.now();
    const result = await parts.dispatcher.dispatch(work, receiver);
    if (result.kind === "complete") parts.events.record("request.ended", requestId, { verdict: "ran" });
    else parts.events.record("request.ended", requestId, { verdict: result.verdict, reason: result.reason });
    const outcome = result.kind === "complete" ? "complete" : result.verdict;
    parts.metrics.count("entry.requests", { rank, outcome });
    parts.metrics.timing("entry.request_duration", parts.now() - started, { rank });
    parts.metrics.gauge("entry.requests_in_progress", parts.dispatcher.inProgress());
    return result;
}
