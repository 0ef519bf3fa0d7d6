/**
 * Benchmark `distribution`: time from an accepted profile change until all replicas of a pool serve the version, and
 * number of copies transferred over the links, for the transfer between agents and for two baselines.
 *
 * Options: `--replicas N` (24), `--seed N`, `--megabytes N` of weights, `--rate N` MB/s of a VM's link in each
 * direction, `--chunk-kb N`, `--strategies LIST`, `--scale LIST` of replica counts for the scaling ratio,
 * `--regions N` (1), `--second` to roll out a second version, `--region-rate N` MB/s of the link between two regions in
 * each direction, `--failed FRACTION` of the VMs that are killed or paused during the rollout.
 */
import { mkdir, readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
    type Fleet,
    type FleetProcess,
    MODEL_SERVICE,
    OPERATOR_TOKEN,
    sendToEntry,
    startFleet,
} from "../harness/index.js";
import { createObjectStore, sendRequest } from "../lib/clients/index.js";
import { publishDirectory } from "../lib/publish/index.js";
import type { TransferState } from "../lib/rpc/index.js";
import type { Bench, BenchResults } from "./bench.js";

interface RunParameters {
    readonly strategy: string;
    readonly replicas: number;
    readonly seed: number;
    readonly bytes: number;
    readonly bytesPerSecond: number;
    readonly chunkBytes: number;
    readonly regions: number;
    readonly regionBytesPerSecond: number;
    readonly second: boolean;
    /** Fraction of the VMs that fail during the rollout. */
    readonly failed: number;
}

interface RunMeasurements {
    readonly seconds: number;
    readonly originCopies: number;
    /** Largest number of copies transferred into one region, including all control traffic. */
    readonly regionLinkCopies: number;
    readonly maxVmCopies: number;
    readonly meanVmCopies: number;
    /** Mean number of copies that a VM received for a second version of which a tenth differs; only with `--second`. */
    readonly sharedChunkBytes: number | undefined;
    readonly peakAgentRssMb: number;
    readonly idleAgentRssMb: number;
}

const MEGABYTE = 1_000_000;
const PEERS = "peers";
const REGIONS = ["etela", "lansi", "pohjoinen"];
const REGION_LATENCY_MS = 3;

/** Fraction of the bytes, at the end of the file, that differ in the second version. */
const CHANGED_FRACTION = 0.1;

/** Fraction of a link between regions that weights may use; the rest is for control and live traffic. */
const REGION_LINK_FRACTION = 0.9;
const SERVE_TIMEOUT_MS = 300_000;
const POLL_MS = 100;

/** Time at which VMs fail, as a fraction of the lower bound of the rollout time. */
const FAILURE_TIME_FRACTION = 0.3;

/** Time for the agents to read the VM list after the last VM was added to it. */
const VM_LIST_SETTLE_MS = 1500;

export const run: Bench = async options => {
    const readNumber = (name: string, fallback: number) => Number(options[name] ?? fallback);
    const replicas = readNumber("replicas", 24);
    const base = {
        seed: readNumber("seed", 1),
        bytes: readNumber("megabytes", 24) * MEGABYTE,
        bytesPerSecond: readNumber("rate", 2) * MEGABYTE,
        chunkBytes: readNumber("chunk-kb", 128) * 1024,
        second: options.second !== undefined,
        regions: Math.min(readNumber("regions", 1), REGIONS.length),
        failed: readNumber("failed", 0),
        // The default is a third of a VM's rate, so that the links between three regions are the bottleneck.
        regionBytesPerSecond: Math.round(readNumber("region-rate", readNumber("rate", 2) / 3) * MEGABYTE),
    };
    const splitList = (text: string) => text.split(",").filter(item => item !== "");
    const strategies = splitList(options.strategies ?? `${PEERS},chain,originOnly`);
    const runs: Record<string, RunMeasurements> = {};
    for (const strategy of strategies) runs[strategy] = await measure({ ...base, strategy, replicas });
    const scale: Record<string, RunMeasurements> = {};
    for (const count of splitList(options.scale ?? "")) {
        scale[count] = await measure({ ...base, strategy: PEERS, replicas: Number(count) });
    }
    return summarize(lowerBoundSeconds(base), replicas, runs, scale, base);
};

/** Lower bound of the rollout time. The region of the weight store sends each byte once, spread over all its links. */
function lowerBoundSeconds(base: Omit<RunParameters, "strategy" | "replicas">): number {
    const { bytes, bytesPerSecond, regions, regionBytesPerSecond } = base;
    const crossingSeconds = regions > 1 ? bytes / ((regions - 1) * regionBytesPerSecond) : 0;
    return Math.max(bytes / bytesPerSecond, crossingSeconds);
}

