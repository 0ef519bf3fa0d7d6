import assert from "node:assert/strict";
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { test } from "node:test";
import {
    type Fleet,
    type FleetProcess,
    OPERATOR_TOKEN,
    sendToEntry,
    startFleet,
    waitUntil,
} from "../../harness/index.js";
import { createObjectStore } from "../../lib/clients/index.js";
import { shouldPoll } from "../../lib/node/index.js";
import { publishDirectory } from "../../lib/publish/index.js";
import { type Connections, createConnections, createCredentials } from "../../lib/rpc/index.js";

interface Status {
    readonly configurationRevision: number;
    readonly configurationAgeMs: number;
}

function readStatus(connections: Connections, { vm }: FleetProcess): Promise<Status> {
    return new Promise((resolve, reject) => {
        connections.node(vm.address).readStatus({}, (error, response) => {
            if (error === null) resolve(JSON.parse(response.status) as Status);
            else reject(error);
        });
    });
}

async function publish(fleet: Fleet): Promise<string> {
    const directory = join(fleet.directory, "weights");
    await mkdir(directory);
    await writeFile(join(directory, "model.bin"), "weights");
    const store = createObjectStore({ url: fleet.platformUrl, timeoutMs: 5000 });
    return (await publishDirectory({ directory, model: "m", store })).rootDigest;
}

// Guards against a process that starts while the table is unavailable and serves with an old configuration or none.
test("restarting every process in turn during an outage of the table reverts nothing", async () => {
    const fleet = await startFleet({ entries: 2, modelAgentCount: 3, bookingAgentCount: 1 });
    const connections = createConnections(createCredentials(undefined));
    const processes = () => [...fleet.entries, ...fleet.modelAgents, ...fleet.bookingAgents];
    const send = (method: string, path: string, body?: unknown, headers: Record<string, string> = {}) => {
        const [entry] = fleet.entries;
        assert.ok(entry);
        return sendToEntry(entry, method, `/admin/v1/profiles/desk${path}`, OPERATOR_TOKEN, body, headers);
    };
    const waitForRevision = (revision: number) => {
        return waitUntil(`every process has revision ${revision}`, async () => {
            const statuses = await Promise.all(processes().map(process => readStatus(connections, process)));
            return statuses.every(({ configurationRevision }) => configurationRevision === revision);
        }, 10_000);
    };
    try {
        const profile = { name: "desk", model: "m", rootDigest: await publish(fleet), service: "none" };
        assert.equal((await send("PUT", "", profile)).status, 200);
        assert.equal((await send("PUT", "", { ...profile, model: "n" }, { "if-match": "\"1\"" })).status, 200);
        await waitForRevision(2);
        await fleet.setFaults(fleet.platformUrl, { tableOutage: true });
        for (const process of processes()) {
            await process.stop(10_000);
            await fleet.restart(process);
            await waitForRevision(2);
        }
        const [entry] = fleet.entries;
        assert.ok(entry);
        assert.ok((await readStatus(connections, entry)).configurationAgeMs > 1000, "the age hides the outage");
        await fleet.setFaults(fleet.platformUrl, { tableOutage: false });
        assert.equal((await send("POST", "/pause")).status, 200);
        await waitForRevision(3);
    }
    finally {
        connections.close();
        await fleet.stop();
    }
});

// Guards against a failure domain without a reader while the VM list still has failed ones, and against a thundering
// herd of standby readers.
test("standby readers poll when no reader confirms the configuration", () => {
    assert.equal(shouldPoll(1, 0, 0), true);
    assert.equal(shouldPoll(2, 1000, 1000), false);
    assert.equal(shouldPoll(2, 3000, 1000), true);
    assert.equal(shouldPoll(3, 3000, 1000), false);
    assert.equal(shouldPoll(50, 29_000, 29_000), false);
    assert.equal(shouldPoll(50, 31_000, 11_000), true);
    assert.equal(shouldPoll(50, 31_000, 500), false);
});
