/**
 * Cancels attempts whose agent is leaving or makes no progress, or whose deadline has passed, and moves those of a
 * silent agent to another one.
 */
import type { ClientReadableStream } from "@grpc/grpc-js";
import type { Attempt } from "../core/index.js";
import type { AnswerFrame } from "../rpc/index.js";
import type { AgentDirectory } from "./agentDirectory.js";

/** State of an attempt in progress that the periodic check reads. */
export interface ActiveAttempt {
    readonly attempt: Attempt;
    readonly address: string;
    readonly call: ClientReadableStream<AnswerFrame>;
    readonly isRetryable: boolean;
    /** Returns whether another agent takes the request over if this attempt is abandoned. */
    readonly claimSuccessor: () => boolean;
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
    /** Returns the number of attempts in progress at the agents that the predicate selects. */
    countAt(isSelected: (address: string) => boolean): number;
    stop(): void;
}

const CHECK_INTERVAL_MS = 250;

/**
 * An agent that sends no state messages is silent for an attempt if no frame of it has arrived for this long either.
 * The attempt is then abandoned if another agent takes over.
 */
const ATTEMPT_SILENCE_TIMEOUT_MS = 3000;

/** Longer than an agent's timeout for its backend server, so that the agent's own verdict arrives first. */
const PROGRESS_TIMEOUT_MS = 35_000;

/** Gives the agent time to refuse queued requests at the deadline itself, because its verdict is more precise. */
const DEADLINE_GRACE_MS = 1000;

export function startAttemptMonitor(directory: AgentDirectory, now: () => number): AttemptMonitor {
    const activeAttempts = new Set<ActiveAttempt>();
    let checkedAt = now();

    function check(): void {
        const nowMs = now();
        excludePause(nowMs - checkedAt - CHECK_INTERVAL_MS, nowMs);
        checkedAt = nowMs;
        for (const activeAttempt of activeAttempts) {
            const reason = findAbandonReason(activeAttempt, nowMs);
            if (reason === undefined) continue;
            activeAttempt.abandonReason = reason;
            activeAttempt.attempt.abandon();
            activeAttempt.call.cancel();
        }
    }

    /** Time in which this process didn't run is no silence of the agents. */
    function excludePause(pauseMs: number, nowMs: number): void {
        if (pauseMs < CHECK_INTERVAL_MS) return;
        for (const activeAttempt of activeAttempts) {
            activeAttempt.lastFrameAt = Math.min(nowMs, activeAttempt.lastFrameAt + pauseMs);
        }
    }

    function findAbandonReason(activeAttempt: ActiveAttempt, nowMs: number): string | undefined {
        const { attempt, address, isRetryable, deadline, lastFrameAt, isWaitingForCaller } = activeAttempt;
        if (nowMs > deadline + DEADLINE_GRACE_MS) return "the deadline has passed";
        if (isWaitingForCaller) return undefined;
        const trust = directory.trust(address, nowMs);
        const sinceLastFrameMs = nowMs - lastFrameAt;
        const isSilent = (trust === "silent" || trust === "lost") && sinceLastFrameMs > ATTEMPT_SILENCE_TIMEOUT_MS;
        if (isSilent && activeAttempt.claimSuccessor()) return "the agent is silent";
        if (attempt.phase() === "queued") {
            // A leaving agent refuses its queued requests itself; this covers one that doesn't know it is leaving.
            return trust === "leaving" && isRetryable && sinceLastFrameMs > CHECK_INTERVAL_MS ?
                "the agent is leaving" :
                undefined;
        }
        return sinceLastFrameMs > PROGRESS_TIMEOUT_MS ? "the agent makes no progress" : undefined;
    }

    // Frames that have arrived are read before the check.
    const timer = setInterval(() => setImmediate(check), CHECK_INTERVAL_MS);
    return {
        add: attempt => void activeAttempts.add(attempt),
        remove: attempt => void activeAttempts.delete(attempt),
        countAt: isSelected => [...activeAttempts].filter(({ address }) => isSelected(address)).length,
        stop: () => clearInterval(timer),
    };
}
