/**
 * Placement policies for simulations: the product's dispatcher, and two baselines that queue requests at the engines.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
    createDispatcher,
    createEvacuations,
    createRefusedReservations,
    createServerBackoff,
    createServerHealth,
    createServerOwnership,
    createServerPace,
    createServerRegistry,
    createServerSpeed,
    createWeightsPolicy,
    decideReservation,
    type DispatchRequest,
    type InFlightRequests,
    Outcome,
    type ServerLoad,
    type ServerPace,
    type SlotDecision,
    type SlotRequest,
} from "../lib/core/serving/index.js";
import { ENGINE_SPEC, engineName, type PlacementDecision, type Placer, slowdownAt } from "./enginePoolSimulation.js";
import type { LoadTrace } from "./loadTraces.js";

/** Time during which a leaving server may still get requests. No engine of the traces leaves. */
const DRAIN_MS = 2000;

const AGENT_HEARTBEAT_INTERVAL_MS = 2000;

/** Time after a version is named within which requests may still start on older ones. The traces name no version. */
const OLDER_VERSION_ALLOWED_MS = 8000;

/** Entries that share the requests, and the interval of the heartbeats in which they exchange their load. */
export interface EntryGroupOptions {
    readonly entryCount: number;
    readonly heartbeatIntervalMs: number;
    /** Additional fraction of all requests that the first entry gets; the others share the rest evenly. */
    readonly skew?: number;
    /** Accounts that send all requests to the first entry; those of others are spread. */
    readonly unsplitAccounts?: readonly string[];
    /** Engines report with each first event and end of a request by which factor they are slower than specified. */
    readonly reportsSlowdown?: boolean;
    /** Agents tell all entries by which lasting factor their engines are slower than specified. */
    readonly tellsEngineSlowdown?: boolean;
    /** Requests to servers of another entry are reserved there; true by default. */
    readonly reservesSlots?: boolean;
    /** How engines get work after a start or a failure; without a ramp by default. */
    readonly ramp?: "answers" | "linear";
    /** Entries send no requests to an engine for the time for which it asks; true by default. */
    readonly honorsBackoff?: boolean;
}

/** A single entry that gets all requests. */
export const SINGLE_ENTRY: EntryGroupOptions = { entryCount: 1, heartbeatIntervalMs: 100 };

/** Grows with time only, in `FULL_USE_MS`, whatever the answers are. */
function createLinearPace(pace: ServerPace): ServerPace {
    return {
        ...pace,
        allowance: (server, runningCount, now) => {
            const allowance = pace.allowance(server, runningCount, now);
            return allowance === undefined ? undefined : { ...allowance, overflowSlots: allowance.slots };
        },
        recordAnswer: () => undefined,
        recordOutcome: () => undefined,
    };
}

