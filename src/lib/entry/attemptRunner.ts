/** Runs one attempt at an agent: connects, sends the request and relays the response. */
import { randomUUID } from "node:crypto";
import { type AttemptPhase, createAttempt, Verdict } from "../core/index.js";
import type { Connections } from "../rpc/index.js";
import type { ActiveAttempt, AttemptMonitor } from "./attemptMonitor.js";
import { type Delivery, relayFrames } from "./frameRelay.js";
import { type DispatchResult, failure, isRetryable, type ResponseReceiver, type Work } from "./work.js";

export interface AttemptRunnerOptions {
    readonly connections: Connections;
    readonly monitor: AttemptMonitor;
    readonly now: () => number;
}

const CONNECT_TIMEOUT_MS = 500;

/**
 * Runs an attempt at the address and resolves when it has ended. `claimSuccessor` is called while the agent is silent,
 * until it returns true; the attempt then ends.
 */
export type AttemptRunner = (
    work: Work,
    address: string,
    delivery: Delivery,
    receiver: ResponseReceiver,
    claimSuccessor: (phase: AttemptPhase) => boolean,
) => Promise<DispatchResult>;

export function createAttemptRunner({ connections, monitor, now }: AttemptRunnerOptions): AttemptRunner {
    async function run(
        work: Work,
        address: string,
        delivery: Delivery,
        receiver: ResponseReceiver,
        claimSuccessor: (phase: AttemptPhase) => boolean,
    ): Promise<DispatchResult> {
        if (!await connections.connect(address, CONNECT_TIMEOUT_MS)) {
            return failure(Verdict.notRun, "the agent is unreachable");
        }
        if (receiver.signal.aborted) return failure(Verdict.notRun, "the caller disconnected");
        const attemptId = randomUUID();
        const resumed = delivery.hasStarted ? work.buildResumedRequest?.(delivery.outputEventCount) : undefined;
        const { body, headers } = resumed ?? work;
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
            idempotent: work.isIdempotent,
            resumePosition: delivery.hasStarted ? delivery.outputEventCount : 0,
        });
        const attempt = createAttempt(attemptId);
        const activeAttempt: ActiveAttempt = {
            attempt,
            address,
            call,
            isRetryable: isRetryable(work),
            claimSuccessor: () => claimSuccessor(attempt.phase()),
            deadline: work.deadline,
            lastFrameAt: now(),
            isWaitingForCaller: false,
            abandonReason: undefined,
        };
        monitor.add(activeAttempt);
        const onAbort = () => call.cancel();
        receiver.signal.addEventListener("abort", onAbort);
        try {
            return await relayFrames(activeAttempt, work, delivery, receiver, now);
        }
        finally {
            monitor.remove(activeAttempt);
            receiver.signal.removeEventListener("abort", onAbort);
            call.cancel();
        }
    }

    return run;
}
