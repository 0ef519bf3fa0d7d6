/**
 * The other agents and the entries, read from the store when a transfer starts: agents are found through the engines
 * beside them, entries through their own rows.
 */
import * as http from "node:http";
import type { BackendServer } from "../core/serving/index.js";
import { ENTRIES_TABLE, parseEntryRow } from "../node/entryRows.js";
import type { MetadataStore } from "../node/metadataStore.js";
import { parseServer, PlatformTable } from "../platform/index.js";
import type { AgentContext } from "./agentContext.js";
import { createPeerClient } from "./peerApi.js";
import type { TransferPeer } from "./pieceTransfer.js";

export interface FleetView {
    refresh(): Promise<void>;
    /** Agents beside engines of the own service, without this one. */
    peers(): TransferPeer[];
    /** Names of the agents of the own failure domain, this one included. */
    domainReplicas(): string[];
    /** IP numbers of the entries that are told of the engine's state. */
    entryIps(): readonly string[];
}

/** Entries that get an agent's beats: those of its region first. */
const MAX_ENTRIES = 16;

export function createFleetView(
    { settings, log }: AgentContext,
    store: MetadataStore,
    agentPort: number,
    connections: http.Agent,
): FleetView {
    let servers: readonly BackendServer[] = [];
    let entryIps: readonly string[] = settings.seeds;

    async function refresh(): Promise<void> {
        try {
            const [registry, entries] = await Promise.all([
                store.readTable(PlatformTable.servers),
                store.readTable(ENTRIES_TABLE),
            ]);
            servers = registry.rows.flatMap(row => parseServer(row.key, row.value ?? "") ?? []);
            const known = entries.rows.flatMap(row => parseEntryRow(row) ?? []);
            const isRemote = (failureDomain: string) => settings.regions.get(failureDomain) === settings.region ? 0 : 1;
            known.sort((a, b) => isRemote(a.failureDomain) - isRemote(b.failureDomain));
            entryIps = [...new Set([...known.map(({ ip }) => ip), ...settings.seeds])].slice(0, MAX_ENTRIES);
        }
        catch (error) {
            log.warn("servers not read", { error: (error as Error).message, known: servers.length });
        }
    }

    function peers(): TransferPeer[] {
        const byIp = new Map<string, BackendServer>();
        for (const server of servers) {
            const ip = server.address.split(":")[0] ?? "";
            if (server.service === settings.backendService && ip !== settings.ip) byIp.set(ip, server);
        }
        return [...byIp].map(([ip, { failureDomain }]) => ({
            name: ip,
            region: settings.regions.get(failureDomain) ?? "",
            failureDomain,
            client: createPeerClient(ip, agentPort, connections),
        }));
    }

    return {
        refresh,
        peers,
        domainReplicas: () => {
            const others = peers().filter(({ failureDomain }) => failureDomain === settings.failureDomain);
            return [settings.ip, ...others.map(({ name }) => name)];
        },
        entryIps: () => entryIps,
    };
}
