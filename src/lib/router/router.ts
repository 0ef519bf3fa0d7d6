/**
 * The entry on the platform: joins the store's feeds, the neighbours, the dispatcher and the servers for callers
 * into one process.
 */
import * as http from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
    createCatchUp,
    createDispatcher,
    createNeighbourhood,
    createRowReplica,
    createSendBudget,
    createServerHealth,
    createServerRegistry,
    createWeightsPolicy,
    isStoreReader,
    type Neighbour,
    type RouteTable,
} from "../core/serving/index.js";
import {
    agentPortOf,
    answerChanges,
    type Beat,
    type EntryBeat,
    openBeatSocket,
    readNeighbourChanges,
} from "../node/beats.js";
import { ENTRIES_TABLE, formatEntryRow, parseEntryRow } from "../node/entryRows.js";
import { listen } from "../node/listen.js";
import type { MetadataStore } from "../node/metadataStore.js";
import { type FeedPace, startTableFeed } from "../node/tableFeed.js";
import { answerMetrics, createServingMetrics, type EventLog } from "../observability/index.js";
import { PlatformTable } from "../platform/index.js";
import type { VmBounds, VmSettings } from "../settings/vmSettings.js";
import { answerPieces, LACKING_STATUS } from "../stager/peerApi.js";
import { createPieceRelay, type WeightsOrigin } from "../stager/pieceRelay.js";
import { createReceiverPaces } from "../stager/uploadPace.js";
import { createBackendConnections } from "./backendConnections.js";
import { startCallerServer, startReadyServer } from "./callerServer.js";
import { serveExchange } from "./exchange.js";
import type { ExchangeContext } from "./exchangeState.js";
import { createOperatorState } from "./operatorState.js";

export interface Router {
    /** Ports for callers and for the question whether the process is ready; 0 where the VM serves none. */
    readonly callerPort: number;
    readonly readyPort: number;
    /** Takes the bounds of changed settings; everything else needs a new process. */
    applyBounds(bounds: VmBounds): void;
    /** Stops being ready, finishes requests in progress and closes everything within the grace period. */
    stop(): Promise<void>;
}

/** An answer of the feed without changes; neighbours tell of changes in between if the store is silent. */
const FEED_WAIT_MS = 5000;

/** Time between two beats: a tenth of the time after which a silent entry stops counting. */
const BEAT_INTERVAL_MS = 100;

/** Waiting requests are looked at this often besides at every arrival and end. */
const TICK_MS = 20;

/**
 * Changes of all servers in a rollout cost a few calls a second. The interval is an eighth of the 2 s after which a
 * server that leaves may get no more work.
 */
const FEED_PACE: FeedPace = { intervalMs: 250, quickCalls: 4 };

/** The load balancer notices within two questions, one second apart, that a process isn't ready. */
const UNREADY_NOTICE_MS = 2200;

/** Kept of the grace period for closing. */
const CLOSE_MARGIN_MS = 600;

/** Network delays there and back, between failure domains of one region and between regions. */
const LOCAL_DELAY_MS = 1;
const DOMAIN_DELAY_MS = 3;
const REGION_DELAY_MS = 7;

/** Agents send a beat every 2 s at least; one that was silent for longer has probably ended. */
const AGENT_SILENT_AFTER_MS = 10_000;

/** A beat that a load is in progress holds for this long; agents repeat it. */
const LOADING_BEAT_LIFETIME_MS = 1200;

