import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { ENGINE_LEASE_TABLE, startActivation } from "../../lib/agent/activation.js";
import type { Lease, LeaseResult } from "../../lib/agent/lease.js";
import type { Transfer } from "../../lib/agent/transfer.js";
import type { Configuration, Profile } from "../../lib/core/index.js";

const SERVICE = "models";

/** Long enough for several load attempts and the next cycle, but too short for the cycle after a failed one. */
const RUN_MS = 1700;

interface FakeLease extends Lease {
    result: LeaseResult;
    reportsValid: boolean;
    ownEpoch: number;
    acquireCount: number;
}

function createFakeLease(): FakeLease {
    const lease: FakeLease = {
        result: "held",
        reportsValid: true,
        ownEpoch: 1,
        acquireCount: 0,
        acquire: async () => {
            lease.acquireCount++;
            return lease.result;
        },
        isValid: () => lease.reportsValid,
        epoch: () => lease.ownEpoch,
        release: async () => undefined,
    };
    return lease;
}

/** The environment of an activation, with hooks that change it at the points where a process can be suspended. */
function createEnvironment() {
    const environment = {
        engine: { digest: "a", generation: 1, fence: 1 },
        /** Returns the digest that the engine serves after a load of a version. */
        loadedDigest: (digest: string) => digest,
        revision: 2,
        targetDigest: "b",
        isTableReachable: true,
        paused: false,
        pauseCount: 0,
        engineLease: createFakeLease(),
        slot: createFakeLease(),
        onPause: () => undefined as void,
        onRefresh: () => undefined as void,
        onRead: () => undefined as void,
        loads: [] as { digest: string; fence: number; paused: boolean; serving: string; slotAcquireCount: number; }[],
        events: [] as string[],
    };
    return environment;
}

type Environment = ReturnType<typeof createEnvironment>;

async function runActivation(environment: Environment) {
    const profile = () => ({
        name: "p",
        service: SERVICE,
        rootDigest: environment.targetDigest,
        paused: false,
        maxUnavailable: 1,
    });
    const current = () => {
        const configuredProfile = {
            profile: profile() as unknown as Profile,
            revision: environment.revision,
            earlierDigests: [],
        };
        return {
            revision: environment.revision,
            profiles: { p: configuredProfile },
            changes: [],
        } satisfies Configuration;
    };
    const transfer = (rootDigest: string) => ({ rootDigest, completion: Promise.resolve(), cancel: () => undefined });
    const activation = startActivation({
        service: SERVICE,
        engine: {
            readState: async () => {
                environment.onRead();
                return { ...environment.engine };
            },
            load: async ({ digest, fence }) => {
                await Promise.resolve();
                const serving = activation.serving().digest;
                environment.loads.push({
                    digest,
                    fence,
                    paused: environment.paused,
                    serving,
                    slotAcquireCount: environment.slot.acquireCount,
                });
                const { generation } = environment.engine;
                environment.engine = { digest: environment.loadedDigest(digest), generation: generation + 1, fence };
            },
        },
        store: { path: (digest: string) => digest } as unknown as Parameters<typeof startActivation>[0]["store"],
        configuration: {
            current,
            refresh: async () => {
                environment.onRefresh();
                return environment.isTableReachable;
            },
            onChange: () => 0,
        } as unknown as Parameters<typeof startActivation>[0]["configuration"],
        events: { record: (kind: string) => void environment.events.push(kind) } as unknown as Parameters<
            typeof startActivation
        >[0]["events"],
        startTransfer: digest => transfer(digest) as unknown as Transfer,
        pause: async () => {
            environment.paused = true;
            environment.pauseCount++;
            environment.onPause();
            return { resume: () => void (environment.paused = false) };
        },
        lease: tableName => tableName === ENGINE_LEASE_TABLE ? environment.engineLease : environment.slot,
        engineKey: "vm",
        haltRollout: async () => true,
        onChange: () => undefined,
    });
    await sleep(RUN_MS);
    const serving = activation.serving();
    await activation.stop();
    return { serving, isPaused: environment.paused };
}

