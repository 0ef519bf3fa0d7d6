/**
 * Assigns requests to backend servers. The dispatcher keeps the queue of requests without a server, tracks the load and
 * the recent results of each server, and decides for each request which server it is sent to, or that it is refused and
 * when the caller should retry. It performs no I/O: the caller reports arrivals, first events, ends and the passing of
 * time.
 */
import {
    decideAdmission,
    type PoolState,
    QueueClass,
    queueClassOf,
    type QueuedRequest,
    type Refusal,
    sortQueue,
} from "./admissionControl.js";
import { typicalFirstEventMs } from "./engineModel.js";
import { createInFlightRequests, type InFlightRequests } from "./inFlightRequests.js";
import { type Placement, type PlacementCandidate, placeOnEngine, placeOnService } from "./placement.js";
import type { BackendService, EngineParameters } from "./routeTable.js";
import type { ServerHealth } from "./serverHealth.js";
import type { BackendServer, ServerRegistry } from "./serverRegistry.js";
import type { WeightsPolicy } from "./weightsPolicy.js";

export interface DispatchRequest extends QueuedRequest {
    readonly promptTokens: number;
    readonly maxEventGapMs: number;
    /** Identifiers of the servers to which this request was sent before. */
    readonly triedServerIds: ReadonlySet<string>;
    /** The only version of the weights that may continue a stream; `undefined` for a new answer. */
    readonly requiredVersion: number | undefined;
}

export interface Assignment {
    readonly server: BackendServer;
    readonly predictedFirstEventMs: number;
    /** The version of the weights that must answer; `undefined` if any version that the server holds may. */
    readonly requiredVersion: number | undefined;
    /**
     * Time by which the server must have started the request, because its weights are outdated from then on;
     * `undefined` if there is no such time.
     */
    readonly startDeadline: number | undefined;
}

export type AssignmentResult =
    | { readonly kind: "assigned"; readonly assignment: Assignment; }
    | { readonly kind: "refused"; readonly refusal: Refusal<DispatchRequest>; };

export interface DispatcherOptions {
    readonly registry: ServerRegistry;
    readonly health: ServerHealth;
    readonly weights: WeightsPolicy;
    readonly findService: (name: string) => BackendService | undefined;
    readonly failureDomain: string;
    /** Network round-trip time to a failure domain. */
    readonly roundTripMs: (failureDomain: string) => number;
    /** Number of entries that share the servers, including this one. */
    readonly entryCount: () => number;
    readonly random: () => number;
}

export interface Dispatcher {
    /**
     * Queues a request. `onResult` is called exactly once, possibly before this returns, unless the request is
     * cancelled first.
     */
    submit(request: DispatchRequest, onResult: (result: AssignmentResult) => void, now: number): void;
    /** Removes a queued request whose caller has disconnected. */
    cancel(id: string): void;
    /** Records that the first event of a request has arrived. */
    recordFirstEvent(id: string, now: number): void;
    /** Records that a request has ended at its server, successfully or not. */
    recordEnd(id: string, now: number): void;
    /**
     * Records that the engine at the address loads weights and accepts no new requests until `until`; a time in the
     * past ends the pause.
     */
    pauseServer(address: string, until: number): void;
    /** Records the weights that an agent reports for its engine, which arrive earlier than those in the registry. */
    recordLoadedWeights(address: string, startedAt: number, model: string, version: number): void;
    /**
     * Decides on the queued requests again: places those for which a server is free and refuses those that can't wait
     * any longer. Call it periodically.
     */
    tick(now: number): void;
    queueLength(): number;
    readonly inFlight: InFlightRequests;
}

/**
 * Fraction of a server's slots that requests may fill, indexed by the rank of their route; the rest is reserved for
 * more urgent requests.
 */
const RANK_SLOT_FRACTIONS = [1, 1, 0.9] as const;

/** The fraction for all further ranks. */
const DEFAULT_SLOT_FRACTION = 0.9;

/**
 * Fraction of a server's slots that requests that are already late may fill. Full batches would make the following
 * requests late too.
 */
const LATE_SLOT_FRACTION = 0.8;

/** Window over which the rate of late starts is measured. */
const LATE_START_WINDOW_MS = 2000;

/** Mean duration of a service's requests that is assumed before any was measured. */
const INITIAL_DURATION_MS = 1000;

/** Weight of the newest duration in the moving average. */
const DURATION_SMOOTHING = 0.05;

/** Fraction of a server's connections that all entries use together; other clients may connect too. */
const CONNECTION_FRACTION = 0.8;

