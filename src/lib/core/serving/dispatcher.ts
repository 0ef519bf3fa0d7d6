/**
 * Assigns requests to backend servers. The dispatcher keeps the queue of requests without a server, tracks the load and
 * the recent results of each server, and decides for each request which server it is sent to, or that it is refused and
 * when the caller should retry. It performs no I/O: the caller reports arrivals, first events, ends and the passing of
 * time.
 */
import {
    decideAdmission,
    NO_SERVER_RETRY_AFTER_MS,
    type PoolState,
    QueueClass,
    queueClassOf,
    type QueuedRequest,
    type Refusal,
    retryAfterMs,
    sortQueue,
} from "./admissionControl.js";
import type { ColdLimit } from "./coldLimit.js";
import { canEverHold, countThatFit, expectedAnswerTokens } from "./engineMemory.js";
import { typicalFirstEventMs } from "./engineModel.js";
import type { Evacuations } from "./evacuations.js";
import { createInFlightRequests, type InFlightRequests } from "./inFlightRequests.js";
import type { EntryIdentity } from "./peerEntries.js";
import {
    maxRunning,
    type PlacementCandidate,
    type PlacementRequest,
    placeOnEngine,
    placeOnService,
    TARGET_FRACTION,
} from "./placement.js";
import { type AllowedRegions, isAllowedIn } from "./regions.js";
import type { BackendService } from "./routeTable.js";
import type { ServerBackoff } from "./serverBackoff.js";
import type { ServerHealth } from "./serverHealth.js";
import type { ServerOwnership } from "./serverOwnership.js";
import type { ServerPace } from "./serverPace.js";
import { createServerPool, type PoolServer, type PoolSnapshot, type ServerPool } from "./serverPool.js";
import type { BackendServer, ServerRegistry } from "./serverRegistry.js";
import type { ServerSpeed } from "./serverSpeed.js";
import type { SlotDecision, SlotRequest } from "./slotReservations.js";
import type { WeightsPolicy } from "./weightsPolicy.js";

export interface DispatchRequest extends QueuedRequest {
    /** The service at the time of acceptance, for requests that outlast it in the configuration. */
    readonly acceptedService?: BackendService | undefined;
    readonly promptTokens: number;
    /** Expected length of the answer; 0 if the request is no generation. */
    readonly outputTokens: number;
    readonly maxEventGapMs: number;
    /** Identifiers of the servers to which this request was sent before. */
    readonly triedServerIds: ReadonlySet<string>;
    /** The only version of the weights that may continue a stream; `undefined` for a new answer. */
    readonly requiredVersion: number | undefined;
    /** Returns the regions in which the request may be served now; without it, all regions. */
    readonly allowedRegions?: (() => AllowedRegions) | undefined;
}

export interface Assignment {
    readonly server: BackendServer;
    readonly predictedFirstEventMs: number;
    /** Slowdown of the server that the prediction assumed. */
    readonly assumedSlowdown: number;
    /** The version of the weights that must answer; `undefined` if any version that the server holds may. */
    readonly requiredVersion: number | undefined;
    /**
     * Time by which the server must have started the request, because its weights are outdated from then on;
     * `undefined` if there is no such time.
     */
    readonly startDeadline: number | undefined;
    /** The reservation to make before the request is sent; `undefined` if none is needed. */
    readonly reservation: Reservation | undefined;
}

export interface Reservation {
    readonly owner: EntryIdentity;
    readonly slot: SlotRequest;
    /** The request must not be sent without the owner's grant, which it takes from its share; see `ColdLimit`. */
    readonly requiresGrant: boolean;
}

export type AssignmentResult =
    | { readonly kind: "assigned"; readonly assignment: Assignment; }
    | { readonly kind: "refused"; readonly refusal: Refusal<DispatchRequest>; };

export interface DispatcherOptions {
    readonly registry: ServerRegistry;
    readonly backoff: ServerBackoff;
    readonly health: ServerHealth;
    readonly speed: ServerSpeed;
    readonly weights: WeightsPolicy;
    readonly evacuations: Pick<Evacuations, "isEvacuated">;
    /** Without it, requests to cold servers aren't limited. */
    readonly coldLimit?: ColdLimit | undefined;
    readonly pace?: Pick<ServerPace, "allowance"> | undefined;
    readonly ownership: ServerOwnership;
    /** Name of this entry. */
    readonly self: string;
    /** By how much the report of a sender may be older than its arrival, in milliseconds. */
    readonly reportLagMs: (sender: string) => number;
    readonly findService: (name: string) => BackendService | undefined;
    readonly failureDomain: string;
    /** Returns the region of a failure domain; `undefined` if it is unknown. */
    readonly regionOf: (failureDomain: string) => string | undefined;
    /** Network round-trip time to a failure domain. */
    readonly roundTripMs: (failureDomain: string) => number;
    /** Number of entries that share the servers, including this one. */
    readonly entryCount: () => number;
    readonly random: () => number;
    /** Called whenever requests are left in the queue after a decision; `tick` must be called some time later. */
    readonly onWaiting?: () => void;
}

