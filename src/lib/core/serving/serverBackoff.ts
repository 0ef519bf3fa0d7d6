/**
 * Backoff that backend servers ask for: a server that turns a request away may say for how long it wants no further
 * ones. That holds for this entry only, and for the incarnation that asked.
 *
 * Unlike the entry's own health checks, this is no estimate: the server isn't probed meanwhile, and the end of the time
 * tells when waiting requests can be sent.
 */
import { incarnationKey, type ServerIncarnation } from "./serverRegistry.js";

export interface ServerBackoff {
    /** Records that a server asked for a backoff. Returns false if one was in progress, which is only prolonged. */
    record(server: ServerIncarnation, durationMs: number, now: number): boolean;
    /** Returns the end of a server's backoff; `undefined` if there is none now. */
    endsAt(server: ServerIncarnation, now: number): number | undefined;
    forgetEnded(now: number): void;
}

/** Limits the effect of a time in a wrong unit. After it, the next refusal may ask for a backoff again. */
const MAX_BACKOFF_MS = 3_600_000;

export function createServerBackoff(): ServerBackoff {
    const endByIncarnation = new Map<string, number>();

    function endsAt(server: ServerIncarnation, now: number): number | undefined {
        if (endByIncarnation.size === 0) return undefined;
        const end = endByIncarnation.get(incarnationKey(server));
        return end === undefined || end <= now ? undefined : end;
    }

    return {
        record: (server, durationMs, now) => {
            const currentEnd = endsAt(server, now);
            const end = now + Math.min(MAX_BACKOFF_MS, durationMs);
            endByIncarnation.set(incarnationKey(server), Math.max(currentEnd ?? end, end));
            return currentEnd === undefined;
        },
        endsAt,
        forgetEnded: now => {
            for (const [key, end] of endByIncarnation) if (end <= now) endByIncarnation.delete(key);
        },
    };
}
