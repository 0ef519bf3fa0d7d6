import assert from "node:assert/strict";
import { test } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
    createDispatcher,
    createServerHealth,
    createServerRegistry,
    createWeightsPolicy,
    type DispatchRequest,
    type EngineFigures,
    passDurationMs,
    type Settlement,
} from "../../../lib/core/serving/index.js";

/** Figures of a pool like the users': 16 requests at once, 6 tokens an event. */
const FIGURES: EngineFigures = {
    slots: 16,
    stepMs: 7.4,
    stepMsPerRequest: 0.0387,
    stepMsPerKiloToken: 0.0203,
    readTokensPerMs: 31.9,
    readMsPerMillionPairs: 0.733,
    stride: 6,
    usualAnswerTokens: 106,
    layers: 16,
    model: "m",
    chunkCount: 64,
    chunkBytes: 32_768,
};

interface Kind {
    readonly routeRank: number;
    readonly targetMs: number;
    readonly prompt: number;
    readonly events: number;
    readonly perSecond: number;
    readonly worth: number;
    readonly lateWorth: number;
}

/** The kinds of requests at a pool of four engines; the least urgent one bursts to several times its usual rate. */
const KINDS: readonly Kind[] = [
    { routeRank: 0, targetMs: 250, prompt: 607, events: 12, perSecond: 14, worth: 2.5, lateWorth: 0.25 },
    { routeRank: 1, targetMs: 400, prompt: 1290, events: 21, perSecond: 16, worth: 2.3, lateWorth: 0.58 },
    { routeRank: 2, targetMs: 800, prompt: 787, events: 21, perSecond: 13, worth: 1, lateWorth: 0.37 },
];
const ENGINES = 4;
const DURATION_MS = 16_000;
const BURST = { from: 4000, to: 10_000, factor: 3 };
const STEP_MS = 5;

/** Time after which a caller gives up on a stream without an event. */
const PATIENCE_MS = 2400;

interface Job {
    readonly kind: Kind;
    readonly arrivedAt: number;
    unread: number;
    events: number;
    firstEventAt: number | undefined;
}

interface Result {
    readonly asked: number;
    readonly onTime: number;
    readonly served: number;
    readonly worth: number;
}

/** An engine that works in passes: it reads what waits, then every request writes an event. */
function createEngine() {
    const jobs = new Map<string, Job>();
    let busyUntil = 0;
    return {
        jobs,
        step: (now: number, onFirst: (id: string) => void, onEnd: (id: string) => void) => {
            if (busyUntil > now || jobs.size === 0) return;
            const running = [...jobs].slice(0, FIGURES.slots);
            const unread = running.reduce((sum, [, job]) => sum + job.unread, 0);
            busyUntil = now + unread / FIGURES.readTokensPerMs + passDurationMs(FIGURES, running.length, 0);
            for (const [id, job] of running) {
                job.unread = 0;
                job.events--;
                if (job.firstEventAt === undefined) {
                    job.firstEventAt = busyUntil;
                    onFirst(id);
                }
                if (job.events > 0) continue;
                jobs.delete(id);
                onEnd(id);
            }
        },
    };
}

/** Plays the burst against a way of placing requests and returns the result of each kind. */
function play(
    submit: (request: DispatchRequest, settle: (engine: number | undefined) => void, now: number) => void,
    onFirst: (id: string, now: number) => void,
    onEnd: (id: string, now: number) => void,
    tick: (now: number) => void,
): Result[] {
    const generator = xoroshiro128plus(7);
    const random = () => uniformFloat64(generator);
    const engines = Array.from({ length: ENGINES }, createEngine);
    const jobs: Job[] = [];
    let arrivals = 0;
    for (let now = 0; now < DURATION_MS + PATIENCE_MS; now += STEP_MS) {
        for (const kind of now < DURATION_MS ? KINDS : []) {
            const isBurst = kind.routeRank === 2 && now >= BURST.from && now < BURST.to;
            const rate = kind.perSecond * (isBurst ? BURST.factor : 1);
            if (random() >= rate * STEP_MS / 1000) continue;
            const job = { kind, arrivedAt: now, unread: kind.prompt, events: kind.events, firstEventAt: undefined };
            jobs.push(job);
            const id = String(arrivals++);
            submit(requestOf(id, kind, now), engine => {
                if (engine !== undefined) engines[engine]?.jobs.set(id, job);
            }, now);
        }
        for (const engine of engines) engine.step(now, id => onFirst(id, now), id => onEnd(id, now));
        tick(now);
    }
    return KINDS.map(kind => resultOf(jobs.filter(job => job.kind === kind), kind));
}

