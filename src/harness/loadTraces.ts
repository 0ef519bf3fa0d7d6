/** Patterns of load at a pool of model engines, as data, for replays without processes. */

/** A kind of request that callers send all the time. */
export interface RequestShape {
    /** 0 is the most urgent. */
    readonly rank: number;
    readonly targetMs: number;
    readonly promptTokens: number;
    readonly events: number;
    readonly perSecond: number;
    /** What an answer in time and a late one are worth to the caller. */
    readonly worth: number;
    readonly lateWorth: number;
}

/** A time in which some requests come more often. */
export interface Surge {
    readonly fromMs: number;
    readonly toMs: number;
    readonly factor: number;
    /** Rank of the kind that surges; all kinds if it is missing. */
    readonly rank?: number;
    /** The account that sends what is more; all accounts if it is missing. */
    readonly account?: string;
}

/** A time in which an engine is slower than declared, or gone. */
export interface EngineTrouble {
    readonly engine: number;
    readonly fromMs: number;
    readonly toMs: number;
    /** Factor by which all times grow; infinite for an engine that is gone. */
    readonly slowness: number;
}

export interface LoadTrace {
    readonly name: string;
    readonly engines: number;
    readonly accounts: number;
    readonly durationMs: number;
    readonly kinds: readonly RequestShape[];
    readonly surges: readonly Surge[];
    readonly troubles: readonly EngineTrouble[];
}

const URGENT: RequestShape = {
    rank: 0,
    targetMs: 250,
    promptTokens: 607,
    events: 12,
    perSecond: 14,
    worth: 2.5,
    lateWorth: 0.25,
};
const STANDARD: RequestShape = {
    rank: 1,
    targetMs: 400,
    promptTokens: 1290,
    events: 21,
    perSecond: 16,
    worth: 2.3,
    lateWorth: 0.58,
};
const RELAXED: RequestShape = {
    rank: 2,
    targetMs: 800,
    promptTokens: 787,
    events: 21,
    perSecond: 13,
    worth: 1,
    lateWorth: 0.37,
};

const USUAL = {
    engines: 4,
    accounts: 10,
    durationMs: 16_000,
    kinds: [URGENT, STANDARD, RELAXED],
    surges: [],
    troubles: [],
} as const;

/** Three times the usual pool under a load that it can just serve, which is where entries get in each other's way. */
const LARGE = {
    ...USUAL,
    engines: 12,
    accounts: 24,
    kinds: USUAL.kinds.map(kind => ({ ...kind, perSecond: 3.6 * kind.perSecond })),
} as const;

export const LOAD_TRACES: readonly LoadTrace[] = [
    /** The least urgent work comes three times as often. */
    { ...USUAL, name: "burst", surges: [{ fromMs: 4000, toMs: 10_000, factor: 3, rank: RELAXED.rank }] },
    /** Everything comes nearly twice as often, more than the pool can serve. */
    { ...USUAL, name: "overload", surges: [{ fromMs: 4000, toMs: 10_000, factor: 1.8 }] },
    /** One account sends as much again as all others together. */
    { ...USUAL, name: "hotAccount", surges: [{ fromMs: 3000, toMs: 13_000, factor: 2, account: "0" }] },
    /** An engine takes nearly five times as long and says nothing. */
    { ...USUAL, name: "slowEngine", troubles: [{ engine: 1, fromMs: 4000, toMs: 10_000, slowness: 4.6 }] },
    /** A large pool at its limit all the time. */
    { ...LARGE, name: "largePool" },
    /** An engine is gone without notice, and comes back. */
    { ...USUAL, name: "lostEngine", troubles: [{ engine: 2, fromMs: 4000, toMs: 9000, slowness: Infinity }] },
];
