/** Test helpers that start an entry with the fake store and send requests to it as a caller. */
import { randomInt } from "node:crypto";
import * as http from "node:http";
import { createServer } from "node:net";
import { createEventLog } from "../../lib/observability/index.js";
import { createPlatformStore } from "../../lib/platform/index.js";
import { type Router, startRouter } from "../../lib/router/index.js";
import type { VmSettings } from "../../lib/settings/vmSettings.js";

/** Size of a reserved range; processes also use some ports above the one that they are given. */
const PORT_RANGE_SIZE = 16;

/**
 * Returns the first port of a range that is free on each of the addresses. The range lies below the ephemeral ports,
 * which connections of parallel tests could otherwise take before the test does.
 */
export async function findFreePortRange(...ips: readonly string[]): Promise<number> {
    const addresses = ips.length === 0 ? ["127.0.0.1"] : ips;
    for (;;) {
        const firstPort = randomInt(10_000 / PORT_RANGE_SIZE, 32_000 / PORT_RANGE_SIZE) * PORT_RANGE_SIZE;
        const ports = Array.from({ length: PORT_RANGE_SIZE }, (_, index) => firstPort + index);
        const checks = addresses.flatMap(ip => ports.map(port => isFree(ip, port)));
        if ((await Promise.all(checks)).every(Boolean)) return firstPort;
    }
}

function isFree(ip: string, port: number): Promise<boolean> {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, ip, () => server.close(() => resolve(true)));
    });
}

export function createVmSettings(
    storeAddress: string,
    peerPort: number,
    changes: Partial<VmSettings> = {},
): VmSettings {
    const ip = changes.ip ?? "127.0.0.1";
    return {
        name: `vm-${ip}`,
        ip,
        failureDomain: "a",
        region: "r",
        regions: new Map([["a", "r"]]),
        callerAddress: `${ip}:0`,
        readyAddress: `${ip}:0`,
        peerPorts: [peerPort, peerPort + 10],
        seeds: [],
        backendAddress: undefined,
        backendService: undefined,
        storeAddress,
        linkMbps: 1000,
        bounds: {
            drainMs: 2000,
            graceMs: 4000,
            stabilityMs: 3000,
            configurationMs: 2000,
            weightsMs: 8000,
            retries: { ratio: 0.2, slack: 100, windowMs: 10_000 },
            cold: undefined,
        },
        ...changes,
    };
}

/** `writeLog` receives the lines of the log. */
export async function startTestRouter(
    settings: VmSettings,
    writeLog: (line: string) => void = () => undefined,
): Promise<Router> {
    const log = createEventLog({
        process: settings.name,
        role: "entry",
        now: () => performance.now(),
        write: writeLog,
    });
    const router = await startRouter(settings, createPlatformStore(settings.storeAddress), log);
    await waitUntil(async () => (await readinessStatus(router.readyPort, settings.ip)) === 200);
    return router;
}

async function readinessStatus(port: number, ip: string): Promise<number> {
    return (await sendCall(port, { path: "/", ip })).status;
}

/** Polls until a condition holds; throws after 5 s. */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
    const deadline = Date.now() + 5000;
    while (!await condition()) {
        if (Date.now() > deadline) throw new Error("the condition didn't hold within 5 s");
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}

export interface CallOptions {
    readonly path: string;
    readonly ip?: string;
    readonly method?: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly body?: string;
    readonly agent?: http.Agent;
    readonly signal?: AbortSignal | undefined;
}

export interface CallResponse {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
    /** False if the connection ended before the response did. */
    readonly isComplete: boolean;
}

let callCount = 0;

/** Sends a request as a caller; the status is 0 if no response arrives. */
export function sendCall(port: number, call: CallOptions): Promise<CallResponse> {
    callCount++;
    return new Promise(resolve => {
        const request = http.request({
            host: call.ip ?? "127.0.0.1",
            port,
            path: call.path,
            method: call.method ?? "GET",
            agent: call.agent,
            signal: call.signal,
            headers: {
                host: "site.example",
                "attempt-id": `attempt-${callCount}`,
                "deadline-ms": "3000",
                key: "key-a",
                ...call.headers,
            },
        });
        request.on("error", () => resolve({ status: 0, headers: {}, body: "", isComplete: false }));
        request.on("response", response => {
            let body = "";
            const finish = (isComplete: boolean) =>
                resolve({ status: response.statusCode ?? 0, headers: response.headers, body, isComplete });
            response.on("data", chunk => body += String(chunk));
            response.on("end", () => finish(response.complete));
            response.on("error", () => finish(false));
        });
        request.end(call.body);
    });
}
