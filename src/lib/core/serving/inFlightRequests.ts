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
    /** Expected length of the answer if the engine's memory is known; see `expectedAnswerTokens`. */
    readonly answerTokens: number;
    readonly sentAt: number;
    /** The first event has arrived, so the request is decoding; until then it is prefilling. */
    hasFirstEvent: boolean;
}

/**
 * Load that one entry puts on each server, as sent in heartbeats, keyed by the server's identifier: the numbers of
 * decoding requests, prefilling requests, prefill tokens and context tokens, as in `EngineLoad`.
 */
export type LoadReport = Readonly<Record<string, readonly [number, number, number, number]>>;

/** Number of in-flight requests by account. */
export type AccountReport = Readonly<Record<string, number>>;

export interface InFlightRequests {
    add(request: InFlightRequest): void;
    /** Records that the first event of the request has arrived. */
    recordFirstEvent(id: string): void;
    remove(id: string): void;
    /** Returns the number of an account's requests of this process plus those that other entries recently reported. */
    countEverywhere(account: string, now: number): number;
    countAtServer(serverId: string): number;
    count(): number;
    /** Returns the load that a request of this process puts on its server; `undefined` if it isn't in flight. */
    loadOfRequest(id: string): ServerLoad | undefined;
    /** Stores the report of another entry or failure domain, replacing its previous one. */
    recordPeerReport(sender: string, report: LoadReport, now: number, accounts?: AccountReport): void;
    /**
     * Records a change of a sender's load that it announced between two reports. It counts until a report that includes
     * it.
     */
    recordPeerChange(sender: string, serverId: string, change: ServerLoad, now: number): void;
    /** Stores the load of a server as its owner knows it, which replaces all other knowledge for a short time. */
    recordOwnerLoad(serverId: string, load: ServerLoad, now: number): void;
    /** Returns the load of a server: requests of this process plus the recent reports of other entries. */
    loadOf(serverId: string, now: number): EngineLoad;
    /** Returns the load of this process for the report to other entries. */
    localReport(): LoadReport;
    /** Returns the sum of the load of this process and of the recent reports of the senders. */
    combinedReport(senders: readonly string[], now: number): LoadReport;
    /** Returns the accounts with the most requests of this process and of the recent reports of the senders. */
    accountReport(senders: readonly string[], now: number): AccountReport;
}

/** The four numbers of a `LoadReport` for one server. */
export type ServerLoad = [number, number, number, number];

/** Older reports are ignored: most requests last about a second. */
const REPORT_MAX_AGE_MS = 1000;

/** An entry has requests of a dozen accounts in flight; the limit bounds the size of heartbeats. */
const MAX_REPORTED_ACCOUNTS = 64;

/** Time for which the owner's knowledge of a server's load is used; heartbeats follow by then. */
const OWNER_LOAD_MAX_AGE_MS = 150;

