import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createAttempt } from "../../lib/core/index.js";
import type { AgentDirectory } from "../../lib/entry/agentDirectory.js";
import { type ActiveAttempt, type AttemptMonitor, startAttemptMonitor } from "../../lib/entry/attemptMonitor.js";

const cleanups: (() => unknown)[] = [];

afterEach(() => cleanups.splice(0).forEach(cleanup => cleanup()));

/** Longer than the silence after which an attempt is abandoned. */
const PAUSE_MS = 5000;

function startMonitor(
    now: () => number,
    claimSuccessor = () => true,
): { readonly monitor: AttemptMonitor; readonly active: ActiveAttempt; } {
    const directory = { trust: () => "silent" } as unknown as AgentDirectory;
    const monitor = startAttemptMonitor(directory, now);
    cleanups.push(monitor.stop);
    const attempt = createAttempt("a");
    attempt.accept("a", "admitted");
    const active: ActiveAttempt = {
        attempt,
        address: "agent",
        call: { cancel: () => undefined } as unknown as ActiveAttempt["call"],
        isRetryable: false,
        claimSuccessor,
        deadline: now() + 60_000,
        lastFrameAt: now(),
        isWaitingForCaller: false,
        abandonReason: undefined,
    };
    monitor.add(active);
    return { monitor, active };
}

// Guards against attempts that are abandoned after a pause of the entry, in which no frame could be read.
test("a pause of the process isn't taken for a silence of the agent", async () => {
    let pauseMs = 0;
    const { active } = startMonitor(() => performance.now() + pauseMs);
    await sleep(300);
    pauseMs = PAUSE_MS;
    await sleep(600);
    assert.equal(active.abandonReason, undefined);
    await sleep(3300);
    assert.equal(active.abandonReason, "the agent is silent");
});

// Guards against attempts of a silent agent, which may go on, that are abandoned before another agent takes over.
test("an attempt of a silent agent is abandoned only for a successor", async () => {
    let hasSuccessor = false;
    const { active } = startMonitor(() => performance.now(), () => hasSuccessor);
    await sleep(3600);
    assert.equal(active.abandonReason, undefined);
    hasSuccessor = true;
    await sleep(600);
    assert.equal(active.abandonReason, "the agent is silent");
});
