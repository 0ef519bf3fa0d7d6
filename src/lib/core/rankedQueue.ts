/**
 * The queue before a backend server. Urgent work goes first, but each rank has a floor: a fraction of the
 * recent work that the other ranks can't take. Within a rank, clients share by start-time fair queueing:
 * the client whose virtual time is least goes next, and each request advances its client's virtual time by
 * cost / weight. Costs are estimated in tokens and corrected when the request ends.
 */
import { type Rank, RANKS } from "./rank.js";

export interface QueueItem<T> {
    readonly id: string;
    readonly rank: Rank;
    readonly client: string;
    /** Estimated cost in tokens. */
    readonly cost: number;
    /** Milliseconds on the clock of `now`. */
    readonly deadline: number;
    readonly value: T;
}

export interface QueuePolicy {
    /** Fraction of capacity per rank; the sum is at most 1. */
    readonly floors: Readonly<Record<Rank, number>>;
    /** Weight per client; 1 for clients that aren't listed. */
    readonly clientWeights: Readonly<Record<string, number>>;
}

/** Policy of a pool without a profile, such as a plain service. */
export const DEFAULT_QUEUE_POLICY: QueuePolicy = {
    floors: { urgent: 0.5, standard: 0.2, overnight: 0.05 },
    clientWeights: {},
};

export interface RankedQueueOptions {
    /** Read at each decision, because an operator may change it. */
    readonly policy: () => QueuePolicy;
    readonly maxPerClient: number;
    /** Bound per rank, so that a flood of one rank leaves room for the others. */
    readonly maxPerRank: number;
    /** Predicted wait beyond which a request of the rank is refused. */
    readonly maxWaitMs: Readonly<Record<Rank, number>>;
}

export type Offer<T> =
    /** `displaced` is an item of the client with the longest queue that had to leave a full rank. */
    | { readonly kind: "queued"; readonly displaced: QueueItem<T> | undefined; }
    | { readonly kind: "refused"; readonly reason: string; readonly retryAfterMs: number; };

/** Whether a client's work of a rank may start now. */
export type StartRule = (rank: Rank, client: string) => boolean;

export interface RankedQueue<T> {
    /** `tokensPerSecond` is the current rate of the backend server, from which the wait is predicted. */
    offer(item: QueueItem<T>, now: number, tokensPerSecond: number): Offer<T>;
    /** Takes the item that runs next among those that may start, and charges its estimated cost. */
    take(now: number, mayStart?: StartRule): QueueItem<T> | undefined;
    /** Replaces the estimate that `take` charged by the actual cost. */
    correct(item: QueueItem<T>, actualCost: number, now: number): void;
    /** Removes a cancelled item; returns whether it was still queued. */
    remove(id: string): boolean;
    /** Removes and returns the items whose deadline has passed. */
    expire(now: number): QueueItem<T>[];
    /** Removes and returns every item. */
    clear(): QueueItem<T>[];
    /** Predicted wait of a request; without a client, of one that has nothing queued. */
    predictWaitMs(rank: Rank, now: number, tokensPerSecond: number, client?: string, cost?: number): number;
    readonly length: () => number;
}

interface ClientQueue<T> {
    readonly client: string;
    readonly items: QueueItem<T>[];
    /** Sum of the queued costs. */
    backlog: number;
    /** Start tag of the client's next request in its rank's virtual time. */
    virtualTime: number;
}

interface RankState<T> {
    readonly clients: Map<string, ClientQueue<T>>;
    /** Start tag of the last request taken; a client that was idle starts from here. */
    virtualTime: number;
    queued: number;
    backlog: number;
    /** Tokens that the rank's floor still grants; at least -1 request and at most about 1 request. */
    credit: number;
    /** Recent work in tokens, decaying. */
    served: number;
}

/** Recent work counts half after this time: long against one request, short against a change of load. */
const SERVED_HALF_LIFE_MS = 5000;

