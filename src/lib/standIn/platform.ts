/**
 * Stand-in of the platform: table service, weight store and list of VMs behind one address, with fault
 * switches at `/faults` and counters for tests at `/evidence`. VMs are registered with `PUT /vms/NAME`.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Vm } from "../platform/index.js";
import { createFaultSwitches, type FaultSwitches } from "./faults.js";
import { answerJson, readJson, type RunningServer, startHttpServer } from "./httpServer.js";
import { createObjectsStandIn } from "./objects.js";
import { createTablesStandIn } from "./tables.js";

export interface PlatformOptions {
    /** Directory for objects. */
    readonly directory: string;
    /** Rate of the weight store's link in bytes a second. */
    readonly originBytesPerSecond: number;
    readonly seed: number;
    readonly port?: number;
    readonly host?: string;
}

export interface PlatformStandIn extends RunningServer {
    readonly faults: FaultSwitches;
    /** Bytes of chunks drawn from the weight store. */
    readonly originBytes: () => number;
    readonly setVm: (vm: Vm) => void;
    readonly removeVm: (name: string) => void;
}

export async function startPlatformStandIn(options: PlatformOptions): Promise<PlatformStandIn> {
    const faults = createFaultSwitches(options.seed);
    const tables = createTablesStandIn(faults);
    const objects = createObjectsStandIn({
        directory: options.directory,
        bytesPerSecond: options.originBytesPerSecond,
        faults,
        now: () => performance.now(),
    });
    const vms = new Map<string, Vm>();

    async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (await faults.serve(request, response)) return;
        const url = request.url ?? "";
        if (url === "/evidence") return answerJson(response, 200, { originBytes: objects.chunkBytesSent() });
        const { outage, objectsOutage, delayMs } = faults.current();
        if (outage || (objectsOutage && url.startsWith("/objects/"))) {
            request.socket.destroy();
            return;
        }
        if (delayMs > 0) await sleep(delayMs);
        if (url.startsWith("/tables/")) return tables.serve(request, response);
        if (url.startsWith("/objects/")) return objects.serve(request, response);
        if (url === "/vms") return answerJson(response, 200, [...vms.values()]);
        if (url.startsWith("/vms/")) return registerVm(request, response);
        answerJson(response, 404, { error: "no such resource" });
    }

    async function registerVm(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const name = decodeURIComponent((request.url ?? "").slice("/vms/".length));
        if (request.method === "DELETE") vms.delete(name);
        else vms.set(name, { ...(await readJson(request) as Vm), name });
        answerJson(response, 200, {});
    }

    const server = await startHttpServer(serve, options.port, options.host);
    return {
        ...server,
        faults,
        originBytes: objects.chunkBytesSent,
        setVm: vm => vms.set(vm.name, vm),
        removeVm: name => vms.delete(name),
    };
}
