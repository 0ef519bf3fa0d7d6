/**
 * Starts a fleet of separate processes on loopback for benchmarks, process-level tests and `npm run fleet`:
 * a fake platform, fake engines and services, an agent beside each backend server, and entries.
 */
import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { sendRequest, type Vm } from "../lib/clients/index.js";
import type { FakeEngineOptions, RegionsOptions } from "../lib/fakes/index.js";
import { type AgentState, createConnections, createCredentials } from "../lib/rpc/index.js";
import { type Child, startChild } from "./childProcess.js";
import type { FakeAddresses, FakeHostOptions } from "./fakeHost.js";
import { meterEnvironment } from "./processUsage.js";

export interface FleetOptions {
    readonly entries: number;
    /** Number of agents with a model engine, in the service `models`. */
    readonly modelAgentCount: number;
    /** Number of agents with a backend server of the plain service `bookings`. */
    readonly bookingAgentCount: number;
    /** VMs are assigned to the regions round-robin. The weight store is in the first region. */
    readonly regions?: readonly string[];
    /** Rate and latency of the links between regions. By default they are as fast as loopback. */
    readonly regionLinks?: { readonly bytesPerSecond: number; readonly latencyMs: number; };
    readonly originBytesPerSecond?: number;
    readonly engine?: Partial<FakeEngineOptions>;
    readonly bookingMs?: number;
    /** Number of client accounts, named `client-0` and so on. The key of an account equals its name. */
    readonly clients?: number;
    /** Settings that override those of every agent or entry. */
    readonly agentSettings?: Readonly<Record<string, unknown>>;
    readonly entrySettings?: Readonly<Record<string, unknown>>;
    readonly seed?: number;
    /** Counts network bytes in every entry and agent; required for `readUsage`. */
    readonly metered?: boolean;
    /**
     * Runs entries and agents from the bundle dist/endivewell.cjs, as in production, instead of the compiled sources.
     */
    readonly bundled?: boolean;
    /**
     * Isolates the processes from Ctrl-C in a terminal, so that `stop` can stop the entries before the agents, and the
     * agents before the fakes.
     */
    readonly ownProcessGroups?: boolean;
}

export interface FleetProcess extends Child {
    readonly vm: Vm;
    /** Settings file, used to restart the process. */
    readonly settingsFile: string;
    /** HTTP address of the entry, or of the backend server beside an agent. */
    readonly url: string;
}

export interface Fleet {
    readonly directory: string;
    readonly platformUrl: string;
    readonly fakes: Child;
    readonly entries: FleetProcess[];
    readonly modelAgents: FleetProcess[];
    readonly bookingAgents: FleetProcess[];
    /** Starts the process again under the same name and updates its address in the VM list. */
    restart(process: FleetProcess): Promise<FleetProcess>;
    /** Sets the named fault switches of the fake at a URL and leaves its other switches unchanged. */
    setFaults(url: string, faults: Readonly<Record<string, unknown>>): Promise<void>;
    /** Requests the current state of an agent. */
    readState(process: FleetProcess): Promise<AgentState>;
    stop(): Promise<void>;
}

export const MODEL_SERVICE = "models";
export const BOOKINGS = "bookings";
export const OPERATOR_TOKEN = "operator";

const MAIN = fileURLToPath(new URL("../main.js", import.meta.url));
const BUNDLE = fileURLToPath(new URL("../../dist/endivewell.cjs", import.meta.url));
const FAKE_HOST = fileURLToPath(new URL("fakeHost.js", import.meta.url));
const STOP_TIMEOUT_MS = 35_000;
const DEFAULT_REGIONS = ["etela"];
const ENTRIES_READY_TIMEOUT_MS = 15_000;
const HTTP_TIMEOUT_MS = 30_000;