export async function startRouter(settings: VmSettings, store: MetadataStore, log: EventLog): Promise<Router> {
    const now = () => performance.now();
    const random = Math.random;
    let { bounds } = settings;
    const metrics = createServingMetrics();
    const self = { name: settings.name, ip: settings.ip, failureDomain: settings.failureDomain };
    const neighbourhood = createNeighbourhood(self);
    const registry = createServerRegistry(() => bounds.drainMs);
    const health = createServerHealth();
    const weights = createWeightsPolicy(() => bounds.weightsMs);
    const connections = createBackendConnections();
    const entries = () => neighbourhood.living(now()).length + 1;
    const dispatcher = createDispatcher({
        registry,
        health,
        weights,
        findService: name => state.table()?.findService(name),
        failureDomain: settings.failureDomain,
        delayMs: domain => delayTo(settings, domain),
        entries,
        random,
    });
    const budget = createSendBudget({ bounds: () => bounds.retries, entries });
    let stopping = false;
    let callerServer: Awaited<ReturnType<typeof startCallerServer>> | undefined;
    const state = createOperatorState({
        registry,
        weights,
        log,
        onConfiguration: table => callerServer?.applyLimits(table.configuration.limits),
        onServerGone: id => {
            connections.forget(id);
            health.forget(id);
        },
        onWeightsNamed: version => {
            void relay.prefetch(version);
            for (const [ip, { model, heardAt }] of agents) {
                if (now() - heardAt < AGENT_SILENT_AFTER_MS) tellAgent(ip, model, 0);
                else agents.delete(ip);
            }
        },
    });
    const context: ExchangeContext = {
        table: state.table,
        dispatcher,
        connections,
        budget,
        health,
        log,
        metrics,
        now,
        random,
        isStopping: () => stopping,
    };
    log.info("process started", {
        ip: settings.ip,
        failureDomain: settings.failureDomain,
        store: settings.storeAddress,
    });

    const replicas = new Map([
        [PlatformTable.operator as string, createRowReplica()],
        [PlatformTable.servers as string, createRowReplica()],
    ]);
    const onChange = {
        [PlatformTable.operator]: (rows: Parameters<typeof state.applyOperatorRows>[0]) => {
            state.applyOperatorRows(rows, now());
            dispatcher.tick(now());
        },
        [PlatformTable.servers]: (rows: Parameters<typeof state.applyServerRows>[0]) => {
            state.applyServerRows(rows, feeds[1]?.disturbedAt(), now());
            dispatcher.tick(now());
        },
    };
    const feeds = [PlatformTable.operator, PlatformTable.servers].map(table =>
        startTableFeed({
            store,
            table,
            replica: replicas.get(table) ?? createRowReplica(),
            waitMs: FEED_WAIT_MS,
            pace: FEED_PACE,
            isReader: () => readsTable(table),
            onChange: onChange[table],
            log,
            metrics,
            now,
            random,
        })
    );

    const [peerPort] = settings.peerPorts;
    /** Neighbours that said in their last beat that they reach the store. */
    const storeReached = new Set<string>();
    const catchUp = createCatchUp();
    /** The agents that have sent beats, with the model of their engine. */
    const agents = new Map<string, { readonly model: string; readonly heardAt: number; }>();

    function onBeat(beat: Beat): void {
        const at = now();
        if (beat.kind === "agent") {
            dispatcher.learnWeights(beat.backendAddress, beat.startedAt, beat.model, beat.version);
            dispatcher.pauseServer(beat.backendAddress, beat.isLoading ? at + LOADING_BEAT_LIFETIME_MS : 0);
            const ip = beat.backendAddress.split(":")[0] ?? "";
            agents.set(ip, { model: beat.model, heardAt: at });
            tellAgent(ip, beat.model, beat.version);
            return;
        }
        if (beat.kind !== "entry") return;
        neighbourhood.hear(beat, at);
        dispatcher.flights.hear(beat.name, beat.load, at);
        for (const age of beat.named) weights.learnAge(age, at);
        if (beat.reachesStore) storeReached.add(beat.name);
        else storeReached.delete(beat.name);
        for (const table of [PlatformTable.operator, PlatformTable.servers]) void followNeighbour(beat, table, at);
    }

    /** Entries of a region share the reads of configurations; changes of servers are small. */
    function readsTable(table: string): boolean {
        if (table !== PlatformTable.operator) return true;
        const near = neighbourhood.living(now()).filter(({ name, failureDomain }) => {
            return isNear(failureDomain) && storeReached.has(name);
        });
        return isStoreReader(self.name, near.map(({ name }) => name));
    }

    const isNear = (failureDomain: string) => settings.regions.get(failureDomain) === settings.region;

    /** Agents look at the store seldom, so entries name the newest weights to them, also when a first word was lost. */
    function tellAgent(ip: string, model: string, known: number): void {
        const version = weights.newest(model);
        if (known < version) beats.send({ kind: "weights", model, version }, [ip], agentPortOf(peerPort));
    }

    /** Reads from a neighbour what the own feed hasn't delivered in time. */
    async function followNeighbour(
        { ip, failureDomain, newest }: EntryBeat,
        table: typeof PlatformTable[keyof typeof PlatformTable],
        at: number,
    ): Promise<void> {
        const replica = replicas.get(table);
        if (replica === undefined) return;
        const theirs = { table, revision: newest[table] ?? 0, isNear: isNear(failureDomain) };
        const own = {
            revision: replica.newest(),
            isComplete: replica.isComplete(),
            isReader: readsTable(table),
        };
        if (!catchUp.isDue(theirs, own, at)) return;
        try {
            const { rows, isComplete } = await readNeighbourChanges(ip, peerPort, table, replica.newest());
            if (!replica.isComplete() && !isComplete) return;
            const fresh = replica.isComplete() ? replica.apply(rows) : replica.reset(rows, rows.at(-1)?.revision ?? 0);
            if (fresh.length === 0) return;
            log.info("changes taken from a neighbour", { table, neighbour: ip, rows: fresh.length });
            onChange[table](fresh);
        }
        catch (error) {
            log.info("neighbour not reached", { table, neighbour: ip, error: (error as Error).message });
        }
        finally {
            catchUp.finish(table);
        }
    }

    const beats = openBeatSocket(settings.ip, peerPort, peerPort, onBeat);
    const relay = createPieceRelay({
        self: settings,
        entries: () =>
            neighbourhood.living(now()).map(({ ip, failureDomain }) => ({
                ip,
                region: settings.regions.get(failureDomain) ?? "",
            })),
        source: () => weightsOrigin(state.table(), settings),
        entryPort: peerPort,
        log,
        metrics,
        now,
        random,
    });
    const paceFor = createReceiverPaces();
    const peerServer = http.createServer((request, response) => {
        if (answerChanges(request, response, replicas)) return;
        answerPieces(relay, paceFor, request, response)
            .then(isAnswered => isAnswered ? undefined : answerMetrics(metrics, response))
            .catch(error => {
                log.info("piece not relayed", { error: (error as Error).message });
                if (response.headersSent) response.destroy();
                else response.writeHead(LACKING_STATUS).end();
            });
    });
    await listen(peerServer, `${settings.ip}:${peerPort}`);
    for (const ip of settings.seeds) neighbourhood.mention({ name: `seed ${ip}`, ip, failureDomain: "" });

    let tick = 0;
    const beatTimer = setInterval(() => {
        tick++;
        const recipients = neighbourhood.recipients(tick, now()).map(({ ip }) => ip);
        beats.send({
            kind: "entry",
            ...self,
            named: weights.ages(now()),
            reachesStore: feeds.every(feed => feed.isConnected()),
            newest: Object.fromEntries([...replicas].map(([table, replica]) => [table, replica.newest()])),
            load: Object.fromEntries(
                Object.entries(dispatcher.flights.report()).map((
                    [id, load],
                ) => [id, [...load] as [number, number, number, number]]),
            ),
        }, [...new Set(recipients)]);
        for (const id of registry.expire(now())) {
            log.info("server gone", { server: id, reason: "its entry didn't come back" });
            connections.forget(id);
        }
    }, BEAT_INTERVAL_MS);
    const tickTimer = setInterval(() => {
        if (dispatcher.waiting() > 0) dispatcher.tick(now());
        metrics.waiting.set(dispatcher.waiting());
    }, TICK_MS);
    void joinEntries(store, self, neighbourhood.mention, log.warn, () => stopping);

    const isReady = () => {
        return !stopping && state.table() !== undefined && (replicas.get(PlatformTable.servers)?.isComplete() ?? false);
    };
    const { callerAddress, readyAddress } = settings;
    if (callerAddress !== undefined) {
        callerServer = await startCallerServer(callerAddress, (request, response) => {
            return serveExchange(context, request, response);
        });
        const table = state.table();
        if (table !== undefined) callerServer.applyLimits(table.configuration.limits);
    }
    const readyServer = readyAddress === undefined ? undefined : await startReadyServer(readyAddress, isReady);

    async function stop(): Promise<void> {
        stopping = true;
        log.info("process stopping", { active: callerServer?.active() ?? 0 });
        const deadline = now() + bounds.graceMs - CLOSE_MARGIN_MS;
        await sleep(UNREADY_NOTICE_MS);
        callerServer?.stopListening();
        while ((callerServer?.active() ?? 0) > 0 && now() < deadline) await sleep(50);
        clearInterval(beatTimer);
        clearInterval(tickTimer);
        for (const feed of feeds) feed.stop();
        relay.stop();
        store.close();
        beats.close();
        callerServer?.close();
        readyServer?.close();
        peerServer.close();
        connections.close();
        log.info("process stopped", {});
    }

    return {
        callerPort: callerServer?.port ?? 0,
        readyPort: readyServer?.port ?? 0,
        applyBounds: next => {
            bounds = next;
        },
        stop,
    };
}

