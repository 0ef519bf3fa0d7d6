import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { afterEach, beforeEach, test } from "node:test";
import { ENTRIES_TABLE, formatEntryRow } from "../../lib/node/entryRows.js";
import { createEventLog } from "../../lib/observability/index.js";
import { createPlatformStore } from "../../lib/platform/index.js";
import { type Stager, startStager } from "../../lib/stager/index.js";
import { configurationRow, engineParameters, serverRow } from "../platform/fakeRunner.js";
import { type FakeStore, startFakeStore } from "../platform/fakeStore.js";
import { createVmSettings, findFreePortRange } from "../router/routerHarness.js";
import { MODEL, PIECE_BYTES, PIECE_COUNT, startTestEngine, type TestEngine } from "./testEngine.js";

const REMOVED_IPS = ["127.0.0.5", "127.0.0.6"];

/** Time within which the users require a recovery, in milliseconds. */
const RECOVERY_MS = 12_000;

/**
 * Starts a process that listens at the addresses and stands still. Connections beyond the backlog get no response, as from a
 * VM without power; the others are accepted, but nothing more.
 */
async function silenceAddresses(ips: readonly string[], port: number, backlog: number): Promise<ChildProcess> {
    const script = `
        const { connect, createServer } = require("node:net");
        const ips = ${JSON.stringify(ips)};
        let remaining = ips.length;
        for (const host of ips) {
            createServer().listen({ port: ${port}, host, backlog: ${backlog} }, () => {
                if (--remaining === 0) process.stdout.write("listening");
            });
        }`;
    const child = spawn(process.execPath, ["-e", script], { stdio: ["ignore", "pipe", "ignore"] });
    assert.ok(child.stdout !== null);
    await once(child.stdout, "data");
    child.kill("SIGSTOP");
    return child;
}

let store: FakeStore;
let engine: TestEngine;
let stager: Stager;
let removed: ChildProcess;

beforeEach(async () => {
    store = await startFakeStore();
    engine = await startTestEngine();
    engine.state.isCorruptingPieces = false;
    engine.state.version = 0;
    const parameters = engineParameters(MODEL, PIECE_COUNT, PIECE_BYTES);
    const services = [
        { name: "llm", "health-path": "/h", "max-connections": 10, engine: parameters },
        { name: "weights", origin: engine.address, zone: "a", "max-connections": 10 },
    ];
    store.put("op", "config", configurationRow(1, { services }));
    store.put("servers", "i-1", serverRow(engine.address, { service: "llm" }));
});

afterEach(() => {
    stager.stop();
    removed.kill("SIGKILL");
    engine.close();
    store.close();
});

async function assertLoadsInTime(backlog: number): Promise<void> {
    const entryPort = await findFreePortRange("127.0.0.1", ...REMOVED_IPS);
    removed = await silenceAddresses(REMOVED_IPS, entryPort, backlog);
    for (const ip of REMOVED_IPS) {
        store.put(ENTRIES_TABLE, `entry ${ip}`, JSON.parse(formatEntryRow({ name: "", ip, failureDomain: "a" }, 0)));
    }
    const settings = createVmSettings(store.address, entryPort, {
        backendAddress: engine.address,
        backendService: "llm",
    });
    const log = createEventLog({ process: "agent", role: "agent", now: () => 0, write: () => undefined });
    const startedAt = performance.now();
    stager = await startStager(settings, createPlatformStore(store.address), log);
    while (engine.state.version === 0) {
        assert.ok(performance.now() - startedAt < RECOVERY_MS, "the engine has no weights");
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    engine.assertLoaded(1);
}

// Guards against agents that wait again and again for entries which were removed for good, whose rows are still there, so
// that no engine gets its weights (review/9).
test("an agent loads its weights although all entries of its region were removed", () => assertLoadsInTime(1));

// Guards against the same if the entries' processes stand still, which accept connections.
test("an agent loads its weights although all entries of its region stand still", () => assertLoadsInTime(500));
