/**
 * Benchmark `footprint`: memory, CPU time and network bytes that each role uses for the control plane, for several
 * fleet sizes, idle and under a light load, and their growth per agent. Entries and agents run from the bundle, because
 * source maps and separate modules change their memory usage.
 */
import { randomBytes } from "node:crypto";
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import {
    type Fleet,
    type FleetProcess,
    meterFileOf,
    MODEL_SERVICE,
    OPERATOR_TOKEN,
    type ProcessUsage,
    readUsage,
    sendToEntry,
    startFleet,
    waitUntilServing,
} from "../harness/index.js";
import { createObjectStore } from "../lib/clients/index.js";
import { publishDirectory } from "../lib/publish/index.js";
import type { Bench } from "./bench.js";

const ENTRY_COUNT = 4;
const SETTLE_MS = 3000;
const MEASURE_MS = 10_000;
const LOAD_REQUESTS_PER_SECOND = 50;
const TOKENS_PER_REQUEST = 8;
const WEIGHTS_BYTES = 1024 * 1024;

interface RoleUsage {
    readonly rssMb: number;
    readonly anonymousMb: number;
    readonly cpuPercentOfCore: number;
    readonly bytesPerSecond: number;
    readonly openSockets: number;
}

interface SizeMeasurements {
    readonly agents: number;
    readonly idle: Readonly<Record<"entry" | "agent", RoleUsage>>;
    readonly loaded: Readonly<Record<"entry" | "agent", RoleUsage>>;
    readonly loadedRequestsPerSecond: number;
}

export const run: Bench = async options => {
    const sizes = (options.agents ?? "8,24,60").split(",").map(Number);
    const measured: SizeMeasurements[] = [];
    for (const agents of sizes) measured.push(await measureSize(agents));
    return { entries: ENTRY_COUNT, sizes: measured, idleSlopePerAgent: slopesOf(measured) };
};

async function measureSize(agents: number): Promise<SizeMeasurements> {
    const fleet = await startFleet({
        entries: ENTRY_COUNT,
        modelAgentCount: agents,
        bookingAgentCount: 0,
        metered: true,
        bundled: true,
    });
    try {
        await rollOut(fleet);
        await sleep(SETTLE_MS);
        const idle = await measureRoles(fleet, () => Promise.resolve());
        let requests = 0;
        const loaded = await measureRoles(fleet, async () => {
            requests = await sendLoad(fleet, MEASURE_MS);
        });
        return { agents, idle, loaded, loadedRequestsPerSecond: requests / (MEASURE_MS / 1000) };
    }
    finally {
        await fleet.stop();
    }
}

async function rollOut(fleet: Fleet): Promise<void> {
    const weights = join(fleet.directory, "weights");
    await mkdir(weights);
    await writeFile(join(weights, "model.bin"), randomBytes(WEIGHTS_BYTES));
    const store = createObjectStore({ url: fleet.platformUrl, timeoutMs: 5000 });
    const { rootDigest } = await publishDirectory({ directory: weights, model: "m", store });
    const profile = {
        name: "desk",
        model: "m",
        rootDigest,
        service: MODEL_SERVICE,
        maxUnavailable: fleet.modelAgents.length,
    };
    const [entry] = fleet.entries;
    if (entry === undefined) throw new Error("the fleet has no entry");
    const response = await sendToEntry(entry, "PUT", "/admin/v1/profiles/desk", OPERATOR_TOKEN, profile);
    if (response.status !== 200) throw new Error(`profile change refused: ${response.status} ${response.body}`);
    await waitUntilServing(fleet, fleet.modelAgents, rootDigest, 120_000);
}

async function measureRoles(fleet: Fleet, load: () => Promise<void>): Promise<Record<"entry" | "agent", RoleUsage>> {
    const processes = [...fleet.entries, ...fleet.modelAgents];
    const before = await readAll(processes);
    const startedAt = performance.now();
    await Promise.all([load(), sleep(MEASURE_MS)]);
    const seconds = (performance.now() - startedAt) / 1000;
    const after = await readAll(processes);
    const usages = processes.map((_, index) => usageBetween(before[index], after[index], seconds));
    return {
        entry: meanUsage(usages.slice(0, fleet.entries.length)),
        agent: meanUsage(usages.slice(fleet.entries.length)),
    };
}

function readAll(processes: readonly FleetProcess[]): Promise<ProcessUsage[]> {
    return Promise.all(processes.map(process => readUsage(process, meterFileOf(process.settingsFile))));
}

function usageBetween(before: ProcessUsage | undefined, after: ProcessUsage | undefined, seconds: number): RoleUsage {
    if (before === undefined || after === undefined) throw new Error("the usage of a process is missing");
    const bytes = after.bytesRead + after.bytesWritten - before.bytesRead - before.bytesWritten;
    return {
        rssMb: after.rssMb,
        anonymousMb: after.anonymousMb,
        cpuPercentOfCore: 100 * (after.cpuSeconds - before.cpuSeconds) / seconds,
        bytesPerSecond: bytes / seconds,
        openSockets: after.openSockets,
    };
}

async function sendLoad(fleet: Fleet, durationMs: number): Promise<number> {
    const body = { model: "desk", stream: true, max_tokens: TOKENS_PER_REQUEST, prompt: "hello" };
    const deadline = performance.now() + durationMs;
    const pending: Promise<unknown>[] = [];
    let sentCount = 0;
    while (performance.now() < deadline) {
        const entry = fleet.entries[sentCount % fleet.entries.length];
        if (entry === undefined) break;
        pending.push(sendToEntry(entry, "POST", "/v1/completions", `client-${sentCount % 4}`, body));
        sentCount++;
        await sleep(1000 / LOAD_REQUESTS_PER_SECOND);
    }
    await Promise.all(pending);
    return sentCount;
}

function meanUsage(usages: readonly RoleUsage[]): RoleUsage {
    const average = (pick: (usage: RoleUsage) => number) => {
        return usages.reduce((sum, usage) => sum + pick(usage), 0) / usages.length;
    };
    return {
        rssMb: average(usage => usage.rssMb),
        anonymousMb: average(usage => usage.anonymousMb),
        cpuPercentOfCore: average(usage => usage.cpuPercentOfCore),
        bytesPerSecond: average(usage => usage.bytesPerSecond),
        openSockets: average(usage => usage.openSockets),
    };
}

/**
 * Growth per additional agent from the first to the last fleet size given, while idle. Empty with fewer than two sizes.
 */
function slopesOf(sizes: readonly SizeMeasurements[]): Record<"entry" | "agent", Partial<RoleUsage>> {
    const smallest = sizes[0];
    const largest = sizes.at(-1);
    if (smallest === undefined || largest === undefined || smallest === largest) return { entry: {}, agent: {} };
    const addedAgents = largest.agents - smallest.agents;
    const slope = (role: "entry" | "agent") => ({
        rssMb: (largest.idle[role].rssMb - smallest.idle[role].rssMb) / addedAgents,
        cpuPercentOfCore: (largest.idle[role].cpuPercentOfCore - smallest.idle[role].cpuPercentOfCore) / addedAgents,
        bytesPerSecond: (largest.idle[role].bytesPerSecond - smallest.idle[role].bytesPerSecond) / addedAgents,
    });
    return { entry: slope("entry"), agent: slope("agent") };
}
