import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { startFakeStore } from "../platform/fakeStore.js";
import { findFreePortRange } from "../router/routerHarness.js";

const PROGRAM = fileURLToPath(new URL("../../platformMain.js", import.meta.url));

/** Runs the program, sends SIGTERM once it prints `stopAfter`, and resolves with its exit code and its output. */
function runProgram(args: readonly string[], settingsFile: string | undefined, stopAfter?: string) {
    const child = spawn(process.execPath, [PROGRAM, ...args], {
        env: { ...process.env, ENDIVEWELL_SETTINGS: settingsFile },
        stdio: ["ignore", "pipe", "pipe"],
    });
    let output = "";
    const onOutput = (chunk: Buffer) => {
        output += String(chunk);
        if (stopAfter !== undefined && output.includes(stopAfter)) child.kill("SIGTERM");
    };
    child.stdout.on("data", onOutput);
    child.stderr.on("data", onOutput);
    return new Promise<{ code: number | null; output: string; }>(resolve => {
        child.on("close", code => resolve({ code, output }));
    });
}

// Guards against a bundle for the platform that lacks a module which the roles need, and against one that stays running
// without a role.
test("the platform's program runs a role until SIGTERM, and says what is missing otherwise", async () => {
    const store = await startFakeStore();
    const directory = mkdtempSync(join(tmpdir(), "endivewell-"));
    try {
        const port = await findFreePortRange();
        const settingsFile = join(directory, "boot.toml");
        writeFileSync(
            settingsFile,
            [
                `node = "front-a-1"\nrole = "entry"\nip = "127.0.0.1"\nzone = "a"\nregion = "r"\nseeds = []`,
                `internal-ports = [${port},${port + 8}]`,
                `[zones]\na = "r"`,
                `[listen]\nfront = "127.0.0.1:0"\nready = "127.0.0.1:0"`,
                `[limits]\nlink-mbps = 1000.0`,
                `[bounds]\ndrain-ms = 2000\ngrace-s = 3\nconfig-apply-ms = 2000\nversion_ms = 8000`,
                `retry-budget-ratio = 0.2\nbudget-window-s = 10\nretry-budget-slack = 100`,
                `[platform]\naddress = "${store.address}"`,
            ].join("\n"),
        );
        const stopped = await runProgram(["entry"], settingsFile, "process started");
        assert.equal(stopped.code, 0, stopped.output);
        assert.match(stopped.output, /process stopped/);
        for (const [args, file] of [[[], settingsFile], [["status"], settingsFile], [["agent"], undefined]] as const) {
            const refused = await runProgram(args, file);
            assert.equal(refused.code, 2, refused.output);
            assert.match(refused.output, /entry/);
        }
    }
    finally {
        store.close();
        rmSync(directory, { recursive: true });
    }
});
