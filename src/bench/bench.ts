/**
 * `npm run bench -- NAME [options]`: runs one bench, prints its figures and, with `--json FILE`, writes
 * them to a file. Each bench is a module that exports `run`.
 */
import { writeFile } from "node:fs/promises";
import { parseArgs } from "node:util";

/** Figures of one bench by field name. */
export type Figures = Readonly<Record<string, unknown>>;

/** A bench takes its options as text, as given on the command line. */
export type Bench = (options: Readonly<Record<string, string>>) => Promise<Figures>;

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
const load = benches[name];
if (load === undefined) {
    process.stderr.write(`unknown bench ${name}; known: ${Object.keys(benches).join(", ")}\n`);
    process.exit(2);
}
const options = readOptions();
const figures = await (await load())(options);
const text = JSON.stringify(figures, undefined, 4);
process.stdout.write(`${text}\n`);
if (options.json !== undefined) await writeFile(options.json, `${text}\n`);
process.exit(0);

/** Reads `--name value` and `--name=value`; a flag without a value is "true". */
function readOptions(): Record<string, string> {
    const read: Record<string, string> = {};
    for (const [index, token] of tokens.entries()) {
        if (token.kind !== "option") continue;
        const next = tokens[index + 1];
        const separate = next?.kind === "positional" && next.index === token.index + 1 ? next.value : "true";
        read[token.name] = token.value ?? separate;
    }
    return read;
}
