/**
 * Fake non-idempotent backend service. It executes every call that it receives and counts the executions of
 * each booking reference, so that a test detects lost and duplicate executions.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { createFaultSwitches, type FaultSwitches } from "./faults.js";
import { readJson, type RunningServer, sendJson, startHttpServer } from "./httpServer.js";

export interface FakeServiceOptions {
    /** Processing time of one call. */
    readonly workMs: number;
    readonly seed: number;
    readonly port?: number;
    readonly host?: string;
}

export interface FakeService extends RunningServer {
    readonly faults: FaultSwitches;
    /** Number of executions by booking reference. */
    readonly runs: () => ReadonlyMap<string, number>;
}

export async function startFakeService(options: FakeServiceOptions): Promise<FakeService> {
    const faults = createFaultSwitches(options.seed);
    const runs = new Map<string, number>();

    async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (await faults.serve(request, response)) return;
        if (request.url === "/evidence") return sendJson(response, 200, Object.fromEntries(runs));
        if (faults.current().outage) {
            request.socket.destroy();
            return;
        }
        if (request.method === "GET") return sendJson(response, 200, { path: request.url, bookings: runs.size });
        const body = await readJson(request) as { reference?: string; };
        const reference = body.reference ?? "";
        runs.set(reference, (runs.get(reference) ?? 0) + 1);
        await sleep(options.workMs + faults.current().delayMs);
        if (faults.shouldInject(faults.current().loseAnswers)) response.destroy();
        else sendJson(response, 201, { reference, state: "booked", run: runs.get(reference) });
    }

    const server = await startHttpServer(serve, options.port, options.host);
    return { ...server, faults, runs: () => runs };
}
