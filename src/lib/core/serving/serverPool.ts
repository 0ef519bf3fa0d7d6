/**
 * The backend servers of a service as they are at one moment: which of them may get a request, with which weights, and
 * how much load each one carries. Combines the registry, the results of recent requests, the agents' reports and the
 * requests in flight.
 *
 * One snapshot serves all queued requests that are decided together. Under overload the queue is decided again after
 * every event of every stream, and the state of each server would otherwise be computed for each waiting request.
 */
import { type ColdLimit, SendPermission } from "./coldLimit.js";
import type { Evacuations } from "./evacuations.js";
import type { InFlightRequests } from "./inFlightRequests.js";
import type { EntryIdentity } from "./peerEntries.js";
import { maxRunning, type PlacementCandidate } from "./placement.js";
import type { BackendService, EngineParameters } from "./routeTable.js";
import type { ServerBackoff } from "./serverBackoff.js";
import type { ServerHealth } from "./serverHealth.js";
import type { ServerOwnership } from "./serverOwnership.js";
import type { ServerPace } from "./serverPace.js";
import type { BackendServer, ServerRegistry } from "./serverRegistry.js";
import type { ServerSpeed } from "./serverSpeed.js";
import type { WeightsPolicy } from "./weightsPolicy.js";

export interface PoolServer {
    readonly server: BackendServer;
    /** Version of the weights that the server holds; `undefined` if it is unknown or the service has no engine. */
    readonly version: number | undefined;
    /** Accepts new requests now. */
    readonly isUsable: boolean;
    /** Accepts new requests now or as soon as it has loaded weights; false while its failure domain is evacuated. */
    readonly isExpected: boolean;
    /** End of the backoff that the server asked for, if it is expected from then on; `undefined` otherwise. */
    readonly returnsAt: number | undefined;
    /** Another entry that owns the server; `undefined` if this entry or none does. */
    readonly otherOwner: EntryIdentity | undefined;
    /** A request may be sent only if the owner grants a reservation; see `ColdLimit`. */
    readonly requiresGrant: boolean;
    readonly candidate: PlacementCandidate;
    /** Requests that may be at the server if they would be refused otherwise; `undefined` without a limit of its slots. */
    readonly overflowSlots: number | undefined;
}

export interface PoolSnapshot {
    readonly service: BackendService;
    servers(): readonly PoolServer[];
    /** Servers that accept requests now and have a free slot and a free connection; few of them under overload. */
    withCapacity(): readonly PoolServer[];
    /** Servers whose slots are limited, with the limit for requests that would be refused otherwise. */
    withOverflow(): readonly PoolServer[];
    /** Computes the state of a server again, after a request was sent to it. */
    refresh(serverId: string): void;
}

export interface ServerPool {
    takeSnapshot(service: BackendService, now: number): PoolSnapshot;
    /**
     * Records that the engine at the address that started at `startedAt` loads weights and accepts no new requests until
     * `until`; a time in the past ends the pause.
     */
    pauseServer(address: string, startedAt: number, until: number): void;
    /** Returns whether the server, or a later one at its address, loads weights. */
    isPaused(server: BackendServer, now: number): boolean;
    /** Records that the owner of a server refused a reservation; the server isn't used until then. */
    recordRefusedReservation(serverId: string, until: number): void;
    /** Records the weights that an agent reports for its engine, which arrive earlier than those in the registry. */
    recordLoadedWeights(address: string, startedAt: number, model: string, version: number): void;
    /** Forgets what agents reported for engines at addresses that no registered server has. */
    forgetUnregistered(now: number): void;
}

export interface ServerPoolOptions {
    readonly registry: ServerRegistry;
    readonly backoff: ServerBackoff;
    readonly health: ServerHealth;
    readonly speed: ServerSpeed;
    readonly weights: WeightsPolicy;
    readonly evacuations: Pick<Evacuations, "isEvacuated">;
    /** Limits the slots of servers of services with cold servers; without it, no server is limited. */
    readonly pace?: Pick<ServerPace, "allowance"> | undefined;
    readonly inFlight: InFlightRequests;
    /** Without it, requests to cold servers aren't limited. */
    readonly coldLimit?: ColdLimit | undefined;
    readonly ownership: ServerOwnership;
    /** Name of this entry. */
    readonly self: string;
    readonly failureDomain: string;
    /** Network round-trip time to a failure domain. */
    readonly roundTripMs: (failureDomain: string) => number;
    /** Number of entries that share the servers, including this one. */
    readonly entryCount: () => number;
}

/** Fraction of a server's connections that all entries use together; other clients may connect too. */
const CONNECTION_FRACTION = 0.8;

/** Reports of an engine without a registered server are kept this long, because the registry may lag behind. */
const UNREGISTERED_REPORT_MAX_AGE_MS = 30_000;

interface EngineReport {
    readonly startedAt: number;
    readonly model: string;
    readonly version: number;
}

function hasCapacity({ isUsable, candidate }: PoolServer): boolean {
    const { load, freeConnections } = candidate;
    return isUsable && load.decoding + load.prefilling < maxRunning(candidate, 1) && freeConnections > 0;
}

/** Only services that declare cold servers have servers that need a slow start. */
function isPaced({ coldMs, coldRequestsPerSecond }: BackendService): boolean {
    return coldMs > 0 || coldRequestsPerSecond > 0;
}