export function createRankedQueue<T>(options: RankedQueueOptions): RankedQueue<T> {
    const ranks = Object.fromEntries(RANKS.map(rank => [rank, createRankState<T>()])) as Record<Rank, RankState<T>>;
    const byId = new Map<string, QueueItem<T>>();
    let servedAt = Number.NEGATIVE_INFINITY;

    function offer(item: QueueItem<T>, now: number, tokensPerSecond: number): Offer<T> {
        const state = ranks[item.rank];
        const own = state.clients.get(item.client);
        const wait = predictWaitMs(item.rank, now, tokensPerSecond, item.client, item.cost);
        const maxWait = Math.min(options.maxWaitMs[item.rank], item.deadline - now);
        if (queuedBy(item.client) >= options.maxPerClient) return refused("the client's queue is full", wait);
        if (wait > maxWait) return refused("the predicted wait exceeds the target of the rank", wait - maxWait);
        let displaced: QueueItem<T> | undefined;
        if (state.queued >= options.maxPerRank) {
            const longest = longestQueue(state);
            if (longest === undefined || longest.items.length <= (own?.items.length ?? 0) + 1) {
                return refused("the queue of the rank is full", wait);
            }
            displaced = longest.items.at(-1);
            if (displaced !== undefined) remove(displaced.id);
        }
        append(state, item);
        return { kind: "queued", displaced };
    }

    function append(state: RankState<T>, item: QueueItem<T>): void {
        let queue = state.clients.get(item.client);
        if (queue === undefined) {
            queue = { client: item.client, items: [], backlog: 0, virtualTime: state.virtualTime };
            state.clients.set(item.client, queue);
        }
        if (queue.items.length === 0) queue.virtualTime = Math.max(queue.virtualTime, state.virtualTime);
        queue.items.push(item);
        byId.set(item.id, item);
        account(state, queue, item, 1);
    }

    function take(now: number, mayStart: StartRule = () => true): QueueItem<T> | undefined {
        decay(now);
        const rank = nextRank(mayStart);
        if (rank === undefined) return undefined;
        const state = ranks[rank];
        const queue = nextClient(state, client => mayStart(rank, client));
        const item = queue?.items.shift();
        if (queue === undefined || item === undefined) return undefined;
        byId.delete(item.id);
        account(state, queue, item, -1);
        state.virtualTime = Math.max(state.virtualTime, queue.virtualTime);
        queue.virtualTime += item.cost / weightOf(item.client);
        state.served += item.cost;
        settleCredit(item);
        forgetIdle(state);
        return item;
    }

    /** The backlogged rank with the most unused credit goes first; without any, the most urgent one. */
    function nextRank(mayStart: StartRule): Rank | undefined {
        const { floors } = options.policy();
        const backlogged = RANKS.filter(rank => {
            return nextClient(ranks[rank], client => mayStart(rank, client)) !== undefined;
        });
        const owed = backlogged.filter(rank => ranks[rank].credit > 0);
        if (owed.length === 0) return backlogged[0];
        return owed.reduce((best, rank) => {
            return ranks[rank].credit * floors[best] > ranks[best].credit * floors[rank] ? rank : best;
        });
    }

    /**
     * Work that runs earns each backlogged rank credit by its floor, and a rank that runs on its credit pays.
     * Work beyond the floor isn't paid for: a rank that used idle capacity keeps its floor afterwards.
     */
    function settleCredit(item: QueueItem<T>): void {
        const { floors } = options.policy();
        const own = ranks[item.rank];
        const usesCredit = own.credit > 0;
        for (const rank of RANKS) {
            if (ranks[rank].queued > 0 || rank === item.rank) ranks[rank].credit += floors[rank] * item.cost;
        }
        if (usesCredit) own.credit -= item.cost;
    }

    function correct(item: QueueItem<T>, actualCost: number, now: number): void {
        decay(now);
        const state = ranks[item.rank];
        const difference = actualCost - item.cost;
        state.served = Math.max(0, state.served + difference);
        const queue = state.clients.get(item.client);
        if (queue !== undefined) queue.virtualTime += difference / weightOf(item.client);
    }

    function remove(id: string): boolean {
        const item = byId.get(id);
        if (item === undefined) return false;
        const state = ranks[item.rank];
        const queue = state.clients.get(item.client);
        if (queue === undefined) return false;
        queue.items.splice(queue.items.indexOf(item), 1);
        byId.delete(id);
        account(state, queue, item, -1);
        return true;
    }

    function expire(now: number): QueueItem<T>[] {
        const expired = [...byId.values()].filter(item => item.deadline <= now);
        for (const { id } of expired) remove(id);
        return expired;
    }

    function clear(): QueueItem<T>[] {
        const all = [...byId.values()];
        for (const { id } of all) remove(id);
        return all;
    }

    function predictWaitMs(rank: Rank, now: number, tokensPerSecond: number, client = "", cost = 1): number {
        decay(now);
        const ahead = workAhead(ranks[rank], client, cost);
        return ahead === 0 ? 0 : 1000 * ahead / Math.max(1e-6, tokensPerSecond * shareOf(rank));
    }

    /** Work of a rank that fair queueing serves before the next request of a client. */
    function workAhead(state: RankState<T>, client: string, cost: number): number {
        const own = state.clients.get(client)?.backlog ?? 0;
        const weight = weightOf(client);
        let ahead = own;
        for (const queue of state.clients.values()) {
            if (queue.client === client) continue;
            ahead += Math.min(queue.backlog, (own + cost) * weightOf(queue.client) / weight);
        }
        return ahead;
    }

    /** Fraction of capacity that a rank can count on while the ranks that are backlogged now stay so. */
    function shareOf(rank: Rank): number {
        const { floors } = options.policy();
        const index = RANKS.indexOf(rank);
        const lower = RANKS.slice(index + 1).filter(other => ranks[other].queued > 0);
        const remaining = 1 - lower.reduce((sum, other) => sum + floors[other], 0);
        if (!RANKS.slice(0, index).some(other => ranks[other].queued > 0)) return Math.max(floors[rank], remaining);
        const total = RANKS.reduce((sum, other) => sum + ranks[other].served, 0);
        return Math.max(floors[rank], total > 0 ? ranks[rank].served / total : 0);
    }

    function decay(now: number): void {
        if (now <= servedAt) return;
        const factor = servedAt === Number.NEGATIVE_INFINITY ? 1 : 0.5 ** ((now - servedAt) / SERVED_HALF_LIFE_MS);
        servedAt = now;
        for (const rank of RANKS) ranks[rank].served *= factor;
    }

    function queuedBy(client: string): number {
        return RANKS.reduce((sum, rank) => sum + (ranks[rank].clients.get(client)?.items.length ?? 0), 0);
    }

    function weightOf(client: string): number {
        const { clientWeights } = options.policy();
        return Object.hasOwn(clientWeights, client) ? clientWeights[client] ?? 1 : 1;
    }

    return { offer, take, correct, remove, expire, clear, predictWaitMs, length: () => byId.size };
}