export async function startFleet(options: FleetOptions): Promise<Fleet> {
    const regions = options.regions ?? DEFAULT_REGIONS;
    const directory = await mkdtemp(join(tmpdir(), "endivewell-fleet-"));
    const connections = createConnections(createCredentials(undefined));
    const fakes = await startFakes(options, directory);
    const addresses = fakes.ready as FakeAddresses;
    const regionAt = (index: number) => regions[index % regions.length] ?? DEFAULT_REGIONS[0] as string;

    const platformUrls = JSON.parse(
        (await sendRequest({ method: "GET", url: `${addresses.platform}/regions` })).body.toString(),
    ) as Record<string, string>;

    function commonSettings(name: string, index: number) {
        const region = regionAt(index);
        const platformUrl = platformUrls[region] ?? addresses.platform;
        return {
            process: name,
            failureDomain: `${region}-1`,
            region,
            rpc: { port: 0 },
            platform: {
                tableUrl: platformUrl,
                weightStoreUrl: platformUrl,
                vmListUrl: `${platformUrl}/regions/${region}`,
                weightStoreRegion: regions[0],
            },
        };
    }

    async function startAgentProcess(
        name: string,
        index: number,
        service: string,
        kind: "model" | "plain",
        url: string,
    ): Promise<FleetProcess> {
        const settings = {
            ...commonSettings(name, index),
            service,
            backendServer: { kind, url },
            weightsPath: join(directory, name),
            ...options.agentSettings,
        };
        return launch(name, "agent", service, settings, url);
    }

    async function startEntryProcess(index: number): Promise<FleetProcess> {
        const name = `entry-${index}`;
        const settings = {
            ...commonSettings(name, index),
            http: { port: 0 },
            accounts: await writeAccounts(directory, options.clients ?? 4),
            operators: [{ name: "operator", tokenFile: join(directory, "operator.token"), role: "operator" }],
            ...options.entrySettings,
        };
        return launch(name, "entry", "", settings, "");
    }

    async function launch(
        name: string,
        role: "entry" | "agent",
        service: string,
        settings: ReturnType<typeof commonSettings>,
        backendUrl: string,
    ): Promise<FleetProcess> {
        const settingsFile = join(directory, `${name}.jsonc`);
        await writeFile(settingsFile, JSON.stringify(settings, undefined, 4));
        const { failureDomain, region } = settings;
        const vmFields = { name, role, service, failureDomain, region, state: "live" } as const;
        return spawnProcess(vmFields, settingsFile, backendUrl);
    }

    async function spawnProcess(
        vmFields: Omit<Vm, "address">,
        settingsFile: string,
        backendUrl: string,
    ): Promise<FleetProcess> {
        const child = await startChild({
            name: vmFields.name,
            args: [options.bundled === true ? BUNDLE : MAIN, vmFields.role, "--settings", settingsFile],
            sourceMaps: options.bundled !== true,
            env: options.metered === true ? meterEnvironment(meterFileOf(settingsFile)) : {},
            ownProcessGroup: options.ownProcessGroups,
        });
        const ports = child.ready as { rpc: number; http?: number; };
        const vm: Vm = { ...vmFields, address: `127.0.0.1:${ports.rpc}` };
        await sendRequest({
            method: "PUT",
            url: `${addresses.platform}/vms/${vm.name}`,
            body: JSON.stringify(vm),
        });
        const url = ports.http === undefined ? backendUrl : `http://127.0.0.1:${ports.http}`;
        return { ...child, vm, settingsFile, url };
    }

    async function restart(process: FleetProcess): Promise<FleetProcess> {
        const restarted = await spawnProcess(process.vm, process.settingsFile, process.url);
        for (const list of [entries, modelAgents, bookingAgents]) {
            const index = list.findIndex(({ name }) => name === process.name);
            if (index >= 0) list[index] = restarted;
        }
        return restarted;
    }

    async function setFaults(url: string, faults: Readonly<Record<string, unknown>>): Promise<void> {
        await sendRequest({ method: "PUT", url: `${url}/faults`, body: JSON.stringify(faults) });
    }

    function readState(process: FleetProcess): Promise<AgentState> {
        return new Promise((resolve, reject) => {
            const call = connections.agent(process.vm.address).watchState({ process: "harness", loadIntervalMs: 0 });
            call.once("data", (state: AgentState) => {
                resolve(state);
                call.cancel();
            });
            call.on("error", reject);
        });
    }

    async function stop(): Promise<void> {
        connections.close();
        await Promise.all(entries.map(process => process.stop(STOP_TIMEOUT_MS)));
        await Promise.all([...modelAgents, ...bookingAgents].map(process => process.stop(STOP_TIMEOUT_MS)));
        await fakes.stop(STOP_TIMEOUT_MS);
        await rm(directory, { recursive: true, force: true });
    }

    await writeFile(join(directory, "operator.token"), OPERATOR_TOKEN, { mode: 0o600 });
    const modelAgents = await startInBatches(options.modelAgentCount, index => {
        return startAgentProcess(`runner-${index}`, index, MODEL_SERVICE, "model", addresses.engines[index] ?? "");
    });
    const bookingAgents = await startInBatches(options.bookingAgentCount, index => {
        return startAgentProcess(`bookings-${index}`, index, BOOKINGS, "plain", addresses.services[0] ?? "");
    });
    const entries = await startInBatches(options.entries, startEntryProcess);
    await waitUntil("the entries are ready", async () => {
        const responses = await Promise.all(entries.map(entry => sendToEntry(entry, "GET", "/readyz", "")));
        return responses.every(response => response.status === 200);
    }, ENTRIES_READY_TIMEOUT_MS);
    return {
        directory,
        platformUrl: addresses.platform,
        fakes,
        entries,
        modelAgents,
        bookingAgents,
        restart,
        setFaults,
        readState,
        stop,
    };
}

