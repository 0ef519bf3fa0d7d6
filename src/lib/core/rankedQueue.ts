/**
 * Priority queue of requests for a backend server, with admission control. More urgent ranks are served first, but
 * each rank has a floor: a minimum fraction of the recent work. Within a rank, clients share capacity by start-time
 * fair queueing: the client with the lowest virtual time is served next, and each request advances its client's
 * virtual time by cost / weight. Costs are estimates in tokens and are corrected when the request ends.
 */
import { type Rank, RANKS } from "./rank.js";

export interface QueueItem<T> {
    readonly id: string;
    readonly rank: Rank;
    readonly client: string;
    /** Estimated cost in tokens. */
    readonly cost: number;
    /** In milliseconds on the same clock as `now`. */
    readonly deadline: number;
    readonly value: T;
}

export interface QueuePolicy {
    /** Minimum fraction of capacity for each rank; the sum is at most 1. */
    readonly floors: Readonly<Record<Rank, number>>;
    /** Weight of each client; 1 for clients that aren't listed. */
    readonly clientWeights: Readonly<Record<string, number>>;
}

/** Policy of a pool without a profile, for example of a plain service. */
export const DEFAULT_QUEUE_POLICY: QueuePolicy = {
    floors: { urgent: 0.5, standard: 0.2, overnight: 0.05 },
    clientWeights: {},
};

export interface RankedQueueOptions {
    /** Called for each decision, because an operator may change the policy. */
    readonly policy: () => QueuePolicy;
    /** Maximum number of queued requests of one client in all ranks together. */
    readonly maxPerClient: number;
    /** Maximum number of queued requests of one rank, which keeps an overload of it from filling the whole queue. */
    readonly maxPerRank: number;
    /** Predicted wait above which a request of the rank is refused. */
    readonly maxWaitMs: Readonly<Record<Rank, number>>;
}

export type OfferResult<T> =
    /** `displaced` is the item that was removed from the longest client queue because the rank was full. */
    | { readonly kind: "queued"; readonly displaced: QueueItem<T> | undefined; }
    | { readonly kind: "refused"; readonly reason: string; readonly retryAfterMs: number; };

/** Returns whether a request of the rank and client may start now. */
export type StartPredicate = (rank: Rank, client: string) => boolean;

export interface RankedQueue<T> {
    /** Queues or refuses an item. The wait is predicted from `tokensPerSecond`, the backend server's current rate. */
    offer(item: QueueItem<T>, now: number, tokensPerSecond: number): OfferResult<T>;
    /** Removes the item to run next among those that may start, and charges its estimated cost. */
    take(now: number, mayStart?: StartPredicate): QueueItem<T> | undefined;
    /** Replaces the estimated cost that `take` charged with the actual cost. */
    correctCost(item: QueueItem<T>, actualCost: number, now: number): void;
    /** Removes a cancelled item; returns whether it was still queued. */
    remove(id: string): boolean;
    /** Removes and returns the items whose deadline has passed. */
    expire(now: number): QueueItem<T>[];
    /** Removes and returns every item. */
    clear(): QueueItem<T>[];
    /** Predicts the wait of a request; if `client` is omitted, for a client without queued requests. */
    predictWaitMs(rank: Rank, now: number, tokensPerSecond: number, client?: string, cost?: number): number;
    readonly length: () => number;
}

interface ClientQueue<T> {
    readonly client: string;
    readonly items: QueueItem<T>[];
    /** Sum of the estimated costs of the queued items. */
    backlogTokens: number;
    /** Start tag of the client's next request, in the rank's virtual time. */
    virtualTime: number;
}

interface RankState<T> {
    readonly clients: Map<string, ClientQueue<T>>;
    /** Start tag of the last request taken; the start tag of clients that were idle. */
    virtualTime: number;
    /** Number of queued items. */
    queued: number;
    backlogTokens: number;
    /** Tokens that the rank is still entitled to under its floor; between about -1 and 1 times one request's cost. */
    creditTokens: number;
    /** Exponentially decaying sum of the work done, in tokens. */
    recentTokens: number;
}

/** Half-life of `recentTokens`: long compared to one request, short compared to changes of the load. */
const RECENT_TOKENS_HALF_LIFE_MS = 5000;