function summarize(
    boundSeconds: number,
    replicas: number,
    runs: Readonly<Record<string, RunMeasurements>>,
    scale: Readonly<Record<string, RunMeasurements>>,
    base: Readonly<Record<string, number | boolean>>,
): BenchResults {
    const peersRun = runs[PEERS];
    const ratio = (a: RunMeasurements | undefined, b: RunMeasurements | undefined) => {
        return a === undefined || b === undefined ? undefined : round(a.seconds / b.seconds);
    };
    const counts = Object.keys(scale).map(Number).sort((a, b) => a - b);
    return {
        replicas,
        ...base,
        boundSeconds: round(boundSeconds),
        originCopies: peersRun?.originCopies,
        regionLinkCopies: peersRun?.regionLinkCopies,
        sharedChunkBytes: peersRun?.sharedChunkBytes,
        maxVmCopies: peersRun?.maxVmCopies,
        meanVmCopies: peersRun?.meanVmCopies,
        secondsOverBound: peersRun && round(peersRun.seconds / boundSeconds),
        speedupOverOriginOnly: ratio(runs.originOnly, peersRun),
        speedupOverChain: ratio(runs.chain, peersRun),
        peakAgentRssMb: peersRun?.peakAgentRssMb,
        idleAgentRssMb: peersRun?.idleAgentRssMb,
        secondsRatioOfScale: ratio(scale[String(counts.at(-1))], scale[String(counts[0])]),
        runs,
        scale,
    };
}

async function measure(parameters: RunParameters): Promise<RunMeasurements> {
    const { strategy, replicas, bytes, bytesPerSecond, seed, regions, regionBytesPerSecond } = parameters;
    const regionOptions = regions > 1 ?
        {
            regions: REGIONS.slice(0, regions),
            regionLinks: { bytesPerSecond: regionBytesPerSecond, latencyMs: REGION_LATENCY_MS },
        } :
        {};
    const fleet = await startFleet({
        entries: 1,
        modelAgentCount: replicas,
        bookingAgentCount: 0,
        seed,
        originBytesPerSecond: 2 * bytesPerSecond,
        ...regionOptions,
        agentSettings: {
            transferStrategy: strategy,
            links: {
                inBytesPerSecond: bytesPerSecond,
                outBytesPerSecond: bytesPerSecond,
                regionBytesPerSecond: Math.round(REGION_LINK_FRACTION * regionBytesPerSecond),
            },
        },
    });
    try {
        const rootDigest = await publishRandomWeights(fleet, parameters);
        await sleep(VM_LIST_SETTLE_MS);
        const idleAgentRssMb = await readMaxRssMb(fleet.modelAgents, "VmRSS");
        const before = await readEvidence(fleet);
        const failingAgents = fleet.modelAgents.slice(0, Math.round(parameters.failed * replicas));
        const healthyAgents = fleet.modelAgents.slice(failingAgents.length);
        const failures = failAgents(failingAgents, FAILURE_TIME_FRACTION * lowerBoundSeconds(parameters));
        const { seconds, etag } = await rollOut(fleet, healthyAgents, rootDigest);
        await failures;
        const states = await Promise.all(healthyAgents.map(fleet.readState));
        const copies = states.map(state => transferredBytes(state.transfers[0]) / bytes);
        const after = await readEvidence(fleet);
        const sharedChunkBytes = parameters.second ? await measureSecondVersion(fleet, parameters, etag) : undefined;
        return {
            seconds: round(seconds),
            sharedChunkBytes,
            originCopies: round((after.originBytes - before.originBytes) / bytes),
            regionLinkCopies: round(largestInflow(before.linkBytes, after.linkBytes) / bytes),
            maxVmCopies: round(Math.max(...copies)),
            meanVmCopies: round(copies.reduce((sum, value) => sum + value, 0) / copies.length),
            peakAgentRssMb: await readMaxRssMb(healthyAgents, "VmHWM"),
            idleAgentRssMb,
        };
    }
    finally {
        await fleet.stop();
    }
}

async function publishRandomWeights(fleet: Fleet, { bytes, seed, chunkBytes }: RunParameters): Promise<string> {
    const directory = join(fleet.directory, "weights");
    await mkdir(directory);
    const generator = xoroshiro128plus(seed);
    const words = Int32Array.from({ length: bytes / 4 }, () => uniformInt(generator, -0x80000000, 0x7fffffff));
    await writeFile(join(directory, "model.bin"), new Uint8Array(words.buffer));
    const store = createObjectStore({ url: fleet.platformUrl, timeoutMs: 5000 });
    return (await publishDirectory({ directory, model: "m", chunkBytes, store })).rootDigest;
}

