/** Ways of placing requests for replays: the design, and two baselines that queue at the engines. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
    createDispatcher,
    createServerHealth,
    createServerRegistry,
    createWeightsPolicy,
    type InFlightRequests,
    Outcome,
} from "../lib/core/serving/index.js";
import { ENGINE_FIGURES, engineName, type Placer } from "./enginePool.js";
import type { LoadTrace } from "./loadTraces.js";

/** Entries that share the requests, and how often they tell each other their load. */
export interface EntryGroup {
    readonly entries: number;
    readonly beatMs: number;
}

/** One entry that sees all requests. */
export const LONE_ENTRY: EntryGroup = { entries: 1, beatMs: 100 };

/** The product's own way: the dispatchers of one or more entries, each of which gets an even share of the requests. */
export function createDesignPlacer(trace: LoadTrace, { entries, beatMs } = LONE_ENTRY): Placer {
    const dispatchers = Array.from({ length: entries }, (_, index) => createEntryPlacer(trace, entries, index));
    const owners = new Map<string, EntryPlacer>();
    const generator = xoroshiro128plus(11);
    let beatAt = 0;

    function exchangeBeats(now: number): void {
        for (const [index, { flights }] of dispatchers.entries()) {
            const report = flights.localReport();
            for (const [other, { flights: theirs }] of dispatchers.entries()) {
                if (other !== index) theirs.recordPeerReport(`entry-${index}`, report, now);
            }
        }
    }

    return {
        submit: (request, settle, now) => {
            const owner = dispatchers[uniformInt(generator, 0, entries - 1)];
            if (owner === undefined) return;
            owners.set(request.id, owner);
            owner.submit(request, settle, now);
        },
        withdraw: id => owners.get(id)?.withdraw(id),
        started: (id, ...more) => owners.get(id)?.started(id, ...more),
        ended: (id, ...more) => {
            owners.get(id)?.ended(id, ...more);
            owners.delete(id);
        },
        tick: now => {
            for (const dispatcher of dispatchers) dispatcher.tick(now);
            if (now < beatAt) return;
            beatAt = now + beatMs;
            exchangeBeats(now);
        },
    };
}

interface EntryPlacer extends Placer {
    readonly flights: InFlightRequests;
}

function createEntryPlacer(trace: LoadTrace, entries: number, index: number): EntryPlacer {
    const registry = createServerRegistry(() => 2000);
    const health = createServerHealth();
    const ids = Array.from({ length: trace.engines }, (_, engine) => engineName(engine));
    for (const id of ids) {
        registry.put({
            id,
            service: "s",
            address: id,
            failureDomain: "d",
            slots: ENGINE_FIGURES.slots,
            isLeaving: false,
            startedAt: 1,
            remainingWarmupMs: 0,
            weights: { model: "m", version: 1 },
        });
    }
    const service = { name: "s", healthPath: "/", maxConnections: 1000, engine: ENGINE_FIGURES, origin: undefined };
    const generator = xoroshiro128plus(3 + index);
    const dispatcher = createDispatcher({
        registry,
        health,
        weights: createWeightsPolicy(() => 8000),
        findService: () => service,
        failureDomain: "d",
        roundTripMs: () => 1,
        entryCount: () => entries,
        random: () => uniformFloat64(generator),
    });
    const predictions = new Map<string, number>();
    return {
        flights: dispatcher.inFlight,
        submit: (request, settle, now) => {
            dispatcher.submit(request, settlement => {
                if (settlement.kind === "refused") {
                    settle({ retryAfterMs: settlement.refusal.retryAfterMs });
                    return;
                }
                predictions.set(request.id, settlement.assignment.predictedFirstEventMs);
                settle({ engine: ids.indexOf(settlement.assignment.server.id) });
            }, now);
        },
        withdraw: dispatcher.cancel,
        started: (id, engine, tookMs, now) => {
            health.recordSlowdown(engineName(engine), tookMs / (predictions.get(id) ?? tookMs));
            dispatcher.recordFirstEvent(id, now);
        },
        ended: (id, engine, isSound, now) => {
            predictions.delete(id);
            health.recordOutcome(engineName(engine), isSound ? Outcome.success : Outcome.unreachable, now);
            dispatcher.recordEnd(id, now);
        },
        tick: dispatcher.tick,
    };
}

/** First come, first served at an engine that is drawn at random; requests queue there. */
export function createRandomPlacer(trace: LoadTrace): Placer {
    const generator = xoroshiro128plus(3);
    return createQueueingPlacer(() => uniformInt(generator, 0, trace.engines - 1));
}

/** Every request goes to the engine with the fewest requests, which queues it. */
export function createLeastInFlightPlacer(trace: LoadTrace): Placer {
    const loads = Array.from({ length: trace.engines }, () => 0);
    const placer = createQueueingPlacer(tried => {
        const open = loads.flatMap((load, engine) => tried.has(engineName(engine)) ? [] : [{ load, engine }]);
        const least = open.toSorted((a, b) => a.load - b.load)[0]?.engine ?? 0;
        loads[least] = (loads[least] ?? 0) + 1;
        return least;
    });
    return {
        ...placer,
        ended: (_id, engine) => {
            loads[engine] = (loads[engine] ?? 1) - 1;
        },
    };
}

function createQueueingPlacer(choose: (tried: ReadonlySet<string>) => number): Placer {
    return {
        submit: ({ triedServerIds: tried }, settle) => settle({ engine: choose(tried) }),
        withdraw: () => undefined,
        started: () => undefined,
        ended: () => undefined,
        tick: () => undefined,
    };
}
