/** Faults of servers that say in their answers that they are leaving, or that they want a pause. */
import { setTimeout as sleep } from "node:timers/promises";
import { DRAIN_MS, SCHEDULING_DELAY_MS, STABILITY_WINDOW_MS } from "./bounds.js";
import { spanOf } from "./entryProcesses.js";
import type { SoakFaults, SoakFaultsOptions } from "./soakFaults.js";
import type { Server } from "./soakServers.js";

/** Pause that lasts beyond the end of a short soak. */
const LONG_PAUSE_MS = 30_000;

export function createNoticeFaults(options: SoakFaultsOptions): SoakFaults {
    const { servers, random } = options;
    let hasLongPause = false;

    /** Starts a pause of a server, which may prolong it. */
    async function pause(server: Server): Promise<void> {
        if (!hasLongPause && random.next() < 0.2) {
            hasLongPause = true;
            await servers.add();
            server.pausedUntil = performance.now() + LONG_PAUSE_MS;
            return;
        }
        for (let isLast = false; !isLast; isLast = random.next() < 0.7) {
            const durationMs = random.between(500, 3000);
            server.pausedUntil = Math.max(server.pausedUntil, performance.now() + durationMs);
            await sleep(durationMs * random.between(0.5, 1));
        }
    }

    return {
        "let a server leave by its answers": async () => {
            const server = random.pick(servers.all);
            if (server.isStopped || server.announcesLeaving || server.drainStartedAt !== undefined) return;
            const isRowWritten = random.next() < 0.5;
            await servers.add();
            server.announcesLeaving = true;
            await sleep(isRowWritten ? random.between(0, 1000) : random.between(2500, 5000));
            // Another fault may have ended the server meanwhile.
            if (server.isStopped || server.drainStartedAt !== undefined) return;
            if (isRowWritten) servers.startDrain(server);
            else servers.unregister(server);
            await finishDrain(options, server);
        },
        "let servers ask for pauses": async () => {
            const candidates = servers.all.filter(server =>
                !server.isStopped && server.drainStartedAt === undefined && server.pausedUntil < performance.now()
            );
            const count = Math.min(candidates.length, 1 + Math.floor(random.next() * 3));
            const paused = new Set(Array.from({ length: count }, () => random.pick(candidates)));
            await Promise.all([...paused].map(pause));
        },
    };
}

/** Waits until a server whose row says that it is leaving, or is gone, has left, and removes its row. */
export async function finishDrain(options: SoakFaultsOptions, server: Server): Promise<void> {
    const { store, entries, servers, notices } = options;
    const startedAt = performance.now();
    await sleep(DRAIN_MS + 2 * SCHEDULING_DELAY_MS);
    server.isStopped = true;
    servers.unregister(server);
    const at = performance.now();
    if (!store.isStable(startedAt) || !store.isStable(at)) return;
    // Entries that nothing has affected since have read the row.
    const informed = entries.all.filter(entry => startedAt - entries.lastFaultAt(entry, at) > STABILITY_WINDOW_MS);
    notices.recordLeavingRow(informed.map(spanOf), server.id, at);
}
