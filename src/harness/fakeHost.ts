/**
 * Process that hosts fakes: `node fakeHost.js JSON`. It prints the URLs of the fakes as JSON and runs until
 * it gets a shutdown signal. One process hosts all engines, so that a large fleet needs few processes.
 */
import { waitForShutdownSignal } from "../lib/cli/shutdownSignal.js";
import { startFakeEngine, startFakePlatform, startFakeService } from "../lib/fakes/index.js";

export interface FakeHostOptions {
    readonly platform?: Parameters<typeof startFakePlatform>[0];
    readonly engines?: readonly Parameters<typeof startFakeEngine>[0][];
    readonly services?: readonly Parameters<typeof startFakeService>[0][];
}

export interface FakeAddresses {
    readonly platform: string;
    readonly engines: readonly string[];
    readonly services: readonly string[];
}

async function main(options: FakeHostOptions): Promise<void> {
    const platform = options.platform && await startFakePlatform(options.platform);
    const engines = await Promise.all((options.engines ?? []).map(startFakeEngine));
    const services = await Promise.all((options.services ?? []).map(startFakeService));
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