interface Scenario {
    readonly name: string;
    /** Prepares the conditions under which the check must prevent a wrong load. */
    readonly change: (environment: Environment) => void;
    /** Versions that must be loaded; none by default. */
    readonly loads?: readonly string[];
    readonly check?: (environment: Environment, serving: string) => void;
}

const scenarios: readonly Scenario[] = [
    {
        name: "a switch loads under both leases, while requests are held back, with the revision as fencing token",
        change: () => undefined,
        loads: ["b"],
        check: ({ loads }, serving) => {
            assert.deepEqual(loads, [{ digest: "b", fence: 2, paused: true, serving: "", slotAcquireCount: 2 }]);
            assert.equal(serving, "b");
        },
    },
    {
        name: "a version that is no longer the target after the wait for running requests isn't loaded",
        change: environment =>
            environment.onPause = () => void ([environment.revision, environment.targetDigest] = [3, "c"]),
        loads: ["c"],
    },
    {
        name: "a revision that only the table service has is read before the load request",
        change: environment =>
            environment.onRefresh = () => void ([environment.revision, environment.targetDigest] = [3, "c"]),
        loads: ["c"],
    },
    {
        name: "an engine that has seen a newer revision gets no load request",
        change: environment => environment.engine.fence = 9,
    },
    {
        name: "no switch happens while the table service is unreachable",
        change: environment => environment.isTableReachable = false,
    },
    {
        name: "no switch happens without a slot",
        change: environment => environment.slot.result = "busy",
        check: ({ pauseCount }) => assert.equal(pauseCount, 0, "requests were held back without need"),
    },
    {
        name: "no switch happens without the engine's lease",
        change: environment => environment.engineLease.result = "busy",
    },
    {
        name: "no load request is sent if a lease couldn't be renewed after the wait for running requests",
        change: environment => environment.onPause = () => void (environment.engineLease.result = "unavailable"),
    },
    {
        name: "no load request is sent if a lease has expired since its renewal",
        change: environment => environment.onRefresh = () => void (environment.engineLease.reportsValid = false),
    },
    {
        name: "no load request is sent if another process has held a lease since its renewal",
        change: environment => environment.onRefresh = () => void environment.slot.ownEpoch++,
    },
    {
        name: "an engine that another process has loaded meanwhile is switched only with a slot",
        change: environment => {
            let reads = 0;
            environment.engine.digest = "";
            environment.onRead = () => {
                if (++reads === 2) environment.engine.digest = "a";
            };
        },
        loads: ["b"],
        check: ({ loads }) => assert.ok((loads[0]?.slotAcquireCount ?? 0) > 0),
    },
    {
        name: "a version that another process has loaded meanwhile isn't loaded again",
        change: environment =>
            environment.onPause = () => void (environment.engine = { digest: "b", generation: 2, fence: 2 }),
        check: (_environment, serving) => assert.equal(serving, "b"),
    },
    {
        name: "an empty engine is loaded while the table service is unreachable",
        change: environment => {
            environment.engine.digest = "";
            environment.isTableReachable = false;
            environment.engineLease.result = "unavailable";
        },
        loads: ["b"],
    },
    {
        name: "a load after which the engine has another version isn't reported as served",
        change: environment => environment.loadedDigest = () => "x",
        loads: ["b"],
        check: ({ events }) => assert.ok(!events.includes("rollout.serving")),
    },
];

// Guards against a load request by a process that was suspended between two steps, or whose configuration is
// outdated. Each scenario fails without one of the checks of `loadIfAllowed` in agent/activation.
describe("checks before an order", { concurrency: true }, () => {
    for (const { change, check, loads = [], name } of scenarios) {
        test(name, async () => {
            const environment = createEnvironment();
            change(environment);
            const { isPaused, serving } = await runActivation(environment);
            assert.deepEqual(environment.loads.map(({ digest }) => digest), loads);
            assert.ok(!isPaused, "requests are still held back");
            check?.(environment, serving.digest);
        });
    }
});
