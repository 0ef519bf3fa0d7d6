/** Dispatches a request and records its start and end in the timeline and the metrics. */
import type { EntryDependencies } from "./requestContext.js";
import type { DispatchResult, ResponseReceiver, Work } from "./work.js";

export async function dispatchRecorded(
    dependencies: EntryDependencies,
    work: Work,
    receiver: ResponseReceiver,
): Promise<DispatchResult> {
    const { client, rank, requestId, service } = work;
    dependencies.events.record("request.started", requestId, { client, rank, service });
    const startedAt = dependencies.now();
    const result = await dependencies.dispatcher.dispatch(work, receiver);
    if (result.kind === "complete") dependencies.events.record("request.ended", requestId, { verdict: "ran" });
    else dependencies.events.record("request.ended", requestId, { verdict: result.verdict, reason: result.reason });
    const outcome = result.kind === "complete" ? "complete" : result.verdict;
    dependencies.metrics.count("entry.requests", { rank, outcome });
    dependencies.metrics.timing("entry.request_duration", dependencies.now() - startedAt, { rank });
    dependencies.metrics.gauge("entry.requests_in_progress", dependencies.dispatcher.inProgressCount());
    return result;
}
