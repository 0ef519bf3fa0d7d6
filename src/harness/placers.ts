/**
 * Placement policies for simulations: the product's dispatcher, and two baselines that queue requests at the engines.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
    createDispatcher,
    createServerHealth,
    createServerRegistry,
    createServerSpeed,
    createSlotSharing,
    createWeightsPolicy,
    type InFlightRequests,
    Outcome,
} from "../lib/core/serving/index.js";
import { ENGINE_SPEC, engineName, type Placer, slowdownAt } from "./enginePoolSimulation.js";
import type { LoadTrace } from "./loadTraces.js";

/** Time during which a leaving server may still get requests. No engine of the traces leaves. */
const DRAIN_MS = 2000;

/** Time after a version is named within which requests may still start on older ones. The traces name no version. */
const OLDER_VERSION_ALLOWED_MS = 8000;

/** Entries that share the requests, and the interval of the heartbeats in which they exchange their load. */
export interface EntryGroupOptions {
    readonly entryCount: number;
    readonly heartbeatIntervalMs: number;
    /** Additional fraction of all requests that the first entry gets; the others share the rest evenly. */
    readonly skew?: number;
    /** Engines report with each first event and end of a request by which factor they are slower than specified. */
    readonly reportsSlowdown?: boolean;
}

/** A single entry that gets all requests. */
export const SINGLE_ENTRY: EntryGroupOptions = { entryCount: 1, heartbeatIntervalMs: 100 };

/** Uses the product's dispatchers. Each request goes to a random entry. */
export function createDispatcherPlacer(
    trace: LoadTrace,
    { entryCount, heartbeatIntervalMs, skew = 0, reportsSlowdown = false }: EntryGroupOptions = SINGLE_ENTRY,
): Placer {
    const dispatchers = Array.from(
        { length: entryCount },
        (_, index) => createEntryPlacer(trace, entryCount, index, reportsSlowdown),
    );
    const ownerByRequestId = new Map<string, EntryPlacer>();
    const generator = xoroshiro128plus(11);
    let nextHeartbeatAt = 0;

    function exchangeHeartbeats(now: number): void {
        for (const [index, { inFlight }] of dispatchers.entries()) {
            const localReport = inFlight.localReport();
            for (const [peerIndex, { inFlight: peerInFlight }] of dispatchers.entries()) {
                if (peerIndex !== index) peerInFlight.recordPeerReport(`entry-${index}`, localReport, now);
            }
        }
    }

    return {
        submit: (request, onDecision, now) => {
            const isSkewed = uniformFloat64(generator) < skew;
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
        tick: now => {
            for (const dispatcher of dispatchers) dispatcher.tick(now);
            if (now < nextHeartbeatAt) return;
            nextHeartbeatAt = now + heartbeatIntervalMs;
            exchangeHeartbeats(now);
        },
    };
}

interface EntryPlacer extends Placer {
    readonly inFlight: InFlightRequests;
}

function createEntryPlacer(
    trace: LoadTrace,
    entryCount: number,
    index: number,
    reportsSlowdown: boolean,
): EntryPlacer {
    const registry = createServerRegistry(() => DRAIN_MS);
    const health = createServerHealth();
    const speed = createServerSpeed();
    const engineNames = Array.from({ length: trace.engineCount }, (_, engine) => engineName(engine));
    for (const id of engineNames) {
        registry.put({
            id,
            service: "s",
            address: id,
            failureDomain: "d",
            slots: ENGINE_SPEC.slots,
            isLeaving: false,
            startedAt: 1,
            remainingWarmupMs: 0,
            weights: { model: "m", version: 1 },
        });
    }
    const service = { name: "s", healthPath: "/", maxConnections: 1000, engine: ENGINE_SPEC, origin: undefined };
    const generator = xoroshiro128plus(3 + index);
    const entryNames = Array.from({ length: entryCount }, (_, entry) => `entry-${entry}`);
    const dispatcher = createDispatcher({
        registry,
        health,
        speed,
        slotSharing: createSlotSharing(`entry-${index}`, () => entryNames),
        weights: createWeightsPolicy(() => OLDER_VERSION_ALLOWED_MS),
        findService: () => service,
        failureDomain: "d",
        roundTripMs: () => 1,
        entryCount: () => entryCount,
        random: () => uniformFloat64(generator),
    });
    const predictions = new Map<string, { predictedMs: number; assumedSlowdown: number; }>();

    function recordReport(engine: number, now: number): void {
        const slowdown = slowdownAt(trace, engine, now);
        if (reportsSlowdown && Number.isFinite(slowdown)) speed.recordReport(engineName(engine), slowdown, now);
    }

    return {
        inFlight: dispatcher.inFlight,
        submit: (request, onDecision, now) => {
            dispatcher.submit(request, result => {
                if (result.kind === "refused") {
                    onDecision({ retryAfterMs: result.refusal.retryAfterMs });
                    return;
                }
                const { predictedFirstEventMs, assumedSlowdown } = result.assignment;
                predictions.set(request.id, { predictedMs: predictedFirstEventMs, assumedSlowdown });
                onDecision({ engine: engineNames.indexOf(result.assignment.server.id) });
            }, now);
        },
        cancel: dispatcher.cancel,
        recordFirstEvent: (id, engine, tookMs, now) => {
            recordReport(engine, now);
            const prediction = predictions.get(id);
            if (prediction !== undefined) {
                speed.recordFirstEvent(engineName(engine), { ...prediction, measuredMs: tookMs }, now);
            }
            dispatcher.recordFirstEvent(id, now);
        },
        recordEnd: (id, engine, hasSucceeded, now) => {
            predictions.delete(id);
            recordReport(engine, now);
            health.recordOutcome(engineName(engine), hasSucceeded ? Outcome.success : Outcome.unreachable, now);
            dispatcher.recordEnd(id, now);
        },
        tick: dispatcher.tick,
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
    };
}

function createEngineQueuePlacer(choose: (triedServerIds: ReadonlySet<string>) => number): Placer {
    return {
        submit: ({ triedServerIds }, onDecision) => onDecision({ engine: choose(triedServerIds) }),
        cancel: () => undefined,
        recordFirstEvent: () => undefined,
        recordEnd: () => undefined,
        tick: () => undefined,
    };
}
