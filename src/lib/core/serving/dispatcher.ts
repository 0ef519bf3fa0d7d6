/**
 * Brings requests and backend servers together. It holds the requests that wait, the load of each server and the
 * results so far, and says for each request when it goes where, or that it is refused and when to come back. It
 * performs no I/O; the caller tells it of arrivals, first events, ends and the passing of time.
 */
import { usualFirstEventMs } from "./engineModel.js";
import { createFlights, type Flights } from "./flights.js";
import { type Candidate, type Placement, placeOnEngine, placeOnService } from "./placement.js";
import type { BackendService, EngineFigures } from "./routeTable.js";
import type { ServerHealth } from "./serverHealth.js";
import type { BackendServer, ServerRegistry } from "./serverRegistry.js";
import {
    type Decision,
    judgeWaiting,
    orderWaiting,
    type PoolState,
    Standing,
    standingOf,
    type Waiting,
} from "./waitingRoom.js";
import type { WeightsPolicy } from "./weightsPolicy.js";

export interface DispatchRequest extends Waiting {
    readonly promptTokens: number;
    readonly maxPauseMs: number;
    /** Servers that this request was sent to before. */
    readonly tried: ReadonlySet<string>;
    /** The only version that may continue a stream; `undefined` for a new answer. */
    readonly boundWeights: number | undefined;
}

export interface Assignment {
    readonly server: BackendServer;
    readonly predictedMs: number;
    /** The version that must answer; `undefined` if any that the server holds may. */
    readonly weights: number | undefined;
    /** Time by which the server must have begun, because its weights are outdated after that; `undefined` for none. */
    readonly beginBy: number | undefined;
}

export type Settlement =
    | { readonly kind: "assigned"; readonly assignment: Assignment; }
    | { readonly kind: "refused"; readonly decision: Decision<DispatchRequest>; };

export interface DispatcherOptions {
    readonly registry: ServerRegistry;
    readonly health: ServerHealth;
    readonly weights: WeightsPolicy;
    readonly findService: (name: string) => BackendService | undefined;
    readonly failureDomain: string;
    /** Network delay to a failure domain and back. */
    readonly delayMs: (failureDomain: string) => number;
    /** Entries that share the servers, this one included. */
    readonly entries: () => number;
    readonly random: () => number;
}

export interface Dispatcher {
    /** Adds a request. `settle` is called once, maybe at once, unless the request is withdrawn before. */
    submit(request: DispatchRequest, settle: (verdict: Settlement) => void, now: number): void;
    /** Takes back a request that waits, because its caller left. */
    withdraw(id: string): void;
    /** The first event of a request has arrived. */
    started(id: string, now: number): void;
    /** A request has ended at its server, in whatever way. */
    ended(id: string, now: number): void;
    /** Notes that an engine loads weights and takes no new work until the time. */
    pauseServer(address: string, until: number): void;
    /** Notes the weights that an agent reports, which is earlier than the registry. */
    learnWeights(address: string, startedAt: number, model: string, version: number): void;
    /** Places and refuses whatever is due. */
    tick(now: number): void;
    waiting(): number;
    readonly flights: Flights;
}

/** Part of the slots that a rank may fill; the rest is kept for more urgent work. */
const SLOT_SHARES = [1, 1, 0.9] as const;
const LOWEST_SLOT_SHARE = 0.9;

/** Part of the slots for requests that are late: full batches would make the next ones late as well. */
const LATE_SLOT_SHARE = 0.8;

/** Time over which the rate of late starts is observed. */
const LATE_RATE_WINDOW_MS = 2000;

/** Mean time of a request at an engine before any was seen. */
const INITIAL_DURATION_MS = 1000;
const DURATION_WEIGHT = 0.05;

/** Part of a server's connections that the entries use together; others may connect too. */
const CONNECTION_SHARE = 0.8;

interface Entry {
    readonly request: DispatchRequest;
    readonly settle: (verdict: Settlement) => void;
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { registry, health, weights } = options;
    const flights = createFlights();
    const queue = new Map<string, Entry>();
    const paused = new Map<string, number>();
    const learned = new Map<string, { startedAt: number; model: string; version: number; }>();
    const sentAt = new Map<string, { service: string; at: number; }>();
    const durations = new Map<string, number>();
    const lateStarts: { service: string; at: number; }[] = [];

