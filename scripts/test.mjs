// Compiles the sources and runs every test with Node's test runner. Arguments filter by file name.
import { spawnSync } from "node:child_process";
import { readdirSync, readFileSync, rmSync } from "node:fs";
import { join } from "node:path";
import { summarizeGuarantees } from "./guarantees.mjs";

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
const results = "build/test-results.tap";
const reporters = [
    `--test-reporter=${process.stdout.isTTY ? "spec" : "tap"}`,
    "--test-reporter-destination=stdout",
    "--test-reporter=tap",
    `--test-reporter-destination=${results}`,
];
const nodeArgs = [
    "--enable-source-maps",
    "--test",
    // Ends a file that hangs. The file of the transfer tests takes over two minutes on a busy machine.
    "--test-timeout=600000",
    "--test-concurrency=4",
    ...reporters,
    ...tests,
];
const { status } = spawnSync(process.execPath, nodeArgs, { stdio: "inherit" });
console.log(summarizeGuarantees(readFileSync(results, "utf8")).join("\n"));
process.exit(status ?? 1);
