/**
 * Tells which servers may be cold, that is, may crash at a rate of requests that they tolerate otherwise. A server is
 * cold for some time after a start and can become cold again at any moment. Its row and its responses say so, but the
 * row is a second or two old, so a server also counts as cold whenever it may have started unnoticed: when its row
 * appears, after it couldn't be reached, after the evacuation of its failure domain, and while this process has just
 * started or resumed from a pause.
 */
import { incarnationKey, type ServerIncarnation } from "./serverRegistry.js";

export interface ColdServers {
    /** Records for how much longer a server says that it is cold; 0 changes nothing, because it may be outdated. */
    recordRemaining(server: ServerIncarnation, remainingMs: number, now: number): void;
    /** Records that the server may have started at this moment, without a row or a response that says so. */
    recordPossibleStart(server: ServerIncarnation, now: number): void;
    /** Records that this process knew nothing of the servers until now, after its start or a pause. */
    recordGap(now: number): void;
    /** `coldMs` is the time for which the servers of the service stay cold; `withdrawnAt` is that of an evacuation. */
    isCold(server: ServerIncarnation, coldMs: number, withdrawnAt: number | undefined, now: number): boolean;
    forgetEnded(now: number): void;
}

/** A server that couldn't be reached may be down for a while before it starts. Entries probe it within this time. */
const UNNOTICED_START_MS = 4000;

/** Records that are older than any time for which a server stays cold. */
const MAX_AGE_MS = 60_000;

export function createColdServers(startedAt: number): ColdServers {
    const coldUntil = new Map<string, number>();
    const possibleStarts = new Map<string, number>();
    let lastGapAt = startedAt;

    return {
        recordRemaining: (server, remainingMs, now) => {
            if (remainingMs <= 0) return;
            const key = incarnationKey(server);
            coldUntil.set(key, Math.max(coldUntil.get(key) ?? 0, now + Math.min(remainingMs, MAX_AGE_MS)));
        },
        recordPossibleStart: (server, now) => void possibleStarts.set(incarnationKey(server), now),
        recordGap: now => {
            lastGapAt = now;
        },
        isCold: (server, coldMs, withdrawnAt, now) => {
            if (now < lastGapAt + coldMs) return true;
            if (withdrawnAt !== undefined && now < withdrawnAt + coldMs) return true;
            const key = incarnationKey(server);
            if (now < (coldUntil.get(key) ?? 0)) return true;
            const possibleStart = possibleStarts.get(key);
            return possibleStart !== undefined && now < possibleStart + UNNOTICED_START_MS + coldMs;
        },
        forgetEnded: now => {
            for (const [key, until] of coldUntil) if (until <= now) coldUntil.delete(key);
            for (const [key, at] of possibleStarts) if (now - at > MAX_AGE_MS) possibleStarts.delete(key);
        },
    };
}
