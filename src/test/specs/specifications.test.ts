import assert from "node:assert/strict";
import { execFile, spawnSync } from "node:child_process";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { describe, test } from "node:test";
import { promisify } from "node:util";

const runCommand = promisify(execFile);
const isInstalled = (command: string) => spawnSync(command, ["--version"]).error === undefined;
const skip = isInstalled("spin") && isInstalled("gcc") ? false : "spin or gcc is not installed";
if (skip !== false) process.stdout.write(`specifications are NOT checked: ${skip}\n`);

/** Memory limit of the verifier. A search that reaches it stops and counts as incomplete. */
const MEMORY_LIMIT_MB = 1500;

/** Model-checks every reachable state of a specification and returns the verifier's report. */
async function verify(specification: string, macros: readonly string[]): Promise<string> {
    const cwd = await mkdtemp(join(tmpdir(), "endivewell-spec-"));
    try {
        await runCommand("spin", ["-a", ...macros.map(macro => `-D${macro}`), resolve("specs", specification)], {
            cwd,
        });
        await runCommand("gcc", ["-O1", "-w", "-DSAFETY", `-DMEMLIM=${MEMORY_LIMIT_MB}`, "-o", "pan", "pan.c"], {
            cwd,
        });
        const { stdout } = await runCommand("./pan", ["-m100000"], { cwd });
        return stdout;
    }
    finally {
        await rm(cwd, { recursive: true, force: true });
    }
}

interface Check {
    readonly specification: string;
    /** Macro sets with which the complete state space is searched without an error. */
    readonly complete: readonly (readonly string[])[];
    /** Macro sets that remove one safeguard, so that the search must find a violation. */
    readonly failing: readonly (readonly string[])[];
}

const checks: readonly Check[] = [
    {
        specification: "claim.pml",
        complete: [["LOSSES=2", "CRASHES=0", "OUTAGES=0"], ["LOSSES=1", "CRASHES=1"]],
        failing: [
            ["NO_CLAIM"],
            ["TRUST_UNCLEAR"],
            ["TAKE_OVER_HELD"],
            ["RELEASE_AFTER_DISPATCH"],
            ["DELETE_ON_RELEASE"],
            ["KEEP_RELEASED"],
            ["LAST_VERDICT", "LOSSES=1"],
        ],
    },
    {
        specification: "activation.pml",
        complete: [
            [],
            ["CHECKS_FENCE"],
            ["ONE_AGENT"],
            ["ONE_AGENT", "CHECKS_FENCE"],
            ["ONE_AGENT", "RESTARTS=1"],
            ["ONE_AGENT", "RESTARTS=1", "CHECKS_FENCE"],
        ],
        failing: [
            ["NO_END_CHECK"],
            ["NO_GENERATION"],
            ["NO_VERIFY"],
            ["NO_REREAD"],
            ["NO_END_CHECK", "CHECKS_FENCE"],
            ["NO_PAUSE", "ONE_AGENT"],
            ["NO_END_CHECK", "ONE_AGENT", "RESTARTS=1"],
            ["NO_REREAD", "ONE_AGENT", "RESTARTS=1"],
        ],
    },
    {
        specification: "lease.pml",
        complete: [[]],
        failing: [["NO_VALIDITY"], ["NO_EPOCH"], ["NO_REFRESH"], ["EARLY_TAKEOVER"]],
    },
    {
        specification: "configuration.pml",
        complete: [[]],
        failing: [
            ["NO_CONDITION"],
            ["NO_CHANGE_ID"],
            ["TRUST_UNCLEAR"],
            ["CONFLICT_AFTER_UNCLEAR"],
            ["NO_GREATEST"],
            ["NO_GAP"],
        ],
    },
];

describe("specifications", { skip, concurrency: 3 }, () => {
    for (const { specification, complete, failing } of checks) {
        for (const macros of complete) {
            // Guards against a protocol step that violates a guarantee in some interleaving.
            test(`${specification} ${macros.join(" ")} holds in every state`, async () => {
                const report = await verify(specification, macros);
                assert.match(report, /errors: 0\n/, report);
                assert.doesNotMatch(report, /MEMLIM|max search depth too small|out of memory/, report);
            });
        }
        for (const macros of failing) {
            // Guards against a specification that holds only because it doesn't model the fault.
            test(`${specification} ${macros.join(" ")} fails`, async () => {
                assert.match(await verify(specification, macros), /assertion violated/);
            });
        }
    }
});
