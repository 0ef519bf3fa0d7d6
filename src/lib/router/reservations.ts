/**
 * Reserves slots at the owners of servers over UDP, and decides on the reservations of other entries at servers that
 * this entry owns. An owner that doesn't respond costs a short wait once; its servers are then used without
 * reservations for a while.
 */
import {
    type Assignment,
    type ColdLimit,
    createRefusedReservations,
    decideReservation,
    type Dispatcher,
    type EntryIdentity,
    type RouteTable,
    type ServerLoad,
    type ServerPace,
    type ServerRegistry,
    type ServerSpeed,
    type SlotDecision,
    type SlotRequest,
} from "../core/serving/index.js";
import type { ReservationReply, ReservationRequest, SlotRelease } from "../node/peerMessages.js";
import type { ServingMetrics } from "../observability/index.js";

export interface ReservationsOptions {
    readonly self: EntryIdentity;
    readonly dispatcher: Pick<Dispatcher, "inFlight" | "pool">;
    readonly registry: ServerRegistry;
    readonly speed: ServerSpeed;
    readonly coldLimit: Pick<ColdLimit, "grant" | "recordGrant">;
    readonly pace?: Pick<ServerPace, "maxRunning">;
    readonly routeTable: () => RouteTable | undefined;
    /** Sends a message to an entry. Messages may be lost. */
    readonly send: (message: ReservationRequest | ReservationReply | SlotRelease, ip: string) => void;
    readonly metrics: ServingMetrics;
    /** Monotonic clock, in milliseconds. */
    readonly now: () => number;
}

export interface Reservations {
    /**
     * Reserves a slot for the assignment. Resolves with the owner's decision if it refuses, otherwise with `undefined`:
     * if the owner grants it, the assignment needs no reservation, or the owner doesn't respond in time and the request
     * may be sent without a grant.
     */
    reserve(assignment: Assignment, requestId: string): Promise<SlotDecision | undefined>;
    /** Tells the owner that the request is about to leave its server. Call it while the request is still in flight. */
    release(assignment: Assignment, requestId: string): void;
    handleRequest(message: ReservationRequest): void;
    handleReply(message: ReservationReply): void;
    handleRelease(message: SlotRelease): void;
}

/** Several round trips between regions, and a small part of any target time. */
const RESERVATION_TIMEOUT_MS = 40;

/** Time for which no reservations are made at an owner that didn't respond. */
const UNRESPONSIVE_OWNER_PAUSE_MS = 1000;

