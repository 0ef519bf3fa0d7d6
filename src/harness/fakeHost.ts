/**
 * Process that hosts fakes: `node fakeHost.js JSON`. It prints the URLs of the fakes as JSON and runs until
 * it gets a shutdown signal. One process hosts all engines, so that a large fleet needs few processes.
 */
import { waitForShutdownSignal } from "../lib/cli/shutdownSignal.js";
import { startEngineStandIn, startPlatformStandIn, startServiceStandIn } from "../lib/standIn/index.js";

export interface FakeHostOptions {
    readonly platform?: Parameters<typeof startPlatformStandIn>[0];
    readonly engines?: readonly Parameters<typeof startEngineStandIn>[0][];
    readonly services?: readonly Parameters<typeof startServiceStandIn>[0][];
}

export interface FakeAddresses {
    readonly platform: string;
    readonly engines: readonly string[];
    readonly services: readonly string[];
}

async function main(options: FakeHostOptions): Promise<void> {
    const platform = options.platform && await startPlatformStandIn(options.platform);
    const engines = await Promise.all((options.engines ?? []).map(startEngineStandIn));
    const services = await Promise.all((options.services ?? []).map(startServiceStandIn));
    const addresses: FakeAddresses = {
        platform: platform?.url ?? "",
        engines: engines.map(engine => engine.url),
        services: services.map(service => service.url),
    };
    process.stdout.write(`${JSON.stringify(addresses)}\n`);
    await waitForShutdownSignal();
    process.exit(0);
}

void main(JSON.parse(process.argv[2] ?? "{}") as FakeHostOptions);