/** Uses the product's dispatchers. Each request goes to a random entry. */
export function createDispatcherPlacer(
    trace: LoadTrace,
    options: EntryGroupOptions = SINGLE_ENTRY,
): Placer {
    const { entryCount, heartbeatIntervalMs, skew = 0, reservesSlots = true, unsplitAccounts = [] } = options;
    const dispatchers: EntryPlacer[] = Array.from(
        { length: entryCount },
        (_, index) =>
            createEntryPlacer(trace, options, index, name => {
                return reservesSlots ? dispatchers.find(({ entryName }) => entryName === name) : undefined;
            }),
    );
    const ownerByRequestId = new Map<string, EntryPlacer>();
    const generator = xoroshiro128plus(11);
    let nextHeartbeatAt = 0;

    function exchangeHeartbeats(now: number): void {
        for (const [index, { inFlight }] of dispatchers.entries()) {
            const localReport = inFlight.localReport();
            const accounts = inFlight.accountReport([], now);
            for (const [peerIndex, { inFlight: peerInFlight }] of dispatchers.entries()) {
                if (peerIndex !== index) peerInFlight.recordPeerReport(`entry-${index}`, localReport, now, accounts);
            }
        }
    }

    return {
        submit: (request, onDecision, now) => {
            const isSkewed = uniformFloat64(generator) < skew || unsplitAccounts.includes(request.account);
            const owner = dispatchers[isSkewed ? 0 : uniformInt(generator, 0, entryCount - 1)];
            if (owner === undefined) return;
            ownerByRequestId.set(request.id, owner);
            owner.submit(request, onDecision, now);
        },
        cancel: id => ownerByRequestId.get(id)?.cancel(id),
        recordFirstEvent: (id, ...details) => ownerByRequestId.get(id)?.recordFirstEvent(id, ...details),
        recordEnd: (id, ...details) => {
            ownerByRequestId.get(id)?.recordEnd(id, ...details);
            ownerByRequestId.delete(id);
        },
        recordRefusal: (id, ...details) => {
            ownerByRequestId.get(id)?.recordRefusal(id, ...details);
            ownerByRequestId.delete(id);
        },
        recordRegistration: (...details) => {
            for (const dispatcher of dispatchers) dispatcher.recordRegistration?.(...details);
        },
        tick: now => {
            for (const dispatcher of dispatchers) dispatcher.tick(now);
            if (now < nextHeartbeatAt) return;
            nextHeartbeatAt = now + heartbeatIntervalMs;
            exchangeHeartbeats(now);
        },
    };
}

interface EntryPlacer extends Placer {
    readonly entryName: string;
    readonly inFlight: InFlightRequests;
    /** Decides on the reservation of another entry. */
    reserve(slot: SlotRequest, sender: string, now: number): SlotDecision;
}

interface SentRequest {
    readonly predictedMs: number;
    readonly assumedSlowdown: number;
    readonly promptTokens: number;
}

const entryNameOf = (index: number) => `entry-${index}`;