export function createReservations(options: ReservationsOptions): Reservations {
    const { self, dispatcher, registry, speed, metrics, now } = options;
    const { inFlight } = dispatcher;
    const refused = createRefusedReservations();
    const pending = new Map<number, (reply: ReservationReply) => void>();
    /** Names of owners that didn't respond, with the time until which they aren't asked. */
    const unresponsiveUntil = new Map<string, number>();
    let requestCount = 0;

    async function reserve({ reservation }: Assignment, requestId: string): Promise<SlotDecision | undefined> {
        if (reservation === undefined) return undefined;
        const { owner, slot, requiresGrant } = reservation;
        const askedAt = now();
        const unresponsiveMs = (unresponsiveUntil.get(owner.name) ?? 0) - askedAt;
        if (unresponsiveMs > 0) {
            metrics.reservations.inc({ result: "skipped" });
            return requiresGrant ? withoutGrant(slot, unresponsiveMs) : undefined;
        }
        const id = ++requestCount;
        const { maxFirstEventMs, ...otherFields } = slot;
        options.send({
            kind: "reserve",
            id,
            name: self.name,
            ip: self.ip,
            failureDomain: self.failureDomain,
            ...otherFields,
            maxFirstEventMs: Number.isFinite(maxFirstEventMs) ? maxFirstEventMs : undefined,
            requiresGrant,
        }, owner.ip);
        const reply = await waitForReply(id);
        if (reply === undefined) unresponsiveUntil.set(owner.name, now() + UNRESPONSIVE_OWNER_PAUSE_MS);
        else unresponsiveUntil.delete(owner.name);
        const result = reply === undefined ? "unanswered" : reply.isGranted ? "granted" : "refused";
        metrics.reservations.inc({ result });
        if (reply === undefined) return requiresGrant ? withoutGrant(slot, UNRESPONSIVE_OWNER_PAUSE_MS) : undefined;
        if (reply.isGranted && requiresGrant) options.coldLimit.recordGrant(requestId, askedAt);
        return reply.isGranted ? undefined : reply;
    }

    /** Returns the decision on a reservation whose owner can't grant it. */
    function withoutGrant({ serverId }: SlotRequest, pauseMs: number): SlotDecision {
        const { decoding, prefilling, prefillTokens, contextTokens } = inFlight.loadOf(serverId, now());
        return { isGranted: false, load: [decoding, prefilling, prefillTokens, contextTokens], pauseMs };
    }

    function waitForReply(id: number): Promise<ReservationReply | undefined> {
        return new Promise(resolve => {
            const giveUp = () => {
                pending.delete(id);
                resolve(undefined);
            };
            // A reply that arrived while this process was paused is read first.
            const timer = setTimeout(() => setImmediate(giveUp), RESERVATION_TIMEOUT_MS);
            pending.set(id, reply => {
                clearTimeout(timer);
                pending.delete(id);
                resolve(reply);
            });
        });
    }

    function release({ reservation }: Assignment, requestId: string): void {
        if (reservation === undefined) return;
        const load = inFlight.loadOfRequest(requestId);
        if (load === undefined) return;
        const { name, failureDomain } = self;
        const { serverId } = reservation.slot;
        options.send({ kind: "release", name, failureDomain, serverId, load }, reservation.owner.ip);
    }

    function handleRequest(message: ReservationRequest): void {
        const server = registry.get(message.serverId);
        const service = server === undefined ? undefined : options.routeTable()?.findService(server.service);
        const engine = service?.engine;
        // An owner that doesn't know the server has no reason to refuse.
        let decision: SlotDecision = { isGranted: true, load: [0, 0, 0, 0], pauseMs: 0 };
        if (server !== undefined && service !== undefined && engine !== undefined) {
            const slot = {
                ...message,
                // The other entry may have missed that the server is in a ramp.
                maxRunning: Math.min(
                    message.maxRunning,
                    options.pace?.maxRunning(server.id, now()) ?? message.maxRunning,
                ),
                maxFirstEventMs: message.maxFirstEventMs ?? Number.POSITIVE_INFINITY,
            };
            const slowdown = speed.slowdown(message.serverId, now());
            const isPaused = dispatcher.pool.isPaused(server, now());
            const takeShare = () => message.requiresGrant !== true || options.coldLimit.grant(service, server, now());
            const owned = { engine, slowdown, isPaused, takeShare, refused };
            decision = decideReservation(slot, loadSender(self, message), owned, inFlight, now());
        }
        const { isGranted, load, pauseMs } = decision;
        options.send({ kind: "reserved", id: message.id, isGranted, load: [...load], pauseMs }, message.ip);
    }

    return {
        reserve,
        release,
        handleRequest,
        handleReply: reply => pending.get(reply.id)?.(reply),
        handleRelease: message => {
            const [decoding, prefilling, prefillTokens, contextTokens] = message.load;
            const change: ServerLoad = [-decoding, -prefilling, -prefillTokens, -contextTokens];
            inFlight.recordPeerChange(loadSender(self, message), message.serverId, change, now());
        },
    };
}

/** Returns the name under which an entry's load is reported to this one: its own, or that of its failure domain. */
export function loadSender(
    self: EntryIdentity,
    { name, failureDomain }: { readonly name: string; readonly failureDomain: string; },
): string {
    return failureDomain === self.failureDomain ? name : `${DOMAIN_SENDER_PREFIX}${failureDomain}`;
}

const DOMAIN_SENDER_PREFIX = "domain ";

/** A digest has what the entries of its domain reported with their last heartbeats. */
const DIGEST_LAG_MS = 150;

/** Time that a heartbeat is on its way, at most. */
const HEARTBEAT_LAG_MS = 20;

/** Returns by how much a load report may be older than its arrival, in milliseconds. */
export function reportLagMs(sender: string): number {
    return sender.startsWith(DOMAIN_SENDER_PREFIX) ? DIGEST_LAG_MS : HEARTBEAT_LAG_MS;
}
