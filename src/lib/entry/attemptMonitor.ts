/** Cancels attempts whose agent is silent, leaving or makes no progress, or whose deadline has passed. */
import type { ClientReadableStream } from "@grpc/grpc-js";
import type { Attempt } from "../core/index.js";
import type { AnswerFrame } from "../rpc/index.js";
import type { AgentDirectory } from "./agentDirectory.js";

/** State of an attempt in progress that the periodic check reads. */
export interface ActiveAttempt {
    readonly attempt: Attempt;
    readonly address: string;
    readonly call: ClientReadableStream<AnswerFrame>;
    readonly isRepeatable: boolean;
    /** Milliseconds since the epoch. */
    readonly deadline: number;
    lastFrameAt: number;
    /** Set while the caller's connection applies backpressure, so that the agent isn't blamed for the pause. */
    isWaitingForCaller: boolean;
    /** Set when the monitor cancels the attempt. */
    abandonReason: string | undefined;
}

export interface AttemptMonitor {
    add(attempt: ActiveAttempt): void;
    remove(attempt: ActiveAttempt): void;
    stop(): void;
}

const CHECK_INTERVAL_MS = 250;

/** Attempts are abandoned when their agent has sent neither a state message nor a frame for this long. */
const SILENCE_TIMEOUT_MS = 3000;

/** Longer than an agent's timeout for its backend server, so that the agent's own verdict arrives first. */
const PROGRESS_TIMEOUT_MS = 35_000;

/** Gives the agent time to refuse queued requests at the deadline itself, because its verdict is more precise. */
const DEADLINE_GRACE_MS = 1000;

export function startAttemptMonitor(directory: AgentDirectory, now: () => number): AttemptMonitor {
    const active = new Set<ActiveAttempt>();

    function check(): void {
        const nowMs = now();
        for (const current of active) {
            const reason = findAbandonReason(current, nowMs);
            if (reason === undefined) continue;
            current.abandonReason = reason;
            current.attempt.abandon();
            current.call.cancel();
        }
    }

    function findAbandonReason(current: ActiveAttempt, nowMs: number): string | undefined {
        const { attempt, address, isRepeatable, deadline, lastFrameAt, isWaitingForCaller } = current;
        if (nowMs > deadline + DEADLINE_GRACE_MS) return "the deadline has passed";
        if (isWaitingForCaller) return undefined;
        const health = directory.health(address, nowMs);
        const silentMs = nowMs - lastFrameAt;
        if ((health === "silent" || health === "lost") && silentMs > SILENCE_TIMEOUT_MS) return "the agent is silent";
        if (attempt.phase() === "queued") {
            // A leaving agent refuses its queued requests itself; this covers one that doesn't know it is leaving.
            return health === "leaving" && isRepeatable && silentMs > CHECK_INTERVAL_MS ?
                "the agent is leaving" :
                undefined;
        }
        return silentMs > PROGRESS_TIMEOUT_MS ? "the agent makes no progress" : undefined;
    }

    const timer = setInterval(check, CHECK_INTERVAL_MS);
    return {
        add: attempt => void active.add(attempt),
        remove: attempt => void active.delete(attempt),
        stop: () => clearInterval(timer),
    };
}
