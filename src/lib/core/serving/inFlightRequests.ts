/**
 * Tracks the requests that this process has in flight at backend servers, and the load that other entries report.
 * Together they give the current load of each server; the servers' own reports lag behind.
 */
import type { EngineLoad } from "./engineModel.js";

export interface InFlightRequest {
    readonly id: string;
    readonly serverId: string;
    readonly account: string;
    readonly promptTokens: number;
    readonly sentAt: number;
    /** The first event has arrived, so the request is decoding; until then it is prefilling. */
    hasFirstEvent: boolean;
}

/**
 * Load that one entry puts on each server, as sent in heartbeats, keyed by the server's identifier: the numbers of
 * decoding requests, prefilling requests, prefill tokens and context tokens.
 */
export type LoadReport = Readonly<Record<string, readonly [number, number, number, number]>>;

export interface InFlightRequests {
    add(request: InFlightRequest): void;
    /** Records that the first event of the request has arrived. */
    recordFirstEvent(id: string): void;
    remove(id: string): void;
    countForAccount(account: string): number;
    countAtServer(serverId: string): number;
    count(): number;
    /** Stores the report of another entry, replacing its previous one. */
    recordPeerReport(entry: string, report: LoadReport, now: number): void;
    /** Returns the load of a server: requests of this process plus the recent reports of other entries. */
    loadOf(serverId: string, now: number): EngineLoad;
    /** Returns the load of this process for the report to other entries. */
    localReport(): LoadReport;
}

/** Older reports are ignored: most requests last about a second. */
const REPORT_MAX_AGE_MS = 1000;

export function createInFlightRequests(): InFlightRequests {
    const requests = new Map<string, InFlightRequest>();
    const requestsByServer = new Map<string, Set<InFlightRequest>>();
    const countByAccount = new Map<string, number>();
    const peerReports = new Map<string, { readonly report: LoadReport; readonly receivedAt: number; }>();

    function add(request: InFlightRequest): void {
        requests.set(request.id, request);
        let requestsAtServer = requestsByServer.get(request.serverId);
        if (requestsAtServer === undefined) requestsByServer.set(request.serverId, requestsAtServer = new Set());
        requestsAtServer.add(request);
        countByAccount.set(request.account, (countByAccount.get(request.account) ?? 0) + 1);
    }

    function remove(id: string): void {
        const request = requests.get(id);
        if (request === undefined) return;
        requests.delete(id);
        const requestsAtServer = requestsByServer.get(request.serverId);
        requestsAtServer?.delete(request);
        if (requestsAtServer?.size === 0) requestsByServer.delete(request.serverId);
        const remaining = (countByAccount.get(request.account) ?? 1) - 1;
        if (remaining > 0) countByAccount.set(request.account, remaining);
        else countByAccount.delete(request.account);
    }

    function localLoad(serverId: string): [number, number, number, number] {
        const load: [number, number, number, number] = [0, 0, 0, 0];
        for (const request of requestsByServer.get(serverId) ?? []) {
            if (request.hasFirstEvent) {
                load[0]++;
                load[3] += request.promptTokens;
            }
            else {
                load[1]++;
                load[2] += request.promptTokens;
            }
        }
        return load;
    }

    function loadOf(serverId: string, now: number): EngineLoad {
        const sum = localLoad(serverId);
        for (const { report, receivedAt } of peerReports.values()) {
            if (now - receivedAt > REPORT_MAX_AGE_MS) continue;
            report[serverId]?.forEach((value, index) => sum[index] = (sum[index] ?? 0) + value);
        }
        return { decoding: sum[0], prefilling: sum[1], prefillTokens: sum[2], contextTokens: sum[3] };
    }

    return {
        add,
        recordFirstEvent: id => {
            const request = requests.get(id);
            if (request !== undefined) request.hasFirstEvent = true;
        },
        remove,
        countForAccount: account => countByAccount.get(account) ?? 0,
        countAtServer: serverId => requestsByServer.get(serverId)?.size ?? 0,
        count: () => requests.size,
        recordPeerReport: (entry, report, now) => void peerReports.set(entry, { report, receivedAt: now }),
        loadOf,
        localReport: () => Object.fromEntries([...requestsByServer.keys()].map(id => [id, localLoad(id)])),
    };
}
