/**
 * The other agents and the entries, read from the store when a transfer starts: agents are found through the engines
 * beside them, entries through their own rows.
 */
import * as http from "node:http";
import type { BackendServer, Neighbour } from "../core/serving/index.js";
import { ENTRIES_TABLE, parseEntryRow } from "../node/entryRows.js";
import type { MetadataStore } from "../node/metadataStore.js";
import { parseServer, PlatformTable } from "../platform/index.js";
import type { AgentContext } from "./agentContext.js";
import { createPeerClient } from "./peerApi.js";
import type { Relay, TransferPeer } from "./pieceTransfer.js";
import { DOWNLINK_SHARE } from "./uploadPace.js";

export interface FleetView {
    refresh(): Promise<void>;
    /** Agents beside engines of the own service, without this one. */
    peers(): TransferPeer[];
    /** Entries of the own region. */
    relays(): Relay[];
    /** Names of the agents of the own failure domain, this one included. */
    domainReplicas(): string[];
    /** IP numbers of the entries that are told of the engine's state. */
    entryIps(): readonly string[];
}

/** Entries that an agent asks for pieces; a second one covers the loss of the first. */
const MAX_RELAYS = 2;

/** Entries that get an agent's beats: those of its region first. */
const MAX_ENTRIES = 16;

export function createFleetView(
    { settings, log }: AgentContext,
    store: MetadataStore,
    ports: { readonly entry: number; readonly agent: number; },
    connections: http.Agent,
): FleetView {
    const { entry: entryPort, agent: agentPort } = ports;
    const rateMbps = settings.linkMbps * DOWNLINK_SHARE;
    let servers: readonly BackendServer[] = [];
    let entries: readonly Neighbour[] = [];
    let entryIps: readonly string[] = settings.seeds;

    async function refresh(): Promise<void> {
        try {
            const [registry, rows] = await Promise.all([
                store.readTable(PlatformTable.servers),
                store.readTable(ENTRIES_TABLE),
            ]);
            servers = registry.rows.flatMap(row => parseServer(row.key, row.value ?? "") ?? []);
            const known = rows.rows.flatMap(row => parseEntryRow(row) ?? []);
            const isRemote = (failureDomain: string) => settings.regions.get(failureDomain) === settings.region ? 0 : 1;
            known.sort((a, b) => isRemote(a.failureDomain) - isRemote(b.failureDomain));
            entries = known;
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
            client: createPeerClient(ip, agentPort, connections, rateMbps),
        }));
    }

    function relays(): Relay[] {
        return entries
            .filter(({ failureDomain }) => settings.regions.get(failureDomain) === settings.region)
            .slice(0, MAX_RELAYS)
            .map(({ ip }) => ({ name: `relay ${ip}`, client: createPeerClient(ip, entryPort, connections, rateMbps) }));
    }

    return {
        refresh,
        peers,
        relays,
        domainReplicas: () => {
            const others = peers().filter(({ failureDomain }) => failureDomain === settings.failureDomain);
            return [settings.ip, ...others.map(({ name }) => name)];
        },
        entryIps: () => entryIps,
    };
}
