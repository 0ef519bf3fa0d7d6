/**
 * Runs a complete system in one process on loopback: a fake platform, fake engines and a fake booking
 * service with an agent for each, and one entry. Intended for first runs, demos and tests.
 */
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { type RunningAgent, startAgent } from "../agent/index.js";
import { type RunningEntry, startEntry } from "../entry/index.js";
import {
    type FakeEngine,
    type FakePlatform,
    type FakeService,
    startFakeEngine,
    startFakePlatform,
    startFakeService,
} from "../fakes/index.js";
import { agentSchema, entrySchema } from "../settings/index.js";

export interface LocalFleetOptions {
    readonly replicas: number;
    /** Directory of the weight store, the agents' weights and the key files. */
    readonly directory: string;
    /** Rate limit of the weight store. */
    readonly originBytesPerSecond: number;
    /** Port of the entry; 0 chooses a free port. */
    readonly port: number;
    /** StatsD server for the metrics of all processes; no metrics are sent if absent. */
    readonly metrics?: { readonly host: string; readonly port: number; };
}

export interface LocalFleet {
    readonly entry: RunningEntry;
    readonly url: string;
    readonly agents: readonly RunningAgent[];
    readonly engines: readonly FakeEngine[];
    readonly bookings: FakeService;
    readonly platform: FakePlatform;
    stop(): Promise<void>;
}

/** Credentials of the demo account and operator. They are public and provide no security. */
export const DEMO_CLIENT_KEY = "demo-client";
export const DEMO_OPERATOR_TOKEN = "demo-operator";
export const DEMO_SERVICE = "models";

const FAILURE_DOMAIN = "local-1";
const REGION = "local";

export async function startLocalFleet(options: LocalFleetOptions): Promise<LocalFleet> {
    const { directory, replicas } = options;
    await mkdir(directory, { recursive: true });
    const platform = await startFakePlatform({
        directory: join(directory, "objects"),
        originBytesPerSecond: options.originBytesPerSecond,
        seed: 1,
    });
    const commonSettings = {
        failureDomain: FAILURE_DOMAIN,
        region: REGION,
        rpc: { port: 0 },
        metrics: options.metrics,
        pollMs: 200,
        platform: {
            tableUrl: platform.url,
            weightStoreUrl: platform.url,
            vmListUrl: platform.url,
            weightStoreRegion: REGION,
        },
    };
    const engines: FakeEngine[] = [];
    const agents: RunningAgent[] = [];

    async function addAgent(process: string, service: string, kind: "model" | "plain", url: string): Promise<void> {
        const agent = await startAgent(agentSchema.parse({
            ...commonSettings,
            process,
            service,
            backendServer: { kind, url },
            weightsPath: join(directory, process),
        }));
        agents.push(agent);
        await platform.setVm({
            name: process,
            address: `127.0.0.1:${agent.port}`,
            role: "agent",
            service,
            failureDomain: FAILURE_DOMAIN,
            region: REGION,
            state: "live",
        });
    }

    for (let index = 0; index < replicas; index++) {
        const engine = await startFakeEngine({ slots: 8, tokensPerSecond: 50, ignoresFence: false, seed: index });
        engines.push(engine);
        await addAgent(`runner-${index}`, DEMO_SERVICE, "model", engine.url);
    }
    const bookings = await startFakeService({ workMs: 5, seed: 1 });
    await addAgent("bookings-0", "bookings", "plain", bookings.url);

    const keyFile = join(directory, "client.key");
    const tokenFile = join(directory, "operator.token");
    await writeFile(keyFile, DEMO_CLIENT_KEY, { mode: 0o600 });
    await writeFile(tokenFile, DEMO_OPERATOR_TOKEN, { mode: 0o600 });
    const entry = await startEntry(entrySchema.parse({
        ...commonSettings,
        process: "entry-0",
        http: { port: options.port },
        accounts: [{ client: "demo", keyFile }],
        operators: [{ name: "demo", tokenFile, role: "operator" }],
    }));

    async function stop(): Promise<void> {
        await entry.stop();
        await Promise.all(agents.map(agent => agent.stop()));
        await Promise.all([platform, bookings, ...engines].map(server => server.stop()));
    }

    return { entry, url: `http://127.0.0.1:${entry.port}`, agents, engines, bookings, platform, stop };
}
