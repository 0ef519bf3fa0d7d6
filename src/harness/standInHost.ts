/**
 * A process that hosts stand-ins: `node standInHost.js JSON`. It prints the addresses of the stand-ins
 * and runs until SIGTERM. One host carries many engines, so that a large fleet needs few processes.
 */
import { waitForShutdownSignal } from "../lib/cli/shutdownSignal.js";
import { startEngineStandIn, startPlatformStandIn, startServiceStandIn } from "../lib/standIn/index.js";

export interface StandInHostOptions {
    readonly platform?: Parameters<typeof startPlatformStandIn>[0];
    readonly engines?: readonly Parameters<typeof startEngineStandIn>[0][];
    readonly services?: readonly Parameters<typeof startServiceStandIn>[0][];
}

export interface StandInAddresses {
    readonly platform: string;
    readonly engines: readonly string[];
    readonly services: readonly string[];
}

async function main(options: StandInHostOptions): Promise<void> {
    const platform = options.platform && await startPlatformStandIn(options.platform);
    const engines = await Promise.all((options.engines ?? []).map(startEngineStandIn));
    const services = await Promise.all((options.services ?? []).map(startServiceStandIn));
    const addresses: StandInAddresses = {
        platform: platform?.url ?? "",
        engines: engines.map(engine => engine.url),
        services: services.map(service => service.url),
    };
    process.stdout.write(`${JSON.stringify(addresses)}\n`);
    await waitForShutdownSignal();
    process.exit(0);
}

void main(JSON.parse(process.argv[2] ?? "{}") as StandInHostOptions);
