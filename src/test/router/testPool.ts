/** Test helper that starts an entry with a pool of fake runners. Everything is closed after each test of the file. */
import { afterEach } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { VmSettings } from "../../lib/settings/vmSettings.js";
import {
    configurationRow,
    type FakeRunner,
    type ReceivedRequest,
    serverRow,
    startFakeRunner,
} from "../platform/fakeRunner.js";
import { startFakeStore } from "../platform/fakeStore.js";
import { type CallResponse, createVmSettings, findFreePortRange, sendCall, startTestRouter } from "./routerHarness.js";

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
    // At once, because an entry takes over 2 s to stop.
    await Promise.all(cleanups.splice(0).reverse().map(cleanup => cleanup()));
});

export interface Pool {
    readonly runners: readonly FakeRunner[];
    call(path: string, deadlineMs?: number, signal?: AbortSignal): Promise<CallResponse>;
    /** All requests that the servers have received, in the order of their arrival. */
    readonly requests: readonly ReceivedRequest[];
    requestCount(): number;
    readonly callerPort: number;
    /** Lines of the entry's log, oldest first. */
    readonly logLines: readonly string[];
    /** Returns the number of sends that ended with a result, from the entry's metrics. */
    sendCount(result: string): Promise<number>;
}

export interface PoolOptions {
    /** `number` counts the requests that the servers have received, including this one. */
    readonly respond: (request: ReceivedRequest, number: number) => void;
    /** Changes to the row of each server; the number of rows is the number of servers. */
    readonly rows?: readonly object[];
    /** Changes to all routes. */
    readonly route?: object;
    readonly retries?: VmSettings["bounds"]["retries"];
}

export async function startPool({ respond, rows = [{}], route = {}, retries }: PoolOptions): Promise<Pool> {
    const store = await startFakeStore();
    cleanups.push(store.close);
    const { routes } = configurationRow(1) as { routes: object[]; };
    store.put("op", "config", configurationRow(1, { routes: routes.map(base => ({ ...base, ...route })) }));
    const runners: FakeRunner[] = [];
    const requests: ReceivedRequest[] = [];
    const logLines: string[] = [];
    for (const [index, row] of rows.entries()) {
        const runner = await startFakeRunner(request => {
            requests.push(request);
            respond(request, requests.length);
        });
        cleanups.push(runner.close);
        runners.push(runner);
        store.put("servers", `i-${index + 1}`, serverRow(runner.address, row));
    }
    const peerPort = await findFreePortRange();
    const settings = createVmSettings(store.address, peerPort);
    const bounds = retries === undefined ? settings.bounds : { ...settings.bounds, retries };
    const router = await startTestRouter({ ...settings, bounds }, line => void logLines.push(line));
    cleanups.push(router.stop);
    await sleep(100);
    return {
        runners,
        requests,
        call: (path, deadlineMs = 3000, signal) =>
            sendCall(router.callerPort, {
                path,
                method: "POST",
                body: "x",
                signal,
                headers: { "deadline-ms": String(deadlineMs) },
            }),
        requestCount: () => requests.length,
        callerPort: router.callerPort,
        logLines,
        sendCount: async result => {
            const { body: text } = await sendCall(peerPort, { path: "/metrics" });
            return Number(
                new RegExp(`^endivewell_sends_total{.*result="${result}".*} (\\d+)$`, "m").exec(text)?.[1] ?? 0,
            );
        },
    };
}
