// Compiles the sources and runs every test with Node's test runner. Arguments filter by file name.
import { spawnSync } from "node:child_process";
import { readdirSync, rmSync } from "node:fs";
import { join } from "node:path";

function findTests(directory) {
    return readdirSync(directory, { withFileTypes: true }).flatMap(entry => {
        const path = join(directory, entry.name);
        if (entry.isDirectory()) return findTests(path);
        return entry.name.endsWith(".test.js") ? [path] : [];
    });
}

function run(command, args) {
    const result = spawnSync(command, args, { stdio: "inherit" });
    if (result.status !== 0) process.exit(result.status ?? 1);
}

rmSync("build/test", { recursive: true, force: true });
run("node_modules/.bin/tsc", []);
const filters = process.argv.slice(2);
const tests = findTests("build/test").filter(path => filters.length === 0 || filters.some(f => path.includes(f)));
if (tests.length === 0) {
    console.error(`no test file matches ${filters.join(" ")}`);
    process.exit(2);
}
run(process.execPath, [
    "--enable-source-maps",
    "--test",
    "--test-force-exit",
    "--test-timeout=180000",
    "--test-concurrency=4",
    ...tests,
]);