    function submit(request: DispatchRequest, settle: (verdict: Settlement) => void, now: number): void {
        queue.set(request.id, { request, settle });
        serve(now);
    }

    function serve(now: number): void {
        if (queue.size === 0) return;
        const waiting = [...queue.values()].map(({ request }) => request);
        const standings = new Map(waiting.map(request => [request.id, standingAt(request, now)]));
        const standing = (request: DispatchRequest) => standings.get(request.id) ?? Standing.late;
        const ahead = new Map<string, number>();
        for (const request of orderWaiting(waiting, standing, flights.countOfAccount)) {
            if (tryPlace(request, standing(request), now)) continue;
            const line = `${request.service} ${standing(request)}`;
            const inFront = ahead.get(line) ?? 0;
            const pool = poolState(request, now);
            const decision = judgeWaiting(request, standing(request), inFront, pool, options.random(), now);
            if (decision === undefined) ahead.set(line, inFront + 1);
            else settle(request.id, { kind: "refused", decision });
        }
    }

    function standingAt(request: DispatchRequest, now: number): Standing {
        return standingOf(request, idleFirstEventMs(request), now);
    }

    function idleFirstEventMs(request: DispatchRequest): number {
        const figures = options.findService(request.service)?.engine;
        return figures === undefined ? 0 : usualFirstEventMs(figures, request.promptTokens);
    }

    function tryPlace(request: DispatchRequest, standing: Standing, now: number): boolean {
        const service = options.findService(request.service);
        if (service === undefined) return false;
        const servers = eligibleServers(request, service, now);
        const placement = place(request, standing, service, servers, now);
        const server = servers.find(({ id }) => id === placement?.id);
        if (placement === undefined || server === undefined) return false;
        flights.begin({
            id: request.id,
            serverId: server.id,
            account: request.account,
            promptTokens: request.promptTokens,
            sentAt: now,
            hasStarted: false,
        });
        sentAt.set(request.id, { service: request.service, at: now });
        if (standing === Standing.late) lateStarts.push({ service: request.service, at: now });
        health.sent(server.id, now);
        const held = service.engine === undefined ? undefined : versionAt(server, service.engine.model);
        const assignment = {
            server,
            predictedMs: placement.firstEventMs,
            weights: weightsFor(request, service, now),
            beginBy: service.engine === undefined || held === undefined ?
                undefined :
                weights.beginBy(service.engine.model, held),
        };
        settle(request.id, { kind: "assigned", assignment });
        return true;
    }

    function place(
        request: DispatchRequest,
        standing: Standing,
        service: BackendService,
        servers: readonly BackendServer[],
        now: number,
    ): Placement | undefined {
        const candidates = servers.map(server => candidateOf(server, service, now));
        const dueInMs = request.dueAt - now;
        if (service.engine === undefined) return placeOnService(candidates, dueInMs);
        return placeOnEngine(service.engine, candidates, {
            promptTokens: request.promptTokens,
            dueInMs,
            maxPauseMs: request.maxPauseMs,
            slotShare: standing === Standing.late ?
                LATE_SLOT_SHARE :
                SLOT_SHARES[request.routeRank] ?? LOWEST_SLOT_SHARE,
            mustBeOnTime: standing === Standing.onTime,
        });
    }

    /** Servers that are known, healthy, hold acceptable weights and weren't tried. */
    function eligibleServers(request: DispatchRequest, service: BackendService, now: number): BackendServer[] {
        return registry.usable(service.name, now).filter(server => {
            if (request.tried.has(server.id) || !health.admits(server.id, now)) return false;
            if ((paused.get(server.address) ?? 0) > now) return false;
            return service.engine === undefined || holdsWeights(server, service.engine, request, now);
        });
    }