/** `reportLagMs` returns by how much a report of a sender may be older than its arrival, in milliseconds. */
export function createInFlightRequests(reportLagMs: (sender: string) => number = () => 0): InFlightRequests {
    const requests = new Map<string, InFlightRequest>();
    const requestsByServer = new Map<string, Set<InFlightRequest>>();
    const countByAccount = new Map<string, number>();
    const peerReports = new Map<string, PeerReport>();
    /** Announced changes by sender, oldest first. */
    const peerChanges = new Map<string, { serverId: string; change: ServerLoad; at: number; }[]>();
    /** Loads of servers that their owners told with a refusal. */
    const ownerLoads = new Map<string, { readonly load: ServerLoad; readonly at: number; }>();
    /** Sum of the peers' recent reports by server; `undefined` after a change. */
    let peerTotals: PeerTotals | undefined;

    function add(request: InFlightRequest): void {
        requests.set(request.id, request);
        let requestsAtServer = requestsByServer.get(request.serverId);
        if (requestsAtServer === undefined) requestsByServer.set(request.serverId, requestsAtServer = new Set());
        requestsAtServer.add(request);
        const ownerLoad = ownerLoads.get(request.serverId);
        if (ownerLoad !== undefined) addLoad(ownerLoad.load, requestLoad(request));
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

    function localLoad(serverId: string): ServerLoad {
        const load: ServerLoad = [0, 0, 0, 0];
        for (const request of requestsByServer.get(serverId) ?? []) addLoad(load, requestLoad(request));
        return load;
    }

    function loadOf(serverId: string, now: number): EngineLoad {
        const ownerLoad = ownerLoads.get(serverId);
        if (ownerLoad !== undefined) {
            if (now - ownerLoad.at <= OWNER_LOAD_MAX_AGE_MS) return toEngineLoad(ownerLoad.load);
            ownerLoads.delete(serverId);
        }
        const sum = localLoad(serverId);
        addLoad(sum, totalsOfPeers(now).byServer.get(serverId));
        return toEngineLoad(sum);
    }

    /** Summed once for all servers, because each decision needs the load of every server. */
    function totalsOfPeers(now: number): PeerTotals {
        if (peerTotals !== undefined && now <= peerTotals.validUntil) return peerTotals;
        const byServer = new Map<string, ServerLoad>();
        const byAccount = new Map<string, number>();
        let validUntil = Number.POSITIVE_INFINITY;
        for (const [sender, { report, accounts, receivedAt }] of peerReports) {
            if (now - receivedAt > REPORT_MAX_AGE_MS) {
                peerReports.delete(sender);
                continue;
            }
            validUntil = Math.min(validUntil, receivedAt + REPORT_MAX_AGE_MS);
            addReport(byServer, report);
            addAccounts(byAccount, accounts);
        }
        for (const [sender, changes] of peerChanges) {
            const recent = changes.filter(({ at }) => now - at <= REPORT_MAX_AGE_MS);
            if (recent.length === 0) peerChanges.delete(sender);
            else peerChanges.set(sender, recent);
            validUntil = Math.min(validUntil, (recent[0]?.at ?? Number.POSITIVE_INFINITY) + REPORT_MAX_AGE_MS);
            for (const { serverId, change } of recent) addServerLoad(byServer, serverId, change);
        }
        return peerTotals = { byServer, byAccount, validUntil };
    }

    const localReport = () => Object.fromEntries([...requestsByServer.keys()].map(id => [id, localLoad(id)]));

    function combinedReport(senders: readonly string[], now: number): LoadReport {
        const byServer = new Map<string, ServerLoad>();
        addReport(byServer, localReport());
        for (const sender of senders) {
            const peerReport = peerReports.get(sender);
            if (peerReport === undefined || now - peerReport.receivedAt > REPORT_MAX_AGE_MS) continue;
            addReport(byServer, peerReport.report);
        }
        return Object.fromEntries(byServer);
    }

    function accountReport(senders: readonly string[], now: number): AccountReport {
        const byAccount = new Map(countByAccount);
        for (const sender of senders) {
            const peerReport = peerReports.get(sender);
            if (peerReport === undefined || now - peerReport.receivedAt > REPORT_MAX_AGE_MS) continue;
            addAccounts(byAccount, peerReport.accounts);
        }
        return Object.fromEntries([...byAccount].toSorted((a, b) => b[1] - a[1]).slice(0, MAX_REPORTED_ACCOUNTS));
    }

    return {
        add,
        recordFirstEvent: id => {
            const request = requests.get(id);
            if (request !== undefined) request.hasFirstEvent = true;
        },
        remove,
        countEverywhere: (account, now) => {
            return (countByAccount.get(account) ?? 0) + (totalsOfPeers(now).byAccount.get(account) ?? 0);
        },
        countAtServer: serverId => requestsByServer.get(serverId)?.size ?? 0,
        count: () => requests.size,
        loadOfRequest: id => {
            const request = requests.get(id);
            return request === undefined ? undefined : requestLoad(request);
        },
        recordPeerReport: (sender, report, now, accounts = {}) => {
            peerReports.set(sender, { report, accounts, receivedAt: now });
            const changes = peerChanges.get(sender);
            if (changes !== undefined) {
                const reportedUntil = now - reportLagMs(sender);
                peerChanges.set(sender, changes.filter(({ at }) => at > reportedUntil));
            }
            peerTotals = undefined;
        },
        recordPeerChange: (sender, serverId, change, now) => {
            let changes = peerChanges.get(sender);
            if (changes === undefined) peerChanges.set(sender, changes = []);
            changes.push({ serverId, change, at: now });
            const total = peerTotals?.byServer.get(serverId);
            if (peerTotals === undefined || total === undefined) peerTotals = undefined;
            else {
                addLoad(total, change);
                peerTotals.validUntil = Math.min(peerTotals.validUntil, now + REPORT_MAX_AGE_MS);
            }
        },
        recordOwnerLoad: (serverId, load, now) => void ownerLoads.set(serverId, { load: [...load], at: now }),
        loadOf,
        localReport,
        combinedReport,
        accountReport,
    };
}

interface PeerReport {
    readonly report: LoadReport;
    readonly accounts: AccountReport;
    readonly receivedAt: number;
}

interface PeerTotals {
    readonly byServer: Map<string, ServerLoad>;
    readonly byAccount: ReadonlyMap<string, number>;
    validUntil: number;
}

function addAccounts(sum: Map<string, number>, accounts: AccountReport): void {
    for (const [account, count] of Object.entries(accounts)) sum.set(account, (sum.get(account) ?? 0) + count);
}

function requestLoad({ hasFirstEvent, promptTokens, answerTokens }: InFlightRequest): ServerLoad {
    return hasFirstEvent ? [1, 0, 0, promptTokens + answerTokens] : [0, 1, promptTokens, answerTokens];
}

/** Changes may be counted twice or late for a moment, so sums can be negative. */
function toEngineLoad([decoding, prefilling, prefillTokens, contextTokens]: ServerLoad): EngineLoad {
    return {
        decoding: Math.max(0, decoding),
        prefilling: Math.max(0, prefilling),
        prefillTokens: Math.max(0, prefillTokens),
        contextTokens: Math.max(0, contextTokens),
    };
}

function addLoad(sum: ServerLoad, load: LoadReport[string] | undefined): void {
    if (load === undefined) return;
    sum[0] += load[0];
    sum[1] += load[1];
    sum[2] += load[2];
    sum[3] += load[3];
}

function addReport(byServer: Map<string, ServerLoad>, report: LoadReport): void {
    for (const serverId in report) addServerLoad(byServer, serverId, report[serverId]);
}

function addServerLoad(
    byServer: Map<string, ServerLoad>,
    serverId: string,
    load: LoadReport[string] | undefined,
): void {
    let sum = byServer.get(serverId);
    if (sum === undefined) byServer.set(serverId, sum = [0, 0, 0, 0]);
    addLoad(sum, load);
}
