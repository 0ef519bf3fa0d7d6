// Compiles the sources and runs the tests with the Node.js test runner. Arguments select files whose path contains one
// of them.
import { spawnSync } from "node:child_process";
import { readdirSync, readFileSync, rmSync } from "node:fs";
import { join } from "node:path";
import { summarizeGuarantees } from "./guarantees.mjs";

function findTests(directory) {
    return readdirSync(directory, { withFileTypes: true }).flatMap(item => {
        const path = join(directory, item.name);
        if (item.isDirectory()) return findTests(path);
        return item.name.endsWith(".test.js") ? [path] : [];
    });
}

function run(command, args) {
    const result = spawnSync(command, args, { stdio: "inherit" });
    if (result.status !== 0) process.exit(result.status ?? 1);
}

rmSync("build/test", { recursive: true, force: true });
run("node_modules/.bin/tsc", []);
const filters = process.argv.slice(2);
const tests = findTests("build/test").filter(path =>
    filters.length === 0 || filters.some(filter => path.includes(filter))
);
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
    // Stops a test file that hangs. The transfer tests take over two minutes on a busy machine.
    "--test-timeout=600000",
    "--test-concurrency=4",
    ...reporters,
    ...tests,
];
const { status } = spawnSync(process.execPath, nodeArgs, { stdio: "inherit" });
console.log(summarizeGuarantees(readFileSync(results, "utf8")).join("\n"));
process.exit(status ?? 1);
