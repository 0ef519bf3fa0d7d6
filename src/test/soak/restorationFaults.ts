/** Faults in which the store is away for a moment and comes back from a copy, so that it loses its latest writes. */
import { setTimeout as sleep } from "node:timers/promises";
import type { StoreCopy, StoreFault } from "../platform/fakeStore.js";
import { finishDrain } from "./noticeFaults.js";
import type { SoakFaults, SoakFaultsOptions } from "./soakFaults.js";
import type { Server } from "./soakServers.js";
import { MAX_COPY_AGE_MS, MIN_COPY_AGE_MS } from "./soakStore.js";

const OUTAGES: readonly StoreFault[] = ["busy", "silent", "reset"];

/** Time within which the operator and the servers write again what a restoration has lost. */
const MAX_REWRITE_DELAY_MS = 1500;

/** Time after which the store removes the rows of servers that don't write. */
const ROW_EXPIRY_MS = 3600;

export function createRestorationFaults(options: SoakFaultsOptions): SoakFaults {
    const { store, servers, operator, random } = options;

    async function restore(minCopyAgeMs: number): Promise<void> {
        const copy = store.findCopy(random.between(minCopyAgeMs, MAX_COPY_AGE_MS));
        if (copy === undefined) return;
        store.recordFault(Number.POSITIVE_INFINITY);
        store.fake.setFault(random.pick(OUTAGES));
        await sleep(random.between(500, 2500));
        store.fake.restore(copy);
        operator.recordRestoration(configurationVersion(copy));
        store.fake.setFault("none");
        store.recordFault(performance.now());
    }

    /** Lets each server write its row again, and removes the rows of those that have left. */
    async function writeServersAgain(): Promise<void> {
        const restoredIds = new Set(store.fake.keys("servers"));
        await Promise.all(servers.all.map(async server => {
            if (isGone(server)) {
                if (!restoredIds.has(server.id)) return;
                await sleep(ROW_EXPIRY_MS);
                store.fake.remove("servers", server.id);
                return;
            }
            await sleep(random.between(0, MAX_REWRITE_DELAY_MS));
            const isRestored = restoredIds.has(server.id) && server.row === "ready";
            if (!isGone(server) && !isRestored) servers.register(server);
        }));
    }

    async function writeConfigurationAgain(): Promise<void> {
        if (random.next() < 0.25) {
            await sleep(random.between(2000, 5000));
            operator.addKey();
            operator.writeConfiguration();
            operator.writeAgain();
            return;
        }
        await sleep(random.between(0, MAX_REWRITE_DELAY_MS));
        operator.writeAgain();
    }

    return {
        "restore the store from a copy": async () => {
            await store.exclusively(async () => {
                await restore(MIN_COPY_AGE_MS);
                if (random.next() > 0.3) return;
                await sleep(random.between(0, 1500));
                await restore(MIN_COPY_AGE_MS);
            });
            await Promise.all([writeServersAgain(), writeConfigurationAgain()]);
        },
        "restore the store from a copy with a server that has left": async () => {
            const server = random.pick(servers.all);
            if (isGone(server) || server.drainStartedAt !== undefined) return;
            await servers.add();
            const startedAt = performance.now();
            if (random.next() < 0.5) servers.unregister(server);
            else servers.startDrain(server);
            await finishDrain(options, server);
            await store.exclusively(() => restore(performance.now() - startedAt + MIN_COPY_AGE_MS));
            await Promise.all([writeServersAgain(), writeConfigurationAgain()]);
        },
    };
}

const isGone = (server: Server) => server.isStopped || server.row === "gone";

function configurationVersion(copy: StoreCopy): number {
    const { version } = JSON.parse(copy.rows.get("op config")?.value ?? "") as { version: number; };
    return version;
}
