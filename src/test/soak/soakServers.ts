/** The soak's backend servers, each behind a link that can fail, and their rows in the store. */
import {
    type FakeRunner,
    notRunResponse,
    type ReceivedRequest,
    serverRow,
    startFakeRunner,
} from "../platform/fakeRunner.js";
import { DRAIN_MS, SCHEDULING_DELAY_MS, STABILITY_WINDOW_MS } from "./bounds.js";
import type { EntryProcesses } from "./entryProcesses.js";
import { type FaultProxy, startFaultProxy } from "./faultProxy.js";
import type { Ledger } from "./ledger.js";
import { isCompletelyAnswered, sendRunResponse } from "./serverResponses.js";
import type { SoakRandom } from "./soakRandom.js";
import type { SoakStore } from "./soakStore.js";

export interface Server {
    readonly id: string;
    readonly runner: FakeRunner;
    readonly link: FaultProxy;
    drainStartedAt: number | undefined;
    isStopped: boolean;
}

export interface SoakServers {
    readonly all: readonly Server[];
    /** Starts a server and registers it. */
    add(): Promise<void>;
    register(server: Server, state?: string): void;
    /** Records the time of a crash or link fault, which may interrupt calls that had started. */
    recordFault(at: number): void;
    lastFaultAt(): number;
    close(): void;
}

export interface SoakServersOptions {
    readonly store: SoakStore;
    readonly entries: EntryProcesses;
    readonly ledger: Ledger;
    readonly random: SoakRandom;
    readonly nextSerial: () => number;
}

export function createSoakServers({ store, entries, ledger, random, nextSerial }: SoakServersOptions): SoakServers {
    const servers: Server[] = [];
    let lastFaultAt = Number.NEGATIVE_INFINITY;
    let lastSerial = 0;

    async function add(): Promise<void> {
        lastSerial = nextSerial();
        const id = `i-${lastSerial}`;
        const runner = await startFakeRunner(request => handleRequest(server, request));
        const link = await startFaultProxy(() => runner.address);
        const server: Server = { id, runner, link, drainStartedAt: undefined, isStopped: false };
        servers.push(server);
        register(server);
    }

    function register({ id, link }: Server, state = "ready"): void {
        const zone = `z${servers.length % 2}`;
        store.fake.put("servers", id, serverRow(link.address, { state, zone, slots: 16, born: 1000 + lastSerial }));
    }

    /**
     * Handles a call on a server. Most calls succeed; the others fail in one of the ways that the requirements list,
     * drawn at random.
     */
    function handleRequest(server: Server, request: ReceivedRequest): void {
        const { socket, attemptId: id } = request;
        if (request.header("expect-instance") !== server.id) {
            socket.write("HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        const draw = random.next();
        if (draw < 0.04) {
            socket.write(notRunResponse());
            return;
        }
        const at = performance.now();
        const isStable = server.drainStartedAt !== undefined && store.isStable(server.drainStartedAt) &&
            store.isStable(at) &&
            entries.all.every(entry => at - entries.lastFaultAt(entry, at) > STABILITY_WINDOW_MS);
        ledger.recordRun({
            id,
            account: request.header("tenant"),
            startedAt: at,
            isAfterDrain: isStable && at - (server.drainStartedAt ?? at) > DRAIN_MS + SCHEDULING_DELAY_MS,
            isAffectedByFault: at - (server.link.lastFaultAt(at) ?? Number.NEGATIVE_INFINITY) < STABILITY_WINDOW_MS,
            isCompletelyAnswered: isCompletelyAnswered(draw) && !server.isStopped,
        });
        sendRunResponse(request, draw);
    }

    return {
        all: servers,
        add,
        register,
        recordFault: at => {
            lastFaultAt = at;
        },
        lastFaultAt: () => lastFaultAt,
        close: () => {
            for (const { runner, link } of servers) {
                runner.close();
                link.close();
            }
        },
    };
}
