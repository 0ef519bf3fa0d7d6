// Formats the sources as dprint.json says. With --check it changes nothing, lists the files that aren't formatted and
// fails if there are any. The formatter is the WebAssembly build, which runs on every architecture and C library.
import { createFromBuffer } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";

const { typescript, includes, excludes, plugins: _, ...globalSettings } = JSON.parse(
    readFileSync("dprint.json", "utf8"),
);

function findFiles() {
    const patterns = [
        ...includes.map(pattern => `:(glob)${pattern}`),
        ...excludes.map(pattern => `:(exclude,glob)${pattern}`),
    ];
    const args = ["ls-files", "--cached", "--others", "--exclude-standard", "--", ...patterns];
    const { status, stdout, stderr } = spawnSync("git", args, { encoding: "utf8" });
    if (status !== 0) throw new Error(`git ls-files failed: ${stderr}`);
    return stdout.split("\n").filter(file => file !== "" && existsSync(file));
}

const isCheck = process.argv.includes("--check");
const formatter = createFromBuffer(readFileSync(getPath()));
formatter.setConfig(globalSettings, typescript);
const diagnostics = formatter.getConfigDiagnostics();
if (diagnostics.length > 0) throw new Error(`dprint.json: ${JSON.stringify(diagnostics)}`);

const files = findFiles();
let changedCount = 0;
for (const file of files) {
    const text = readFileSync(file, "utf8");
    const formatted = formatter.formatText({ filePath: file, fileText: text });
    if (formatted === text) continue;
    changedCount++;
    console.log(isCheck ? `not formatted: ${file}` : `formatted: ${file}`);
    if (!isCheck) writeFileSync(file, formatted);
}
console.log(`${files.length} files, ${changedCount} ${isCheck ? "not formatted" : "formatted"}`);
process.exitCode = files.length === 0 || isCheck && changedCount > 0 ? 1 : 0;
