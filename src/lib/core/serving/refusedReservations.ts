/**
 * Remembers which requests the owner of a server refused a moment ago for lack of room, so that a slot that becomes
 * free goes to the most urgent of them. Each entry queues its own requests by urgency, but the queues of many entries
 * don't know of each other, and a freed slot would go to whichever entry asks first.
 *
 * This handles a pool at its capacity behind more entries than servers, where most requests come from entries that own
 * no server.
 */

export interface RefusedReservations {
    /** Records that a request was refused for lack of room. A lower `precedence` goes first. */
    record(serverId: string, precedence: number, now: number): void;
    /** Records that a request got a slot; it is probably one of those that were refused. */
    recordGrant(serverId: string, precedence: number): void;
    /** Returns how many requests that go first are expected to ask again. */
    countAhead(serverId: string, precedence: number, now: number): number;
}

/**
 * A refused request asks again after the pause of 50 ms that it was told, at the next of its entry's dispatches, which
 * are 20 ms apart. If it doesn't within this time, in milliseconds, it has found another server.
 */
const ASKS_AGAIN_MS = 120;

export function createRefusedReservations(): RefusedReservations {
    /** Refused requests by server, oldest first. */
    const refused = new Map<string, { readonly precedence: number; readonly at: number; }[]>();

    return {
        record: (serverId, precedence, now) => {
            const recent = refused.get(serverId)?.filter(({ at }) => now - at < ASKS_AGAIN_MS) ?? [];
            refused.set(serverId, [...recent, { precedence, at: now }]);
        },
        recordGrant: (serverId, precedence) => {
            const recent = refused.get(serverId) ?? [];
            const index = recent.findIndex(request => request.precedence === precedence);
            if (index >= 0) recent.splice(index, 1);
            if (recent.length === 0) refused.delete(serverId);
        },
        countAhead: (serverId, precedence, now) => {
            const recent = refused.get(serverId) ?? [];
            return recent.filter(request => now - request.at < ASKS_AGAIN_MS && request.precedence < precedence).length;
        },
    };
}
