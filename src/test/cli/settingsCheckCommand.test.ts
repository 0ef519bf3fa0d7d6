import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { fileURLToPath } from "node:url";
import { SETTINGS_FILE } from "../platform/settingsFile.js";

const MAIN = fileURLToPath(new URL("../../main.js", import.meta.url));

let directory: string;

before(async () => {
    directory = await mkdtemp(join(tmpdir(), "endivewell-settings-"));
});

after(() => rm(directory, { recursive: true }));

async function check(role: string, text: string): Promise<[number, string]> {
    const file = join(directory, "boot.toml");
    await writeFile(file, text);
    return new Promise(resolve => {
        const child = execFile(
            process.execPath,
            [MAIN, "settings", "check", "--role", role, file],
            (_, out, err) => resolve([child.exitCode ?? -1, out + err]),
        );
    });
}

// Guards against an invalid settings file of the platform that is noticed only when a process fails to start.
test("settings check names what is wrong in a file of the platform", async () => {
    assert.equal((await check("entry", SETTINGS_FILE))[0], 0);
    const [code, text] = await check("entry", SETTINGS_FILE.replace("grace-s = 8", "grace-s = \"8\""));
    assert.equal(code, 2);
    assert.match(text, /boot\.toml: bounds\.grace-s/);
    const [agentCode, agentText] = await check("agent", SETTINGS_FILE);
    assert.equal(agentCode, 2);
    assert.match(agentText, /the role agent needs the address of the model engine/);
});
