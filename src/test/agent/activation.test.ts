import assert from "node:assert/strict";
import { randomBytes } from "node:crypto";
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type Fleet, MODEL_SERVICE, OPERATOR_TOKEN, sendToEntry, startFleet, waitUntil } from "../../harness/index.js";
import { createObjectStore } from "../../lib/clients/index.js";
import { publishDirectory } from "../../lib/publish/index.js";

async function publish(fleet: Fleet, name: string): Promise<string> {
    const directory = join(fleet.directory, name);
    await mkdir(directory);
    await writeFile(join(directory, "model.bin"), randomBytes(100_000));
    const store = createObjectStore({ url: fleet.platformUrl, timeoutMs: 5000 });
    return (await publishDirectory({ directory, model: "m", store })).rootDigest;
}

/** Sets the version of the profile `desk` and returns the profile's new ETag. */
async function rollOut(fleet: Fleet, rootDigest: string, etag?: string, maxUnavailable = 1): Promise<string> {
    const [entry] = fleet.entries;
    assert.ok(entry);
    const profile = { name: "desk", model: "m", rootDigest, service: MODEL_SERVICE, maxUnavailable };
    const headers: Record<string, string> = etag === undefined ? {} : { "if-match": etag };
    const response = await sendToEntry(entry, "PUT", "/admin/v1/profiles/desk", OPERATOR_TOKEN, profile, headers);
    assert.equal(response.status, 200, response.body.toString());
    return response.headers.etag ?? "";
}

async function readServedDigests(fleet: Fleet): Promise<string[]> {
    return Promise.all(
        fleet.modelAgents.filter(({ isRunning }) => isRunning()).map(async runner => {
            return (await fleet.readState(runner)).servingDigest;
        }),
    );
}

function waitUntilAllServe(fleet: Fleet, digest: string, timeoutMs = 20_000) {
    return waitUntil(
        `all serve ${digest}`,
        async () => (await readServedDigests(fleet)).every(servedDigest => servedDigest === digest),
        timeoutMs,
    );
}

// Guards against switching more replicas at a time than the profile allows, and against switching during an outage.
test("replicas switch one at a time, and none starts to switch while the table service is unavailable", async () => {
    const fleet = await startFleet({ entries: 1, modelAgentCount: 3, bookingAgentCount: 0 });
    try {
        const [a, b] = [await publish(fleet, "a"), await publish(fleet, "b")];
        const etag = await rollOut(fleet, a);
        await waitUntilAllServe(fleet, a);
        await rollOut(fleet, b, etag);
        await fleet.setFaults(fleet.platformUrl, { tableOutage: true });
        await sleep(1000);
        const switchedAtOutage = (await readServedDigests(fleet)).filter(digest => digest === b).length;
        await sleep(3000);
        // One replica may have acquired its slot and leases before the outage.
        assert.ok(
            (await readServedDigests(fleet)).filter(digest => digest === b).length <= Math.max(1, switchedAtOutage),
        );
        await fleet.setFaults(fleet.platformUrl, { tableOutage: false });
        let minServing = 3;
        await waitUntil("all serve b", async () => {
            const digests = await readServedDigests(fleet);
            minServing = Math.min(minServing, digests.filter(digest => digest !== "").length);
            return digests.every(digest => digest === b);
        }, 30_000);
        assert.ok(minServing >= 2, `only ${minServing} replicas served during the rollout`);
    }
    finally {
        await fleet.stop();
    }
});

// Guards against a restarted agent that fetches and loads the version again that its engine already serves.
test("a restarted agent adopts the version that its engine serves", async () => {
    const fleet = await startFleet({ entries: 1, modelAgentCount: 1, bookingAgentCount: 0 });
    try {
        const [runner] = fleet.modelAgents;
        assert.ok(runner);
        const a = await publish(fleet, "a");
        await rollOut(fleet, a);
        await waitUntilAllServe(fleet, a);
        const loadsBefore = (await readEvidence(runner.url)).loads.length;
        await runner.stop(5000);
        const restarted = await fleet.restart(runner);
        await waitUntilAllServe(fleet, a);
        await sleep(1500);
        assert.equal((await readEvidence(runner.url)).loads.length, loadsBefore);
        assert.deepEqual((await fleet.readState(restarted)).transfers, []);
    }
    finally {
        await fleet.stop();
    }
});

