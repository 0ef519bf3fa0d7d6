import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { waitUntil } from "../../harness/index.js";
import type { Vm } from "../../lib/clients/index.js";
import { OBSERVATION_TIMEOUT_MS, SILENCE_TIMEOUT_MS, SUBSET_SIZE } from "../../lib/core/index.js";
import { startAgentDirectory } from "../../lib/entry/agentDirectory.js";
import type { MembershipTask } from "../../lib/node/index.js";
import { AgentState, type Connections } from "../../lib/rpc/index.js";

const TIMEOUT_MS = 5000;

/** Interval at which agents report that aren't silent. */
const REPORT_INTERVAL_MS = 200;

const cleanups: (() => unknown)[] = [];

afterEach(() => cleanups.splice(0).forEach(cleanup => cleanup()));

function startDirectory(agentCount: number, now: () => number) {
    const vms = Array.from({ length: agentCount }, (_, i): Vm => {
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
    const silentAddresses = new Set<string>();
    const evacuatedDomains = new Set<string>();
    const servingDigests = new Map<string, string>();

    function watchState(address: string) {
        const stream = Object.assign(new EventEmitter(), { cancel: () => streams.delete(address) });
        streams.set(address, stream);
        return stream;
    }

    function report(): void {
        for (const [address, stream] of streams) {
            if (silentAddresses.has(address)) continue;
            const leaving = evacuatedDomains.size > 0;
            const servingDigest = servingDigests.get(address) ?? "";
            const state = { process: address, service: "models", leaving, servingDigest };
            stream.emit("data", AgentState.fromPartial(state));
        }
    }

    const connections = {
        agent: (address: string) => ({ watchState: () => watchState(address) }),
        closeConnection: () => undefined,
    } as unknown as Connections;
    const membership = { current: () => vms } as unknown as MembershipTask;
    const directory = startAgentDirectory({
        process: "entry",
        failureDomain: "d",
        membership,
        connections,
        isEvacuated: domain => evacuatedDomains.has(domain),
        now,
    });
    const timer = setInterval(report, REPORT_INTERVAL_MS);
    cleanups.push(() => clearInterval(timer), directory.stop);
    const addresses = () => [...streams.keys()];
    return { directory, silentAddresses, evacuatedDomains, servingDigests, addresses };
}

// Guards against work of a sound agent that is moved because its entry no longer watches the agent.
test("an agent isn't silent because it is no longer watched", async () => {
    const now = () => performance.now();
    const { directory, silentAddresses, addresses } = startDirectory(2 * SUBSET_SIZE, now);
    const isUsable = (address: string) => directory.trust(address, now()) === "usable";
    await waitUntil("the subset is watched", () => addresses().filter(isUsable).length === SUBSET_SIZE, TIMEOUT_MS);
    const [silent = ""] = addresses();
    silentAddresses.add(silent);
    await waitUntil("a substitute is watched", () => addresses().length === SUBSET_SIZE + 1, TIMEOUT_MS);
    const substitute = addresses().at(-1) ?? "";
    await waitUntil("the substitute is usable", () => isUsable(substitute), TIMEOUT_MS);
    assert.equal(directory.trust(silent, now()), "silent");
    silentAddresses.delete(silent);
    await waitUntil("the substitute isn't watched", () => !addresses().includes(substitute), TIMEOUT_MS);
    assert.equal(directory.trust(substitute, now()), undefined);
});

// Guards against an entry that refuses requests after a pause, in which it could read no states of the agents.
test("a pause of the process isn't taken for a silence of the agents", async () => {
    let pauseMs = 0;
    const now = () => performance.now() + pauseMs;
    const { directory, silentAddresses, addresses } = startDirectory(1, now);
    const usableCount = () => directory.usableAgents("models", now()).length;
    await waitUntil("the agent is usable", () => usableCount() === 1, TIMEOUT_MS);
    addresses().forEach(address => silentAddresses.add(address));
    pauseMs = 2 * SILENCE_TIMEOUT_MS;
    assert.equal(usableCount(), 1);
    await sleep(SILENCE_TIMEOUT_MS / 2);
    assert.equal(usableCount(), 1);
    await waitUntil("the agent is silent", () => usableCount() === 0, SILENCE_TIMEOUT_MS);
});

// Guards against a switched agent that gets none of the first requests, so that a rollout continues unevaluated.
test("an agent is observed for a while after it has switched versions", async () => {
    const now = () => performance.now();
    const { directory, servingDigests } = startDirectory(2, now);
    const observed = () => {
        const agents = directory.usableAgents("models", now());
        return agents.filter(({ isObserved }) => isObserved).map(({ address }) => address);
    };
    await waitUntil("both agents are usable", () => directory.usableAgents("models", now()).length === 2, TIMEOUT_MS);
    assert.deepEqual(observed(), [], "an agent counts as switched because it is new to the entry");
    servingDigests.set("runner-0", "a").set("runner-1", "a");
    await sleep(2 * REPORT_INTERVAL_MS);
    assert.deepEqual(observed(), [], "an agent counts as switched because it serves its first version");
    servingDigests.set("runner-1", "");
    await sleep(2 * REPORT_INTERVAL_MS);
    servingDigests.set("runner-1", "b");
    await waitUntil("the switched agent is observed", () => observed().join() === "runner-1", TIMEOUT_MS);
    const observedAt = now();
    await waitUntil("it isn't observed any more", () => observed().length === 0, TIMEOUT_MS);
    assert.ok(now() - observedAt > OBSERVATION_TIMEOUT_MS / 2);
});

// Guards against new work in an evacuated failure domain, against agents that stay unused after the withdrawal, and
// against work that waits at an evacuated agent that has failed.
test("agents in an evacuated failure domain count as leaving, fall silent like others, and return", async () => {
    const now = () => performance.now();
    const { directory, silentAddresses, evacuatedDomains, addresses } = startDirectory(1, now);
    const usableCount = () => directory.usableAgents("models", now()).length;
    const trust = () => directory.trust("runner-0", now());
    await waitUntil("the agent is usable", () => usableCount() === 1, TIMEOUT_MS);
    evacuatedDomains.add("d");
    assert.deepEqual([usableCount(), trust()], [0, "leaving"]);
    addresses().forEach(address => silentAddresses.add(address));
    await waitUntil("the agent is silent", () => trust() === "silent", 2 * SILENCE_TIMEOUT_MS);
    silentAddresses.clear();
    evacuatedDomains.clear();
    await waitUntil("the agent is usable again", () => usableCount() === 1, TIMEOUT_MS);
});
