import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PROFILE, startPool } from "../../bench/pool.js";
import { type Fleet, type FleetProcess, OPERATOR_TOKEN, sendToEntry, waitUntil } from "../../harness/index.js";
import type { EvacuatedDomain } from "../../lib/cli/systemStatus.js";
import { sendRequest } from "../../lib/clients/index.js";
import { expectedToken } from "../../lib/fakes/index.js";

const ENGINE = { slots: 8, tokensPerSecond: 50 };

/** Bound of requirement 2 in docs/work/2026-12-06-hard-load.md. */
const EVACUATION_BOUND_MS = 5000;

function complete(entry: FleetProcess, prompt: string, tokens: number) {
    const body = { model: PROFILE, stream: true, max_tokens: tokens, prompt };
    return sendToEntry(entry, "POST", "/v1/completions", "client-0", body);
}

async function startedCount({ url }: FleetProcess): Promise<number> {
    return JSON.parse((await sendRequest({ method: "GET", url: `${url}/evidence` })).body.toString()).started;
}

async function evacuatedDomainsAt(entry: FleetProcess): Promise<readonly EvacuatedDomain[]> {
    const response = await sendToEntry(entry, "GET", "/admin/v1/status", OPERATOR_TOKEN);
    return (JSON.parse(response.body.toString()) as { evacuatedDomains: EvacuatedDomain[]; }).evacuatedDomains;
}

async function changeEvacuation({ entries: [entry] }: Fleet, method: "PUT" | "DELETE", domain: string): Promise<void> {
    assert.ok(entry);
    const response = await sendToEntry(entry, method, `/admin/v1/evacuations/${domain}`, OPERATOR_TOKEN);
    assert.equal(response.status, 200, response.body.toString());
}

// Guards against new work at an evacuated failure domain from an entry that has heard of the evacuation or has started
// while the store is away, against requests that are cut off, lost or not shown there, and against agents that stay unused.
for (const scheduling of ["agentQueues", "entryQueues"] as const) {
    test(`work stops at an evacuated failure domain and returns, with ${scheduling}`, async () => {
        const options = { entries: 2, modelAgentCount: 2, regions: ["a", "b"], engine: ENGINE };
        const { fleet, rootDigest } = await startPool(options, scheduling);
        const isWhole = (body: Buffer, prompt: string, tokens: number) => {
            const text = body.toString();
            const output = Array.from({ length: tokens }, (_, i) => expectedToken(rootDigest, prompt, i));
            return output.every(token => text.includes(JSON.stringify(token))) && text.endsWith("data: [DONE]\n\n");
        };
        try {
            const [first, second] = fleet.entries;
            const [kept, evacuated] = fleet.modelAgents;
            assert.ok(first && second && kept && evacuated);
            // 8 slots at each agent, so that requests are queued as well.
            const early = Array.from({ length: 28 }, (_, i) => complete(i % 2 === 0 ? first : second, `e${i}`, 60));
            await sleep(400);
            await changeEvacuation(fleet, "PUT", "b-1");
            const inProgress = await evacuatedDomainsAt(first);
            assert.deepEqual(inProgress.map(({ failureDomain, agents }) => [failureDomain, agents]), [["b-1", 1]]);
            assert.ok((inProgress[0]?.requestsInProgress ?? 0) > 0, "the status shows no request in progress");
            await fleet.setFaults(fleet.platformUrl, { tableOutage: true });
            for (const [i, response] of (await Promise.all(early)).entries()) {
                assert.ok(isWhole(response.body, `e${i}`, 60), `request ${i}: ${response.status} ${response.body}`);
            }
            assert.equal((await evacuatedDomainsAt(first))[0]?.requestsInProgress, 0);
            await second.stop(10_000);
            const restarted = await fleet.restart(second);
            await sleep(EVACUATION_BOUND_MS);
            const before = await startedCount(evacuated);
            for (const entry of [first, restarted]) {
                const late = await Promise.all(Array.from({ length: 12 }, (_, i) => complete(entry, `l${i}`, 5)));
                late.forEach(({ body }, i) => assert.ok(isWhole(body, `l${i}`, 5), body.toString()));
            }
            assert.equal(await startedCount(evacuated), before);

            await fleet.setFaults(fleet.platformUrl, { tableOutage: false });
            await changeEvacuation(fleet, "PUT", "a-1");
            const refusedAt = performance.now();
            const refused = await complete(first, "refused", 5);
            assert.deepEqual([refused.status, refused.headers["endivewell-verdict"]], [503, "notRun"]);
            assert.ok(performance.now() - refusedAt < 1000, "the refusal waited");

            await changeEvacuation(fleet, "DELETE", "a-1");
            await changeEvacuation(fleet, "DELETE", "b-1");
            await waitUntil("the agent gets work again", async () => {
                await Promise.all(Array.from({ length: 12 }, (_, i) => complete(restarted, `r${i}`, 5)));
                return await startedCount(evacuated) > before;
            }, EVACUATION_BOUND_MS);
        }
        finally {
            await fleet.stop();
        }
    });
}
