/** Runs one attempt at an agent: connects, sends the request and relays the answer. */
import { randomUUID } from "node:crypto";
import { createAttempt, Verdict } from "../core/index.js";
import type { Connections } from "../rpc/index.js";
import type { AgentDirectory } from "./agentDirectory.js";
import type { ActiveAttempt, AttemptWatch } from "./attemptWatch.js";
import { type Delivery, relayFrames } from "./frameRelay.js";
import { type AnswerReceiver, type DispatchResult, failure, isRepeatable, type Work } from "./work.js";

export interface AttemptRunOptions {
    readonly directory: AgentDirectory;
    readonly connections: Connections;
    readonly watch: AttemptWatch;
    readonly now: () => number;
}

const CONNECT_TIMEOUT_MS = 500;

/** Resolves when the attempt at the address has ended. */
export type AttemptRun = (
    work: Work,
    address: string,
    delivery: Delivery,
    receiver: AnswerReceiver,
) => Promise<DispatchResult>;

export function createAttemptRun({ directory, connections, watch, now }: AttemptRunOptions): AttemptRun {
    async function run(
        work: Work,
        address: string,
        delivery: Delivery,
        receiver: AnswerReceiver,
    ): Promise<DispatchResult> {
        if (!await connections.connect(address, CONNECT_TIMEOUT_MS)) {
            return failure(Verdict.notRun, "the agent is unreachable");
        }
        if (receiver.signal.aborted) return failure(Verdict.notRun, "the caller disconnected");
        const attemptId = randomUUID();
        const resumed = delivery.started ? work.resumedBody?.(delivery.outputs) : undefined;
        const { body, headers } = resumed ?? work;
        directory.recordSent(address, now());
        const call = connections.agent(address).dispatch({
            attemptId,
            requestId: work.requestId,
            client: work.client,
            rank: work.rank,
            profile: work.profile,
            rootDigest: work.rootDigest,
            profileRevision: work.profileRevision,
            remainingMs: Math.max(0, work.deadline - now()),
            estimatedTokens: work.estimatedTokens,
            method: work.method,
            path: work.path,
            headers: [...headers],
            body,
            idempotencyKey: work.idempotencyKey,
            idempotent: work.idempotent,
            resumePosition: delivery.started ? delivery.outputs : 0,
        });
        const current: ActiveAttempt = {
            attempt: createAttempt(attemptId),
            address,
            call,
            repeatable: isRepeatable(work),
            deadline: work.deadline,
            lastFrameAt: now(),
            callerIsSlow: false,
            abandonedBecause: undefined,
        };
        watch.add(current);
        const cancel = () => call.cancel();
        receiver.signal.addEventListener("abort", cancel);
        try {
            return await relayFrames(current, work, delivery, receiver, now);
        }
        finally {
            watch.remove(current);
            receiver.signal.removeEventListener("abort", cancel);
            call.cancel();
        }
    }

    return run;
}