export interface Dispatcher {
    /**
     * Queues a request. `onResult` is called exactly once, possibly before this returns, unless the request is
     * cancelled first.
     */
    submit(request: DispatchRequest, onResult: (result: AssignmentResult) => void, now: number): void;
    /**
     * Assigns a request to a server that is free now and not ejected; it is neither queued nor refused. Returns
     * `undefined` if there is no such server.
     */
    assignNow(request: DispatchRequest, now: number): Assignment | undefined;
    /** Releases an assignment to which nothing was sent. */
    release(id: string, now: number): void;
    /** Removes a queued request whose caller has disconnected. */
    cancel(id: string): void;
    /**
     * Takes an assignment back because the server's owner refused the reservation or, without a refusal, because the
     * server no longer accepts requests. The request can then be submitted again.
     */
    withdraw(id: string, serverId: string, refusal: SlotDecision | undefined, now: number): void;
    /** Returns whether an assigned request may still be sent; time may have passed since the assignment. */
    mayStillSend(server: BackendServer, now: number): boolean;
    /**
     * Returns the delay after which a caller should retry whose request a server refused; `undefined` if other servers
     * accept the request or it is unknown when one will.
     */
    suggestRetryAfterMs(request: DispatchRequest, now: number): number | undefined;
    /** Records that the first event of a request has arrived. */
    recordFirstEvent(id: string, now: number): void;
    /** Records that a request has ended at its server, successfully or not. */
    recordEnd(id: string, now: number): void;
    /**
     * Decides on the queued requests again: places those for which a server is free and refuses those that can't wait
     * any longer. Call it periodically while requests wait.
     */
    tick(now: number): void;
    queueLength(): number;
    readonly inFlight: InFlightRequests;
    readonly pool: Pick<ServerPool, "pauseServer" | "isPaused" | "recordLoadedWeights" | "forgetUnregistered">;
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

/** Ranks that the precedence of a reservation tells apart within a queue class. */
const PRECEDENCES_PER_CLASS = 10;

/** Window over which the rate of late starts is measured. */
const LATE_START_WINDOW_MS = 2000;

/** Mean duration of a service's requests that is assumed before any was measured. */
const INITIAL_DURATION_MS = 1000;

/** Weight of the newest duration in the moving average. */
const DURATION_SMOOTHING = 0.05;

interface QueuedItem {
    readonly request: DispatchRequest;
    readonly onResult: (result: AssignmentResult) => void;
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { registry, backoff, health, weights } = options;
    const inFlight = createInFlightRequests(options.reportLagMs);
    const pool = createServerPool({ ...options, inFlight });
    const queue = new Map<string, QueuedItem>();
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
        const inFlightCountOf = (account: string) => inFlight.countEverywhere(account, now);
        const waitingByClass = new Map<string, number>();
        const snapshots = new Map<string, PoolSnapshot | undefined>();
        for (const request of sortQueue(queued, classOfRequest, inFlightCountOf)) {
            // A result that was delivered in this pass may have led to a decision on this request.
            if (!queue.has(request.id)) continue;
            if (!snapshots.has(request.service)) snapshots.set(request.service, takeSnapshot(serviceOf(request), now));
            const snapshot = snapshots.get(request.service);
            if (snapshot !== undefined && tryPlace(request, classOfRequest(request), snapshot, now)) continue;
            const key = `${request.service} ${classOfRequest(request)}`;
            const aheadCount = waitingByClass.get(key) ?? 0;
            const state = poolState(request, snapshot?.servers() ?? [], now);
            const refusal = decideAdmission(request, classOfRequest(request), aheadCount, state, options.random(), now);
            if (refusal === undefined) waitingByClass.set(key, aheadCount + 1);
            else if (
                refusal.reason === "overloaded" && snapshot !== undefined &&
                tryPlace(request, classOfRequest(request), snapshot, now, snapshot.withOverflow())
            ) continue;
            else deliverResult(request.id, { kind: "refused", refusal });
        }
        if (queue.size > 0) options.onWaiting?.();
    }

    function serviceOf(request: DispatchRequest): BackendService | undefined {
        return options.findService(request.service) ?? request.acceptedService;
    }

    function takeSnapshot(service: BackendService | undefined, now: number): PoolSnapshot | undefined {
        return service === undefined ? undefined : pool.takeSnapshot(service, now);
    }