interface QueuedItem {
    readonly request: DispatchRequest;
    readonly onResult: (result: AssignmentResult) => void;
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { registry, health, weights } = options;
    const inFlight = createInFlightRequests();
    const queue = new Map<string, QueuedItem>();
    const pausedUntilByAddress = new Map<string, number>();
    const reportedWeightsByAddress = new Map<string, { startedAt: number; model: string; version: number; }>();
    /** Requests at servers, keyed by the request's identifier. */
    const sends = new Map<string, { service: string; sentAt: number; }>();
    const meanDurationMsByService = new Map<string, number>();
    const lateStarts: { service: string; startedAt: number; }[] = [];

    function submit(request: DispatchRequest, onResult: (result: AssignmentResult) => void, now: number): void {
        queue.set(request.id, { request, onResult });
        processQueue(now);
    }

    function processQueue(now: number): void {
        if (queue.size === 0) return;
        const queued = [...queue.values()].map(({ request }) => request);
        const classById = new Map(queued.map(request => [request.id, classOf(request, now)]));
        const classOfRequest = (request: DispatchRequest) => classById.get(request.id) ?? QueueClass.late;
        const waitingByClass = new Map<string, number>();
        for (const request of sortQueue(queued, classOfRequest, inFlight.countForAccount)) {
            if (tryPlace(request, classOfRequest(request), now)) continue;
            const key = `${request.service} ${classOfRequest(request)}`;
            const aheadCount = waitingByClass.get(key) ?? 0;
            const pool = poolState(request, now);
            const refusal = decideAdmission(request, classOfRequest(request), aheadCount, pool, options.random(), now);
            if (refusal === undefined) waitingByClass.set(key, aheadCount + 1);
            else deliverResult(request.id, { kind: "refused", refusal });
        }
    }

    function classOf(request: DispatchRequest, now: number): QueueClass {
        return queueClassOf(request, typicalFirstEventFor(request), now);
    }

    function typicalFirstEventFor(request: DispatchRequest): number {
        const engine = options.findService(request.service)?.engine;
        return engine === undefined ? 0 : typicalFirstEventMs(engine, request.promptTokens);
    }

    function tryPlace(request: DispatchRequest, queueClass: QueueClass, now: number): boolean {
        const service = options.findService(request.service);
        if (service === undefined) return false;
        const servers = eligibleServers(request, service, now);
        const placement = place(request, queueClass, service, servers, now);
        const server = servers.find(({ id }) => id === placement?.id);
        if (placement === undefined || server === undefined) return false;
        inFlight.add({
            id: request.id,
            serverId: server.id,
            account: request.account,
            promptTokens: request.promptTokens,
            sentAt: now,
            hasFirstEvent: false,
        });
        sends.set(request.id, { service: request.service, sentAt: now });
        if (queueClass === QueueClass.late) lateStarts.push({ service: request.service, startedAt: now });
        health.recordSend(server.id, now);
        const version = service.engine === undefined ? undefined : loadedVersion(server, service.engine.model);
        const assignment: Assignment = {
            server,
            predictedFirstEventMs: placement.firstEventMs,
            requiredVersion: requiredVersionFor(request, service, now),
            startDeadline: service.engine === undefined || version === undefined ?
                undefined :
                weights.startDeadline(service.engine.model, version),
        };
        deliverResult(request.id, { kind: "assigned", assignment });
        return true;
    }

    function place(
        request: DispatchRequest,
        queueClass: QueueClass,
        service: BackendService,
        servers: readonly BackendServer[],
        now: number,
    ): Placement | undefined {
        const candidates = servers.map(server => candidateOf(server, service, now));
        const timeToDueMs = request.dueAt - now;
        if (service.engine === undefined) return placeOnService(candidates, timeToDueMs);
        return placeOnEngine(service.engine, candidates, {
            promptTokens: request.promptTokens,
            timeToDueMs,
            maxEventGapMs: request.maxEventGapMs,
            slotFraction: queueClass === QueueClass.late ?
                LATE_SLOT_FRACTION :
                RANK_SLOT_FRACTIONS[request.routeRank] ?? DEFAULT_SLOT_FRACTION,
            mustBeOnTime: queueClass === QueueClass.onTime,
        });
    }

    /**
     * Returns the registered servers that are healthy, aren't loading weights, hold acceptable weights and weren't sent
     * this request before.
     */
    function eligibleServers(request: DispatchRequest, service: BackendService, now: number): BackendServer[] {
        return registry.usable(service.name, now).filter(server => {
            if (request.triedServerIds.has(server.id) || !health.isAvailable(server.id, now)) return false;
            if ((pausedUntilByAddress.get(server.address) ?? 0) > now) return false;
            return service.engine === undefined || hasUsableWeights(server, service.engine, request, now);
        });
    }

    function hasUsableWeights(
        server: BackendServer,
        engine: EngineParameters,
        request: DispatchRequest,
        now: number,
    ): boolean {
        if (!hasAllowedVersion(server, engine, now)) return false;
        return request.requiredVersion === undefined || request.requiredVersion === loadedVersion(server, engine.model);
    }