function createRankState<T>(): RankState<T> {
    return { clients: new Map(), virtualTime: 0, queued: 0, backlog: 0, credit: 0, served: 0 };
}

function account<T>(state: RankState<T>, queue: ClientQueue<T>, item: QueueItem<T>, sign: 1 | -1): void {
    queue.backlog += sign * item.cost;
    state.backlog += sign * item.cost;
    state.queued += sign;
}

function nextClient<T>(
    state: RankState<T>,
    mayStart: (client: string) => boolean,
): ClientQueue<T> | undefined {
    let next: ClientQueue<T> | undefined;
    for (const queue of state.clients.values()) {
        if (queue.items.length === 0 || !mayStart(queue.client)) continue;
        if (next === undefined || queue.virtualTime < next.virtualTime) next = queue;
    }
    return next;
}

function longestQueue<T>(state: RankState<T>): ClientQueue<T> | undefined {
    let longest: ClientQueue<T> | undefined;
    for (const queue of state.clients.values()) {
        if (longest === undefined || queue.items.length > longest.items.length) longest = queue;
    }
    return longest;
}

/** A client that is idle and not ahead of the rank's virtual time has no state worth keeping. */
function forgetIdle<T>(state: RankState<T>): void {
    for (const [client, queue] of state.clients) {
        if (queue.items.length === 0 && queue.virtualTime <= state.virtualTime) state.clients.delete(client);
    }
}

function refused(reason: string, retryAfterMs: number) {
    return { kind: "refused" as const, reason, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.ceil(retryAfterMs)) };
}

const MIN_RETRY_AFTER_MS = 250;