function createEntryPlacer(
    trace: LoadTrace,
    { entryCount, reportsSlowdown = false, tellsEngineSlowdown = false, ramp, honorsBackoff = true }: EntryGroupOptions,
    index: number,
    findOwner: (name: string) => EntryPlacer | undefined,
): EntryPlacer {
    const spec = trace.engine ?? ENGINE_SPEC;
    const registry = createServerRegistry(() => DRAIN_MS);
    const backoff = createServerBackoff();
    const health = createServerHealth();
    const speed = createServerSpeed();
    const answerPace = createServerPace({ isEjected: health.isEjected, withdrawnAt: () => undefined });
    const pace = ramp === "linear" ? createLinearPace(answerPace) : answerPace;
    const engineNames = Array.from({ length: trace.engineCount }, (_, engine) => engineName(engine));
    function register(id: string, startedAt: number): void {
        registry.put({
            id,
            service: "s",
            address: id,
            failureDomain: "d",
            slots: spec.slots,
            isLeaving: false,
            startedAt,
            remainingWarmupMs: 0,
            weights: { model: "m", version: 1 },
        });
    }
    for (const id of engineNames) register(id, 1);
    const service = {
        name: "s",
        healthPath: "/",
        maxConnections: 1000,
        engine: spec,
        origin: undefined,
        coldMs: ramp === undefined ? 0 : 1,
        coldRequestsPerSecond: 0,
    };
    const generator = xoroshiro128plus(3 + index);
    const entries = Array.from({ length: entryCount }, (_, entry) => ({
        name: entryNameOf(entry),
        ip: "",
        failureDomain: "d",
    }));
    const dispatcher = createDispatcher({
        registry,
        backoff,
        health,
        speed,
        self: entryNameOf(index),
        ownership: createServerOwnership(() => entries),
        reportLagMs: () => 0,
        weights: createWeightsPolicy(() => OLDER_VERSION_ALLOWED_MS),
        evacuations: createEvacuations(),
        pace,
        findService: () => service,
        failureDomain: "d",
        regionOf: () => undefined,
        roundTripMs: () => 1,
        entryCount: () => entryCount,
        random: () => uniformFloat64(generator),
    });
    const entryName = entryNameOf(index);
    const refused = createRefusedReservations();
    const predictions = new Map<string, SentRequest>();

    function recordReport(engine: number, now: number): void {
        const slowdown = slowdownAt(trace, engine, now);
        if (reportsSlowdown && Number.isFinite(slowdown)) speed.recordReport(engineName(engine), slowdown, now);
    }

    const incarnationOf = (id: string) => ({ id, startedAt: registry.get(id)?.startedAt ?? 0 });

    function recordAnswer(engine: number, { predictedMs }: SentRequest, tookMs: number, now: number) {
        const id = engineName(engine);
        const load = dispatcher.inFlight.loadOf(id, now);
        const answer = {
            predictedMs,
            measuredMs: tookMs,
            runningCount: load.decoding + load.prefilling,
            ownCount: dispatcher.inFlight.countAtServer(id),
            isQueueLong: false,
        };
        pace.recordAnswer(incarnationOf(id), answer, now);
    }

    function recordDepartures(now: number): void {
        for (const { engine, atMs } of trace.engineDepartures ?? []) {
            const server = registry.get(engineName(engine));
            if (now >= atMs && server !== undefined && !server.isLeaving) registry.put({ ...server, isLeaving: true });
        }
    }

    function recordEngineSlowdowns(now: number): void {
        if (!tellsEngineSlowdown || now < nextAgentHeartbeatAt) return;
        nextAgentHeartbeatAt = now + AGENT_HEARTBEAT_INTERVAL_MS;
        for (let engine = 0; engine < trace.engineCount; engine++) {
            const slowdown = slowdownAt(trace, engine, now);
            if (Number.isFinite(slowdown)) speed.recordEngineSlowdown(engineName(engine), slowdown, now);
        }
    }

    let nextAgentHeartbeatAt = 0;
    /** The owner of the server of each request that was reserved. */
    const ownerByRequestId = new Map<string, EntryPlacer>();
    let currentTime = 0;

    function submit(request: DispatchRequest, onDecision: (decision: PlacementDecision) => void): void {
        dispatcher.submit(request, result => {
            if (result.kind === "refused") {
                onDecision({ retryAfterMs: result.refusal.retryAfterMs });
                return;
            }
            const { server, reservation, predictedFirstEventMs, assumedSlowdown } = result.assignment;
            const owner = reservation === undefined ? undefined : findOwner(reservation.owner.name);
            if (reservation !== undefined && owner !== undefined) {
                const decision = owner.reserve(reservation.slot, entryName, currentTime);
                if (!decision.isGranted) {
                    dispatcher.withdraw(request.id, server.id, decision, currentTime);
                    submit(request, onDecision);
                    return;
                }
                ownerByRequestId.set(request.id, owner);
            }
            predictions.set(request.id, {
                predictedMs: predictedFirstEventMs,
                assumedSlowdown,
                promptTokens: request.promptTokens,
            });
            onDecision({ engine: engineNames.indexOf(server.id) });
        }, currentTime);
    }

    /** Tells the owner of a request's server that the request has left it. */
    function release(id: string, engine: number, now: number): void {
        const load = dispatcher.inFlight.loadOfRequest(id);
        const change = load?.map(each => -each) as ServerLoad | undefined;
        const owner = ownerByRequestId.get(id);
        if (change !== undefined) owner?.inFlight.recordPeerChange(entryName, engineName(engine), change, now);
        ownerByRequestId.delete(id);
    }

    return {
        entryName,
        inFlight: dispatcher.inFlight,
        reserve: (slot, sender, now) => {
            const slowdown = speed.slowdown(slot.serverId, now);
            const owned = { engine: spec, slowdown, isPaused: false, takeShare: () => true, refused };
            const maxRunning = Math.min(slot.maxRunning, pace.maxRunning(slot.serverId, now));
            return decideReservation({ ...slot, maxRunning }, sender, owned, dispatcher.inFlight, now);
        },
        submit: (request, onDecision, now) => {
            currentTime = now;
            submit(request, onDecision);
        },
        cancel: dispatcher.cancel,
        recordFirstEvent: (id, engine, tookMs, now) => {
            currentTime = now;
            recordReport(engine, now);
            const prediction = predictions.get(id);
            if (prediction !== undefined) {
                recordAnswer(engine, prediction, tookMs, now);
                const isUnsettled = ramp === "answers" && pace.isRamping(engineName(engine));
                speed.recordFirstEvent(engineName(engine), { ...prediction, measuredMs: tookMs, isUnsettled }, now);
            }
            dispatcher.recordFirstEvent(id, now);
        },
        recordEnd: (id, engine, hasSucceeded, now) => {
            currentTime = now;
            release(id, engine, now);
            predictions.delete(id);
            recordReport(engine, now);
            const outcome = hasSucceeded ? Outcome.success : Outcome.unreachable;
            health.recordOutcome(engineName(engine), outcome, now);
            pace.recordOutcome(incarnationOf(engineName(engine)), outcome, now);
            dispatcher.recordEnd(id, now);
        },
        recordRefusal: (id, engine, backoffMs, now) => {
            currentTime = now;
            release(id, engine, now);
            predictions.delete(id);
            const server = registry.get(engineName(engine));
            if (honorsBackoff && server !== undefined) backoff.record(server, backoffMs, now);
            const outcome = honorsBackoff ? Outcome.deferred : Outcome.refused;
            health.recordOutcome(engineName(engine), outcome, now);
            pace.recordOutcome(incarnationOf(engineName(engine)), outcome, now);
            dispatcher.recordEnd(id, now);
        },
        recordRegistration: (engine, isRegistered, now) => {
            const id = engineName(engine);
            // Failures of requests at the previous start may have been recorded after its end.
            health.remove(id);
            speed.remove(id);
            pace.remove(id);
            if (isRegistered) register(id, now);
            else registry.remove(id, now, undefined);
        },
        tick: now => {
            currentTime = now;
            recordDepartures(now);
            recordEngineSlowdowns(now);
            pace.tick(now);
            dispatcher.tick(now);
        },
    };
}