export function createRankedQueue<T>(options: RankedQueueOptions): RankedQueue<T> {
    const ranks = Object.fromEntries(RANKS.map(rank => [rank, createRankState<T>()])) as Record<Rank, RankState<T>>;
    const itemsById = new Map<string, QueueItem<T>>();
    let lastDecayAt = Number.NEGATIVE_INFINITY;

    function offer(item: QueueItem<T>, now: number, tokensPerSecond: number): OfferResult<T> {
        const state = ranks[item.rank];
        const ownQueue = state.clients.get(item.client);
        const waitMs = predictWaitMs(item.rank, now, tokensPerSecond, item.client, item.cost);
        const maxWaitMs = Math.min(options.maxWaitMs[item.rank], item.deadline - now);
        if (countQueued(item.client) >= options.maxPerClient) return refuse("the client's queue is full", waitMs);
        if (waitMs > maxWaitMs) return refuse("the predicted wait exceeds the target of the rank", waitMs - maxWaitMs);
        let displaced: QueueItem<T> | undefined;
        if (state.queued >= options.maxPerRank) {
            const longest = longestQueue(state);
            if (longest === undefined || longest.items.length <= (ownQueue?.items.length ?? 0) + 1) {
                return refuse("the queue of the rank is full", waitMs);
            }
            displaced = longest.items.at(-1);
            if (displaced !== undefined) remove(displaced.id);
        }
        enqueue(state, item);
        return { kind: "queued", displaced };
    }

    function enqueue(state: RankState<T>, item: QueueItem<T>): void {
        let queue = state.clients.get(item.client);
        if (queue === undefined) {
            queue = { client: item.client, items: [], backlogTokens: 0, virtualTime: state.virtualTime };
            state.clients.set(item.client, queue);
        }
        if (queue.items.length === 0) queue.virtualTime = Math.max(queue.virtualTime, state.virtualTime);
        queue.items.push(item);
        itemsById.set(item.id, item);
        updateBacklog(state, queue, item, 1);
    }

    function take(now: number, mayStart: StartPredicate = () => true): QueueItem<T> | undefined {
        decayRecentTokens(now);
        const rank = nextRank(mayStart);
        if (rank === undefined) return undefined;
        const state = ranks[rank];
        const queue = nextClient(state, client => mayStart(rank, client));
        const item = queue?.items.shift();
        if (queue === undefined || item === undefined) return undefined;
        itemsById.delete(item.id);
        updateBacklog(state, queue, item, -1);
        state.virtualTime = Math.max(state.virtualTime, queue.virtualTime);
        queue.virtualTime += item.cost / weightOf(item.client);
        state.recentTokens += item.cost;
        updateCredits(item);
        deleteIdleClients(state);
        return item;
    }

    /** Returns the backlogged rank with the most credit relative to its floor; without credit, the most urgent. */
    function nextRank(mayStart: StartPredicate): Rank | undefined {
        const { floors } = options.policy();
        const backlogged = RANKS.filter(rank => {
            return nextClient(ranks[rank], client => mayStart(rank, client)) !== undefined;
        });
        const withCredit = backlogged.filter(rank => ranks[rank].creditTokens > 0);
        if (withCredit.length === 0) return backlogged[0];
        return withCredit.reduce((best, rank) => {
            return ranks[rank].creditTokens * floors[best] > ranks[best].creditTokens * floors[rank] ? rank : best;
        });
    }

    /**
     * Adds credit to each backlogged rank in proportion to its floor, and charges the item's cost to its rank if that
     * rank had credit. Work beyond the floor isn't charged, so a rank that used idle capacity keeps its floor.
     */
    function updateCredits(item: QueueItem<T>): void {
        const { floors } = options.policy();
        const ownState = ranks[item.rank];
        const usesCredit = ownState.creditTokens > 0;
        for (const rank of RANKS) {
            if (ranks[rank].queued > 0 || rank === item.rank) ranks[rank].creditTokens += floors[rank] * item.cost;
        }
        if (usesCredit) ownState.creditTokens -= item.cost;
    }

    function correctCost(item: QueueItem<T>, actualCost: number, now: number): void {
        decayRecentTokens(now);
        const state = ranks[item.rank];
        const correction = actualCost - item.cost;
        state.recentTokens = Math.max(0, state.recentTokens + correction);
        const queue = state.clients.get(item.client);
        if (queue !== undefined) queue.virtualTime += correction / weightOf(item.client);
    }

    function remove(id: string): boolean {
        const item = itemsById.get(id);
        if (item === undefined) return false;
        const state = ranks[item.rank];
        const queue = state.clients.get(item.client);
        if (queue === undefined) return false;
        queue.items.splice(queue.items.indexOf(item), 1);
        itemsById.delete(id);
        updateBacklog(state, queue, item, -1);
        return true;
    }

    function expire(now: number): QueueItem<T>[] {
        const expired = [...itemsById.values()].filter(item => item.deadline <= now);
        for (const { id } of expired) remove(id);
        return expired;
    }

    function clear(): QueueItem<T>[] {
        const queuedItems = [...itemsById.values()];
        for (const { id } of queuedItems) remove(id);
        return queuedItems;
    }

    function predictWaitMs(rank: Rank, now: number, tokensPerSecond: number, client = "", cost = 1): number {
        decayRecentTokens(now);
        const tokensAhead = tokensAheadOf(ranks[rank], client, cost);
        return tokensAhead === 0 ? 0 : 1000 * tokensAhead / Math.max(1e-6, tokensPerSecond * expectedFraction(rank));
    }

    /** Returns the cost of the requests in a rank that fair queueing serves before a client's next request. */
    function tokensAheadOf(state: RankState<T>, client: string, cost: number): number {
        const ownBacklogTokens = state.clients.get(client)?.backlogTokens ?? 0;
        const weight = weightOf(client);
        let tokensAhead = ownBacklogTokens;
        for (const queue of state.clients.values()) {
            if (queue.client === client) continue;
            tokensAhead += Math.min(queue.backlogTokens, (ownBacklogTokens + cost) * weightOf(queue.client) / weight);
        }
        return tokensAhead;
    }

    /** Estimates the fraction of capacity that a rank gets while the set of backlogged ranks stays the same. */
    function expectedFraction(rank: Rank): number {
        const { floors } = options.policy();
        const index = RANKS.indexOf(rank);
        const lessUrgent = RANKS.slice(index + 1).filter(each => ranks[each].queued > 0);
        const remaining = 1 - lessUrgent.reduce((sum, each) => sum + floors[each], 0);
        if (!RANKS.slice(0, index).some(each => ranks[each].queued > 0)) return Math.max(floors[rank], remaining);
        const totalTokens = RANKS.reduce((sum, each) => sum + ranks[each].recentTokens, 0);
        return Math.max(floors[rank], totalTokens > 0 ? ranks[rank].recentTokens / totalTokens : 0);
    }

    function decayRecentTokens(now: number): void {
        if (now <= lastDecayAt) return;
        const factor = lastDecayAt === Number.NEGATIVE_INFINITY ?
            1 :
            0.5 ** ((now - lastDecayAt) / RECENT_TOKENS_HALF_LIFE_MS);
        lastDecayAt = now;
        for (const rank of RANKS) ranks[rank].recentTokens *= factor;
    }

    function countQueued(client: string): number {
        return RANKS.reduce((sum, rank) => sum + (ranks[rank].clients.get(client)?.items.length ?? 0), 0);
    }

    function weightOf(client: string): number {
        const { clientWeights } = options.policy();
        return Object.hasOwn(clientWeights, client) ? clientWeights[client] ?? 1 : 1;
    }

    return { offer, take, correctCost, remove, expire, clear, predictWaitMs, length: () => itemsById.size };
}

function createRankState<T>(): RankState<T> {
    return { clients: new Map(), virtualTime: 0, queued: 0, backlogTokens: 0, creditTokens: 0, recentTokens: 0 };
}

function updateBacklog<T>(state: RankState<T>, queue: ClientQueue<T>, item: QueueItem<T>, sign: 1 | -1): void {
    queue.backlogTokens += sign * item.cost;
    state.backlogTokens += sign * item.cost;
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

/**
 * Deletes idle clients whose virtual time isn't ahead of the rank's, because they would restart at the rank's anyway.
 */
function deleteIdleClients<T>(state: RankState<T>): void {
    for (const [client, queue] of state.clients) {
        if (queue.items.length === 0 && queue.virtualTime <= state.virtualTime) state.clients.delete(client);
    }
}

function refuse(reason: string, retryAfterMs: number) {
    return { kind: "refused" as const, reason, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.ceil(retryAfterMs)) };
}

const MIN_RETRY_AFTER_MS = 250;
