/**
 * Fake platform: table service, weight store and VM list behind one address, with fault switches at
 * `/faults` and counters for tests at `/evidence`. VMs are registered with `PUT /vms/NAME`.
 *
 * With `regions`, VMs reach other regions through rate-limited relays, and VMs outside the platform's
 * region also reach the platform through one. `GET /regions` returns the platform's address for each region
 * other than its own, `GET /regions/NAME` returns the VM list with the addresses that VMs of that region use,
 * and `PUT /links` changes the state of a link for all traffic or for one kind.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Vm } from "../clients/index.js";
import { digestOf } from "../core/index.js";
import { createFaultSwitches, type FaultSwitches } from "./faults.js";
import { readJson, type RunningServer, sendCompressibleJson, sendJson, startHttpServer } from "./httpServer.js";
import { createFakeObjectStore } from "./objects.js";
import { createRegionLinks, type LinkState, type RegionLinks, type RelayTraffic } from "./regionLinks.js";
import { createFakeTables } from "./tables.js";

/** Regions with rate-limited links between them. The platform is in the first region. */
export interface RegionsOptions {
    readonly names: readonly string[];
    readonly linkBytesPerSecond: number;
    readonly latencyMs: number;
}

/** Body of `PUT /links`. Without `traffic`, the change applies to all traffic of the link. */
interface LinkChange {
    readonly a: string;
    readonly b: string;
    readonly state: LinkState;
    readonly traffic?: RelayTraffic;
}

export interface FakePlatformOptions {
    /** Directory in which objects are stored. */
    readonly directory: string;
    /** Rate limit of the weight store. */
    readonly originBytesPerSecond: number;
    readonly seed: number;
    readonly regions?: RegionsOptions;
    readonly port?: number;
    readonly host?: string;
}

export interface FakePlatform extends RunningServer {
    readonly faults: FaultSwitches;
    /** Total bytes of chunks read from the weight store. */
    readonly originBytes: () => number;
    readonly setVm: (vm: Vm) => Promise<void>;
    readonly removeVm: (name: string) => void;
}

export async function startFakePlatform(options: FakePlatformOptions): Promise<FakePlatform> {
    const faults = createFaultSwitches(options.seed);
    const tables = createFakeTables(faults);
    const objects = createFakeObjectStore({
        directory: options.directory,
        bytesPerSecond: options.originBytesPerSecond,
        faults,
        now: () => performance.now(),
    });
    const vms = new Map<string, Vm>();
    /** Addresses of the relays to VMs, under keys of the form `REGION VM`, where REGION is the region of the sender. */
    const relayAddresses = new Map<string, string>();
    const regionNames = options.regions?.names ?? [];
    const links = options.regions && createRegionLinks({
        bytesPerSecond: options.regions.linkBytesPerSecond,
        latencyMs: options.regions.latencyMs,
        now: () => performance.now(),
    });

    async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (await faults.serve(request, response)) return;
        const url = request.url ?? "";
        if (url === "/evidence") {
            return sendJson(response, 200, {
                originBytes: objects.chunkBytesSent(),
                linkBytes: links?.bytesByDirection() ?? {},
            });
        }
        if (url === "/regions") return sendJson(response, 200, Object.fromEntries(platformUrls));
        if (url === "/links") {
            const { a, b, state, traffic } = await readJson(request) as LinkChange;
            links?.setState(a, b, state, traffic);
            return sendJson(response, 200, {});
        }
        const { outage, objectsOutage, delayMs } = faults.current();
        if (outage || (objectsOutage && url.startsWith("/objects/"))) {
            request.socket.destroy();
            return;
        }
        if (delayMs > 0) await sleep(delayMs);
        if (url.startsWith("/tables/")) return tables.serve(request, response);
        if (url.startsWith("/objects/")) return objects.serve(request, response);
        if (url === "/vms") return sendVmList([...vms.values()], request, response);
        if (url.startsWith("/regions/")) return sendVmList(vmsSeenFrom(url.split("/")[2] ?? ""), request, response);
        if (url.startsWith("/vms/")) return registerVm(request, response);
        sendJson(response, 404, { error: "no such resource" });
    }

    function sendVmList(visibleVms: readonly Vm[], request: IncomingMessage, response: ServerResponse): void {
        const body = Buffer.from(JSON.stringify(visibleVms));
        const etag = `"${digestOf(body).slice(0, 16)}"`;
        if (request.headers["if-none-match"] === etag) {
            response.writeHead(304, { etag });
            response.end();
        }
        else sendCompressibleJson(request, response, body, { etag });
    }

    async function registerVm(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const name = decodeURIComponent((request.url ?? "").slice("/vms/".length));
        if (request.method === "DELETE") vms.delete(name);
        else await setVm({ ...(await readJson(request) as Vm), name });
        sendJson(response, 200, {});
    }

    async function setVm(vm: Vm): Promise<void> {
        const previous = vms.get(vm.name);
        if (links !== undefined && previous?.address !== vm.address) await openRelays(links, vm);
        vms.set(vm.name, vm);
    }

    async function openRelays(regionLinks: RegionLinks, vm: Vm): Promise<void> {
        const [host = "", port] = vm.address.split(":");
        for (const region of regionNames.filter(name => name !== vm.region)) {
            const relayPort = await regionLinks.openRelay(region, vm.region, host, Number(port));
            relayAddresses.set(`${region} ${vm.name}`, `127.0.0.1:${relayPort}`);
        }
    }

    function vmsSeenFrom(region: string): Vm[] {
        return [...vms.values()].map(vm => ({
            ...vm,
            address: relayAddresses.get(`${region} ${vm.name}`) ?? vm.address,
        }));
    }

    async function relayPlatform(port: number): Promise<Map<string, string>> {
        const urls = new Map<string, string>();
        const [platformRegion = "", ...remoteRegions] = regionNames;
        for (const region of remoteRegions) {
            const relayPort = await links?.openRelay(region, platformRegion, "127.0.0.1", port, "platform");
            urls.set(region, `http://127.0.0.1:${relayPort}`);
        }
        return urls;
    }

    const server = await startHttpServer(serve, options.port, options.host);
    const platformUrls = await relayPlatform(server.port);

    async function stop(): Promise<void> {
        links?.stop();
        await server.stop();
    }

    return {
        ...server,
        stop,
        faults,
        originBytes: objects.chunkBytesSent,
        setVm,
        removeVm: name => vms.delete(name),
    };
}
