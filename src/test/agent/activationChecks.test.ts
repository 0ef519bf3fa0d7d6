import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { ENGINE_LEASE_TABLE, startActivation } from "../../lib/agent/activation.js";
import type { Lease, LeaseResult } from "../../lib/agent/lease.js";
import type { Transfer } from "../../lib/agent/transfer.js";
import type { Configuration, Profile } from "../../lib/core/index.js";

const SERVICE = "models";

/** Long enough for several tries of an order and the next step, too short for the step after a failed one. */
const RUN_MS = 1700;

interface FakeLease extends Lease {
    result: LeaseResult;
    isValid: boolean;
    ownEpoch: number;
    acquired: number;
}

function createFakeLease(): FakeLease {
    const lease: FakeLease = {
        result: "held",
        isValid: true,
        ownEpoch: 1,
        acquired: 0,
        acquire: async () => {
            lease.acquired++;
            return lease.result;
        },
        valid: () => lease.isValid,
        epoch: () => lease.ownEpoch,
        release: async () => undefined,
    };
    return lease;
}

/** Everything around the activation, and hooks that change it at the points where a process can be stopped. */
function createWorld() {
    const world = {
        engine: { digest: "a", generation: 1, fence: 1 },
        /** The state that the engine gets by an order for a version. */
        effect: (digest: string) => digest,
        revision: 2,
        wanted: "b",
        tableAnswers: true,
        paused: false,
        pauses: 0,
        engineLease: createFakeLease(),
        slot: createFakeLease(),
        atPause: () => undefined as void,
        atRefresh: () => undefined as void,
        atRead: () => undefined as void,
        loads: [] as { digest: string; fence: number; paused: boolean; serving: string; slots: number; }[],
        events: [] as string[],
    };
    return world;
}

type World = ReturnType<typeof createWorld>;

async function runActivation(world: World) {
    const profile = () => ({ name: "p", service: SERVICE, rootDigest: world.wanted, paused: false, maxUnavailable: 1 });
    const current = () => {
        const entry = { profile: profile() as unknown as Profile, revision: world.revision, earlierDigests: [] };
        return { revision: world.revision, profiles: { p: entry }, changes: [] } satisfies Configuration;
    };
    const transfer = (rootDigest: string) => ({ rootDigest, done: Promise.resolve(), cancel: () => undefined });
    const activation = startActivation({
        service: SERVICE,
        engine: {
            readState: async () => {
                world.atRead();
                return { ...world.engine };
            },
            load: async ({ digest, fence }) => {
                await Promise.resolve();
                const serving = activation.serving().digest;
                world.loads.push({ digest, fence, paused: world.paused, serving, slots: world.slot.acquired });
                const { generation } = world.engine;
                world.engine = { digest: world.effect(digest), generation: generation + 1, fence };
            },
        },
        store: { path: (digest: string) => digest } as unknown as Parameters<typeof startActivation>[0]["store"],
        configuration: {
            current,
            refresh: async () => {
                world.atRefresh();
                return world.tableAnswers;
            },
            onChange: () => 0,
        } as unknown as Parameters<typeof startActivation>[0]["configuration"],
        events: { record: (kind: string) => void world.events.push(kind) } as unknown as Parameters<
            typeof startActivation
        >[0]["events"],
        startTransfer: digest => transfer(digest) as unknown as Transfer,
        pause: async () => {
            world.paused = true;
            world.pauses++;
            world.atPause();
            return { resume: () => void (world.paused = false) };
        },
        lease: table => table === ENGINE_LEASE_TABLE ? world.engineLease : world.slot,
        engineKey: "vm",
        haltRollout: async () => true,
        onChange: () => undefined,
    });
    await sleep(RUN_MS);
    const serving = activation.serving();
    await activation.stop();
    return { serving, isPaused: world.paused };
}

interface Scenario {
    readonly name: string;
    /** The failure that the check prevents. */
    readonly change: (world: World) => void;
    /** Versions that are ordered; none by default. */
    readonly loads?: readonly string[];
    readonly check?: (world: World, serving: string) => void;
}

const scenarios: readonly Scenario[] = [
    {
        name: "a switch is ordered under both leases, while requests are kept out, with the revision as fence",
        change: () => undefined,
        loads: ["b"],
        check: ({ loads }, serving) => {
            assert.deepEqual(loads, [{ digest: "b", fence: 2, paused: true, serving: "", slots: 2 }]);
            assert.equal(serving, "b");
        },
    },
    {
        name: "a version that is no longer wanted after the wait for running requests isn't ordered",
        change: world => world.atPause = () => void ([world.revision, world.wanted] = [3, "c"]),
        loads: ["c"],
    },
    {
        name: "a revision that only the table knows is read before the order",
        change: world => world.atRefresh = () => void ([world.revision, world.wanted] = [3, "c"]),
        loads: ["c"],
    },
    {
        name: "an engine that has seen a newer revision gets no order",
        change: world => world.engine.fence = 9,
    },
    {
        name: "no switch is ordered while the table can't be reached",
        change: world => world.tableAnswers = false,
    },
    {
        name: "no switch is ordered without a slot",
        change: world => world.slot.result = "busy",
        check: ({ pauses }) => assert.equal(pauses, 0, "requests were kept out for nothing"),
    },
    {
        name: "no switch is ordered without the engine's lease",
        change: world => world.engineLease.result = "busy",
    },
    {
        name: "no order is sent when a lease could not be renewed after the wait for running requests",
        change: world => world.atPause = () => void (world.engineLease.result = "unavailable"),
    },
    {
        name: "no order is sent when a lease ran out after its renewal",
        change: world => world.atRefresh = () => void (world.engineLease.isValid = false),
    },
    {
        name: "no order is sent when a lease passed through other hands after its renewal",
        change: world => world.atRefresh = () => void world.slot.ownEpoch++,
    },
    {
        name: "an engine that another process loaded meanwhile needs a slot like any switch",
        change: world => {
            let reads = 0;
            world.engine.digest = "";
            world.atRead = () => {
                if (++reads === 2) world.engine.digest = "a";
            };
        },
        loads: ["b"],
        check: ({ loads }) => assert.ok((loads[0]?.slots ?? 0) > 0),
    },
    {
        name: "a version that another process loaded meanwhile isn't loaded again",
        change: world => world.atPause = () => void (world.engine = { digest: "b", generation: 2, fence: 2 }),
        check: (_world, serving) => assert.equal(serving, "b"),
    },
    {
        name: "an empty engine is loaded without the table",
        change: world => {
            world.engine.digest = "";
            world.tableAnswers = false;
            world.engineLease.result = "unavailable";
        },
        loads: ["b"],
    },
    {
        name: "an order that had another effect isn't reported as served",
        change: world => world.effect = () => "x",
        loads: ["b"],
        check: ({ events }) => assert.ok(!events.includes("rollout.serving")),
    },
];

// Guards against an order from a process that was stopped between any two steps, or that knows less than others:
// each scenario fails without one check of `order` in agent/activation.
describe("checks before an order", { concurrency: true }, () => {
    for (const { change, check, loads = [], name } of scenarios) {
        test(name, async () => {
            const world = createWorld();
            change(world);
            const { isPaused, serving } = await runActivation(world);
            assert.deepEqual(world.loads.map(({ digest }) => digest), loads);
            assert.ok(!isPaused, "requests are still kept out");
            check?.(world, serving.digest);
        });
    }
});
