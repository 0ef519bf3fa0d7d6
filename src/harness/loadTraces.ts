/** Load traces for a pool of model engines, as data for simulations without processes. */
import type { EngineParameters } from "../lib/core/serving/index.js";

/** A class of requests that arrive throughout the trace. */
export interface RequestClass {
    /** Priority rank; 0 is the most urgent. */
    readonly rank: number;
    readonly firstEventTargetMs: number;
    readonly promptTokens: number;
    /** Number of events in the response. */
    readonly events: number;
    readonly requestsPerSecond: number;
    /** Utility to the caller of a response whose first event is within the target, and of a later one. */
    readonly utility: number;
    readonly lateUtility: number;
}

/** An interval with a higher request rate. */
export interface Surge {
    readonly fromMs: number;
    readonly toMs: number;
    readonly rateFactor: number;
    /** Limits the surge to the request class of this rank; by default all classes surge. */
    readonly rank?: number;
    /** Account that sends the additional requests; by default they are spread over all accounts. */
    readonly account?: string;
}

/** An interval in which an engine is slower than its specification or unreachable. */
export interface EngineFault {
    readonly engine: number;
    readonly fromMs: number;
    readonly toMs: number;
    /** Factor on all durations of the engine; infinite for an unreachable engine. */
    readonly slowdown: number;
}

/** An interval in which an engine turns requests away and says when it ends; it finishes what it runs. */
export interface EnginePause {
    readonly engine: number;
    readonly fromMs: number;
    readonly toMs: number;
}

/** How engines start again after they were unreachable. */
export interface ColdStart {
    /** Time for which an engine is cold after a start. */
    readonly coldMs: number;
    /** Factor on all durations of a cold engine. */
    readonly slowdown: number;
    /** Requests within one second above which a cold engine crashes, with all requests that it runs. */
    readonly maxRequestsPerSecond: number;
    /** Time until an engine that crashed starts again. */
    readonly restartMs: number;
    /** The registry drops an engine that is down and registers its next start. */
    readonly isRegistered: boolean;
}

export interface LoadTrace {
    readonly name: string;
    readonly engineCount: number;
    readonly accountCount: number;
    readonly durationMs: number;
    /** By default `ENGINE_SPEC`. */
    readonly engine?: EngineParameters;
    readonly requestClasses: readonly RequestClass[];
    readonly surges: readonly Surge[];
    readonly engineFaults: readonly EngineFault[];
    readonly enginePauses?: readonly EnginePause[];
    /** Without it, engines start again at their full speed. */
    readonly coldStart?: ColdStart;
    /** Engines that get no new requests from a time on, as all entries learn at once; they finish what they run. */
    readonly engineDepartures?: readonly { readonly engine: number; readonly atMs: number; }[];
}

const URGENT: RequestClass = {
    rank: 0,
    firstEventTargetMs: 250,
    promptTokens: 607,
    events: 12,
    requestsPerSecond: 14,
    utility: 2.5,
    lateUtility: 0.25,
};
const STANDARD: RequestClass = {
    rank: 1,
    firstEventTargetMs: 400,
    promptTokens: 1290,
    events: 21,
    requestsPerSecond: 16,
    utility: 2.3,
    lateUtility: 0.58,
};
const RELAXED: RequestClass = {
    rank: 2,
    firstEventTargetMs: 800,
    promptTokens: 787,
    events: 21,
    requestsPerSecond: 13,
    utility: 1,
    lateUtility: 0.37,
};

/** Engine with 12 slots and 5 tokens per event. */
const SMALL_BATCH_ENGINE: EngineParameters = {
    slots: 12,
    stepMs: 9.27,
    stepMsPerRequest: 0.0387,
    stepMsPerKiloToken: 0.0203,
    prefillTokensPerMs: 20.7,
    prefillMsPerMillionPairs: 0,
    tokensPerEvent: 5,
    meanAnswerTokens: 90,
    layers: 16,
    model: "m",
    chunkCount: 64,
    chunkBytes: 32_768,
    memoryTokens: 317_000,
};

const BASE_TRACE = {
    engineCount: 4,
    accountCount: 10,
    durationMs: 16_000,
    requestClasses: [URGENT, STANDARD, RELAXED],
    surges: [],
    engineFaults: [],
} as const;

/**
 * Three times the base pool at a load just within its capacity, where placement conflicts between entries show most.
 */
const LARGE_POOL_TRACE = {
    ...BASE_TRACE,
    engineCount: 12,
    accountCount: 24,
    requestClasses: BASE_TRACE.requestClasses.map(each => ({
        ...each,
        requestsPerSecond: 3.6 * each.requestsPerSecond,
    })),
} as const;

