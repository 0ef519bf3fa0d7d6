/** Abandons attempts whose agent can no longer be expected to answer. */
import type { ClientReadableStream } from "@grpc/grpc-js";
import type { Attempt } from "../core/index.js";
import type { AnswerFrame } from "../rpc/index.js";
import type { AgentDirectory } from "./agentDirectory.js";

/** An attempt in progress, as the periodic check sees it. */
export interface ActiveAttempt {
    readonly attempt: Attempt;
    readonly address: string;
    readonly call: ClientReadableStream<AnswerFrame>;
    readonly repeatable: boolean;
    readonly deadline: number;
    lastFrameAt: number;
    callerIsSlow: boolean;
    abandonedBecause: string | undefined;
}

export interface AttemptWatch {
    add(attempt: ActiveAttempt): void;
    remove(attempt: ActiveAttempt): void;
    stop(): void;
}

const CHECK_INTERVAL_MS = 250;

/** An agent that sent neither a report nor a frame for this long has lost its attempts. */
const SILENCE_TIMEOUT_MS = 3000;

/** Longer than an agent waits for its backend server, so that the agent's own verdict comes first. */
const PROGRESS_TIMEOUT_MS = 35_000;

/** The agent refuses queued requests at the deadline itself, with a better verdict. */
const DEADLINE_GRACE_MS = 1000;

export function startAttemptWatch(directory: AgentDirectory, now: () => number): AttemptWatch {
    const active = new Set<ActiveAttempt>();

    function check(): void {
        const at = now();
        for (const current of active) {
            const reason = problemOf(current, at);
            if (reason === undefined) continue;
            current.abandonedBecause = reason;
            current.attempt.abandon();
            current.call.cancel();
        }
    }

    function problemOf(current: ActiveAttempt, at: number): string | undefined {
        const { attempt: own, address, repeatable, deadline, lastFrameAt, callerIsSlow } = current;
        if (at > deadline + DEADLINE_GRACE_MS) return "the deadline has passed";
        if (callerIsSlow) return undefined;
        const health = directory.health(address, at);
        const quietMs = at - lastFrameAt;
        if ((health === "silent" || health === "lost") && quietMs > SILENCE_TIMEOUT_MS) return "the agent is silent";
        if (own.phase() === "queued") {
            // A leaving agent hands its queue back itself; this covers one that doesn't know that it leaves.
            return health === "leaving" && repeatable && quietMs > CHECK_INTERVAL_MS ?
                "the agent is leaving" :
                undefined;
        }
        return quietMs > PROGRESS_TIMEOUT_MS ? "the agent makes no progress" : undefined;
    }

    const timer = setInterval(check, CHECK_INTERVAL_MS);
    return {
        add: attempt => void active.add(attempt),
        remove: attempt => void active.delete(attempt),
        stop: () => clearInterval(timer),
    };
}
