/**
 * The backend servers that a process knows, from the platform's registry. A server is one incarnation: its
 * identifier and the time of its start. Addresses are reused, so nothing is looked up by address.
 *
 * An entry that disappears while the registry is disturbed may only have lapsed. Such a server is kept as
 * `doubtful` for the time in which living servers register again. A server that announced that it leaves never
 * becomes usable again under the same incarnation.
 */

/** Weights that an engine holds completely. */
export interface HeldWeights {
    readonly model: string;
    readonly version: number;
}

export interface BackendServer {
    readonly id: string;
    readonly service: string;
    /** IP number and port. */
    readonly address: string;
    readonly failureDomain: string;
    readonly slots: number;
    readonly isLeaving: boolean;
    /** Unix time of the server's start in milliseconds; 0 if unknown. */
    readonly startedAt: number;
    /** How much longer the server stays slow after its start. */
    readonly coldMs: number;
    readonly weights: HeldWeights | undefined;
}

export interface RegistryEntry {
    readonly server: BackendServer;
    /** The entry lapsed at this time and the registry was disturbed then. */
    readonly doubtfulSince: number | undefined;
}

export interface ServerRegistry {
    put(server: BackendServer): void;
    /** `disturbedAt` is the last time at which the registry was seen disturbed; `undefined` for never. */
    remove(id: string, now: number, disturbedAt: number | undefined): void;
    get(id: string): BackendServer | undefined;
    /** Servers of a service that may take new work. */
    usable(service: string, now: number): BackendServer[];
    /** Every known server. */
    all(): BackendServer[];
    /** Forgets doubtful servers whose time is over; returns their identifiers. */
    expire(now: number): string[];
}

/** Living servers are back in the registry within about 2 s of its return; most are there earlier. */
const MAX_DOUBTFUL_MS = 1700;

/** Kept of the time in which a server that left may still get work, for the way of a request. */
const DRAIN_MARGIN_MS = 300;

/**
 * Returns how long a server whose entry lapsed is kept. `drainMs` is the time in which a server that left may still get
 * work, so that a wrong guess sends nothing too late.
 */
export function doubtfulTimeMs(drainMs: number): number {
    return Math.max(0, Math.min(MAX_DOUBTFUL_MS, drainMs - DRAIN_MARGIN_MS));
}

/** Entries that lapsed during a disturbance are missing in the first reads after it. */
export const DISTURBANCE_MEMORY_MS = 1000;

/** `drainMs` returns the time in which a server that left may still get work. */
export function createServerRegistry(drainMs: () => number): ServerRegistry {
    const entries = new Map<string, RegistryEntry>();

    function put(server: BackendServer): void {
        const known = entries.get(server.id)?.server;
        const sameIncarnation = known !== undefined && known.startedAt === server.startedAt;
        const isLeaving = server.isLeaving || (sameIncarnation && known.isLeaving);
        entries.set(server.id, { server: { ...server, isLeaving }, doubtfulSince: undefined });
    }

    function remove(id: string, now: number, disturbedAt: number | undefined): void {
        const known = entries.get(id);
        if (known === undefined) return;
        const mayHaveLapsed = disturbedAt !== undefined && now - disturbedAt < DISTURBANCE_MEMORY_MS;
        if (mayHaveLapsed && !known.server.isLeaving) {
            entries.set(id, { server: known.server, doubtfulSince: known.doubtfulSince ?? now });
        }
        else entries.delete(id);
    }

    function expire(now: number): string[] {
        const gone = [...entries.values()]
            .filter(({ doubtfulSince }) =>
                doubtfulSince !== undefined && now - doubtfulSince >= doubtfulTimeMs(drainMs())
            )
            .map(({ server }) => server.id);
        for (const id of gone) entries.delete(id);
        return gone;
    }

    return {
        put,
        remove,
        get: id => entries.get(id)?.server,
        usable: (service, now) => {
            return [...entries.values()]
                .filter(({ server, doubtfulSince }) => {
                    if (server.service !== service || server.isLeaving) return false;
                    return doubtfulSince === undefined || now - doubtfulSince < doubtfulTimeMs(drainMs());
                })
                .map(({ server }) => server);
        },
        all: () => [...entries.values()].map(({ server }) => server),
        expire,
    };
}
