/**
 * Limits the requests that all entries together send to a cold server in any window of one second. A cold server that
 * gets more requests than it tolerates crashes, and all requests that it holds are lost.
 *
 * The limit of a server is divided into static shares among the known entries of its failure domain, including silent
 * ones. Static shares need no agreement: their sum stays within the limit while entries can't see each other, and right
 * after a common start, when each of them would otherwise believe that it is alone. Entries of other failure domains
 * need a grant of the server's owner, which takes it from its own share.
 *
 * This handles the return of a third of the pool after a loss of power or an evacuation, when every entry sees the same
 * idle servers at once. A warm server may turn cold unnoticed, so a wider limit applies to it too.
 */
import { positionOf } from "../rendezvous.js";
import type { ColdServers } from "./coldServers.js";
import type { EntryIdentity } from "./peerEntries.js";
import type { BackendService } from "./routeTable.js";
import { createSendWindow } from "./sendWindow.js";
import type { BackendServer } from "./serverRegistry.js";

/** Bounds on the requests to a cold server, as factor and addend of the rate that it tolerates. */
export interface ColdBounds {
    /** Factor by which the requests in a window may exceed the rate that a cold server tolerates. */
    readonly overshoot: number;
    /** Requests that a window may have in addition. */
    readonly slack: number;
}

/** How an entry may send a request to a server now. */
export const SendPermission = {
    /** Within this entry's own share. */
    granted: "granted",
    /** Only if the server's owner grants a reservation. */
    onReservation: "onReservation",
    denied: "denied",
} as const;

export type SendPermission = (typeof SendPermission)[keyof typeof SendPermission];

export interface ColdLimitOptions {
    readonly self: EntryIdentity;
    /** Bounds of the settings; `undefined` if requests to cold servers aren't limited. */
    readonly bounds: () => ColdBounds | undefined;
    /** All entries that were heard of and not forgotten, including this one; the same array as long as they are the same. */
    readonly knownEntries: () => readonly EntryIdentity[];
    /** Returns whether the other entries know this one, so that the shares that they use leave room for its own. */
    readonly isKnownToOthers: (now: number) => boolean;
    readonly coldServers: ColdServers;
    /** Returns when the last evacuation of a failure domain was withdrawn; `undefined` if none was. */
    readonly withdrawnAt: (failureDomain: string) => number | undefined;
}

export interface ColdLimit {
    isLimited(service: BackendService): boolean;
    isCold(service: BackendService, server: BackendServer, now: number): boolean;
    permission(service: BackendService, server: BackendServer, now: number): SendPermission;
    /** Takes a place for an assignment; it is held until `recordWrite` or `cancel`. */
    open(sendId: string, serverId: string): void;
    /** Records that the owner granted a reservation for which this entry asked at `askedAt`. */
    recordGrant(sendId: string, askedAt: number): void;
    /** Records that a request is about to be written. Returns false if it must not be, because its grant has lapsed. */
    recordWrite(sendId: string, now: number): boolean;
    /** Releases the place of an assignment for which nothing was written. */
    cancel(sendId: string): void;
    /** Decides as the owner of the server whether an entry without a share may send it a request. */
    grant(service: BackendService, server: BackendServer, now: number): boolean;
    /** Returns the servers of limited services that count as cold. */
    coldAmong(servers: readonly BackendServer[], findService: FindService, now: number): readonly BackendServer[];
    forgetEnded(now: number): void;
}

type FindService = (name: string) => BackendService | undefined;

/** Window of the limit with a margin for the time between the count of a send and its first byte on the network. */
const WINDOW_MS = 1100;

/** A grant must be used within this time, in milliseconds; it covers the opening of a connection. */
const GRANT_VALID_MS = 600;

/** Factor on the share of a server that counts as warm; see the head of this module. */
const WARM_FACTOR = 2;

