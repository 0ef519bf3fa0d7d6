/** Runs a fake runner in a thread of its own, which goes on while the thread of a test is blocked. */
import { isMainThread, parentPort, Worker, workerData } from "node:worker_threads";
import { respondWithSilence, type SilentStream, startFakeRunner } from "./fakeRunner.js";

export interface RunnerThread {
    readonly address: string;
    /** Returns the number of requests that the runner has received. */
    requestCount(): number;
    close(): Promise<unknown>;
}

/** Starts a runner that responds to each request with the stream. */
export async function startRunnerThread(stream: SilentStream): Promise<RunnerThread> {
    const worker = new Worker(new URL(import.meta.url), { workerData: stream });
    let requestCount = 0;
    const address = await new Promise<string>((resolve, reject) => {
        worker.once("error", reject);
        worker.once("message", resolve);
    });
    worker.on("message", () => requestCount++);
    return { address, requestCount: () => requestCount, close: () => worker.terminate() };
}

if (!isMainThread && parentPort !== null) {
    const port = parentPort;
    const { address } = await startFakeRunner(request => {
        port.postMessage("request");
        respondWithSilence(request, workerData as SilentStream);
    });
    port.postMessage(address);
}
