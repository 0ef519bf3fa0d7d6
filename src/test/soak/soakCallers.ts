/** The soak's callers: they send calls over persistent connections and check the results. */
import * as http from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { sendCall } from "../router/routerHarness.js";
import { CONFIG_APPLY_MS, SCHEDULING_DELAY_MS, STABILITY_WINDOW_MS } from "./bounds.js";
import type { EntryProcess, EntryProcesses } from "./entryProcesses.js";
import type { CallKind, Ledger } from "./ledger.js";
import type { SoakOperator } from "./soakOperator.js";
import type { SoakRandom } from "./soakRandom.js";
import type { SoakServers } from "./soakServers.js";
import type { SoakStore } from "./soakStore.js";

export interface SoakCallersOptions {
    readonly store: SoakStore;
    readonly entries: EntryProcesses;
    readonly servers: SoakServers;
    readonly operator: SoakOperator;
    readonly ledger: Ledger;
    readonly random: SoakRandom;
    readonly nextSerial: () => number;
    readonly isFinished: () => boolean;
    readonly onViolation: (text: string) => void;
}

const CALL_KINDS: readonly CallKind[] = ["read", "book", "talk"];

/** Path of the route for each kind of call in the fake store's configuration. */
const PATH_BY_KIND = { read: "/read/x", book: "/book/x", talk: "/talk/x" } as const;

/** Sends calls over persistent connections until the soak is finished, whatever signals the entries get meanwhile. */
export async function runCaller(options: SoakCallersOptions): Promise<void> {
    const { entries, random, isFinished } = options;
    while (!isFinished()) {
        const entry = random.pick(entries.all);
        const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
        for (let callCount = 0; callCount < 40 && !isFinished(); callCount++) {
            if (!await sendOneCall(options, entry, agent)) break;
        }
        agent.destroy();
        await sleep(50);
    }
}

/** Returns whether the connection is still usable. */
async function sendOneCall(options: SoakCallersOptions, entry: EntryProcess, agent: http.Agent): Promise<boolean> {
    const { store, entries, servers, operator, ledger, random, onViolation } = options;
    const kind = random.pick(CALL_KINDS);
    const { key, account, addedAt, revokedAt } = random.pick(operator.keys());
    const id = `c${options.nextSerial()}`;
    const sentAt = performance.now();
    ledger.recordSent({ id, kind, account, sentAt });
    const cancellation = new AbortController();
    const cancelAfterMs = random.next() < 0.05 ? random.between(5, 60) : 6000;
    const timer = setTimeout(() => cancellation.abort(), cancelAfterMs);
    const received = await sendCall(entries.port, {
        ip: entry.ip,
        path: PATH_BY_KIND[kind],
        method: kind === "read" ? "GET" : "POST",
        ...kind === "read" ? {} : { body: `body of ${id}` },
        headers: { "attempt-id": id, key },
        agent,
        signal: cancellation.signal,
    });
    clearTimeout(timer);
    const at = performance.now();
    const isFaultFree = store.isStable(at) && at - entries.lastFaultAt(entry, at) > STABILITY_WINDOW_MS;
    ledger.recordResult(id, {
        status: received.status,
        body: received.body,
        isSigned: received.headers["response-seal"] !== undefined,
        isComplete: received.isComplete,
        endedAt: at,
        isCancelled: cancellation.signal.aborted,
        isAffectedByFault: at - entries.lastFaultAt(entry, at) < STABILITY_WINDOW_MS,
        isGracefulStop: entry.isGracefulStop && at - (entry.storeLink.lastFaultAt(at) ?? 0) > STABILITY_WINDOW_MS &&
            at - servers.lastFaultAt() > STABILITY_WINDOW_MS,
    });
    const wasRevoked = revokedAt !== undefined && sentAt - revokedAt > CONFIG_APPLY_MS + SCHEDULING_DELAY_MS;
    if (isFaultFree && wasRevoked && store.isStable(revokedAt) && ![0, 401, 503].includes(received.status)) {
        onViolation(`${kind} ${id} wasn't denied ${Math.round(sentAt - revokedAt)} ms after its key was removed`);
    }
    const sinceAddedMs = Math.round(sentAt - addedAt);
    const isConfigurationApplied = sinceAddedMs > CONFIG_APPLY_MS + SCHEDULING_DELAY_MS;
    if (isFaultFree && isConfigurationApplied && revokedAt === undefined && received.status === 401) {
        onViolation(`${kind} ${id} was denied ${sinceAddedMs} ms after its key was added`);
    }
    return received.status !== 0;
}