    function holdsWeights(
        server: BackendServer,
        engine: EngineFigures,
        request: DispatchRequest,
        now: number,
    ): boolean {
        if (!mayAnswer(server, engine, now)) return false;
        return request.boundWeights === undefined || request.boundWeights === versionAt(server, engine.model);
    }

    /** Tells whether the server holds weights that may still answer. */
    function mayAnswer(server: BackendServer, { model }: EngineFigures, now: number): boolean {
        const version = versionAt(server, model);
        return version !== undefined && version >= weights.lowest(model, now);
    }

    /** The agent's word goes before the registry's, as long as it speaks of the same start of the server. */
    function versionAt(server: BackendServer, model: string): number | undefined {
        const word = learned.get(server.address);
        const registered = server.weights?.model === model ? server.weights.version : undefined;
        if (word === undefined || word.model !== model || word.startedAt !== server.startedAt) return registered;
        return Math.max(word.version, registered ?? 0);
    }

    /** Names the version only where another one would be wrong, so that a switch in between refuses nothing. */
    function weightsFor(request: DispatchRequest, service: BackendService, now: number): number | undefined {
        if (request.boundWeights !== undefined || service.engine === undefined) return request.boundWeights;
        const lowest = weights.lowest(service.engine.model, now);
        return lowest > 1 && lowest === weights.newest(service.engine.model) ? lowest : undefined;
    }

    function candidateOf(server: BackendServer, service: BackendService, now: number): Candidate {
        const connections = Math.floor(service.maxConnections * CONNECTION_SHARE / Math.max(1, options.entries()));
        return {
            id: server.id,
            delayMs: options.delayMs(server.failureDomain),
            isLocal: server.failureDomain === options.failureDomain,
            slots: server.slots,
            load: flights.loadOf(server.id, now),
            pace: health.pace(server.id),
            failureShare: health.failureShare(server.id),
            freeConnections: connections - flights.countAt(server.id),
        };
    }

    function poolState(request: DispatchRequest, now: number): PoolState {
        const { service } = request;
        const servers = registry.usable(service, now).filter(({ id }) => {
            return !request.tried.has(id) && health.admits(id, now);
        });
        const figures = options.findService(service)?.engine;
        const ready = figures === undefined ? servers : servers.filter(server => mayAnswer(server, figures, now));
        const busy = ready.reduce((sum, server) => sum + occupied(server, now), 0);
        const slots = ready.reduce((sum, server) => sum + server.slots, 0);
        const durationMs = durations.get(service) ?? INITIAL_DURATION_MS;
        while (lateStarts[0] !== undefined && now - lateStarts[0].at > LATE_RATE_WINDOW_MS) lateStarts.shift();
        const recentlyLate = lateStarts.filter(start => start.service === service).length;
        return {
            servers: ready.length,
            completionsPerSecond: busy * 1000 / durationMs / Math.max(1, options.entries()),
            lateStartsPerSecond: recentlyLate * 1000 / LATE_RATE_WINDOW_MS,
            freeSlots: Math.max(0, slots - busy) / Math.max(1, options.entries()),
            idleFirstEventMs: idleFirstEventMs(request),
        };
    }

    function occupied(server: BackendServer, now: number): number {
        const { writing, reading } = flights.loadOf(server.id, now);
        return writing + reading;
    }

    function settle(id: string, verdict: Settlement): void {
        const entry = queue.get(id);
        queue.delete(id);
        entry?.settle(verdict);
    }

    function ended(id: string, now: number): void {
        const sent = sentAt.get(id);
        if (sent !== undefined) {
            const known = durations.get(sent.service) ?? INITIAL_DURATION_MS;
            durations.set(sent.service, known + DURATION_WEIGHT * (now - sent.at - known));
            sentAt.delete(id);
        }
        flights.end(id);
        serve(now);
    }

    return {
        submit,
        withdraw: id => void queue.delete(id),
        started: (id, now) => {
            flights.start(id);
            serve(now);
        },
        ended,
        pauseServer: (address, until) => void paused.set(address, until),
        learnWeights: (address, startedAt, model, version) => {
            learned.set(address, { startedAt, model, version });
        },
        tick: serve,
        waiting: () => queue.size,
        flights,
    };
}
