import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { configurationRow, engineParameters, serverRow } from "../platform/fakeRunner.js";
import { type FakeStore, startFakeStore } from "../platform/fakeStore.js";
import { findFreePortRange, waitUntil } from "../router/routerHarness.js";
import { MODEL, PIECE_BYTES, PIECE_COUNT, startTestEngine, type TestEngine } from "./testEngine.js";

const PROGRAM = fileURLToPath(new URL("../../platformMain.js", import.meta.url));

/** Longer than a piece may have been corrupt when the engine takes it. */
const PAUSE_MS = 3500;

let directory: string;
let store: FakeStore;
let engine: TestEngine;
let agent: ChildProcess;

beforeEach(async () => {
    directory = mkdtempSync(join(tmpdir(), "endivewell-"));
    store = await startFakeStore();
    engine = await startTestEngine();
    const services = [
        {
            name: "llm",
            "health-path": "/h",
            "max-connections": 10,
            engine: engineParameters(MODEL, PIECE_COUNT, PIECE_BYTES),
        },
        { name: "weights", origin: engine.address, zone: "a", "max-connections": 10 },
    ];
    store.put("op", "config", configurationRow(1, { services }));
    store.put("op", `version/${MODEL}`, { model: MODEL, version: 2 });
    store.put("servers", "i-1", serverRow(engine.address, { service: "llm" }));
    const port = await findFreePortRange();
    const settingsFile = join(directory, "boot.toml");
    writeFileSync(
        settingsFile,
        [
            `node = "side-a-1"\nrole = "agent"\nip = "127.0.0.1"\nzone = "a"\nregion = "r"\nseeds = []`,
            `app = "${engine.address}"\nservice = "llm"`,
            `internal-ports = [${port},${port + 8}]`,
            `[zones]\na = "r"`,
            `[limits]\nlink-mbps = 1000.0`,
            `[bounds]\ndrain-ms = 2000\ngrace-s = 3\nconfig-apply-ms = 2000\nversion_ms = 8000`,
            `retry-budget-ratio = 0.2\nbudget-window-s = 10\nretry-budget-slack = 100`,
            `[platform]\naddress = "${store.address}"`,
        ].join("\n"),
    );
    agent = spawn(process.execPath, [PROGRAM, "agent"], {
        env: { ...process.env, ENDIVEWELL_SETTINGS: settingsFile },
        stdio: "ignore",
    });
});

afterEach(() => {
    agent.kill("SIGKILL");
    engine.close();
    store.close();
    rmSync(directory, { recursive: true });
});

/** Stops the agent's process during a call about a staged piece, and corrupts the first piece meanwhile. */
async function pauseAgentAt(isMoment: (call: string, piece: number) => boolean): Promise<void> {
    let hasPaused = false;
    engine.state.beforeStageCall = async (call, piece) => {
        if (hasPaused || !isMoment(call, piece)) return;
        hasPaused = true;
        agent.kill("SIGSTOP");
        engine.staged.set(0, Buffer.from("corrupt"));
        void sleep(PAUSE_MS).then(() => agent.kill("SIGCONT"));
    };
    await waitUntil(() => hasPaused);
    await sleep(PAUSE_MS);
    await waitUntil(() => engine.state.version === 2);
}

// Guards against tokens that are made with pieces which became corrupt over 3 s before, while the agent's process stood
// still between its first and its last staged piece.
test("an agent that was paused while it staged pieces checks all of them before it orders the load", async () => {
    await pauseAgentAt((call, piece) => call === "stage-put" && piece === PIECE_COUNT - 1);
    engine.assertLoaded(2);
});

// Guards against a check of the staged pieces that is older than the pause.
test("an agent that was paused while it checked staged pieces repeats the check", async () => {
    const isLast = (piece: number) => piece === PIECE_COUNT - 1;
    await pauseAgentAt((call, piece) => call === "stage-get" && isLast(piece) && engine.staged.has(piece));
    engine.assertLoaded(2);
});
