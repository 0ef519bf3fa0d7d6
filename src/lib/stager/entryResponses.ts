/**
 * Remembers which entries didn't respond to an agent, so that the next requests don't wait for them too. An entry may have
 * been removed for good while its row stays, or its process stands still and accepts connections all the same.
 */
import VError from "verror";
import { isConnectionRefused } from "../clients/index.js";

export interface EntryResponses {
    /** Records a failed call. An entry that refuses connections is about to start, and is asked again at once. */
    recordFailure(ip: string, error: Error, now: number): void;
    recordSuccess(ip: string): void;
    /** Returns whether the entry should be asked: it responded to the last call, or that was some time ago. */
    mayAsk(ip: string, now: number): boolean;
}

/** Bounds of the time, in milliseconds, for which an entry isn't asked; doubled with each further failure. */
const MIN_PAUSE_MS = 4000;
const MAX_PAUSE_MS = 60_000;

export function createEntryResponses(): EntryResponses {
    const pauses = new Map<string, { readonly durationMs: number; readonly until: number; }>();

    return {
        recordFailure: (ip, error, now) => {
            if (!VError.hasCauseWithName(error, "HttpError") || isConnectionRefused(error)) return;
            const earlier = pauses.get(ip);
            // Calls that were in progress together fail together.
            if (earlier !== undefined && now < earlier.until) return;
            const durationMs = Math.min(MAX_PAUSE_MS, 2 * (earlier?.durationMs ?? MIN_PAUSE_MS / 2));
            pauses.set(ip, { durationMs, until: now + durationMs });
        },
        recordSuccess: ip => void pauses.delete(ip),
        mayAsk: (ip, now) => (pauses.get(ip)?.until ?? now) <= now,
    };
}
