/**
 * Lists the other agents and the entries for an agent. Both lists are read when a transfer starts: an
 * agent has the IP address of the backend server beside it, and each entry has a row of its own.
 */
import * as http from "node:http";
import { orderMembers } from "../core/index.js";
import type { BackendServer, EntryIdentity } from "../core/serving/index.js";
import { checkConnect, ConnectResult } from "../node/connectCheck.js";
import { ENTRIES_TABLE, parseEntryRow } from "../node/entryRows.js";
import type { MetadataStore } from "../node/metadataStore.js";
import { parseServerRow, PlatformTable } from "../platform/index.js";
import type { AgentContext } from "./agentContext.js";
import type { EntryResponses } from "./entryResponses.js";
import { createPeerClient } from "./peerApi.js";
import { MAX_RELAYS, type Relay, type TransferPeer } from "./pieceTransfer.js";
import type { TableReader } from "./sharedReads.js";
import { DOWNLINK_FRACTION } from "./uploadThrottle.js";

export interface FleetView {
    /** Reads the lists again. If they can't be read, logs a warning and keeps the earlier ones. */
    refresh(): Promise<void>;
    /** Returns the IP addresses of the entries of the region; reads their list if none is known. Never throws. */
    regionEntryIps(): Promise<readonly string[]>;
    /** Agents beside the engines of the same service, except this one, as sources of the model's weights. */
    peers(model: string): TransferPeer[];
    /**
     * Finds the entries of the same region that respond, in the order in which they are asked, at most `MAX_RELAYS`.
     * A row may be that of an entry which has been removed for good. Never throws.
     */
    findRelays(model: string): Promise<Relay[]>;
    /** Names of the agents in this failure domain, including this one. */
    domainReplicas(): string[];
    /** Failure domains of the engines of the same service, including this one's. */
    failureDomains(): string[];
    /** IP addresses of the entries that receive this agent's heartbeats. */
    entryIps(): readonly string[];
}

/** Entries that are checked at the same time until enough of them respond. */
const CHECKED_TOGETHER = 6;

/**
 * Time-outs of the checks in milliseconds, one after another until any entry responds. A lost packet is no sign of a lost
 * VM, and packets may wait at a link that is full.
 */
const PRESENCE_TIMEOUTS_MS = [250, 800] as const;

/** Time after which an agent that knows no entry reads their list again. */
const ENTRIES_RETRY_INTERVAL_MS = 5000;

/** Maximum number of entries that receive an agent's heartbeats; entries of its region come first. */
const MAX_HEARTBEAT_RECIPIENTS = 16;

/** Returns the entries of both lists; one with the same name in `later` replaces the earlier one. */
function mergeEntries(earlier: readonly EntryIdentity[], later: readonly EntryIdentity[]): EntryIdentity[] {
    return [...new Map([...earlier, ...later].map(entry => [entry.name, entry])).values()];
}