    function classOf(request: DispatchRequest, now: number): QueueClass {
        return queueClassOf(request, typicalFirstEventFor(request), now);
    }

    function typicalFirstEventFor(request: DispatchRequest): number {
        const engine = serviceOf(request)?.engine;
        return engine === undefined ? 0 : typicalFirstEventMs(engine, request.promptTokens);
    }

    function tryPlace(
        request: DispatchRequest,
        queueClass: QueueClass,
        snapshot: PoolSnapshot,
        now: number,
        poolServers = snapshot.withCapacity(),
    ): boolean {
        const eligible = poolServers.filter(poolServer => isEligible(poolServer, request));
        const assignment = assign(request, queueClass, snapshot, eligible, now);
        if (assignment === undefined) return false;
        deliverResult(request.id, { kind: "assigned", assignment });
        return true;
    }

    function assignNow(request: DispatchRequest, now: number): Assignment | undefined {
        const snapshot = takeSnapshot(serviceOf(request), now);
        if (snapshot === undefined) return undefined;
        // The probe of an ejected server is likely to fail.
        const eligible = snapshot.withCapacity().filter(poolServer => {
            return isEligible(poolServer, request) && !health.isEjected(poolServer.server.id);
        });
        return assign(request, classOf(request, now), snapshot, eligible, now);
    }

    function assign(
        request: DispatchRequest,
        queueClass: QueueClass,
        snapshot: PoolSnapshot,
        eligible: readonly PoolServer[],
        now: number,
    ): Assignment | undefined {
        const { service } = snapshot;
        if (eligible.length === 0) return undefined;
        const constraints = constraintsFor(request, queueClass, now);
        const candidates = eligible.map(({ candidate }) => candidate);
        const placement = service.engine === undefined ?
            placeOnService(candidates, constraints.timeToDueMs) :
            placeOnEngine(service.engine, candidates, constraints);
        const chosen = eligible.find(({ server }) => server.id === placement?.id);
        if (placement === undefined || chosen === undefined) return undefined;
        const { server, version, candidate, otherOwner, requiresGrant } = chosen;
        if (options.coldLimit?.isLimited(service) === true) options.coldLimit.open(request.id, server.id);
        inFlight.add({
            id: request.id,
            serverId: server.id,
            account: request.account,
            promptTokens: request.promptTokens,
            answerTokens: service.engine === undefined ? 0 : expectedAnswerTokens(service.engine, request),
            sentAt: now,
            hasFirstEvent: false,
        });
        sends.set(request.id, { service: request.service, sentAt: now });
        if (queueClass === QueueClass.late) lateStarts.push({ service: request.service, startedAt: now });
        health.recordSend(server.id, now);
        snapshot.refresh(server.id);
        return {
            server,
            predictedFirstEventMs: placement.firstEventMs,
            assumedSlowdown: candidate.slowdown,
            requiredVersion: requiredVersionFor(request, service, now),
            startDeadline: service.engine === undefined || version === undefined ?
                undefined :
                weights.startDeadline(service.engine.model, version),
            reservation: service.engine === undefined || otherOwner === undefined ?
                undefined :
                {
                    owner: otherOwner,
                    slot: {
                        ...slotRequestFor(candidate, constraints),
                        precedence: queueClass * PRECEDENCES_PER_CLASS +
                            Math.min(request.rank, PRECEDENCES_PER_CLASS - 1),
                    },
                    requiresGrant,
                },
        };
    }

    /** Returns whether the request may use the server, which holds acceptable weights and wasn't sent it before. */
    function isEligible({ server, version }: PoolServer, request: DispatchRequest): boolean {
        if (request.triedServerIds.has(server.id) || !isAllowed(server, request)) return false;
        return request.requiredVersion === undefined || request.requiredVersion === version;
    }

    function isAllowed({ failureDomain }: BackendServer, { allowedRegions }: DispatchRequest): boolean {
        return isAllowedIn(allowedRegions?.(), options.regionOf(failureDomain));
    }

