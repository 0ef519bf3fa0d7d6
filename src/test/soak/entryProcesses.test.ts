import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { configurationRow } from "../platform/fakeRunner.js";
import { type FakeStore, startFakeStore } from "../platform/fakeStore.js";
import { createEntryProcesses, type EntryProcesses } from "./entryProcesses.js";

let store: FakeStore;
let directory: string;
let entries: EntryProcesses;
let violations: string[];

beforeEach(async () => {
    store = await startFakeStore();
    store.put("op", "config", configurationRow(1));
    directory = mkdtempSync(join(tmpdir(), "endivewell-entry-processes-"));
    violations = [];
    entries = await createEntryProcesses({
        count: 1,
        storeAddress: store.address,
        directory,
        log: () => undefined,
        onSpanEnd: () => undefined,
        onViolation: text => void violations.push(text),
    });
});

afterEach(() => {
    entries.close();
    store.close();
    rmSync(directory, { recursive: true });
});

// Guards against a soak that fails because its own SIGHUP terminated a process that was frozen while Node.js started.
test("a process that is frozen during its start gets no SIGHUP before it runs the program's code", async () => {
    const [entry] = entries.all;
    assert.ok(entry !== undefined);
    const started = entries.start();
    entries.signal(entry, "SIGSTOP");
    await sleep(500);
    const isSentEarly = entries.reload(entry);
    entries.signal(entry, "SIGCONT");
    await started;
    assert.deepEqual(violations, []);
    assert.equal(isSentEarly, false);
    assert.equal(entries.reload(entry), true);
    await sleep(200);
    assert.deepEqual(violations, []);
});