/** Twelve engines of 12 slots with targets of 402, 402 and 1,003 ms, at three quarters of their capacity. */
const SMALL_BATCH_TRACE = {
    engine: SMALL_BATCH_ENGINE,
    engineCount: 12,
    accountCount: 24,
    durationMs: 16_000,
    requestClasses: [
        { ...URGENT, firstEventTargetMs: 402, requestsPerSecond: 26 },
        { ...STANDARD, firstEventTargetMs: 402, requestsPerSecond: 29 },
        { ...RELAXED, firstEventTargetMs: 1003, requestsPerSecond: 24 },
    ],
    surges: [],
    engineFaults: [],
} as const;

/** A third of the engines of `SMALL_BATCH_TRACE`, each with the time at which it is lost within a second. */
const LOST_THIRD = [0, 1, 2, 3].map(index => ({ engine: 3 * index, atMs: 4000 + 250 * index }));

/** The loss of a third of the engines for 6 s, without notice. */
const LOST_THIRD_TRACE = {
    ...SMALL_BATCH_TRACE,
    engineFaults: LOST_THIRD.map(({ engine, atMs }) => ({ engine, fromMs: atMs, toMs: 10_000, slowdown: Infinity })),
};

/**
 * Engines whose memory holds half of their slots' worth of long prompts, some of them four times as long as the others.
 */
const LITTLE_MEMORY_TRACE = {
    ...BASE_TRACE,
    engine: { ...SMALL_BATCH_ENGINE, memoryTokens: 20_000 },
    requestClasses: [
        { ...URGENT, firstEventTargetMs: 402, requestsPerSecond: 8 },
        { ...STANDARD, firstEventTargetMs: 402, promptTokens: 2000, requestsPerSecond: 8 },
        { ...RELAXED, firstEventTargetMs: 1003, promptTokens: 8000, requestsPerSecond: 2.5 },
    ],
} as const;

/** The large pool at three quarters of its capacity, so that the loss of a third of it is more than the rest can take. */
const BUSY_POOL_TRACE = {
    ...LARGE_POOL_TRACE,
    requestClasses: LARGE_POOL_TRACE.requestClasses.map(each => ({
        ...each,
        requestsPerSecond: each.requestsPerSecond * 3 / 4,
    })),
} as const;

/** A cold engine takes its usual rate, which is 10 requests per second in the large pool, but no rush. */
const COLD_START: ColdStart = {
    coldMs: 2000,
    slowdown: 2.5,
    maxRequestsPerSecond: 25,
    restartMs: 1500,
    isRegistered: true,
};