/** Kills half of the agents and pauses the others, whose connections stay open but silent. */
async function failAgents(agents: readonly FleetProcess[], afterSeconds: number): Promise<void> {
    await sleep(afterSeconds * 1000);
    agents.forEach((agent, index) => agent.signal(index % 2 === 0 ? "SIGKILL" : "SIGSTOP"));
}

/**
 * Changes the profile and returns the seconds from its acceptance until every replica reports that it serves the
 * version.
 */
async function rollOut(
    fleet: Fleet,
    replicas: readonly FleetProcess[],
    rootDigest: string,
    etag?: string,
): Promise<{ seconds: number; etag: string; }> {
    const [entry] = fleet.entries;
    if (entry === undefined) throw new Error("the fleet has no entry");
    const profile = { name: "desk", model: "m", rootDigest, service: MODEL_SERVICE };
    const headers: Record<string, string> = etag === undefined ? {} : { "if-match": etag };
    const response = await sendToEntry(entry, "PUT", "/admin/v1/profiles/desk", OPERATOR_TOKEN, profile, headers);
    if (response.status !== 200) throw new Error(`profile change refused: ${response.status} ${response.body}`);
    const startedAt = performance.now();
    let pending = replicas;
    while (pending.length > 0) {
        if (performance.now() - startedAt > SERVE_TIMEOUT_MS) {
            throw new Error(`${pending.length} replicas didn't serve the version within ${SERVE_TIMEOUT_MS} ms`);
        }
        await sleep(POLL_MS);
        const states = await Promise.all(pending.map(fleet.readState));
        pending = pending.filter((_, index) => states[index]?.servingDigest !== rootDigest);
    }
    return { seconds: (performance.now() - startedAt) / 1000, etag: response.headers.etag ?? "" };
}

/** Rolls out a version whose last tenth differs, and returns the mean number of copies that a VM received. */
async function measureSecondVersion(fleet: Fleet, parameters: RunParameters, etag: string): Promise<number> {
    const { bytes, chunkBytes } = parameters;
    const directory = join(fleet.directory, "weights");
    const path = join(directory, "model.bin");
    const content = await readFile(path);
    const changedBytes = content.subarray(Math.floor(bytes * (1 - CHANGED_FRACTION)));
    changedBytes.forEach((value, offset) => changedBytes[offset] = value ^ 0xff);
    await writeFile(path, content);
    const store = createObjectStore({ url: fleet.platformUrl, timeoutMs: 5000 });
    const { rootDigest } = await publishDirectory({ directory, model: "m", chunkBytes, store });
    await rollOut(fleet, fleet.modelAgents, rootDigest, etag);
    const states = await Promise.all(fleet.modelAgents.map(fleet.readState));
    const received = states.map(({ transfers: [state] }) => transferredBytes(state) - (state?.bytesSent ?? 0));
    return round(received.reduce((sum, value) => sum + value, 0) / received.length / bytes);
}

interface Evidence {
    readonly originBytes: number;
    /** Bytes per direction, under keys such as `etela>lansi`. */
    readonly linkBytes: Readonly<Record<string, number>>;
}

async function readEvidence(fleet: Fleet): Promise<Evidence> {
    const response = await sendRequest({ method: "GET", url: `${fleet.platformUrl}/evidence` });
    return JSON.parse(response.body.toString()) as Evidence;
}

function largestInflow(before: Evidence["linkBytes"], after: Evidence["linkBytes"]): number {
    const inflow = new Map<string, number>();
    for (const [direction, bytes] of Object.entries(after)) {
        const region = direction.split(">")[1] ?? "";
        inflow.set(region, (inflow.get(region) ?? 0) + bytes - (before[direction] ?? 0));
    }
    return Math.max(0, ...inflow.values());
}

function transferredBytes(state: TransferState | undefined): number {
    if (state === undefined) return 0;
    return state.bytesFromOrigin + state.bytesFromDomain + state.bytesFromRegion + state.bytesFromOtherRegions +
        state.bytesSent;
}

/** Returns the largest resident set size of the agents. Weights are in files and aren't included. */
async function readMaxRssMb(agents: readonly FleetProcess[], field: "VmRSS" | "VmHWM"): Promise<number> {
    const sizes = await Promise.all(agents.map(async ({ pid }) => {
        const text = await readFile(`/proc/${pid}/status`, "utf8");
        return Number(new RegExp(`${field}:\\s+(\\d+)`).exec(text)?.[1] ?? 0) * 1024 / MEGABYTE;
    }));
    return round(Math.max(...sizes));
}

function round(value: number): number {
    return Math.round(value * 1000) / 1000;
}
