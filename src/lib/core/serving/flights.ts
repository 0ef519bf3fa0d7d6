/**
 * The requests that this process has at backend servers, and what other entries report of theirs. Together they
 * give the load of each server without waiting for the servers' own reports, which lag.
 */
import type { EngineLoad } from "./engineModel.js";

export interface Flight {
    readonly id: string;
    readonly serverId: string;
    readonly account: string;
    readonly promptTokens: number;
    readonly sentAt: number;
    hasStarted: boolean;
}

/** Load that one entry causes, by server: writing, reading, unread tokens, context tokens. */
export type LoadReport = Readonly<Record<string, readonly [number, number, number, number]>>;

export interface Flights {
    begin(flight: Flight): void;
    /** The first event has arrived. */
    start(id: string): void;
    end(id: string): void;
    countOfAccount(account: string): number;
    countAt(serverId: string): number;
    total(): number;
    /** Takes another entry's report. */
    hear(entry: string, report: LoadReport, now: number): void;
    /** The load of a server from this process and the recent reports of the others. */
    loadOf(serverId: string, now: number): EngineLoad;
    /** What this process reports to others. */
    report(): LoadReport;
}

/** A report older than this tells nothing of the present: most requests last about a second. */
const REPORT_LIFETIME_MS = 1000;

export function createFlights(): Flights {
    const flights = new Map<string, Flight>();
    const servers = new Map<string, Set<Flight>>();
    const accounts = new Map<string, number>();
    const heard = new Map<string, { readonly report: LoadReport; readonly at: number; }>();

    function begin(flight: Flight): void {
        flights.set(flight.id, flight);
        let known = servers.get(flight.serverId);
        if (known === undefined) servers.set(flight.serverId, known = new Set());
        known.add(flight);
        accounts.set(flight.account, (accounts.get(flight.account) ?? 0) + 1);
    }

    function end(id: string): void {
        const flight = flights.get(id);
        if (flight === undefined) return;
        flights.delete(id);
        const known = servers.get(flight.serverId);
        known?.delete(flight);
        if (known?.size === 0) servers.delete(flight.serverId);
        const rest = (accounts.get(flight.account) ?? 1) - 1;
        if (rest > 0) accounts.set(flight.account, rest);
        else accounts.delete(flight.account);
    }

    function ownLoad(serverId: string): [number, number, number, number] {
        const load: [number, number, number, number] = [0, 0, 0, 0];
        for (const flight of servers.get(serverId) ?? []) {
            if (flight.hasStarted) {
                load[0]++;
                load[3] += flight.promptTokens;
            }
            else {
                load[1]++;
                load[2] += flight.promptTokens;
            }
        }
        return load;
    }

    function loadOf(serverId: string, now: number): EngineLoad {
        const sum = ownLoad(serverId);
        for (const { report, at } of heard.values()) {
            if (now - at > REPORT_LIFETIME_MS) continue;
            report[serverId]?.forEach((value, index) => sum[index] = (sum[index] ?? 0) + value);
        }
        return { writing: sum[0], reading: sum[1], unreadTokens: sum[2], contextTokens: sum[3] };
    }

    return {
        begin,
        start: id => {
            const flight = flights.get(id);
            if (flight !== undefined) flight.hasStarted = true;
        },
        end,
        countOfAccount: account => accounts.get(account) ?? 0,
        countAt: serverId => servers.get(serverId)?.size ?? 0,
        total: () => flights.size,
        hear: (entry, report, now) => void heard.set(entry, { report, at: now }),
        loadOf,
        report: () => Object.fromEntries([...servers.keys()].map(id => [id, ownLoad(id)])),
    };
}
