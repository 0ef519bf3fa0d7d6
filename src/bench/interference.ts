/**
 * Benchmark `interference`: time between tokens of live streams during a rollout, compared with the time without one in
 * the same run. On loopback, streams and weight transfers share processors but no network link.
 */
import { randomBytes } from "node:crypto";
import { mkdir, writeFile } from "node:fs/promises";
import * as http from "node:http";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { type Fleet, MODEL_SERVICE, OPERATOR_TOKEN, sendToEntry, waitUntilServing } from "../harness/index.js";
import { createObjectStore } from "../lib/clients/index.js";
import { publishDirectory } from "../lib/publish/index.js";
import type { Bench } from "./bench.js";
import { percentile, round, sendStream, type StreamOutcome } from "./load.js";
import { startMachineMonitor } from "./machine.js";
import { PROFILE, startPool } from "./pool.js";

const ENGINE_COUNT = 8;
const ENTRY_COUNT = 2;
const STREAM_COUNT = 16;
const TOKENS_PER_REQUEST = 40;
const BASELINE_MS = 12_000;
const VM_BYTES_PER_SECOND = 2_000_000;
const WEIGHTS_BYTES = 24_000_000;
const ROLLOUT_TIMEOUT_MS = 120_000;

export const run: Bench = async () => {
    const links = { inBytesPerSecond: VM_BYTES_PER_SECOND, outBytesPerSecond: VM_BYTES_PER_SECOND };
    const { fleet } = await startPool({
        entries: ENTRY_COUNT,
        modelAgentCount: ENGINE_COUNT,
        originBytesPerSecond: 2 * VM_BYTES_PER_SECOND,
        agentSettings: { links },
    }, "agentQueues");
    try {
        const stopMonitor = startMachineMonitor();
        const withoutRollout = await streamWhile(fleet, () => sleep(BASELINE_MS));
        const startedAt = performance.now();
        const duringRollout = await streamWhile(fleet, () => rollOut(fleet));
        const rolloutSeconds = (performance.now() - startedAt) / 1000;
        const [without, during] = [gapsOf(withoutRollout), gapsOf(duringRollout)].map(gaps =>
            percentile(gaps, 0.95)
        ) as [number, number];
        return {
            interTokenP95Ratio: round(during / without),
            interTokenP95WithoutMs: round(without),
            interTokenP95DuringMs: round(during),
            rolloutSeconds: round(rolloutSeconds),
            streams: { without: withoutRollout.length, during: duringRollout.length },
            incomplete: [...withoutRollout, ...duringRollout].filter(({ isComplete }) => !isComplete).length,
            machine: stopMonitor(),
        };
    }
    finally {
        await fleet.stop();
    }
};

/** Keeps a fixed number of streams open until the action has ended, and returns the outcomes of all streams. */
async function streamWhile(fleet: Fleet, action: () => Promise<unknown>): Promise<StreamOutcome[]> {
    const httpAgent = new http.Agent({ keepAlive: true });
    const outcomes: StreamOutcome[] = [];
    let isActive = true;

    async function keepStreaming(stream: number): Promise<void> {
        const url = fleet.entries[stream % fleet.entries.length]?.url ?? "";
        for (let sent = 0; isActive; sent++) {
            const prompt = `stream ${stream} request ${sent}`;
            const client = `client-${stream % 4}`;
            const request = { url, client, rank: "standard", tokens: TOKENS_PER_REQUEST, prompt, httpAgent } as const;
            outcomes.push(await sendStream(request).ended);
        }
    }

    const streams = Array.from({ length: STREAM_COUNT }, (_, stream) => keepStreaming(stream));
    await action();
    isActive = false;
    await Promise.all(streams);
    httpAgent.destroy();
    return outcomes;
}

async function rollOut(fleet: Fleet): Promise<void> {
    const [entry] = fleet.entries;
    if (entry === undefined) throw new Error("the fleet has no entry");
    const directory = join(fleet.directory, "next");
    await mkdir(directory);
    await writeFile(join(directory, "model.bin"), randomBytes(WEIGHTS_BYTES));
    const store = createObjectStore({ url: fleet.platformUrl, timeoutMs: 30_000 });
    const { rootDigest } = await publishDirectory({ directory, model: "m", store });
    const path = `/admin/v1/profiles/${PROFILE}`;
    const { headers } = await sendToEntry(entry, "GET", path, OPERATOR_TOKEN);
    const profile = { name: PROFILE, model: "m", rootDigest, service: MODEL_SERVICE, maxUnavailable: 2 };
    const ifMatch = { "if-match": headers.etag ?? "" };
    const response = await sendToEntry(entry, "PUT", path, OPERATOR_TOKEN, profile, ifMatch);
    if (response.status !== 200) throw new Error(`profile change refused: ${response.status} ${response.body}`);
    await waitUntilServing(fleet, fleet.modelAgents, rootDigest, ROLLOUT_TIMEOUT_MS);
}

function gapsOf(outcomes: readonly StreamOutcome[]): number[] {
    return outcomes.flatMap(({ tokenTimes }) => tokenTimes.slice(1).map((at, index) => at - (tokenTimes[index] ?? at)));
}
