/**
 * Exchanges state with the other entries and the agents: heartbeats and digests with the load of servers, the progress
 * of the table replicas and the ages of named weights. Reads from a peer the changes that this entry doesn't read from
 * the store itself or hasn't received in time.
 */
import {
    createPeerCatchUp,
    type Dispatcher,
    type EntryIdentity,
    findStoreReaders,
    holdsChangesOf,
    isStoreReader,
    type PeerEntries,
    type QuarantineReport,
    type Row,
    type StorePosition,
    type WeightsPolicy,
} from "../core/serving/index.js";
import {
    type AgentHeartbeat,
    agentPortOf,
    type DomainDigest,
    type EntryHeartbeat,
    fetchPeerChanges,
    openPeerSocket,
    type PeerMessage,
} from "../node/peerMessages.js";
import type { SharedTable } from "../node/sharedTable.js";
import type { EventLog } from "../observability/index.js";
import type { VmSettings } from "../settings/vmSettings.js";
import type { PromptGuard } from "./promptGuard.js";
import { loadSender, type Reservations } from "./reservations.js";

export interface PeerExchangeOptions {
    readonly settings: VmSettings;
    readonly self: EntryIdentity;
    readonly peers: PeerEntries;
    readonly dispatcher: Dispatcher;
    readonly weights: WeightsPolicy;
    readonly tables: readonly SharedTable[];
    /**
     * Applies changes that were read from a peer. `outageAt` is the last time at which the peer saw the store fail;
     * `undefined` if it didn't. `isRestoration` is true for the changes by which the replica enters a later epoch.
     */
    readonly onChange: (
        table: string,
        rows: readonly Row[],
        outageAt: number | undefined,
        isRestoration: boolean,
    ) => void;
    /** Returns whether this entry reaches the store. */
    readonly reachesStore: () => boolean;
    /** Returns the last time at which this entry saw the store fail; `undefined` if it didn't. */
    readonly lastOutageAt: () => number | undefined;
    readonly reservations: () => Reservations;
    readonly promptGuard: () => PromptGuard;
    /** Called with the slowdown of an engine that its agent reports. */
    readonly onEngineSlowdown: (address: string, startedAt: number, slowdown: number, now: number) => void;
    readonly log: EventLog;
    /** Monotonic clock, in milliseconds. */
    readonly now: () => number;
}

export interface PeerExchange {
    /**
     * Tells whether this entry reads the tables from the store. Only some entries of a region do, because each change
     * costs a call of every reader and, for the operator table, the transfer of a whole configuration.
     */
    readsFromStore(): boolean;
    /** Returns the names of all entries, of any region, that read from the store. */
    storeReaders(): string[];
    /** Sends a message to an entry; it may be lost. */
    send(message: PeerMessage, ip: string): void;
    /** Sends a message to all live entries; it may be lost. */
    broadcast(message: PeerMessage): void;
    /** Sends the messages that are due. Call it every `HEARTBEAT_INTERVAL_MS`. */
    tick(): void;
    /** Tells all known agents at once that weights were named. */
    notifyAgents(): void;
    close(): void;
}

/** A fifteenth of the time after which an entry that sends no heartbeats is no longer counted. */
export const HEARTBEAT_INTERVAL_MS = 100;

/** Agents send a heartbeat at least every 2 s; one that sent none for this long has probably ended. */
const AGENT_TIMEOUT_MS = 10_000;

/** A server stays paused this long after a heartbeat that reports loading; agents repeat it while they load. */
const LOADING_PAUSE_MS = 1200;