/** Sends every request to a random engine, which queues it first come, first served. */
export function createRandomPlacer(trace: LoadTrace): Placer {
    const generator = xoroshiro128plus(3);
    return createEngineQueuePlacer(() => uniformInt(generator, 0, trace.engineCount - 1));
}

/** Sends every request to the engine with the fewest requests in flight, which queues it. */
export function createLeastInFlightPlacer(trace: LoadTrace): Placer {
    const loads = Array.from({ length: trace.engineCount }, () => 0);
    const placer = createEngineQueuePlacer(triedServerIds => {
        const candidates = loads.flatMap((load, engine) =>
            triedServerIds.has(engineName(engine)) ? [] : [{ load, engine }]
        );
        const leastLoaded = candidates.toSorted((a, b) => a.load - b.load)[0]?.engine ?? 0;
        loads[leastLoaded] = (loads[leastLoaded] ?? 0) + 1;
        return leastLoaded;
    });
    return {
        ...placer,
        recordEnd: (_id, engine) => {
            loads[engine] = (loads[engine] ?? 1) - 1;
        },
        recordRefusal: (_id, engine) => {
            loads[engine] = (loads[engine] ?? 1) - 1;
        },
    };
}

function createEngineQueuePlacer(choose: (triedServerIds: ReadonlySet<string>) => number): Placer {
    return {
        submit: ({ triedServerIds }, onDecision) => onDecision({ engine: choose(triedServerIds) }),
        cancel: () => undefined,
        recordFirstEvent: () => undefined,
        recordEnd: () => undefined,
        recordRefusal: () => undefined,
        tick: () => undefined,
    };
}
