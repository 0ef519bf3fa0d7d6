/**
 * Command line of the fault soak:
 * `npm run soak -- [--seeds N] [--first SEED] [--seconds S] [--entries N] [--servers N] [--callers N] [--verbose]
 * [--logs DIRECTORY] [--fault NAME]...`; the logs of the entries of a failed run are written to that directory.
 * Only faults whose names contain one of the given texts are injected.
 */
import { randomInt } from "node:crypto";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { runSoak } from "./soak.js";

const { values } = parseArgs({
    options: {
        seeds: { type: "string", default: "10" },
        first: { type: "string" },
        seconds: { type: "string", default: "10" },
        entries: { type: "string", default: "3" },
        servers: { type: "string", default: "6" },
        callers: { type: "string", default: "12" },
        fault: { type: "string", multiple: true, default: [""] },
        logs: { type: "string" },
        verbose: { type: "boolean", default: false },
    },
});

const print = (text: string) => void process.stdout.write(`${text}\n`);

const MAX_SEED = 1_000_000;
const first = values.first === undefined ? randomInt(MAX_SEED) : Number(values.first);
let failedCount = 0;
for (let seed = first; seed < first + Number(values.seeds); seed++) {
    const lines: string[] = [];
    const result = await runSoak({
        seed,
        seconds: Number(values.seconds),
        entries: Number(values.entries),
        servers: Number(values.servers),
        callers: Number(values.callers),
        faultNames: values.fault,
        log: line => void (values.verbose ? print(line) : lines.push(line)),
    });
    const { violations, calls, answered, runs, faults } = result;
    print(JSON.stringify({ seed, faults, calls, answered, runs, violations: violations.length }));
    if (violations.length === 0) continue;
    failedCount++;
    print([...lines, ...violations.slice(0, 20)].join("\n"));
    if (values.logs === undefined) continue;
    mkdirSync(values.logs, { recursive: true });
    for (const [name, log] of result.entryLogs) writeFileSync(join(values.logs, `${seed}-${name}.log`), log);
}
print(`${Number(values.seeds) - failedCount} passed, ${failedCount} failed`);
process.exit(failedCount === 0 ? 0 : 1);