/** The origin of weights and the model of the engines that load from it. */
function weightsOrigin(table: RouteTable | undefined, settings: VmSettings): WeightsOrigin | undefined {
    const services = table?.configuration.services ?? [];
    const origin = services.find(service => service.origin !== undefined)?.origin;
    const model = services.find(({ engine }) => engine !== undefined)?.engine?.model;
    if (origin === undefined || model === undefined) return undefined;
    const { address, failureDomain, maxConnections } = origin;
    return { address, region: settings.regions.get(failureDomain) ?? "", model, maxConnections };
}

function delayTo(settings: VmSettings, failureDomain: string): number {
    if (failureDomain === settings.failureDomain) return LOCAL_DELAY_MS;
    return settings.regions.get(failureDomain) === settings.region ? DOMAIN_DELAY_MS : REGION_DELAY_MS;
}

/** Writes the entry's own row and reads the others', until both have succeeded. */
async function joinEntries(
    store: MetadataStore,
    self: Neighbour,
    mention: (neighbour: Neighbour) => void,
    warn: EventLog["warn"],
    isStopping: () => boolean,
): Promise<void> {
    for (let failures = 0; !isStopping(); failures++) {
        try {
            await store.putRow(ENTRIES_TABLE, self.name, formatEntryRow(self));
            for (const row of (await store.readTable(ENTRIES_TABLE)).rows) {
                const entry = parseEntryRow(row);
                if (entry !== undefined && entry.name !== self.name) mention(entry);
            }
            return;
        }
        catch (error) {
            if (failures === 0) warn("entries not joined", { error: (error as Error).message });
            await sleep(500 + Math.random() * 1500);
        }
    }
}
