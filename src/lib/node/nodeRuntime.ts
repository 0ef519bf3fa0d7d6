/** Starts what every process needs: platform clients, connections, the VM list, the configuration and events. */
import {
    createObjectStore,
    createTableService,
    createVmList,
    type ObjectStore,
    type TableService,
} from "../clients/index.js";
import { createMetrics, type Metrics } from "../observability/index.js";
import { type Connections, createConnections, createCredentials, type Credentials } from "../rpc/index.js";
import type { ProcessSettings } from "../settings/index.js";
import { type ConfigurationSync, startConfigurationSync } from "./configurationSync.js";
import { createEventRecorder, type EventRecorder } from "./eventRecorder.js";
import { type MembershipTask, startMembershipTask } from "./membershipTask.js";

export interface NodeRuntime {
    /** Milliseconds since the epoch. */
    readonly now: () => number;
    readonly events: EventRecorder;
    readonly metrics: Metrics;
    readonly table: TableService;
    readonly weightStore: ObjectStore;
    readonly credentials: Credentials;
    readonly connections: Connections;
    readonly membership: MembershipTask;
    readonly configuration: ConfigurationSync;
    /** Stops the tasks and closes the connections. Leaves `metrics` open so that the last values can be sent. */
    stop(): Promise<void>;
}

export async function startNodeRuntime(settings: ProcessSettings): Promise<NodeRuntime> {
    const { process, failureDomain, platform, pollMs } = settings;
    const { timeoutMs } = platform;
    const now = () => Date.now();
    const metrics = await createMetrics(settings.metrics, process);
    const events = createEventRecorder(process, now);
    const table = createTableService({ url: platform.tableUrl, timeoutMs });
    const weightStore = createObjectStore({ url: platform.weightStoreUrl, timeoutMs });
    const credentials = createCredentials(settings.tls);
    const connections = createConnections(credentials);
    const membership = startMembershipTask(createVmList({ url: platform.vmListUrl, timeoutMs }), pollMs);
    const configuration = startConfigurationSync({
        process,
        failureDomain,
        table,
        vms: membership.current,
        connections,
        events,
        pollMs,
        now,
        random: Math.random,
    });

    async function stop(): Promise<void> {
        await Promise.all([membership.stop(), configuration.stop()]);
        connections.close();
    }

    return { now, events, metrics, table, weightStore, credentials, connections, membership, configuration, stop };
}
