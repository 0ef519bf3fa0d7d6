/**
 * Counts the requests that an entry sends to each server in a sliding window. A place in the window is taken before the
 * request is sent and held until one window after its bytes were written, so that requests which wait for a connection
 * can't exceed the limit when they are all written at once.
 */

export interface SendWindow {
    /** Takes a place for a send that is about to begin. */
    open(sendId: string, serverId: string): void;
    /** Records that the request is being written, from which on its place is held for one window. */
    recordWrite(sendId: string, now: number): void;
    /** Releases the place of a send that wrote nothing; has no effect after `recordWrite`. */
    cancel(sendId: string): void;
    /** Takes a place until a given time, for a send of another entry. */
    hold(serverId: string, until: number): void;
    /** Returns the number of places that are taken at a server. */
    count(serverId: string, now: number): number;
    /** Forgets places that are no longer taken. */
    forgetEnded(now: number): void;
}

/** `windowMs` is the length of the window. */
export function createSendWindow(windowMs: number): SendWindow {
    /** Server of each send that hasn't been written. */
    const openSends = new Map<string, string>();
    const openCounts = new Map<string, number>();
    /** Ends of the places that are held, by server. */
    const heldUntil = new Map<string, number[]>();

    function close(sendId: string): string | undefined {
        const serverId = openSends.get(sendId);
        if (serverId === undefined) return undefined;
        openSends.delete(sendId);
        const remaining = (openCounts.get(serverId) ?? 1) - 1;
        if (remaining > 0) openCounts.set(serverId, remaining);
        else openCounts.delete(serverId);
        return serverId;
    }

    function hold(serverId: string, until: number): void {
        const ends = heldUntil.get(serverId);
        if (ends === undefined) heldUntil.set(serverId, [until]);
        else ends.push(until);
    }

    function trim(serverId: string, now: number): number {
        const ends = heldUntil.get(serverId)?.filter(end => end > now) ?? [];
        if (ends.length > 0) heldUntil.set(serverId, ends);
        else heldUntil.delete(serverId);
        return ends.length;
    }

    return {
        open: (sendId, serverId) => {
            close(sendId);
            openSends.set(sendId, serverId);
            openCounts.set(serverId, (openCounts.get(serverId) ?? 0) + 1);
        },
        recordWrite: (sendId, now) => {
            const serverId = close(sendId);
            if (serverId !== undefined) hold(serverId, now + windowMs);
        },
        cancel: sendId => void close(sendId),
        hold,
        count: (serverId, now) => (openCounts.get(serverId) ?? 0) + trim(serverId, now),
        forgetEnded: now => {
            for (const serverId of heldUntil.keys()) trim(serverId, now);
        },
    };
}
