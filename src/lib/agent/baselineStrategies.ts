/** Transfer strategies that serve as baselines in the distribution benchmark. Production uses `fetchFromPeers`. */
import { setTimeout as sleep } from "node:timers/promises";
import type { Vm } from "../clients/index.js";
import type { DistinctChunk } from "../core/index.js";
import { transferError, type TransferTask } from "./transferTask.js";

const ORIGIN_CONCURRENCY = 4;

/** A second request keeps the link to the predecessor busy while a chunk is verified and written. */
const CHAIN_CONCURRENCY = 2;

/** Number of attempts to fetch one chunk before the transfer fails. */
const MAX_ATTEMPTS = 10;
const RETRY_DELAY_MS = 200;

/** How long the predecessor may wait for a chunk that it doesn't have yet. */
const PREDECESSOR_WAIT_MS = 5000;

/** Fetches every chunk from the origin. */
export function fetchFromOrigin(task: TransferTask): Promise<void> {
    return fetchMissing(task, ORIGIN_CONCURRENCY, chunk => readFromOrigin(task, chunk));
}

/** Fetches from the VM that precedes this one in the order of names; the first VM fetches from the origin. */
export function fetchAlongChain(task: TransferTask): Promise<void> {
    const { settings, peers, sources } = task.environment;
    const predecessor = peers()
        .filter(vm => vm.name < settings.process)
        .reduce<Vm | undefined>(
            (nearest, vm) => nearest === undefined || vm.name > nearest.name ? vm : nearest,
            undefined,
        );
    if (predecessor === undefined) return fetchFromOrigin(task);
    return fetchMissing(task, CHAIN_CONCURRENCY, async chunk => {
        const { version, signal } = task;
        const result = await sources.readFromPeer(predecessor, version.rootDigest, chunk, PREDECESSOR_WAIT_MS, signal);
        await task.acceptChunk(chunk, result, predecessor);
    });
}

async function readFromOrigin(task: TransferTask, chunk: DistinctChunk): Promise<void> {
    const result = await task.environment.sources.readFromOrigin(chunk, task.signal);
    await task.acceptChunk(chunk, result, undefined);
}

async function fetchMissing(
    task: TransferTask,
    concurrency: number,
    fetchChunk: (chunk: DistinctChunk) => Promise<void>,
): Promise<void> {
    const { version, signal } = task;
    const missing = version.chunks.filter(chunk => !version.isHeld(chunk.index));
    async function fetchNext(): Promise<void> {
        for (let chunk = missing.shift(); chunk !== undefined; chunk = missing.shift()) {
            for (let attempt = 0; !version.isHeld(chunk.index); attempt++) {
                if (signal.aborted) return;
                if (attempt === MAX_ATTEMPTS) throw transferError("no source sent a correct chunk %s", chunk.digest);
                if (attempt > 0) await sleep(RETRY_DELAY_MS);
                await fetchChunk(chunk);
            }
        }
    }
    await Promise.all(Array.from({ length: concurrency }, fetchNext));
}