function requestOf(id: string, kind: Kind, now: number): DispatchRequest {
    return {
        id,
        service: "s",
        rank: kind.routeRank,
        routeRank: kind.routeRank,
        account: String(Number(id) % 10),
        hasReturned: false,
        arrivedAt: now,
        dueAt: now + kind.targetMs,
        expiresAt: now + 6000,
        promptTokens: kind.prompt,
        maxPauseMs: 300,
        tried: new Set(),
        boundWeights: undefined,
    };
}

function resultOf(jobs: readonly Job[], kind: Kind): Result {
    const waits = jobs.flatMap(({ firstEventAt, arrivedAt }) =>
        firstEventAt === undefined ? [] : [firstEventAt - arrivedAt]
    );
    const onTime = waits.filter(wait => wait <= kind.targetMs).length;
    const served = waits.filter(wait => wait <= PATIENCE_MS).length;
    const worth = onTime * kind.worth + (served - onTime) * kind.lateWorth;
    return { asked: jobs.length, onTime, served, worth };
}

/** First come, first served: every request goes to the engine with the fewest requests, which queues it. */
function playFirstCome(): Result[] {
    const loads = Array.from({ length: ENGINES }, () => 0);
    const placed = new Map<string, number>();
    return play(
        (request, settle) => {
            const engine = loads.indexOf(Math.min(...loads));
            loads[engine] = (loads[engine] ?? 0) + 1;
            placed.set(request.id, engine);
            settle(engine);
        },
        () => undefined,
        id => {
            const engine = placed.get(id) ?? 0;
            loads[engine] = (loads[engine] ?? 1) - 1;
        },
        () => undefined,
    );
}

function playDispatcher(): Result[] {
    const registry = createServerRegistry(() => 2000);
    const ids = Array.from({ length: ENGINES }, (_, index) => `engine-${index}`);
    for (const id of ids) {
        registry.put({
            id,
            service: "s",
            address: id,
            failureDomain: "d",
            slots: FIGURES.slots,
            isLeaving: false,
            startedAt: 1,
            coldMs: 0,
            weights: { model: "m", version: 1 },
        });
    }
    const service = { name: "s", healthPath: "/", maxConnections: 264, engine: FIGURES, origin: undefined };
    const dispatcher = createDispatcher({
        registry,
        health: createServerHealth(),
        weights: createWeightsPolicy(() => 8000),
        findService: () => service,
        failureDomain: "d",
        delayMs: () => 1,
        entries: () => 1,
        random: () => 0.5,
    });
    return play(
        (request, settle, now) => {
            dispatcher.submit(request, (settlement: Settlement) => {
                settle(settlement.kind === "assigned" ? ids.indexOf(settlement.assignment.server.id) : undefined);
            }, now);
        },
        dispatcher.started,
        dispatcher.ended,
        dispatcher.tick,
    );
}

const total = (results: readonly Result[], field: keyof Result) =>
    results.reduce((sum, result) => sum + result[field], 0);

// Guards against a burst of the least urgent work that makes everybody late: the load pattern in which placing every
// request at the next free slot left two fifths of the more urgent requests in time.
test("a burst of the least urgent kind leaves the others in time", () => {
    const [urgent, standard] = playDispatcher();
    const share = (result: Result | undefined) => (result?.onTime ?? 0) / (result?.asked ?? 1);
    assert.ok(share(urgent) >= 0.9, `urgent ${share(urgent)}`);
    assert.ok(share(standard) >= 0.9, `standard ${share(standard)}`);
});

// Guards against a design that serves callers worse than queues at the engines, and against one that starves the kind
// that bursts.
test("the dispatcher serves a burst better than first come, first served", () => {
    const design = playDispatcher();
    const baseline = playFirstCome();
    assert.ok(total(design, "worth") > total(baseline, "worth"), JSON.stringify({ design, baseline }));
    const [, , least] = design;
    assert.ok((least?.served ?? 0) >= 0.25 * (least?.asked ?? 1), JSON.stringify(least));
});
