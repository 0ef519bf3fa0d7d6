import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { waitUntil } from "../../harness/index.js";
import type { Vm } from "../../lib/clients/index.js";
import { SILENCE_TIMEOUT_MS, SUBSET_SIZE } from "../../lib/core/index.js";
import { startAgentDirectory } from "../../lib/entry/agentDirectory.js";
import type { MembershipTask } from "../../lib/node/index.js";
import { AgentState, type Connections } from "../../lib/rpc/index.js";

const TIMEOUT_MS = 5000;

// Guards against work of a sound agent that is moved because its entry no longer watches the agent.
test("an agent isn't silent because it is no longer watched", async () => {
    const vms = Array.from({ length: 2 * SUBSET_SIZE }, (_, i): Vm => {
        const name = `runner-${i}`;
        return {
            name,
            role: "agent",
            service: "models",
            failureDomain: "d",
            region: "r",
            address: name,
            state: "live",
        };
    });
    const streams = new Map<string, EventEmitter>();
    const report = (address: string) => {
        streams.get(address)?.emit("data", AgentState.fromPartial({ process: address, service: "models" }));
    };
    const watchState = (address: string) => {
        const cancel = () => streams.delete(address);
        const stream = Object.assign(new EventEmitter(), { cancel });
        streams.set(address, stream);
        return stream;
    };
    let nowMs = 0;
    const directory = startAgentDirectory({
        process: "entry",
        failureDomain: "d",
        membership: { current: () => vms } as unknown as MembershipTask,
        connections: {
            agent: (address: string) => ({ watchState: () => watchState(address) }),
            closeConnection: () => undefined,
        } as unknown as Connections,
        now: () => nowMs,
    });
    try {
        await waitUntil("the subset is watched", () => streams.size === SUBSET_SIZE, TIMEOUT_MS);
        const subset = [...streams.keys()];
        subset.forEach(report);
        nowMs += SILENCE_TIMEOUT_MS + 1;
        const [silent = "", ...others] = subset;
        others.forEach(report);
        await waitUntil("a substitute is watched", () => streams.size === SUBSET_SIZE + 1, TIMEOUT_MS);
        const substitute = [...streams.keys()].at(-1) ?? "";
        report(substitute);
        assert.deepEqual([silent, substitute].map(address => directory.trust(address, nowMs)), ["silent", "usable"]);
        report(silent);
        await waitUntil("the substitute isn't needed", () => !streams.has(substitute), TIMEOUT_MS);
        assert.equal(directory.trust(substitute, nowMs), undefined);
    }
    finally {
        directory.stop();
    }
});
