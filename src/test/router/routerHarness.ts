/** Starts an entry against the stand-in store for tests, and sends requests to it as callers do. */
import { randomInt } from "node:crypto";
import * as http from "node:http";
import { createServer } from "node:net";
import { createEventLog } from "../../lib/observability/index.js";
import { createPlatformStore } from "../../lib/platform/index.js";
import { type Router, startRouter } from "../../lib/router/index.js";
import type { VmSettings } from "../../lib/settings/vmSettings.js";

/** Processes use a few ports after the one that they are given. */
const PORTS_TOGETHER = 16;

/**
 * Returns a port that is free with those after it. It lies below the ports that the system gives to connections, which
 * parallel tests would otherwise take in between.
 */
export async function freePort(ip = "127.0.0.1"): Promise<number> {
    for (;;) {
        const first = randomInt(10_000 / PORTS_TOGETHER, 32_000 / PORTS_TOGETHER) * PORTS_TOGETHER;
        const ports = Array.from({ length: PORTS_TOGETHER }, (_, index) => first + index);
        if ((await Promise.all(ports.map(port => isFree(ip, port)))).every(Boolean)) return first;
    }
}

function isFree(ip: string, port: number): Promise<boolean> {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, ip, () => server.close(() => resolve(true)));
    });
}

export function vmSettings(storeAddress: string, peerPort: number, changes: Partial<VmSettings> = {}): VmSettings {
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
            configurationMs: 2000,
            weightsMs: 8000,
            retries: { ratio: 0.2, slack: 100, windowMs: 10_000 },
        },
        ...changes,
    };
}

export async function startTestRouter(settings: VmSettings): Promise<Router> {
    const log = createEventLog({
        process: settings.name,
        role: "entry",
        now: () => performance.now(),
        write: () => undefined,
    });
    const router = await startRouter(settings, createPlatformStore(settings.storeAddress), log);
    await until(async () => (await ask(router.readyPort, settings.ip)) === 200);
    return router;
}

async function ask(port: number, ip: string): Promise<number> {
    return (await sendCall(port, { path: "/", ip })).status;
}

/** Waits until a condition holds; throws after 5 s. */
export async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
    const end = Date.now() + 5000;
    while (!await condition()) {
        if (Date.now() > end) throw new Error("the condition doesn't hold");
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}

export interface Call {
    readonly path: string;
    readonly ip?: string;
    readonly method?: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly body?: string;
    readonly agent?: http.Agent;
    readonly signal?: AbortSignal;
}

export interface CallAnswer {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
    /** False if the answer broke off. */
    readonly isWhole: boolean;
}

let calls = 0;

/** Sends a request as a caller; status 0 means that no answer came. */
export function sendCall(port: number, call: Call): Promise<CallAnswer> {
    calls++;
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
                "attempt-id": `attempt-${calls}`,
                "deadline-ms": "3000",
                key: "key-a",
                ...call.headers,
            },
        });
        request.on("error", () => resolve({ status: 0, headers: {}, body: "", isWhole: false }));
        request.on("response", response => {
            let body = "";
            const done = (isWhole: boolean) =>
                resolve({ status: response.statusCode ?? 0, headers: response.headers, body, isWhole });
            response.on("data", piece => body += String(piece));
            response.on("end", () => done(response.complete));
            response.on("error", () => done(false));
        });
        request.end(call.body);
    });
}