// Guards against an agent that resumes after a suspension and loads the outdated version that it was about to load.
test("an agent that was stopped past its lease doesn't undo a newer load on an engine that ignores fences", async () => {
    const fleet = await startFleet({
        entries: 1,
        modelAgentCount: 1,
        bookingAgentCount: 0,
        engine: { ignoresFence: true },
    });
    try {
        const [runner] = fleet.modelAgents;
        assert.ok(runner);
        const [a, b, c] = [await publish(fleet, "a"), await publish(fleet, "b"), await publish(fleet, "c")];
        const first = await rollOut(fleet, a);
        await waitUntilAllServe(fleet, a);
        const second = await rollOut(fleet, b, first);
        await fleet.setFaults(fleet.platformUrl, { delayMs: 400 });
        // With slow responses of the table service, the agent is suspended between acquiring the lease and the load.
        await waitUntil("the agent holds the lease", async () => {
            const lease = await fetch(`${fleet.platformUrl}/tables/engineLeases/runner-0`);
            return (await lease.text()).includes("runner-0/");
        }, 20_000);
        runner.signal("SIGSTOP");
        await fleet.setFaults(fleet.platformUrl, { delayMs: 0 });
        assert.ok((await readEvidence(runner.url)).loads.every(({ digest }) => digest === a));
        const restarted = await fleet.restart(runner);
        await rollOut(fleet, c, second);
        await waitUntilAllServe(fleet, c, 40_000);
        runner.signal("SIGCONT");
        const loadsBefore = (await readEvidence(runner.url)).loads.length;
        await sleep(3000);
        const { loads, wrongLoads } = await readEvidence(runner.url);
        assert.equal(wrongLoads, 0);
        assert.deepEqual(loads.slice(loadsBefore), [], "the stopped agent sent a load request");
        assert.equal((await fleet.readState(restarted)).servingDigest, c);
        await runner.stop(5000);
    }
    finally {
        await fleet.stop();
    }
});

async function readEvidence(url: string) {
    return await (await fetch(`${url}/evidence`)).json() as { loads: { digest: string; }[]; wrongLoads: number; };
}

// Guards against a rollout that continues although requests fail on the replicas that have switched.
test("a rollout is halted with a reason when the first requests on a switched replica fail", async () => {
    const fleet = await startFleet({ entries: 1, modelAgentCount: 2, bookingAgentCount: 0 });
    try {
        const [entry] = fleet.entries;
        assert.ok(entry);
        const [a, b] = [await publish(fleet, "a"), await publish(fleet, "b")];
        const etag = await rollOut(fleet, a);
        await waitUntilAllServe(fleet, a);
        await fleet.setFaults(fleet.modelAgents[0]?.url ?? "", { failVersion: b });
        await fleet.setFaults(fleet.modelAgents[1]?.url ?? "", { failVersion: b });
        await rollOut(fleet, b, etag);
        const body = { model: "desk", max_tokens: 1, messages: [{ role: "user", content: "hello" }] };
        await waitUntil("the rollout is paused", async () => {
            await Promise.all(Array.from({ length: 4 }, () => {
                return sendToEntry(entry, "POST", "/v1/chat/completions", "client-0", body);
            }));
            const response = await sendToEntry(entry, "GET", "/admin/v1/profiles/desk", OPERATOR_TOKEN);
            const { paused, pauseReason } = JSON.parse(response.body.toString());
            return paused === true && /of the first \d requests failed on runner-/.test(pauseReason);
        }, 15_000);
        await sleep(3000);
        assert.ok((await readServedDigests(fleet)).includes(a), "the other replica switched after the halt");

        // The requests above count as recent use of the profile, so its retirement needs `force`.
        const response = await sendToEntry(entry, "GET", "/admin/v1/profiles/desk", OPERATOR_TOKEN);
        const headers = { "if-match": response.headers.etag ?? "" };
        const retire = (query: string) => {
            return sendToEntry(entry, "DELETE", `/admin/v1/profiles/desk${query}`, OPERATOR_TOKEN, undefined, headers);
        };
        const refused = await retire("");
        assert.equal(refused.status, 422);
        assert.match(refused.body.toString(), /force=true/);
        assert.equal((await retire("?force=true")).status, 200);
    }
    finally {
        await fleet.stop();
    }
});
