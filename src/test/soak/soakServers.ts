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
import type { NoticeLedger } from "./noticeLedger.js";
import { isCompletelyAnswered, sendRunResponse } from "./serverResponses.js";
import type { SoakOperator } from "./soakOperator.js";
import type { SoakRandom } from "./soakRandom.js";
import type { SoakStore } from "./soakStore.js";

export interface Server {
    readonly id: string;
    readonly runner: FakeRunner;
    readonly link: FaultProxy;
    readonly zone: string;
    /** Time of the start that the server states. */
    readonly born: number;
    /** What the server has written to the store; it writes that again after a restoration. */
    row: "ready" | "draining" | "gone";
    /** The server says in all its answers that it is leaving. */
    announcesLeaving: boolean;
    /** The server turns calls away and asks for a pause until this time. */
    pausedUntil: number;
    drainStartedAt: number | undefined;
    isStopped: boolean;
}

export interface SoakServers {
    readonly all: readonly Server[];
    /** Starts a server and registers it. */
    add(): Promise<void>;
    /** Writes a server's row. */
    register(server: Server): void;
    /** Writes that a server is leaving. */
    startDrain(server: Server): void;
    /** Removes the row of a server that has left or crashed. */
    unregister(server: Server): void;
    /** Records the time of a crash or link fault, which may interrupt calls that had started. */
    recordFault(at: number): void;
    lastFaultAt(): number;
    close(): void;
}

export interface SoakServersOptions {
    readonly store: SoakStore;
    readonly entries: EntryProcesses;
    readonly operator: SoakOperator;
    readonly onViolation: (text: string) => void;
    readonly ledger: Ledger;
    readonly notices: NoticeLedger;
    readonly random: SoakRandom;
    readonly nextSerial: () => number;
}

/** Header by which callers learn which server answered. */
export const SERVED_BY_HEADER = "x-served-by";

export function createSoakServers(options: SoakServersOptions): SoakServers {
    const { store, entries, operator, ledger, notices, random, nextSerial } = options;
    const servers: Server[] = [];
    let lastFaultAt = Number.NEGATIVE_INFINITY;

    async function add(): Promise<void> {
        const serial = nextSerial();
        const id = `i-${serial}`;
        const runner = await startFakeRunner(request => handleRequest(server, request));
        const link = await startFaultProxy(() => runner.address);
        const server: Server = {
            id,
            runner,
            link,
            zone: `z${serial % 2}`,
            born: 1000 + serial,
            row: "ready",
            announcesLeaving: false,
            pausedUntil: 0,
            drainStartedAt: undefined,
            isStopped: false,
        };
        servers.push(server);
        register(server);
    }

    function register({ id, link, zone, born, row }: Server): void {
        store.fake.put("servers", id, serverRow(link.address, { state: row, zone, slots: 16, born }));
    }

    function startDrain(server: Server): void {
        server.row = "draining";
        server.drainStartedAt = performance.now();
        register(server);
    }

    function unregister(server: Server): void {
        server.row = "gone";
        server.drainStartedAt ??= performance.now();
        store.fake.remove("servers", server.id);
    }

    /** Asks for a pause if the server is in one, and returns whether it is. */
    function answerWithPause(server: Server, { socket, attemptId: id }: ReceivedRequest, headers: string): boolean {
        const at = performance.now();
        const seconds = Math.floor((server.pausedUntil - at) / 10) / 100;
        if (seconds <= 0) return false;
        socket.write(notRunResponse(`${headers}Retry-After: ${seconds}\r\n`));
        // During a fault of the link the answer may not arrive.
        if (server.link.lastFaultAt(at) !== at) notices.recordPause(id, server.id, at, seconds * 1000);
        return true;
    }

    /** Returns whether the entries and the store were in touch from a time until now. */
    function isInTouch(since: number, at: number): boolean {
        return store.isStable(since) && store.isStable(at) &&
            entries.all.every(entry => at - entries.lastFaultAt(entry, at) > STABILITY_WINDOW_MS);
    }

    /** Reports a call that reaches an evacuated server, or one in a region that is forbidden to it, after the bound. */
    function checkPlace({ id, zone, link }: Server, request: ReceivedRequest, at: number): void {
        // A faulty link delivers calls late that were sent in time.
        if (at - (link.lastFaultAt(at) ?? Number.NEGATIVE_INFINITY) < STABILITY_WINDOW_MS) return;
        const route = /^\w+ \/(\w+)\//.exec(request.head)?.[1] ?? "";
        for (const { writtenAt, boundMs, reason } of operator.prohibitions(zone, route, request.header("tenant"))) {
            const ageMs = at - writtenAt;
            if (ageMs <= boundMs + SCHEDULING_DELAY_MS || !isInTouch(writtenAt, at)) continue;
            options.onViolation(
                `${request.attemptId} reached ${id} in ${zone} ${Math.round(ageMs)} ms after ${reason}`,
            );
        }
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
        const at = performance.now();
        notices.recordArrival(id, server.id, at);
        checkPlace(server, request, at);
        const headers = `${SERVED_BY_HEADER}: ${server.id}\r\n${
            server.announcesLeaving ? "Server-Leaving: 1\r\n" : ""
        }`;
        if (server.announcesLeaving) notices.recordLeavingAnswer(id, server.id);
        if (answerWithPause(server, request, headers)) return;
        const draw = random.next();
        if (draw < 0.04) {
            socket.write(notRunResponse(headers));
            return;
        }
        const isStable = server.drainStartedAt !== undefined && isInTouch(server.drainStartedAt, at);
        ledger.recordRun({
            id,
            account: request.header("tenant"),
            startedAt: at,
            isAfterDrain: isStable && at - (server.drainStartedAt ?? at) > DRAIN_MS + SCHEDULING_DELAY_MS,
            isAffectedByFault: at - (server.link.lastFaultAt(at) ?? Number.NEGATIVE_INFINITY) < STABILITY_WINDOW_MS,
            isCompletelyAnswered: isCompletelyAnswered(draw) && !server.isStopped,
        });
        sendRunResponse(request, draw, headers);
    }

    return {
        all: servers,
        add,
        register,
        startDrain,
        unregister,
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