/** Returns the file to which a metered process writes its socket totals. */
export function meterFileOf(settingsFile: string): string {
    return `${settingsFile}.sockets`;
}

/** Sends a request to an entry with a client key or the operator token. */
export function sendToEntry(
    entry: FleetProcess,
    method: string,
    path: string,
    key: string,
    body?: unknown,
    headers: Readonly<Record<string, string>> = {},
) {
    return sendRequest({
        method,
        url: entry.url + path,
        headers: { authorization: `Bearer ${key}`, "content-type": "application/json", ...headers },
        body: body === undefined ? undefined : JSON.stringify(body),
        timeoutMs: HTTP_TIMEOUT_MS,
    });
}

/** Polls until a condition is true. After the timeout it throws an error with the description of the condition. */
export async function waitUntil(
    description: string,
    condition: () => Promise<boolean> | boolean,
    timeoutMs: number,
): Promise<void> {
    const deadline = Date.now() + timeoutMs;
    while (!await condition()) {
        if (Date.now() > deadline) throw new Error(`timed out after ${timeoutMs} ms waiting until ${description}`);
        await sleep(50);
    }
}

/** Waits until every given agent serves the version and every entry has received that state. */
export function waitUntilServing(fleet: Fleet, agents: readonly FleetProcess[], digest: string, timeoutMs: number) {
    // Agents are compared by name, because their addresses differ between regions.
    const names = new Set(agents.map(agent => agent.name));
    return waitUntil(`${agents.length} agents serve ${digest}`, async () => {
        const states = await Promise.all(agents.map(agent => fleet.readState(agent)));
        if (states.some(state => state.servingDigest !== digest)) return false;
        const views = await Promise.all(fleet.entries.map(readAgentViews));
        return views.every(view => view.filter(isServing).length === names.size);
    }, timeoutMs);

    function isServing({ state }: AgentView): boolean {
        return state !== undefined && names.has(state.process) && state.servingDigest === digest;
    }
}

interface AgentView {
    readonly address: string;
    readonly state?: AgentState;
}

/** Returns the agents in the status of an entry, with the last state that the entry received from each. */
async function readAgentViews(entry: FleetProcess): Promise<AgentView[]> {
    const response = await sendToEntry(entry, "GET", "/admin/v1/status", OPERATOR_TOKEN);
    return (JSON.parse(response.body.toString()) as { agents: AgentView[]; }).agents;
}

function startFakes(options: FleetOptions, directory: string): Promise<Child> {
    const seed = options.seed ?? 1;
    const engine = { slots: 8, tokensPerSecond: 50, ignoresFence: false, ...options.engine };
    const fakeOptions: FakeHostOptions = {
        platform: {
            directory: join(directory, "objects"),
            originBytesPerSecond: options.originBytesPerSecond ?? 256 * 1024 * 1024,
            seed,
            regions: toRegionsOptions(options),
        },
        engines: Array.from({ length: options.modelAgentCount }, (_, index) => ({ seed: seed + index, ...engine })),
        services: options.bookingAgentCount > 0 ? [{ workMs: options.bookingMs ?? 5, seed }] : [],
    };
    return startChild({
        name: "fakes",
        args: [FAKE_HOST, JSON.stringify(fakeOptions)],
        ownProcessGroup: options.ownProcessGroups,
    });
}

function toRegionsOptions({ regions = [], regionLinks }: FleetOptions): RegionsOptions | undefined {
    if (regionLinks === undefined) return undefined;
    return { names: regions, linkBytesPerSecond: regionLinks.bytesPerSecond, latencyMs: regionLinks.latencyMs };
}

async function writeAccounts(directory: string, clientCount: number) {
    await mkdir(join(directory, "keys"), { recursive: true });
    return Promise.all(Array.from({ length: clientCount }, async (_, index) => {
        const client = `client-${index}`;
        const keyFile = join(directory, "keys", client);
        await writeFile(keyFile, client, { mode: 0o600 });
        return { client, keyFile };
    }));
}

/** Starts processes in batches, so that a large fleet doesn't overload the machine. */
async function startInBatches<T>(count: number, start: (index: number) => Promise<T>): Promise<T[]> {
    const BATCH_SIZE = 8;
    const started: T[] = [];
    for (let index = 0; index < count; index += BATCH_SIZE) {
        const size = Math.min(BATCH_SIZE, count - index);
        started.push(...await Promise.all(Array.from({ length: size }, (_, offset) => start(index + offset))));
    }
    return started;
}
