import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { test } from "node:test";

const MODULE = new URL("../../lib/observability/index.js", import.meta.url).href;
const SCRIPT = `import { DevWarning, issueDevWarning } from "${MODULE}";
for (const text of ["first", "second"]) issueDevWarning(DevWarning.baselineTransfer, text);`;

function runScript(environment: string): string {
    const env = { ...process.env, NODE_ENV: environment };
    return spawnSync(process.execPath, ["--input-type=module", "--eval", SCRIPT], { env }).stderr.toString();
}

// Guards against warnings that are repeated or that appear in production logs.
test("a development warning is printed once with its code, and not in production", () => {
    assert.match(runScript("development"), /baseline-transfer: first/);
    assert.doesNotMatch(runScript("development"), /second/);
    assert.equal(runScript("production"), "");
});