export const LOAD_TRACES: readonly LoadTrace[] = [
    /** The request rate of the least urgent class triples. */
    { ...BASE_TRACE, name: "burst", surges: [{ fromMs: 4000, toMs: 10_000, rateFactor: 3, rank: RELAXED.rank }] },
    /** The request rate of all classes rises by 80 %, above the capacity of the pool. */
    { ...BASE_TRACE, name: "overload", surges: [{ fromMs: 4000, toMs: 10_000, rateFactor: 1.8 }] },
    /** One account sends as many additional requests as all accounts together. */
    { ...BASE_TRACE, name: "hotAccount", surges: [{ fromMs: 3000, toMs: 13_000, rateFactor: 2, account: "0" }] },
    /** An engine becomes 4.6 times slower without reporting it. */
    { ...BASE_TRACE, name: "slowEngine", engineFaults: [{ engine: 1, fromMs: 4000, toMs: 10_000, slowdown: 4.6 }] },
    /** Engines become four times slower for 1.5 s in turn, as VMs that are shared with other work do. */
    {
        ...BASE_TRACE,
        name: "unsteadyEngines",
        engineFaults: Array.from({ length: 8 }, (_, index) => ({
            engine: index % BASE_TRACE.engineCount,
            fromMs: 2000 + 1500 * index,
            toMs: 3500 + 1500 * index,
            slowdown: 4,
        })),
    },
    /** A large pool at two thirds of its capacity, in which two of twelve engines are always 2.5 times slower. */
    {
        ...LARGE_POOL_TRACE,
        name: "unevenEngines",
        requestClasses: LARGE_POOL_TRACE.requestClasses.map(each => ({
            ...each,
            requestsPerSecond: each.requestsPerSecond * 2 / 3,
        })),
        engineFaults: [0, 6].map(engine => ({ engine, fromMs: 0, toMs: Infinity, slowdown: 2.5 })),
    },
    /** A large pool that runs at its capacity throughout. */
    { ...LARGE_POOL_TRACE, name: "largePool" },
    /** Two engines turn requests away in turn, for a second each time. */
    {
        ...BASE_TRACE,
        name: "pausedEngines",
        enginePauses: Array.from({ length: 6 }, (_, index) => ({
            engine: index % 2,
            fromMs: 2000 + 2000 * index,
            toMs: 3000 + 2000 * index,
        })),
    },
    /** A third of the engines is lost within a second. */
    { ...LOST_THIRD_TRACE, name: "lostThird" },
    /** A third of the engines is evacuated within a second. */
    { ...SMALL_BATCH_TRACE, name: "evacuatedThird", engineDepartures: LOST_THIRD },
    /** A burst of the least urgent class beside the loss of a third of the engines. */
    {
        ...LOST_THIRD_TRACE,
        name: "burstBesideLoss",
        surges: [{ fromMs: 4000, toMs: 10_000, rateFactor: 2.5, rank: RELAXED.rank }],
    },
    /** A burst of the most urgent class beside the loss of a third of the engines. */
    {
        ...LOST_THIRD_TRACE,
        name: "urgentBurstBesideLoss",
        surges: [{ fromMs: 4000, toMs: 10_000, rateFactor: 1.6, rank: URGENT.rank }],
    },
    /** One account sends half of all requests, together 1.5 times the capacity. */
    {
        ...SMALL_BATCH_TRACE,
        name: "halfFromOneAccount",
        surges: [{ fromMs: 3000, toMs: 13_000, rateFactor: 2, account: "0" }],
    },
    /** Two accounts send a quarter of all requests each, together 1.5 times the capacity. */
    {
        ...SMALL_BATCH_TRACE,
        name: "twoHotAccounts",
        surges: ["0", "1"].map(account => ({ fromMs: 3000, toMs: 13_000, rateFactor: 1.5, account })),
    },
    /** One of ten requests of a class has a prompt four times as long, while a third of the engines is evacuated. */
    {
        ...SMALL_BATCH_TRACE,
        name: "largeRequests",
        requestClasses: [
            ...SMALL_BATCH_TRACE.requestClasses,
            { ...STANDARD, firstEventTargetMs: 402, promptTokens: 5000, requestsPerSecond: 3 },
        ],
        engineDepartures: LOST_THIRD,
    },
    /** A second at three times the rate, after which refused callers return. */
    { ...SMALL_BATCH_TRACE, name: "refusedWave", surges: [{ fromMs: 4000, toMs: 5000, rateFactor: 3 }] },
    /** Engines run out of memory before they run out of slots. */
    { ...LITTLE_MEMORY_TRACE, name: "littleMemory" },
    /** An engine fails without notice and recovers. */
    { ...BASE_TRACE, name: "lostEngine", engineFaults: [{ engine: 2, fromMs: 4000, toMs: 9000, slowdown: Infinity }] },
    /** A third of the engines restarts at once, and is cold then. */
    {
        ...BUSY_POOL_TRACE,
        name: "coldRestart",
        engineFaults: [0, 1, 2, 3].map(engine => ({ engine, fromMs: 4000, toMs: 6000, slowdown: Infinity })),
        coldStart: COLD_START,
    },
    /** As before, with short requests: a cold engine takes 1.2 times their usual rate, and crashes above it. */
    {
        ...BASE_TRACE,
        name: "rushedRestart",
        engineCount: 6,
        requestClasses: BASE_TRACE.requestClasses.map(each => ({
            ...each,
            promptTokens: 150,
            events: 3,
            requestsPerSecond: 100,
        })),
        engineFaults: [0, 1].map(engine => ({ engine, fromMs: 4000, toMs: 6000, slowdown: Infinity })),
        coldStart: { coldMs: 2000, slowdown: 1, maxRequestsPerSecond: 60, restartMs: 1500, isRegistered: true },
    },
    /** An engine crashes every 2 s until it stays up, and is cold after each start. */
    {
        ...BUSY_POOL_TRACE,
        name: "flappingEngine",
        engineFaults: Array.from({ length: 4 }, (_, index) => ({
            engine: 2,
            fromMs: 2000 + 2000 * index,
            toMs: 2800 + 2000 * index,
            slowdown: Infinity,
        })),
        coldStart: { ...COLD_START, isRegistered: false },
    },
    /** An engine runs at a quarter of its speed without reporting it. */
    {
        ...BUSY_POOL_TRACE,
        name: "quarterSpeed",
        engineFaults: [{ engine: 1, fromMs: 4000, toMs: 10_000, slowdown: 4 }],
    },
    /** Every 600 ms each engine is three times slower for 100 ms, as VMs that are shared with other work are. */
    {
        ...BUSY_POOL_TRACE,
        name: "noisyEngines",
        engineFaults: Array.from(
            { length: LARGE_POOL_TRACE.engineCount },
            (_, engine) =>
                Array.from({ length: 24 }, (_each, index) => ({
                    engine,
                    fromMs: 1000 + 50 * engine + 600 * index,
                    toMs: 1100 + 50 * engine + 600 * index,
                    slowdown: 3,
                })),
        ).flat(),
    },
];
