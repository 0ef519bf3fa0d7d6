/**
 * The backend servers that this process knows from the platform's registry. A server is one incarnation, identified by
 * its identifier and start time. Addresses are reused, so servers are never looked up by address.
 *
 * A row that disappears during an outage of the registry may only have lapsed because the server's heartbeats could not
 * be stored. Such a server is kept as suspect for as long as live servers need to register again. A server that has
 * announced that it is leaving, in its row or in a response, never becomes usable again under the same incarnation,
 * even if its row lapses and returns.
 *
 * When the registry is restored from a copy, rows of servers that have ended since come back. An incarnation that was
 * removed or replaced before is therefore used again only if its row outlasts the time after which the registry drops
 * the rows of servers that don't write.
 */

/** Weights that an engine has loaded completely. */
export interface LoadedWeights {
    readonly model: string;
    readonly version: number;
}

export interface BackendServer {
    readonly id: string;
    readonly service: string;
    /** IP address and port. */
    readonly address: string;
    readonly failureDomain: string;
    readonly slots: number;
    readonly isLeaving: boolean;
    /** Time of the server's start in milliseconds since the epoch; 0 if unknown. */
    readonly startedAt: number;
    /** Remaining time for which the server stays slow after its start. */
    readonly remainingWarmupMs: number;
    readonly weights: LoadedWeights | undefined;
}

/** Identifies one start of a server. */
export type ServerIncarnation = Pick<BackendServer, "id" | "startedAt">;

export interface RegisteredServer {
    readonly server: BackendServer;
    /** Time at which the row lapsed during an outage of the registry; `undefined` if it did not. */
    readonly suspectedSince: number | undefined;
}

export interface ServerRegistry {
    put(server: BackendServer): void;
    /**
     * Removes a server, or marks it as suspect if the registry had an outage just before. `lastOutageAt` is the last
     * time at which the registry was seen failing; `undefined` for never.
     */
    remove(id: string, now: number, lastOutageAt: number | undefined): void;
    /**
     * Records that an incarnation announced in a response that it is leaving; it need not be registered. Returns whether
     * that is news.
     */
    markLeaving(server: ServerIncarnation): boolean;
    /** Records that the registry was restored from a copy; call it before its rows are put. */
    recordRestoration(now: number): void;
    /** Returns whether an incarnation is registered, isn't leaving and hasn't been suspect for too long. */
    isUsable(server: BackendServer, now: number): boolean;
    get(id: string): BackendServer | undefined;
    /** Returns the server at an address, if it is the one that started at `startedAt`. */
    findAt(address: string, startedAt: number): BackendServer | undefined;
    /** Returns the servers of a service that may receive new requests; the same array until one changes. */
    usable(service: string, now: number): readonly BackendServer[];
    all(): BackendServer[];
    /** Removes suspect servers whose suspicion timeout has passed and returns their identifiers. */
    expire(now: number): string[];
}

/** Live servers register again within about 2 s of the registry's return, and most of them sooner. */
const MAX_SUSPICION_MS = 1700;

/** Part of the drain time that is reserved for requests that have been sent and not arrived yet. */
const DRAIN_MARGIN_MS = 300;

/**
 * Returns how long a suspect server stays usable. `drainMs` is the time for which a server that left may still receive
 * requests; the timeout stays below it, so that a server that did leave receives no request too late.
 */
export function suspicionTimeoutMs(drainMs: number): number {
    return Math.max(0, Math.min(MAX_SUSPICION_MS, drainMs - DRAIN_MARGIN_MS));
}

/** Time after an outage in which a missing row may have lapsed: such rows are missing in the first reads after it. */
export const OUTAGE_GRACE_MS = 1000;

/** Incarnations that are remembered as leaving or removed without a row; the oldest ones have long ended. */
const MAX_REMEMBERED_INCARNATIONS = 4096;

/** The registry drops the row of a server after three heartbeat intervals of at most 1.5 s without a write. */
const CONFIRMATION_MS = 5000;

