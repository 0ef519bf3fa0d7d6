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
import { createObjectStore, type TableService } from "../../lib/clients/index.js";
import type { Configuration } from "../../lib/core/index.js";
import { shouldPoll, startConfigurationSync } from "../../lib/node/index.js";
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

interface TestRow {
    readonly etag: string;
    readonly revision: number;
}

/** Runs a process that reads a table without peers. */
async function withTable(
    run: (
        table: { row: TestRow | "unavailable" | undefined; },
        sync: ReturnType<typeof startConfigurationSync>,
    ) => Promise<void>,
): Promise<void> {
    const state: { row: TestRow | "unavailable" | undefined; } = { row: undefined };
    const table = {
        read: async (_table: string, _key: string, knownEtag?: string) => {
            const { row } = state;
            if (row === "unavailable") return { kind: "unavailable", cause: new Error("outage") };
            if (row === undefined) return { kind: "missing" };
            if (row.etag === knownEtag) return { kind: "unchanged" };
            const value: Configuration = { revision: row.revision, profiles: {}, changes: [] };
            return { kind: "found", value, etag: row.etag };
        },
    } as unknown as TableService;
    const connections = createConnections(createCredentials(undefined));
    const sync = startConfigurationSync({
        process: "p",
        failureDomain: "d",
        table,
        vms: () => [],
        connections,
        events: { record: () => undefined } as never,
        pollMs: 1_000_000,
        now: () => performance.now(),
        random: Math.random,
    });
    try {
        await run(state, sync);
    }
    finally {
        await sync.stop();
        connections.close();
    }
}

// Guards against a table that was restored from a copy and is taken as a confirmation of revisions that it has lost.
test("a table that is behind a committed revision confirms nothing and is reported", async t => {
    await withTable(async (table, sync) => {
        const write = t.mock.method(process.stderr, "write", () => true);
        const warningCount = () =>
            write.mock.calls.filter(call => /revision 2, but revision 3/.test(String(call.arguments[0]))).length;
        table.row = { etag: "a", revision: 3 };
        assert.equal(await sync.refresh(), true);
        const confirmedAt = sync.confirmedAt();
        table.row = { etag: "b", revision: 2 };
        // The second read is conditional.
        for (let i = 0; i < 2; i++) assert.equal(await sync.refresh(), false);
        table.row = undefined;
        assert.equal(await sync.refresh(), false);
        assert.equal(sync.confirmedAt(), confirmedAt);
        assert.equal(sync.current().revision, 3);
        assert.equal(warningCount(), 1);
        table.row = { etag: "c", revision: 4 };
        assert.equal(await sync.refresh(), true);
        assert.equal(sync.current().revision, 4);
    });
});

// Guards against a row that is never read because the table, restored from a copy, has given out its entity tag again.
test("the first read after an outage is unconditional", async () => {
    await withTable(async (table, sync) => {
        table.row = { etag: "a", revision: 3 };
        assert.equal(await sync.refresh(), true);
        table.row = "unavailable";
        assert.equal(await sync.refresh(), false);
        table.row = { etag: "a", revision: 4 };
        assert.equal(await sync.refresh(), true);
        assert.equal(sync.current().revision, 4);
    });
});

// Guards against an evacuation that ends because a process that doesn't know evacuations wrote or passed on a revision.
test("a revision without evacuations withdraws none", async () => {
    await withTable(async (_table, sync) => {
        const apply = (revision: number, evacuatedDomains?: string[]) => {
            sync.applyIfNewer({ revision, profiles: {}, changes: [], evacuatedDomains });
            return sync.current().evacuatedDomains;
        };
        assert.deepEqual([apply(1, ["d"]), apply(2), apply(3, [])], [["d"], ["d"], []]);
    });
});
