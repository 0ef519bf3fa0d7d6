import assert from "node:assert/strict";
import * as http from "node:http";
import { afterEach, test } from "node:test";
import { createRowReplica, type Row } from "../../lib/core/serving/index.js";
import { handleChangesRequest } from "../../lib/node/peerMessages.js";
import { createEventLog, createServingMetrics } from "../../lib/observability/index.js";
import { createEntryResponses } from "../../lib/stager/entryResponses.js";
import { createSharedReads } from "../../lib/stager/sharedReads.js";
import { findFreePortRange } from "../router/routerHarness.js";

const ROWS: Row[] = [{ key: "config", epoch: 0, revision: 4, value: "c" }, {
    key: "version/m",
    epoch: 0,
    revision: 5,
    value: "2",
}];

const POSITION = { epoch: 0, revision: 5 };

const cleanups: (() => void)[] = [];

afterEach(() => {
    for (const cleanup of cleanups.splice(0)) cleanup();
});

/** Starts an entry whose replica of the table `op` is empty until `fill` is called, and a reader that knows it. */
async function startEntry() {
    const replica = createRowReplica();
    const replicas = new Map([["op", replica]]);
    const entryPort = await findFreePortRange();
    const server = http.createServer((request, response) => {
        handleChangesRequest(request, response, replicas);
    });
    await new Promise<void>(resolve => server.listen(entryPort, "127.0.0.1", resolve));
    cleanups.push(() => {
        server.close();
        server.closeAllConnections();
    });
    let storeReads = 0;
    const tables = createSharedReads({
        store: {
            readTable: () => {
                storeReads++;
                return Promise.resolve({ rows: ROWS, position: POSITION });
            },
        },
        entryIps: () => Promise.resolve(["127.0.0.1"]),
        entryPort,
        entryResponses: createEntryResponses(),
        log: createEventLog({ process: "p", role: "agent", now: () => 0, write: () => undefined }),
        metrics: createServingMetrics(),
        now: () => performance.now(),
        random: () => 0.5,
    });
    return { replica, replicas, tables, storeReads: () => storeReads };
}

// Guards against agents that all read the configuration from the store when all VMs have lost power: on
// gomgol-orders-grown they saturated the links between regions, and two regions had no weights for 12 s.
test("an agent reads tables from an entry and not from the store", async () => {
    const { replica, tables, storeReads } = await startEntry();
    replica.applySnapshot(ROWS, POSITION);
    assert.deepEqual((await tables.readTable("op")).rows, ROWS);
    replica.apply([{ key: "version/m", epoch: 0, revision: 7, value: "3" }, {
        key: "config",
        epoch: 0,
        revision: 8,
        value: undefined,
    }]);
    const { rows, position } = await tables.readTable("op", "version/");
    assert.deepEqual([rows.map(({ value }) => value), position], [["3"], { epoch: 0, revision: 8 }]);
    assert.equal(storeReads(), 0);
});

// Guards against an agent that reads an empty table from an entry which has just started, and against one that never
// turns to the store.
test("an agent waits for entries that have just started, and then reads from the store", async () => {
    const { replica, tables, storeReads } = await startEntry();
    const startedAt = performance.now();
    assert.deepEqual((await tables.readTable("op")).rows, ROWS);
    assert.equal(storeReads(), 1);
    assert.ok(performance.now() - startedAt > 1000);
    // Entries that failed aren't waited for again until one has delivered.
    await tables.readTable("op");
    assert.equal(storeReads(), 2);
    replica.applySnapshot(ROWS, POSITION);
    await tables.readTable("op");
    assert.equal(storeReads(), 2);
});

// Guards against an agent that learns its configuration a second late after a loss of power, because it pauses between
// its attempts for longer than an entry needs to start.
test("an agent reads from an entry soon after that has started", async () => {
    const { replica, tables, storeReads } = await startEntry();
    const READY_AFTER_MS = 400;
    const startedAt = performance.now();
    setTimeout(() => replica.applySnapshot(ROWS, POSITION), READY_AFTER_MS);
    assert.deepEqual((await tables.readTable("op")).rows, ROWS);
    assert.ok(performance.now() - startedAt < READY_AFTER_MS + 400);
    assert.equal(storeReads(), 0);
});

// Guards against an agent that keeps rows from before a restoration of the store, or takes them from an entry that
// doesn't know of it yet.
test("an agent follows entries into a later epoch of the store, and not back", async () => {
    const { replica, replicas, tables, storeReads } = await startEntry();
    replica.applySnapshot(ROWS, POSITION);
    await tables.readTable("op");
    const restored: Row[] = [{ key: "config", epoch: 1, revision: 2, value: "restored" }];
    replica.applySnapshot(restored, { epoch: 1, revision: 3 });
    assert.deepEqual((await tables.readTable("op")).rows, restored);
    assert.equal(storeReads(), 0);
    const outdated = createRowReplica();
    outdated.applySnapshot(ROWS, POSITION);
    replicas.set("op", outdated);
    await tables.readTable("op");
    assert.equal(storeReads(), 1);
});