/** `drainMs` returns the time for which a server that left may still receive requests. */
export function createServerRegistry(drainMs: () => number): ServerRegistry {
    const registered = new Map<string, RegisteredServer>();
    /** Keys of incarnations that announced that they are leaving, oldest first. */
    const leavingKeys = new Set<string>();
    /** Keys of incarnations that were removed or replaced by a later start, oldest first. */
    const removedKeys = new Set<string>();
    /** Incarnations that were removed before the last restoration, which aren't used until it has confirmed them. */
    let doubtfulKeys: ReadonlySet<string> = new Set();
    let doubtfulUntil = Number.NEGATIVE_INFINITY;
    /** Usable servers by service, and the time at which the first suspicion timeout among them passes. */
    const usableByService = new Map<string, { servers: readonly BackendServer[]; validUntil: number; }>();

    function put(server: BackendServer): void {
        const previous = registered.get(server.id)?.server;
        const isSameIncarnation = previous !== undefined && previous.startedAt === server.startedAt;
        const isLeaving = server.isLeaving || (isSameIncarnation && previous.isLeaving) ||
            leavingKeys.has(incarnationKey(server));
        if (isLeaving) rememberLeaving(server);
        // Engines only load newer weights; an older version is from before a restoration of the registry.
        const weights = isSameIncarnation ? newerWeights(previous.weights, server.weights) : server.weights;
        if (previous !== undefined && !isSameIncarnation) addBounded(removedKeys, incarnationKey(previous));
        registered.set(server.id, { server: { ...server, isLeaving, weights }, suspectedSince: undefined });
        removedKeys.delete(incarnationKey(server));
        usableByService.clear();
    }

    /** Without a start time, incarnations can't be told apart, and a later one would never become usable. */
    function rememberLeaving(server: ServerIncarnation): void {
        if (server.startedAt === 0) return;
        addBounded(leavingKeys, incarnationKey(server));
    }

    function markLeaving(incarnation: ServerIncarnation): boolean {
        const current = registered.get(incarnation.id);
        const isKnown = leavingKeys.has(incarnationKey(incarnation));
        rememberLeaving(incarnation);
        if (current === undefined || current.server.startedAt !== incarnation.startedAt) {
            return !isKnown && incarnation.startedAt !== 0;
        }
        if (current.server.isLeaving) return false;
        registered.set(incarnation.id, { ...current, server: { ...current.server, isLeaving: true } });
        usableByService.clear();
        return true;
    }

    function remove(id: string, now: number, lastOutageAt: number | undefined): void {
        const current = registered.get(id);
        if (current === undefined) return;
        const mayHaveLapsed = lastOutageAt !== undefined && now - lastOutageAt < OUTAGE_GRACE_MS;
        if (mayHaveLapsed && !current.server.isLeaving) {
            registered.set(id, { server: current.server, suspectedSince: current.suspectedSince ?? now });
        }
        else forget(current.server);
        usableByService.clear();
    }

    function forget(server: BackendServer): void {
        registered.delete(server.id);
        addBounded(removedKeys, incarnationKey(server));
    }

    function recordRestoration(now: number): void {
        doubtfulKeys = new Set([...now < doubtfulUntil ? doubtfulKeys : [], ...removedKeys]);
        doubtfulUntil = now + CONFIRMATION_MS;
        usableByService.clear();
    }

    function usable(service: string, now: number): readonly BackendServer[] {
        const known = usableByService.get(service);
        if (known !== undefined && now < known.validUntil) return known.servers;
        const servers: BackendServer[] = [];
        let validUntil = Number.POSITIVE_INFINITY;
        for (const { server, suspectedSince } of registered.values()) {
            if (server.service !== service || server.isLeaving) continue;
            if (suspectedSince !== undefined) {
                const suspectedUntil = suspectedSince + suspicionTimeoutMs(drainMs());
                if (now >= suspectedUntil) continue;
                validUntil = Math.min(validUntil, suspectedUntil);
            }
            if (now < doubtfulUntil && doubtfulKeys.has(incarnationKey(server))) {
                validUntil = Math.min(validUntil, doubtfulUntil);
                continue;
            }
            servers.push(server);
        }
        usableByService.set(service, { servers, validUntil });
        return servers;
    }

    function expire(now: number): string[] {
        const expired = [...registered.values()].filter(({ suspectedSince }) =>
            suspectedSince !== undefined && now - suspectedSince >= suspicionTimeoutMs(drainMs())
        );
        for (const { server } of expired) forget(server);
        if (expired.length > 0) usableByService.clear();
        return expired.map(({ server }) => server.id);
    }

    return {
        put,
        remove,
        markLeaving,
        recordRestoration,
        isUsable: ({ service, id, startedAt }, now) =>
            usable(service, now).some(server => server.id === id && server.startedAt === startedAt),
        get: id => registered.get(id)?.server,
        findAt: (address, startedAt) => {
            for (const { server } of registered.values()) {
                if (server.address === address && server.startedAt === startedAt) return server;
            }
            return undefined;
        },
        usable,
        all: () => [...registered.values()].map(({ server }) => server),
        expire,
    };
}

/** Adds a key, and removes the oldest one if there are too many. */
function addBounded(keys: Set<string>, key: string): void {
    keys.add(key);
    if (keys.size <= MAX_REMEMBERED_INCARNATIONS) return;
    for (const oldestKey of keys) {
        keys.delete(oldestKey);
        return;
    }
}

function newerWeights(earlier: LoadedWeights | undefined, later: LoadedWeights | undefined): LoadedWeights | undefined {
    const isOlder = earlier !== undefined && later !== undefined && earlier.model === later.model &&
        earlier.version > later.version;
    return isOlder ? earlier : later;
}

/** Returns a key that differs between the starts of a server. */
export function incarnationKey({ id, startedAt }: ServerIncarnation): string {
    return `${id} ${startedAt}`;
}