export function createColdLimit(options: ColdLimitOptions): ColdLimit {
    const { self, coldServers } = options;
    const sends = createSendWindow(WINDOW_MS);
    /** Sends of other entries that this one granted as the owner of a server. */
    const grants = createSendWindow(WINDOW_MS);
    /** Times at which grants lapse, by the send that they are for. */
    const grantEnds = new Map<string, number>();
    /** Shares of this entry by server and limit, for one list of known entries. */
    let shares = new Map<string, number>();
    let shareEntries: readonly EntryIdentity[] | undefined;

    /** Returns how many requests all entries together may send to a cold server in a window; `undefined` for any. */
    function limitOf({ coldRequestsPerSecond }: BackendService): number | undefined {
        const bounds = options.bounds();
        if (bounds === undefined || coldRequestsPerSecond <= 0) return undefined;
        return Math.floor(coldRequestsPerSecond * bounds.overshoot + bounds.slack);
    }

    /** Returns the entries that divide the limit of a server among themselves. */
    function shareholders(service: BackendService, { failureDomain }: BackendServer): readonly EntryIdentity[] {
        const known = options.knownEntries();
        const local = known.filter(entry => entry.failureDomain === failureDomain);
        // Requests to services without an engine aren't reserved at an owner.
        return service.engine === undefined || local.length === 0 ? known : local;
    }

    function shareOf(service: BackendService, server: BackendServer, limit: number): number {
        const entries = options.knownEntries();
        if (entries !== shareEntries) shares = new Map();
        shareEntries = entries;
        const key = `${server.id} ${limit}`;
        let share = shares.get(key);
        if (share === undefined) {
            const names = shareholders(service, server).map(({ name }) => name);
            shares.set(key, share = shareOfLimit(limit, server.id, self.name, names));
        }
        return share;
    }

    function isCold(service: BackendService, server: BackendServer, now: number): boolean {
        const withdrawnAt = options.withdrawnAt(server.failureDomain);
        return coldServers.isCold(server, service.coldMs, withdrawnAt, now);
    }

    function permission(service: BackendService, server: BackendServer, now: number): SendPermission {
        const limit = limitOf(service);
        if (limit === undefined) return SendPermission.granted;
        const cold = isCold(service, server, now);
        const isShareholder = shareholders(service, server).some(({ name }) => name === self.name);
        if (!isShareholder || cold && !options.isKnownToOthers(now)) {
            return service.engine === undefined ? SendPermission.denied : SendPermission.onReservation;
        }
        return usedShare(server, now) < shareOf(service, server, limit) * (cold ? 1 : WARM_FACTOR) ?
            SendPermission.granted :
            SendPermission.denied;
    }

    const usedShare = ({ id }: BackendServer, now: number) => sends.count(id, now) + grants.count(id, now);

    function grant(service: BackendService, server: BackendServer, now: number): boolean {
        const limit = limitOf(service);
        if (limit === undefined) return true;
        const cold = isCold(service, server, now);
        // While the server is warm, the other entries of its failure domain reserve their requests here as well.
        const available = cold ?
            options.isKnownToOthers(now) ? shareOf(service, server, limit) : 0 :
            Math.max(shareOf(service, server, limit), Math.floor(limit / WARM_FACTOR));
        if (usedShare(server, now) >= available) return false;
        grants.hold(server.id, now + GRANT_VALID_MS + WINDOW_MS);
        return true;
    }

    return {
        isLimited: service => limitOf(service) !== undefined,
        isCold,
        permission,
        open: sends.open,
        recordGrant: (sendId, askedAt) => void grantEnds.set(sendId, askedAt + GRANT_VALID_MS),
        recordWrite: (sendId, now) => {
            const grantEnd = grantEnds.get(sendId);
            grantEnds.delete(sendId);
            if (grantEnd !== undefined && now > grantEnd) return false;
            sends.recordWrite(sendId, now);
            return true;
        },
        cancel: sendId => {
            grantEnds.delete(sendId);
            sends.cancel(sendId);
        },
        grant,
        coldAmong: (servers, findService, now) =>
            servers.filter(server => {
                const service = findService(server.service);
                return service !== undefined && limitOf(service) !== undefined && isCold(service, server, now);
            }),
        forgetEnded: now => {
            sends.forgetEnded(now);
            grants.forgetEnded(now);
            coldServers.forgetEnded(now);
        },
    };
}

/**
 * Returns the part of a server's limit that an entry may use. The shares of all entries sum up to the limit. A further
 * entry never increases the share of another one, so entries that haven't heard of it yet leave the sum unchanged.
 */
export function shareOfLimit(limit: number, serverId: string, entry: string, entries: readonly string[]): number {
    const position = positionOf(serverId, entry, entries);
    if (position < 0) return 0;
    const equalShare = Math.floor(limit / entries.length);
    return equalShare + (position < limit % entries.length ? 1 : 0);
}
