/**
 * Runs an entry on the platform: connects the store's change feeds, the heartbeats of other entries and of agents, the
 * dispatcher, and the HTTP servers for callers, readiness checks and peers.
 */
import * as http from "node:http";
import { setImmediate as waitForImmediate, setTimeout as sleep } from "node:timers/promises";
import { isDeepStrictEqual } from "node:util";
import {
    createColdLimit,
    createColdServers,
    createDispatcher,
    createEvacuations,
    createPeerEntries,
    createServerBackoff,
    createServerHealth,
    createServerOwnership,
    createServerPace,
    createServerRegistry,
    createServerSpeed,
    createSharedRetryBudget,
    createTableFreshness,
    createWeightsPolicy,
    type EntryIdentity,
    feedWaitMs,
    Outcome,
    recheckAgeMs,
    type RouteTable,
    type Row,
} from "../core/serving/index.js";
import { createBodyBudget } from "../node/limitedBody.js";
import { listen } from "../node/listen.js";
import type { MetadataStore } from "../node/metadataStore.js";
import { handleChangesRequest } from "../node/peerMessages.js";
import { createReadTurns } from "../node/readTurns.js";
import type { SharedTable } from "../node/sharedTable.js";
import { type FeedRateLimit, loggedAge, startTableFeed, type TableFeed } from "../node/tableFeed.js";
import { createServingMetrics, type EventLog, handleMetricsRequest } from "../observability/index.js";
import { createTableReplica, PlatformTable } from "../platform/index.js";
import type { VmBounds, VmSettings } from "../settings/vmSettings.js";
import { createModelRelays } from "../stager/modelRelays.js";
import type { WeightsOrigin } from "../stager/originAccess.js";
import { handlePieceRequest, pieceErrorStatus } from "../stager/peerApi.js";
import { createReceiverThrottles } from "../stager/uploadThrottle.js";
import { createBackendConnections } from "./backendConnections.js";
import { startCallerServer, startReadinessServer } from "./callerServer.js";
import { serveExchange } from "./exchange.js";
import { CancelReason, type ExchangeContext } from "./exchangeState.js";
import { createOperatorState } from "./operatorState.js";
import { createPeerExchange, HEARTBEAT_INTERVAL_MS } from "./peerExchange.js";
import { createPromptGuard } from "./promptGuard.js";
import { startRegistration } from "./registration.js";
import { createReservations, reportLagMs } from "./reservations.js";
import { createServerNotices } from "./serverNotices.js";

export interface Router {
    /** Ports of the caller server and the readiness server; 0 if the settings name no address for one. */
    readonly callerPort: number;
    readonly readyPort: number;
    /** Applies changed bounds (timeouts and retry limits) of the settings; all other settings need a restart. */
    applyBounds(bounds: VmBounds): void;
    /** Reports itself as not ready, finishes requests in progress and closes everything within the grace period. */
    stop(): Promise<void>;
}

/** Bodies of requests and responses that an entry holds at the same time, a fraction of the memory of its VM. */
const MAX_BUFFERED_BODY_BYTES = 96 * 1024 * 1024;

/** Waiting requests are dispatched at this interval, in addition to each arrival and end of a request. */
const DISPATCH_INTERVAL_MS = 20;

/**
 * Limits the feed to a few calls per second while all servers change during a rollout; agents report loaded weights
 * themselves. The interval is a quarter of the 2 s after which a leaving server may get no more work.
 */
const FEED_RATE_LIMIT: FeedRateLimit = { intervalMs: 500, burst: 3 };

/** The load balancer detects an unready process within two checks, which are one second apart. */
const UNREADY_DETECTION_MS = 2200;

/** Without a heartbeat for this long, this process didn't run, and servers may have restarted unnoticed. */
const PAUSE_THRESHOLD_MS = 500;

/** Part of the grace period (`bounds.graceMs`) that is reserved for answering the rest and closing connections. */
const CLOSE_MARGIN_MS = 600;

/** Part of that time in which the responses to cancelled requests are sent. */
const RESPONSE_MARGIN_MS = 300;

