// Runs every property test with new seeds for a time: `npm run test:long -- SECONDS` (60 by default). fast-check prints
// the seed and the path of a failure.
import { spawnSync } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const seconds = Number(process.argv[2] ?? 60);
if (!(seconds > 0)) {
    console.error("usage: npm run test:long -- SECONDS");
    process.exit(2);
}
spawnSync("node_modules/.bin/tsc", [], { stdio: "inherit" });
const tests = readdirSync("build/test", { recursive: true })
    .filter(name => name.endsWith(".test.js"))
    .map(name => join("build/test", name))
    .filter(path => readFileSync(path, "utf8").includes("longTestParameters("));
const env = { ...process.env, ENDIVEWELL_LONG_TEST_MS: String(seconds * 1000) };
const result = spawnSync(process.execPath, ["--enable-source-maps", "--test", ...tests], { stdio: "inherit", env });
process.exit(result.status ?? 1);
