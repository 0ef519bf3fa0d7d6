/**
 * Command line of the benchmarks. `npm run bench -- NAME [options]` runs one benchmark, prints its results as JSON and,
 * with `--json FILE`, also writes them to a file. Each benchmark is a module that exports `run`.
 */
import { writeFile } from "node:fs/promises";
import { parseArgs } from "node:util";

/** Results of a benchmark by field name. */
export type BenchResults = Readonly<Record<string, unknown>>;

/** A benchmark. Option values are unparsed text from the command line. */
export type Bench = (options: Readonly<Record<string, string>>) => Promise<BenchResults>;

const benches: Readonly<Record<string, () => Promise<Bench>>> = {
    interference: async () => (await import("./interference.js")).run,
    footprint: async () => (await import("./footprint.js")).run,
    distribution: async () => (await import("./distribution.js")).run,
    config: async () => (await import("./config.js")).run,
    subsets: async () => (await import("./subsets.js")).run,
    fairness: async () => (await import("./fairness.js")).run,
    flood: async () => (await import("./flood.js")).run,
    overhead: async () => (await import("./overhead.js")).run,
    placement: async () => (await import("./placement.js")).run,
    faults: async () => (await import("./faults.js")).run,
};

const { positionals, tokens } = parseArgs({ allowPositionals: true, strict: false, tokens: true });
const name = positionals[0] ?? "";
const loadBench = benches[name];
if (loadBench === undefined) {
    process.stderr.write(`unknown benchmark "${name}"; available: ${Object.keys(benches).join(", ")}\n`);
    process.exit(2);
}
const options = readOptions();
const results = await (await loadBench())(options);
const text = JSON.stringify(results, undefined, 4);
process.stdout.write(`${text}\n`);
if (options.json !== undefined) await writeFile(options.json, `${text}\n`);
process.exit(0);

/** Parses `--name value` and `--name=value`. The value of a flag without one is "true". */
function readOptions(): Record<string, string> {
    const parsed: Record<string, string> = {};
    for (const [index, token] of tokens.entries()) {
        if (token.kind !== "option") continue;
        const next = tokens[index + 1];
        const nextValue = next?.kind === "positional" && next.index === token.index + 1 ? next.value : "true";
        parsed[token.name] = token.value ?? nextValue;
    }
    return parsed;
}