/** Interval at which `stop` checks whether requests are still in progress. */
const DRAIN_POLL_INTERVAL_MS = 50;

/**
 * Time without a request after which a stopping entry closes its connections. A caller may send its next request as soon
 * as it has the last response, and gets a refusal instead of a reset.
 */
const IDLE_BEFORE_CLOSE_MS = 300;

/** Network round-trip times within a failure domain, between domains of one region and between regions. */
const LOCAL_ROUND_TRIP_MS = 1;
const CROSS_DOMAIN_ROUND_TRIP_MS = 3;
const CROSS_REGION_ROUND_TRIP_MS = 7;

export async function startRouter(settings: VmSettings, store: MetadataStore, log: EventLog): Promise<Router> {
    const now = () => performance.now();
    const random = Math.random;
    let { bounds } = settings;
    const metrics = createServingMetrics();
    const self = { name: settings.name, ip: settings.ip, failureDomain: settings.failureDomain };
    const peers = createPeerEntries(self);
    const registry = createServerRegistry(() => bounds.drainMs);
    const backoff = createServerBackoff();
    const health = createServerHealth();
    const speed = createServerSpeed();
    const evacuations = createEvacuations();
    const pace = createServerPace({
        isEjected: health.isEjected,
        withdrawnAt: evacuations.withdrawnAt,
        onChange: ({ serverId, cause, tookMs }) => {
            const isEnd = tookMs !== undefined;
            log.info(isEnd ? "ramp ended" : "ramp begun", {
                server: serverId,
                cause,
                ...isEnd && { tookMs: Math.round(tookMs) },
            });
        },
    });
    const weights = createWeightsPolicy(() => bounds.weightsMs);
    const connections = createBackendConnections();
    /** Live entries, including this one. Updated with each heartbeat, and only if one came, left or moved. */
    let liveEntries: readonly EntryIdentity[] = [self];
    const countEntries = () => liveEntries.length;
    /** Entries that were heard of and not forgotten, including this one. */
    let knownEntries: readonly EntryIdentity[] = [self];
    const coldServers = createColdServers(now());
    /** Servers that counted as cold at the last heartbeat. */
    let coldServerCount = 0;
    const coldLimit = createColdLimit({
        self,
        bounds: () => bounds.cold,
        knownEntries: () => knownEntries,
        isKnownToOthers: () => registration.isKnownToOthers(),
        coldServers,
        withdrawnAt: evacuations.withdrawnAt,
    });
    const dispatcher = createDispatcher({
        registry,
        backoff,
        health,
        speed,
        self: self.name,
        ownership: createServerOwnership(() => liveEntries),
        reportLagMs,
        weights,
        evacuations,
        coldLimit,
        pace,
        findService: name => operatorState.routeTable()?.findService(name),
        failureDomain: settings.failureDomain,
        regionOf: domain => settings.regions.get(domain),
        roundTripMs: domain => roundTripMs(settings, domain),
        entryCount: countEntries,
        random,
        onWaiting: () => {
            // What ended while this process was paused is read before requests are refused.
            dispatchTimer ??= setTimeout(() => setImmediate(dispatchWaiting), DISPATCH_INTERVAL_MS);
        },
    });
    /** Runs only while requests wait: an idle entry shouldn't wake up for an empty queue. */
    let dispatchTimer: NodeJS.Timeout | undefined;
    function dispatchWaiting(): void {
        dispatchTimer = undefined;
        dispatcher.tick(now());
    }
    const retryBudget = createSharedRetryBudget({ limits: () => bounds.retries, entryCount: countEntries });
    let isStopping = false;
    let isDraining = false;
    let exchangeCount = 0;
    let callerServer: Awaited<ReturnType<typeof startCallerServer>> | undefined;
    function forgetServer(id: string): void {
        connections.removeServer(id);
        health.remove(id);
        speed.remove(id);
        pace.remove(id);
    }

    const operatorState = createOperatorState({
        registry,
        weights,
        evacuations,
        regions: settings.regions,
        log,
        onConfiguration: routeTable => callerServer?.applyLimits(routeTable.configuration.limits),
        onServerGone: forgetServer,
        onServer: (server, isNew, at) => {
            const coldMs = operatorState.routeTable()?.findService(server.service)?.coldMs ?? 0;
            coldServers.recordRemaining(
                server,
                isNew ? Math.max(coldMs, server.remainingWarmupMs) : server.remainingWarmupMs,
                at,
            );
        },
        onWeightsNamed: ({ model, version }) => {
            void relays.prefetch(model, version);
            peerExchange.notifyAgents();
        },
    });
    const reservations = createReservations({
        self,
        dispatcher,
        registry,
        speed,
        coldLimit,
        pace,
        routeTable: operatorState.routeTable,
        send: (message, ip) => peerExchange.send(message, ip),
        metrics,
        now,
    });
    const promptGuard = createPromptGuard({
        self,
        liveEntries: () => liveEntries,
        weightsVersion: (service, at) => {
            const engine = operatorState.routeTable()?.findService(service)?.engine;
            return engine === undefined ? 0 : weights.lowestAllowed(engine.model, at);
        },
        onCrash: ({ id, startedAt }) => {
            coldServers.recordPossibleStart({ id, startedAt }, now());
            health.recordOutcome(id, Outcome.unreachable, now());
            // Idle connections to a server that crashed aren't always reset, and requests on them would time out.
            connections.removeServer(id);
        },
        findServing: (id, startedAt) => {
            const server = registry.get(id);
            return server === undefined || server.isLeaving || server.startedAt !== startedAt ? undefined : server;
        },
        broadcast: message => peerExchange.broadcast(message),
        send: (message, ip) => peerExchange.send(message, ip),
        log,
        metrics,
        now,
    });
    const context: ExchangeContext = {
        routeTable: operatorState.routeTable,
        configurationAgeMs: () => loggedAge(operatorTable.freshness, now()),
        dispatcher,
        connections,
        reservations,
        promptGuard,
        retryBudget,
        health,
        coldLimit,
        coldServers,
        speed,
        pace,
        serverNotices: createServerNotices({ registry, backoff, coldServers, log, metrics, now }),
        bodyBudget: createBodyBudget(MAX_BUFFERED_BODY_BYTES),
        readTurns: createReadTurns(now),
        log,
        metrics,
        now,
        random,
        nextExchangeId: () => ++exchangeCount,
        isStopping: () => isStopping,
        hasOtherRequests: response => callerServer?.hasOtherRequests(response) ?? false,
        closeAfter: response => callerServer?.closeAfter(response),
        isDraining: () => isDraining,
        cancellations: new Set(),
        capacityLimits: () => ({
            evacuated: evacuations.all().length === 0 ? undefined : evacuations.all(),
            coldServers: coldServerCount === 0 ? undefined : coldServerCount,
        }),
    };
    log.info("process started", {
        ip: settings.ip,
        failureDomain: settings.failureDomain,
        store: settings.storeAddress,
    });

    const operatorTable = createSharedTable(PlatformTable.operator);
    const serverTable = createSharedTable(PlatformTable.servers);
    const sharedTables = [operatorTable, serverTable];
    const replicas = new Map(sharedTables.map(({ table, replica }) => [table, replica]));
    const registration = startRegistration({
        store,
        self,
        peers,
        looksForEarlierRow: bounds.cold !== undefined,
        log,
        random,
        readClocks: () => ({ monotonicMs: now(), wallMs: Date.now() }),
    });
    /** `outageAt` is the last time at which the process that read the rows from the store saw it fail. */
    type ApplyChanges = (rows: readonly Row[], outageAt: number | undefined) => void;
    const applyChanges: Readonly<Record<string, ApplyChanges>> = {
        [PlatformTable.operator]: rows => {
            operatorState.applyOperatorRows(
                rows,
                operatorTable.replica.newestPosition().epoch,
                now(),
            );
            dispatcher.tick(now());
        },
        [PlatformTable.servers]: (rows, outageAt) => {
            operatorState.applyServerRows(rows, outageAt, now());
            dispatcher.tick(now());
        },
    };
    /** Applies the changes by which a replica enters a later epoch of the store. */
    function applyRestoration(table: string, rows: readonly Row[]): void {
        if (table === PlatformTable.servers) registry.recordRestoration(now());
        // The rows of servers that serve may be missing until they write them again.
        applyChanges[table]?.(rows, now());
    }
    /** Changes of the configuration and of servers that leave must be applied within these bounds. */
    const replicaRecheckAgeMs = () => recheckAgeMs(Math.min(bounds.configurationMs, bounds.drainMs));
    // `feeds[1]` is the feed of the server registry.
    const feeds: TableFeed[] = sharedTables.map(sharedTable =>
        startTableFeed({
            ...sharedTable,
            store,
            recheckAgeMs: replicaRecheckAgeMs,
            waitMs: followsChanges =>
                feedWaitMs({
                    recheckAgeMs: replicaRecheckAgeMs(),
                    self: self.name,
                    readers: peerExchange.storeReaders(),
                    followsChanges,
                }),
            rateLimit: FEED_RATE_LIMIT,
            isReader: () => peerExchange.readsFromStore(),
            onChange: (rows, isRestoration) => {
                const { table } = sharedTable;
                if (isRestoration) applyRestoration(table, rows);
                else applyChanges[table]?.(rows, feeds[1]?.lastOutageAt());
            },
            log,
            metrics,
            now,
            random,
        })
    );

    const [peerPort] = settings.peerPorts;
    const peerExchange = createPeerExchange({
        settings,
        self,
        peers,
        dispatcher,
        weights,
        tables: sharedTables,
        onChange: (table, rows, outageAt, isRestoration) => {
            if (isRestoration) applyRestoration(table, rows);
            else applyChanges[table]?.(rows, outageAt);
        },
        reachesStore: () => feeds.every(feed => feed.isConnected()),
        lastOutageAt: () => feeds[1]?.lastOutageAt(),
        reservations: () => reservations,
        promptGuard: () => promptGuard,
        onEngineSlowdown: (address, startedAt, slowdown, at) => {
            const server = registry.findAt(address, startedAt);
            if (server !== undefined) speed.recordEngineSlowdown(server.id, slowdown, at);
        },
        log,
        now,
    });
    const relays = createModelRelays({
        self: settings,
        entries: () =>
            peers.live(now()).map(({ ip, failureDomain }) => ({
                ip,
                region: settings.regions.get(failureDomain) ?? "",
            })),
        models: () => configuredModels(operatorState.routeTable()),
        origin: () => findWeightsOrigin(operatorState.routeTable(), settings),
        entryPort: peerPort,
        log,
        metrics,
        now,
        random,
    });
    const throttleFor = createReceiverThrottles();
    const peerServer = http.createServer((request, response) => {
        if (handleChangesRequest(request, response, replicas)) return;
        handlePieceRequest(relays.find, throttleFor, request, response)
            .then(isHandled => isHandled ? undefined : handleMetricsRequest(metrics, response))
            .catch(error => {
                log.info("piece not relayed", { error: (error as Error).message });
                if (response.headersSent) response.destroy();
                else response.writeHead(pieceErrorStatus(error as Error)).end();
            });
    });
    await listen(peerServer, `${settings.ip}:${peerPort}`);

    function updateColdServers(): void {
        const findService = (name: string) => operatorState.routeTable()?.findService(name);
        const { length } = coldLimit.coldAmong(registry.all(), findService, now());
        if (length !== coldServerCount) log.info("cold servers changed", { count: length, previous: coldServerCount });
        coldServerCount = length;
        metrics.coldServers.set(length);
    }

    let lastHeartbeatAt = now();
    const heartbeatTimer = setInterval(() => {
        const newEntries = [self, ...peers.live(now())];
        if (!isDeepStrictEqual(newEntries, liveEntries)) liveEntries = newEntries;
        const newKnownEntries = peers.known();
        if (!isDeepStrictEqual(newKnownEntries, knownEntries)) knownEntries = newKnownEntries;
        if (now() - lastHeartbeatAt > PAUSE_THRESHOLD_MS) coldServers.recordGap(now());
        lastHeartbeatAt = now();
        peerExchange.tick();
        for (const feed of feeds) feed.checkSilence();
        for (const replica of replicas.values()) registration.renewIn(replica.newestPosition().epoch);
        pace.tick(now());
        metrics.rampingServers.set(pace.rampingCount());
        metrics.waiting.set(dispatcher.queueLength());
        metrics.evacuatedDomains.set(evacuations.all().length);
        updateColdServers();
        dispatcher.pool.forgetUnregistered(now());
        coldLimit.forgetEnded(now());
        for (const id of registry.expire(now())) {
            log.info("server gone", { server: id, reason: "its entry didn't come back" });
            forgetServer(id);
        }
    }, HEARTBEAT_INTERVAL_MS);

    const isReady = () => {
        return !isStopping && operatorState.routeTable() !== undefined &&
            serverTable.replica.hasSnapshot();
    };
    const { callerAddress, readyAddress } = settings;
    if (callerAddress !== undefined) {
        callerServer = await startCallerServer(callerAddress, (request, response) => {
            return serveExchange(context, request, response);
        });
        const routeTable = operatorState.routeTable();
        if (routeTable !== undefined) callerServer.applyLimits(routeTable.configuration.limits);
    }
    const readinessServer = readyAddress === undefined ? undefined : await startReadinessServer(readyAddress, isReady);

    async function stop(): Promise<void> {
        isStopping = true;
        log.info("process stopping", { active: callerServer?.inProgressCount() ?? 0 });
        const deadline = now() + bounds.graceMs - CLOSE_MARGIN_MS;
        await sleep(UNREADY_DETECTION_MS);
        isDraining = true;
        callerServer?.stopListening();
        for (let idleSince = now(); now() < Math.min(deadline, idleSince + IDLE_BEFORE_CLOSE_MS);) {
            await sleep(DRAIN_POLL_INTERVAL_MS);
            if ((callerServer?.inProgressCount() ?? 0) > 0) idleSince = now();
        }
        // What arrived while this process was paused is read before requests are cancelled.
        await waitForImmediate();
        for (const cancellation of context.cancellations) cancellation.abort(CancelReason.stopping);
        const responseDeadline = now() + RESPONSE_MARGIN_MS;
        while ((callerServer?.inProgressCount() ?? 0) > 0 && now() < responseDeadline) {
            await sleep(DRAIN_POLL_INTERVAL_MS);
        }
        clearInterval(heartbeatTimer);
        clearTimeout(dispatchTimer);
        for (const feed of feeds) feed.stop();
        registration.stop();
        relays.stop();
        store.close();
        peerExchange.close();
        callerServer?.close();
        readinessServer?.close();
        peerServer.close();
        connections.close();
        log.info("process stopped", {});
    }

    return {
        callerPort: callerServer?.port ?? 0,
        readyPort: readinessServer?.port ?? 0,
        applyBounds: newBounds => {
            bounds = newBounds;
        },
        stop,
    };
}

function createSharedTable(table: string): SharedTable {
    return { table, replica: createTableReplica(table), freshness: createTableFreshness() };
}

function configuredModels(routeTable: RouteTable | undefined): ReadonlySet<string> {
    return new Set((routeTable?.configuration.services ?? []).flatMap(({ engine }) => engine?.model ?? []));
}

/** Returns the configured weights origin, which serves all models; `undefined` if there is none. */
function findWeightsOrigin(routeTable: RouteTable | undefined, settings: VmSettings): WeightsOrigin | undefined {
    const origin = routeTable?.configuration.services.find(service => service.origin !== undefined)?.origin;
    if (origin === undefined) return undefined;
    const { address, failureDomain, maxConnections } = origin;
    return { address, region: settings.regions.get(failureDomain) ?? "", maxConnections };
}

function roundTripMs(settings: VmSettings, failureDomain: string): number {
    if (failureDomain === settings.failureDomain) return LOCAL_ROUND_TRIP_MS;
    return settings.regions.get(failureDomain) === settings.region ?
        CROSS_DOMAIN_ROUND_TRIP_MS :
        CROSS_REGION_ROUND_TRIP_MS;
}