export function createServerPool(options: ServerPoolOptions): ServerPool {
    const { registry, backoff, health, speed, weights, inFlight } = options;
    const pauseByAddress = new Map<string, { readonly startedAt: number; readonly until: number; }>();
    /** Servers whose owners refused a reservation, with the time until which they aren't used. */
    const refusedUntil = new Map<string, number>();
    const reportByAddress = new Map<string, EngineReport>();
    /** When an address with a report was first seen without a registered server. */
    const unregisteredSince = new Map<string, number>();

    function takeSnapshot(service: BackendService, now: number): PoolSnapshot {
        const connectionLimit = Math.floor(
            service.maxConnections * CONNECTION_FRACTION / Math.max(1, options.entryCount()),
        );
        const servers = registry.usable(service.name, now);
        const owners = options.ownership.ownersOf(servers);
        const { engine } = service;
        const lowestVersion = engine === undefined ? 0 : weights.lowestAllowed(engine.model, now);
        const poolServers = servers.map((server, index) => describe(server, owners[index]));
        let serversWithCapacity: readonly PoolServer[] | undefined;

        function describe(server: BackendServer, owner: EntryIdentity | undefined): PoolServer {
            const version = engine === undefined ? undefined : loadedVersion(server, engine);
            const backoffEnd = backoff.endsAt(server, now);
            const isSound = !options.evacuations.isEvacuated(server.failureDomain) &&
                health.isAvailable(server.id, backoffEnd ?? now) &&
                (engine === undefined || version !== undefined && version >= lowestVersion);
            const isExpected = isSound && backoffEnd === undefined;
            const otherOwner = owner?.name === options.self ? undefined : owner;
            const permission = options.coldLimit?.permission(service, server, now) ?? SendPermission.granted;
            const requiresGrant = permission === SendPermission.onReservation;
            const mayAsk = permission === SendPermission.granted || requiresGrant && otherOwner !== undefined;
            const load = inFlight.loadOf(server.id, now);
            const runningCount = load.decoding + load.prefilling;
            const allowance = isPaced(service) ? options.pace?.allowance(server, runningCount, now) : undefined;
            return {
                server,
                version,
                isUsable: isExpected && mayAsk && !isPaused(server, now) && (refusedUntil.get(server.id) ?? 0) <= now,
                isExpected,
                // An ejected server takes only a single request at first.
                returnsAt: isSound && !health.isEjected(server.id) ? backoffEnd : undefined,
                otherOwner,
                requiresGrant,
                candidate: {
                    id: server.id,
                    roundTripMs: options.roundTripMs(server.failureDomain),
                    isLocal: server.failureDomain === options.failureDomain,
                    slots: server.slots,
                    allowedSlots: allowance?.slots,
                    isOwn: owner === undefined || owner.name === options.self,
                    load,
                    slowdown: speed.slowdown(server.id, now),
                    failureRate: health.failureRate(server.id),
                    freeConnections: connectionLimit - inFlight.countAtServer(server.id),
                },
                overflowSlots: allowance?.overflowSlots,
            };
        }

        return {
            service,
            servers: () => poolServers,
            withCapacity: () => serversWithCapacity ??= poolServers.filter(hasCapacity),
            withOverflow: () =>
                poolServers.flatMap(poolServer => {
                    const { overflowSlots, candidate } = poolServer;
                    if (overflowSlots === undefined) return [];
                    const withLimit = { ...poolServer, candidate: { ...candidate, allowedSlots: overflowSlots } };
                    return hasCapacity(withLimit) ? [withLimit] : [];
                }),
            refresh: serverId => {
                serversWithCapacity = undefined;
                const index = servers.findIndex(({ id }) => id === serverId);
                const server = servers[index];
                if (server === undefined) return;
                poolServers[index] = describe(server, owners[index]);
            },
        };
    }

    function isPaused({ address, startedAt }: BackendServer, now: number): boolean {
        const pause = pauseByAddress.get(address);
        return pause !== undefined && pause.until > now && pause.startedAt >= startedAt;
    }

    /**
     * Returns the newest version of the model that the registry or the agent reports as loaded, or `undefined` if
     * neither does. The agent's report counts only if both describe the same start of the server.
     */
    function loadedVersion(server: BackendServer, { model }: EngineParameters): number | undefined {
        const report = reportByAddress.get(server.address);
        const registered = server.weights?.model === model ? server.weights.version : undefined;
        if (report === undefined || report.model !== model || report.startedAt !== server.startedAt) return registered;
        return Math.max(report.version, registered ?? 0);
    }

    function forgetUnregistered(now: number): void {
        backoff.forgetEnded(now);
        for (const [serverId, until] of refusedUntil) if (until <= now) refusedUntil.delete(serverId);
        const registeredAddresses = new Set(registry.all().map(({ address }) => address));
        for (const address of new Set([...pauseByAddress.keys(), ...reportByAddress.keys()])) {
            if (registeredAddresses.has(address)) unregisteredSince.delete(address);
            else {
                const since = unregisteredSince.get(address) ?? now;
                unregisteredSince.set(address, since);
                if (now - since < UNREGISTERED_REPORT_MAX_AGE_MS) continue;
                pauseByAddress.delete(address);
                reportByAddress.delete(address);
                unregisteredSince.delete(address);
            }
        }
    }

    return {
        takeSnapshot,
        pauseServer: (address, startedAt, until) => void pauseByAddress.set(address, { startedAt, until }),
        recordLoadedWeights: (address, startedAt, model, version) => {
            reportByAddress.set(address, { startedAt, model, version });
        },
        isPaused,
        recordRefusedReservation: (serverId, until) => void refusedUntil.set(serverId, until),
        forgetUnregistered,
    };
}