    function constraintsFor(request: DispatchRequest, queueClass: QueueClass, now: number): PlacementRequest {
        return {
            promptTokens: request.promptTokens,
            outputTokens: request.outputTokens,
            timeToDueMs: request.dueAt - now,
            timeToExpiryMs: request.expiresAt - now,
            maxEventGapMs: request.maxEventGapMs,
            slotFraction: queueClass === QueueClass.late ?
                LATE_SLOT_FRACTION :
                RANK_SLOT_FRACTIONS[request.routeRank] ?? DEFAULT_SLOT_FRACTION,
            mustBeOnTime: queueClass === QueueClass.onTime,
        };
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

    function poolState(request: DispatchRequest, poolServers: readonly PoolServer[], now: number): PoolState {
        const { service } = request;
        const allowed = poolServers.filter(({ server }) => isAllowed(server, request));
        const untried = allowed.filter(({ server }) => !request.triedServerIds.has(server.id));
        const available = untried.filter(({ isExpected }) => isExpected);
        const expected = available.length > 0 ? available : untried.filter(({ returnsAt }) => returnsAt !== undefined);
        const runningRequests = expected.reduce((sum, { candidate: { load } }) => {
            return sum + load.decoding + load.prefilling;
        }, 0);
        const slots = expected.reduce((sum, { candidate }) => sum + maxRunning(candidate, 1), 0);
        const engine = serviceOf(request)?.engine;
        const fittingCount = engine === undefined ?
            Number.POSITIVE_INFINITY :
            expected.reduce((sum, { candidate: { load } }) => sum + countThatFit(engine, load, request), 0);
        const durationMs = meanDurationMsByService.get(service) ?? INITIAL_DURATION_MS;
        const entryCount = Math.max(1, options.entryCount());
        while (lateStarts[0] !== undefined && now - lateStarts[0].startedAt > LATE_START_WINDOW_MS) lateStarts.shift();
        const recentLateStarts = lateStarts.filter(start => start.service === service).length;
        return {
            serverCount: expected.length,
            untilAvailableMs: available.length > 0 ? 0 : untilReturnMs(expected, now),
            noServerRetryAfterMs: untilReturnMs(allowed, now),
            isRestricted: allowed.length < poolServers.length,
            exceedsMemory: engine !== undefined && !canEverHold(engine, request),
            completionsPerSecond: runningRequests * 1000 / durationMs / entryCount,
            lateStartsPerSecond: recentLateStarts * 1000 / LATE_START_WINDOW_MS,
            freeSlots: Math.min(Math.max(0, slots - runningRequests), fittingCount) / entryCount,
            typicalFirstEventMs: typicalFirstEventFor(request),
        };
    }

    function deliverResult(id: string, result: AssignmentResult): void {
        const item = queue.get(id);
        queue.delete(id);
        item?.onResult(result);
    }

    function withdraw(id: string, serverId: string, refusal: SlotDecision | undefined, now: number): void {
        if (refusal !== undefined) {
            inFlight.recordOwnerLoad(serverId, refusal.load, now);
            pool.recordRefusedReservation(serverId, now + refusal.pauseMs);
        }
        release(id, now);
    }

    function release(id: string, now: number): void {
        options.coldLimit?.cancel(id);
        sends.delete(id);
        inFlight.remove(id);
        processQueue(now);
    }

    function suggestRetryAfterMs(request: DispatchRequest, now: number): number | undefined {
        const poolServers = takeSnapshot(serviceOf(request), now)?.servers() ?? [];
        const servers = poolServers.filter(({ server }) => isAllowed(server, request));
        const isReturnKnown = servers.some(({ returnsAt }) => returnsAt !== undefined);
        if (!isReturnKnown || servers.some(({ isExpected }) => isExpected)) return undefined;
        return retryAfterMs(untilReturnMs(servers, now), request.expiresAt, options.random(), now);
    }

    function recordEnd(id: string, now: number): void {
        options.coldLimit?.cancel(id);
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
        assignNow,
        release,
        cancel: id => void queue.delete(id),
        recordFirstEvent: (id, now) => {
            inFlight.recordFirstEvent(id);
            processQueue(now);
        },
        withdraw,
        mayStillSend: (server, now) =>
            registry.isUsable(server, now) && backoff.endsAt(server, now) === undefined &&
            !options.evacuations.isEvacuated(server.failureDomain),
        suggestRetryAfterMs,
        recordEnd,
        tick: processQueue,
        queueLength: () => queue.size,
        inFlight,
        pool,
    };
}

/** Returns the time until the first server is expected back; one that names no time counts as lost. */
function untilReturnMs(poolServers: readonly PoolServer[], now: number): number {
    const delays = poolServers.map(({ returnsAt }) =>
        returnsAt === undefined ? NO_SERVER_RETRY_AFTER_MS : returnsAt - now
    );
    return delays.length === 0 ? NO_SERVER_RETRY_AFTER_MS : Math.min(...delays);
}

function slotRequestFor(
    candidate: PlacementCandidate,
    { promptTokens, outputTokens, timeToDueMs, slotFraction, mustBeOnTime }: PlacementRequest,
): Omit<SlotRequest, "precedence"> {
    return {
        serverId: candidate.id,
        promptTokens,
        outputTokens,
        maxRunning: maxRunning(candidate, slotFraction),
        maxFirstEventMs: mustBeOnTime ?
            timeToDueMs * TARGET_FRACTION - candidate.roundTripMs :
            Number.POSITIVE_INFINITY,
    };
}