export function createFleetView(
    { settings, log, now }: AgentContext,
    store: MetadataStore,
    tables: () => TableReader,
    ports: { readonly entry: number; readonly agent: number; },
    connections: http.Agent,
    entryResponses: EntryResponses,
): FleetView {
    const { entry: entryPort, agent: agentPort } = ports;
    const receiveRateMbps = settings.linkMbps * DOWNLINK_FRACTION;
    let servers: readonly BackendServer[] = [];
    let entries: readonly EntryIdentity[] = [];
    let entryIps: readonly string[] = settings.seeds;
    let entriesReadAt = Number.NEGATIVE_INFINITY;
    let entriesEpoch = 0;

    async function refresh(): Promise<void> {
        try {
            const [serverTable] = await Promise.all([
                tables().readTable(PlatformTable.servers),
                refreshEntries(),
            ]);
            servers = serverTable.rows.flatMap(row => parseServerRow(row.key, row.value ?? "") ?? []);
        }
        catch (error) {
            log.warn("servers not read", { error: (error as Error).message, known: servers.length });
        }
    }

    async function refreshEntries(): Promise<void> {
        entriesReadAt = now();
        try {
            const entryTable = await store.readTable(ENTRIES_TABLE);
            const readEntries = entryTable.rows.flatMap(row => parseEntryRow(row) ?? []);
            // A restored store lacks the entries that haven't registered again yet.
            const isRestored = entryTable.position.epoch > entriesEpoch;
            entriesEpoch = entryTable.position.epoch;
            const sortedEntries = isRestored ? mergeEntries(entries, readEntries) : readEntries;
            const regionDistance = (failureDomain: string) =>
                settings.regions.get(failureDomain) === settings.region ? 0 : 1;
            sortedEntries.sort((a, b) => regionDistance(a.failureDomain) - regionDistance(b.failureDomain));
            entries = sortedEntries;
            entryIps = [...new Set([...sortedEntries.map(({ ip }) => ip), ...settings.seeds])].slice(
                0,
                MAX_HEARTBEAT_RECIPIENTS,
            );
        }
        catch (error) {
            log.warn("entries not read", { error: (error as Error).message, known: entries.length });
        }
    }

    function regionIps(): string[] {
        return entries
            .filter(({ failureDomain }) => settings.regions.get(failureDomain) === settings.region)
            .map(({ ip }) => ip);
    }

    async function regionEntryIps(): Promise<readonly string[]> {
        if (entries.length === 0 && now() - entriesReadAt > ENTRIES_RETRY_INTERVAL_MS) await refreshEntries();
        return orderMembers(`tables of ${settings.ip}`, regionIps());
    }

    /** Returns the failure domains of the other agents by IP address. */
    function peerDomains(): ReadonlyMap<string, string> {
        const domainByIp = new Map<string, string>();
        for (const { address, service, failureDomain } of servers) {
            const ip = address.split(":")[0] ?? "";
            if (service === settings.backendService && ip !== settings.ip) domainByIp.set(ip, failureDomain);
        }
        return domainByIp;
    }

    function peers(model: string): TransferPeer[] {
        return [...peerDomains()].map(([ip, failureDomain]) => ({
            name: ip,
            region: settings.regions.get(failureDomain) ?? "",
            failureDomain,
            client: createPeerClient({ model, ip, port: agentPort, connections, rateMbps: receiveRateMbps }),
        }));
    }

    /** The agents of a region prefer different entries, so that the pieces load the links of all of them alike. */
    async function findRelays(model: string): Promise<Relay[]> {
        const ips = orderMembers(`relays of ${settings.ip}`, regionIps()).filter(ip =>
            entryResponses.mayAsk(ip, now())
        );
        let presentIps: readonly string[] = [];
        for (const timeoutMs of PRESENCE_TIMEOUTS_MS) {
            if (presentIps.length === 0) presentIps = await findPresent(ips, timeoutMs);
        }
        return presentIps.map(ip => ({
            name: `relay ${ip}`,
            recordFailure: error => entryResponses.recordFailure(ip, error, now()),
            client: createPeerClient({ model, ip, port: entryPort, connections, rateMbps: receiveRateMbps }),
        }));
    }

    /** Returns the first addresses that respond. An entry that is about to start refuses connections, and is present too. */
    async function findPresent(ips: readonly string[], timeoutMs: number): Promise<readonly string[]> {
        const presentIps: string[] = [];
        for (let first = 0; first < ips.length && presentIps.length < MAX_RELAYS; first += CHECKED_TOGETHER) {
            const checked = ips.slice(first, first + CHECKED_TOGETHER);
            const results = await Promise.all(checked.map(ip => checkConnect(ip, entryPort, timeoutMs)));
            presentIps.push(...checked.filter((_, index) => results[index] !== ConnectResult.none));
        }
        return presentIps.slice(0, MAX_RELAYS);
    }

    return {
        refresh,
        regionEntryIps,
        peers,
        findRelays,
        domainReplicas: () => {
            const domainPeers = [...peerDomains()].filter(([, failureDomain]) => {
                return failureDomain === settings.failureDomain;
            });
            return [settings.ip, ...domainPeers.map(([ip]) => ip)];
        },
        failureDomains: () => {
            return [...new Set([settings.failureDomain, ...peerDomains().values()])];
        },
        entryIps: () => entryIps,
    };
}