export function createPeerExchange(options: PeerExchangeOptions): PeerExchange {
    const { settings, self, peers, dispatcher, weights, tables, log, now } = options;
    const [peerPort] = settings.peerPorts;
    /** Names of the entries whose last heartbeat said that they reach the store. */
    const peersReachingStore = new Set<string>();
    const catchUp = createPeerCatchUp();
    /** Agents that have sent heartbeats, by IP address. */
    const agents = new Map<string, { readonly model: string; readonly lastHeartbeatAt: number; }>();
    const regionCount = new Set(settings.regions.values()).size;
    let tickCount = 0;

    const isInOwnRegion = (failureDomain: string) => settings.regions.get(failureDomain) === settings.region;

    function readsFromStore(): boolean {
        const eligiblePeers = peers.live(now()).filter(({ name, failureDomain }) => {
            return isInOwnRegion(failureDomain) && peersReachingStore.has(name);
        });
        return isStoreReader(self.name, eligiblePeers.map(({ name }) => name), regionCount);
    }

    function storeReaders(): string[] {
        const reachingPeers = peers.live(now()).filter(({ name }) => peersReachingStore.has(name));
        const candidates = [self, ...reachingPeers].map(({ name, failureDomain }) => ({
            name,
            region: settings.regions.get(failureDomain) ?? "",
        }));
        return findStoreReaders(candidates, regionCount);
    }

    function onMessage(message: PeerMessage): void {
        const receivedAt = now();
        if (message.kind === "agent") onAgentHeartbeat(message, receivedAt);
        else if (message.kind === "entry") onEntryHeartbeat(message, receivedAt);
        else if (message.kind === "domain") onDomainDigest(message, receivedAt);
        else if (message.kind === "reserve") options.reservations().handleRequest(message);
        else if (message.kind === "reserved") options.reservations().handleReply(message);
        else if (message.kind === "release") options.reservations().handleRelease(message);
        else if (message.kind === "crash") options.promptGuard().handleCrash(message);
        else if (message.kind === "survivals") options.promptGuard().handleSurvivals(message);
    }

    function onAgentHeartbeat(message: AgentHeartbeat, receivedAt: number): void {
        const { backendAddress, startedAt, model, version, isLoading, slowdown = 1 } = message;
        dispatcher.pool.recordLoadedWeights(backendAddress, startedAt, model, version);
        dispatcher.pool.pauseServer(backendAddress, startedAt, isLoading ? receivedAt + LOADING_PAUSE_MS : 0);
        options.onEngineSlowdown(backendAddress, startedAt, slowdown, receivedAt);
        const ip = backendAddress.split(":")[0] ?? "";
        agents.set(ip, { model, lastHeartbeatAt: receivedAt });
        sendNewestWeights(ip, model, version);
    }

    function onEntryHeartbeat(message: EntryHeartbeat, receivedAt: number): void {
        peers.recordHeartbeat(identityOf(message, message.failureDomain), receivedAt);
        dispatcher.inFlight.recordPeerReport(message.name, message.load, receivedAt, message.accounts);
        recordReach(message);
        mergeProgress(message, receivedAt);
    }

    function onDomainDigest(message: DomainDigest, receivedAt: number): void {
        const { failureDomain, entries } = message;
        const ages = entries.map(entry => ({ entry: identityOf(entry, failureDomain), ageMs: entry.ageMs }));
        peers.recordAges(ages, receivedAt);
        for (const entry of entries) recordReach(entry);
        // A sender that doesn't know this entry's domain yet may include it; the load would then count twice.
        if (failureDomain !== self.failureDomain) {
            const sender = loadSender(self, message);
            dispatcher.inFlight.recordPeerReport(sender, message.load, receivedAt, message.accounts);
        }
        mergeProgress(message, receivedAt);
    }

    function recordReach({ name, reachesStore }: { readonly name: string; readonly reachesStore: boolean; }): void {
        if (reachesStore) peersReachingStore.add(name);
        else peersReachingStore.delete(name);
    }

    function mergeProgress(message: EntryHeartbeat | DomainDigest, receivedAt: number): void {
        for (const age of message.named) weights.mergePeerAge(age, receivedAt);
        options.promptGuard().mergeReports(message.quarantines ?? [], message.ip);
        for (const sharedTable of tables) {
            recordConfirmation(message, sharedTable, receivedAt);
            void catchUpFromPeer(message, sharedTable, receivedAt);
        }
    }

    /** A replica that holds everything that the peer's does was as complete when the peer's was confirmed. */
    function recordConfirmation(
        message: EntryHeartbeat | DomainDigest,
        { table, replica, freshness }: SharedTable,
        receivedAt: number,
    ): void {
        const confirmedAt = message.confirmed?.[table];
        const tracedRevision = message.traced?.[table];
        if (confirmedAt === undefined || tracedRevision === undefined || !replica.hasSnapshot()) return;
        const newestPosition = positionIn(message, table);
        const progress = { newestPosition, tracedPosition: { epoch: newestPosition.epoch, revision: tracedRevision } };
        if (!holdsChangesOf(progress, replica.coveredPosition())) return;
        freshness.recordPeerConfirmation(confirmedAt, receivedAt);
    }

    /** Reads from another entry the changes that this entry's own feed hasn't delivered in time. */
    async function catchUpFromPeer(
        message: EntryHeartbeat | DomainDigest,
        { table, replica }: SharedTable,
        receivedAt: number,
    ): Promise<void> {
        const { ip, failureDomain, retained, storeOutageAgeMs } = message;
        const [retainedEpoch = 0, retainedRevision = 0] = retained?.[table] ?? [];
        const peerProgress = {
            table,
            position: positionIn(message, table),
            retained: { epoch: retainedEpoch, revision: retainedRevision },
            isSameRegion: isInOwnRegion(failureDomain),
        };
        const localProgress = {
            position: replica.newestPosition(),
            retained: replica.retainedPosition(),
            hasSnapshot: replica.hasSnapshot(),
            readsFromStore: readsFromStore(),
        };
        if (!catchUp.tryBegin(peerProgress, localProgress, receivedAt)) return;
        let hasFailed = false;
        try {
            const { rows, position, isSnapshot, isComplete } = await fetchPeerChanges(
                ip,
                peerPort,
                table,
                replica.newestPosition(),
                replica.retainedPosition(),
            );
            const previous = replica.newestPosition();
            const needsSnapshot = !replica.hasSnapshot() || position.epoch > previous.epoch || isSnapshot;
            if (needsSnapshot && !isComplete) return;
            const isRestoration = replica.hasSnapshot() && isSnapshot && position.epoch > previous.epoch;
            const newRows = needsSnapshot ? replica.applySnapshot(rows, position) : replica.apply(rows);
            if (newRows.length === 0 && !isRestoration) return;
            if (isRestoration) log.warn("store restored", { table, ...position, previous, neighbour: ip });
            log.info("changes taken from a neighbour", { table, neighbour: ip, rows: newRows.length });
            options.onChange(
                table,
                newRows,
                storeOutageAgeMs === undefined ? undefined : receivedAt - storeOutageAgeMs,
                isRestoration,
            );
        }
        catch (error) {
            hasFailed = true;
            log.info("neighbour not reached", { table, neighbour: ip, error: (error as Error).message });
        }
        finally {
            catchUp.finish(table, hasFailed);
        }
    }

    /**
     * Tells an agent the newest weights version if it knows only an older one, because agents poll the store rarely.
     * Each heartbeat of the agent triggers this again, so that a lost message is repeated.
     */
    function sendNewestWeights(ip: string, model: string, knownVersion: number): void {
        const version = weights.newest(model);
        if (knownVersion < version) socket.send({ kind: "weights", model, version }, [ip], agentPortOf(peerPort));
    }

    function notifyAgents(): void {
        for (const [ip, { model, lastHeartbeatAt }] of agents) {
            if (now() - lastHeartbeatAt < AGENT_TIMEOUT_MS) sendNewestWeights(ip, model, 0);
            else agents.delete(ip);
        }
    }

    function tick(): void {
        tickCount++;
        const sentAt = now();
        const heartbeatIps = peers.heartbeatTargets(tickCount, sentAt).map(({ ip }) => ip);
        const digestIps = peers.digestTargets(tickCount, sentAt).map(({ ip }) => ip);
        const outageAt = options.lastOutageAt();
        const progress = {
            ...self,
            named: weights.recentAges(sentAt),
            ...tableProgress(),
            storeOutageAgeMs: outageAt === undefined ? undefined : Math.max(0, sentAt - outageAt),
            quarantines: reportedQuarantines(),
        };
        const reachesStore = options.reachesStore();
        if (heartbeatIps.length > 0) {
            const load = toWireLoad(dispatcher.inFlight.localReport());
            const accounts = dispatcher.inFlight.accountReport([], sentAt);
            socket.send({ kind: "entry", ...progress, reachesStore, load, accounts }, heartbeatIps);
        }
        if (digestIps.length === 0) return;
        const domainAges = peers.domainAges(sentAt);
        const senders = domainAges.map(({ entry }) => entry.name);
        socket.send({
            kind: "domain",
            ...progress,
            entries: domainAges.map(({ entry: { name, ip }, ageMs }) => ({
                name,
                ip,
                ageMs: Math.round(ageMs),
                reachesStore: name === self.name ? reachesStore : peersReachingStore.has(name),
            })),
            load: toWireLoad(dispatcher.inFlight.combinedReport(senders, sentAt)),
            accounts: dispatcher.inFlight.accountReport(senders, sentAt),
        }, digestIps);
    }

    function tableProgress(): Pick<EntryHeartbeat, "newest" | "epochs" | "confirmed" | "traced" | "retained"> {
        const newest: Record<string, number> = {};
        const epochs: Record<string, number> = {};
        const confirmed: Record<string, number> = {};
        const traced: Record<string, number> = {};
        const retained: Record<string, [number, number]> = {};
        for (const { table, replica, freshness } of tables) {
            const { epoch, revision } = replica.newestPosition();
            newest[table] = revision;
            epochs[table] = epoch;
            traced[table] = replica.tracedPosition().revision;
            const storeTime = freshness.storeTime();
            if (storeTime !== undefined) confirmed[table] = storeTime;
            const retainedPosition = replica.retainedPosition();
            if (retainedPosition !== undefined) {
                retained[table] = [retainedPosition.epoch, retainedPosition.revision];
            }
        }
        return {
            newest,
            epochs,
            confirmed,
            traced,
            retained: Object.keys(retained).length === 0 ? undefined : retained,
        };
    }

    function reportedQuarantines(): QuarantineReport[] | undefined {
        const reports = options.promptGuard().reports();
        return reports.length === 0 ? undefined : reports;
    }

    const socket = openPeerSocket(settings.ip, peerPort, peerPort, onMessage);
    for (const ip of settings.seeds) peers.addUnconfirmed({ name: `seed ${ip}`, ip, failureDomain: "" });

    return {
        readsFromStore,
        storeReaders,
        send: (message, ip) => socket.send(message, [ip]),
        broadcast: message => socket.send(message, peers.live(now()).map(({ ip }) => ip)),
        tick,
        notifyAgents,
        close: () => socket.close(),
    };
}

function positionIn({ newest, epochs }: EntryHeartbeat | DomainDigest, table: string): StorePosition {
    return { epoch: epochs?.[table] ?? 0, revision: newest[table] ?? 0 };
}

function identityOf({ name, ip }: { readonly name: string; readonly ip: string; }, failureDomain: string) {
    return { name, ip, failureDomain };
}

function toWireLoad(report: ReturnType<Dispatcher["inFlight"]["localReport"]>) {
    return Object.fromEntries(
        Object.entries(report).map(([id, load]) => [id, [...load] as [number, number, number, number]]),
    );
}