    /** Returns whether the server holds weights that may still answer requests. */
    function hasAllowedVersion(server: BackendServer, { model }: EngineParameters, now: number): boolean {
        const version = loadedVersion(server, model);
        return version !== undefined && version >= weights.lowestAllowed(model, now);
    }

    /**
     * Returns the newest version of the model that the registry or the agent reports as loaded, or `undefined` if
     * neither does. The agent's report counts only if both describe the same start of the server.
     */
    function loadedVersion(server: BackendServer, model: string): number | undefined {
        const report = reportedWeightsByAddress.get(server.address);
        const registered = server.weights?.model === model ? server.weights.version : undefined;
        if (report === undefined || report.model !== model || report.startedAt !== server.startedAt) return registered;
        return Math.max(report.version, registered ?? 0);
    }

    /**
     * Returns the version that must answer. A version is required only where another one would be wrong, so that a
     * switch between assignment and arrival at the server causes no refusals.
     */
    function requiredVersionFor(request: DispatchRequest, service: BackendService, now: number): number | undefined {
        if (request.requiredVersion !== undefined || service.engine === undefined) return request.requiredVersion;
        const lowestAllowed = weights.lowestAllowed(service.engine.model, now);
        return lowestAllowed > 1 && lowestAllowed === weights.newest(service.engine.model) ? lowestAllowed : undefined;
    }

    function candidateOf(server: BackendServer, service: BackendService, now: number): PlacementCandidate {
        const connectionLimit = Math.floor(
            service.maxConnections * CONNECTION_FRACTION / Math.max(1, options.entryCount()),
        );
        return {
            id: server.id,
            roundTripMs: options.roundTripMs(server.failureDomain),
            isLocal: server.failureDomain === options.failureDomain,
            slots: server.slots,
            load: inFlight.loadOf(server.id, now),
            slowdown: health.slowdown(server.id),
            failureRate: health.failureRate(server.id),
            freeConnections: connectionLimit - inFlight.countAtServer(server.id),
        };
    }

    function poolState(request: DispatchRequest, now: number): PoolState {
        const { service } = request;
        const servers = registry.usable(service, now).filter(({ id }) => {
            return !request.triedServerIds.has(id) && health.isAvailable(id, now);
        });
        const engine = options.findService(service)?.engine;
        const readyServers = engine === undefined ?
            servers :
            servers.filter(server => hasAllowedVersion(server, engine, now));
        const runningRequests = readyServers.reduce((sum, server) => sum + runningCount(server, now), 0);
        const slots = readyServers.reduce((sum, server) => sum + server.slots, 0);
        const durationMs = meanDurationMsByService.get(service) ?? INITIAL_DURATION_MS;
        while (lateStarts[0] !== undefined && now - lateStarts[0].startedAt > LATE_START_WINDOW_MS) lateStarts.shift();
        const recentLateStarts = lateStarts.filter(start => start.service === service).length;
        return {
            serverCount: readyServers.length,
            completionsPerSecond: runningRequests * 1000 / durationMs / Math.max(1, options.entryCount()),
            lateStartsPerSecond: recentLateStarts * 1000 / LATE_START_WINDOW_MS,
            freeSlots: Math.max(0, slots - runningRequests) / Math.max(1, options.entryCount()),
            typicalFirstEventMs: typicalFirstEventFor(request),
        };
    }

    function runningCount(server: BackendServer, now: number): number {
        const { decoding, prefilling } = inFlight.loadOf(server.id, now);
        return decoding + prefilling;
    }

    function deliverResult(id: string, result: AssignmentResult): void {
        const item = queue.get(id);
        queue.delete(id);
        item?.onResult(result);
    }

    function recordEnd(id: string, now: number): void {
        const send = sends.get(id);
        if (send !== undefined) {
            const meanMs = meanDurationMsByService.get(send.service) ?? INITIAL_DURATION_MS;
            meanDurationMsByService.set(send.service, meanMs + DURATION_SMOOTHING * (now - send.sentAt - meanMs));
            sends.delete(id);
        }
        inFlight.remove(id);
        processQueue(now);
    }

    return {
        submit,
        cancel: id => void queue.delete(id),
        recordFirstEvent: (id, now) => {
            inFlight.recordFirstEvent(id);
            processQueue(now);
        },
        recordEnd,
        pauseServer: (address, until) => void pausedUntilByAddress.set(address, until),
        recordLoadedWeights: (address, startedAt, model, version) => {
            reportedWeightsByAddress.set(address, { startedAt, model, version });
        },
        tick: processQueue,
        queueLength: () => queue.size,
        inFlight,
    };
}
