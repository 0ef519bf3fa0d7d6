/** Starts the entry process: configuration, membership, agent directory, dispatcher, gRPC and HTTP servers. */
import { DEFAULT_QUEUE_POLICY, isEvacuated, profilesOf } from "../core/index.js";
import { createNodeService, createProfileStore, startNodeRuntime } from "../node/index.js";
import { createReadTurns } from "../node/readTurns.js";
import { createLog } from "../observability/index.js";
import { startRpcServer } from "../rpc/index.js";
import type { EntrySettings } from "../settings/index.js";
import { createAccounts } from "./accounts.js";
import { startAgentDirectory } from "./agentDirectory.js";
import { createDispatcher } from "./dispatcher.js";
import { createEntryQueue } from "./entryQueue.js";
import { createProcessQuery } from "./processQuery.js";
import { createProfileUsage } from "./profileUsage.js";
import { createRequestLimit } from "./requestLimit.js";
import { startEntryServer } from "./server.js";

const log = createLog("entry");

export interface RunningEntry {
    /** Port of the HTTP server. */
    readonly port: number;
    /** Port of the gRPC server. */
    readonly rpcPort: number;
    /** Reports not ready, drains the requests in progress for up to `drainMs`, and stops. */
    stop(): Promise<void>;
}

export async function startEntry(settings: EntrySettings): Promise<RunningEntry> {
    const accounts = createAccounts(settings);
    const runtime = await startNodeRuntime(settings);
    const { now, metrics, events, table, weightStore, membership, credentials, connections, configuration } = runtime;
    const profileStore = createProfileStore({ table, weightStore, now: () => performance.now(), random: Math.random });
    const directory = startAgentDirectory({
        process: settings.process,
        failureDomain: settings.failureDomain,
        membership,
        connections,
        isEvacuated: failureDomain => isEvacuated(configuration.current(), failureDomain),
        now,
    });
    const evacuatedDomains = () => configuration.current().evacuatedDomains ?? [];
    const countAgents = (failureDomain: string) =>
        membership.current().filter(vm => vm.role === "agent" && vm.failureDomain === failureDomain).length;
    const queue = settings.scheduling !== "entryQueues" ? undefined : createEntryQueue({
        policy: service => profilesOf(configuration.current(), service)[0]?.profile ?? DEFAULT_QUEUE_POLICY,
        entryCount: () => membership.current().filter(vm => vm.role === "entry" && vm.state === "live").length,
        hasEvacuations: () => evacuatedDomains().length > 0,
        now,
    });
    const profileUsage = createProfileUsage(
        createDispatcher({
            directory,
            connections,
            queue,
            routing: settings.scheduling === "fifo" ? "random" : "predictedWork",
            now,
            random: Math.random,
        }),
        now,
    );
    const { dispatcher } = profileUsage;
    const status = () => ({
        process: settings.process,
        configurationRevision: configuration.current().revision,
        configurationAgeMs: now() - configuration.confirmedAt(),
        requestsInProgress: dispatcher.inProgressCount(),
        evacuatedDomains: evacuatedDomains().map(failureDomain => ({
            failureDomain,
            agents: countAgents(failureDomain),
            requestsInProgress: dispatcher.inProgressAt(address => {
                return directory.failureDomainOf(address) === failureDomain;
            }),
        })),
        agents: directory.watchedAgents(now()),
    });
    const processQuery = createProcessQuery({ process: settings.process, membership, connections, events });
    const node = createNodeService({ configuration, events, status });
    const rpc = await startRpcServer({ ...settings.rpc, credentials, node });
    const server = await startEntryServer({
        settings,
        accounts,
        configuration,
        dispatcher,
        requestLimit: createRequestLimit(settings.limits),
        readTurns: createReadTurns(() => performance.now()),
        events,
        metrics,
        now,
        profileStore,
        profileUsage,
        directory,
        isKnownDomain: failureDomain => membership.current().some(vm => vm.failureDomain === failureDomain),
        status,
        processQuery,
        isReady: () => directory.isReady(now()),
    });
    log.info("entry %s listens on port %d", settings.process, server.port);

    async function stop(): Promise<void> {
        await server.stop(settings.drainMs);
        dispatcher.stop();
        directory.stop();
        await runtime.stop();
        await rpc.stop(1000);
        await metrics.close();
    }

    return { port: server.port, rpcPort: rpc.port, stop };
}
