/**
 * Decides which versions of a model's weights may answer requests. When the operator names a new version, older ones
 * may answer for a limited time, which keeps capacity available while replicas switch; after that only the newest one
 * may.
 */

/** Time since the operator named a version of a model's weights, as sent in heartbeats. */
export interface NamedVersionAge {
    readonly model: string;
    readonly version: number;
    readonly ageMs: number;
}

export interface WeightsPolicy {
    /**
     * Records that a version was named. `isNew` is false if that may have been long ago, as after a restart of this
     * process. Returns false if this or a newer version is already recorded.
     */
    recordNamed(model: string, version: number, isNew: boolean, now: number): boolean;
    /**
     * Merges a peer's report of when a version was named. The peer may have learned of it earlier, or this process may
     * have restarted since, and so may not know the version if a newer one replaced it. The earliest time counts.
     */
    mergePeerAge(age: NamedVersionAge, now: number): void;
    /**
     * Returns the ages of versions for the report to peers: those whose switch period is not over yet, and the newest
     * one before them, which they need to know the lowest version allowed.
     */
    recentAges(now: number): NamedVersionAge[];
    /** Returns the lowest version that may answer a request sent now. */
    lowestAllowed(model: string, now: number): number;
    /** Returns the time by which a request must have started on this version; `undefined` for the newest version. */
    startDeadline(model: string, version: number): number | undefined;
    /** Returns the newest named version, or the initial version if none was named. */
    newest(model: string): number;
}

/** Version of a model's weights before the operator names any. */
export const INITIAL_WEIGHTS_VERSION = 1;

/**
 * Requests stop being sent to an older version this long before its deadline, because they may wait in the engine's
 * queue.
 */
export const SEND_MARGIN_MS = 900;

/** Part of `SEND_MARGIN_MS` that is reserved for a cancellation to reach the engine. */
const CANCEL_MARGIN_MS = 200;

interface NamedVersion {
    readonly version: number;
    /** `undefined` if the version may have been named at any earlier time. */
    readonly namedAt: number | undefined;
    /** Time from which older versions are refused. */
    readonly requiredAt: number;
}

/** `allowedMs` returns the time after a version is named within which requests may still start on older ones. */
export function createWeightsPolicy(allowedMs: () => number): WeightsPolicy {
    /**
     * Named versions of each model, oldest first: the newest one that is required, which is the lowest allowed, and all
     * later ones.
     */
    const namedByModel = new Map<string, NamedVersion[]>();

    /** Returns the time from which a version that was named at `namedAt` is required. */
    const requiredTimeOf = (namedAt: number) => namedAt + Math.max(0, allowedMs() - SEND_MARGIN_MS);

    /**
     * Drops the versions before the newest required one; no deadline of theirs is to come. A version that was named at
     * an unknown time doesn't count, because a peer may report that it isn't required yet.
     */
    function keepRelevant(model: string, named: readonly NamedVersion[], now: number): void {
        const newestRequired = named.findLastIndex(({ namedAt, requiredAt }) => {
            return namedAt !== undefined && requiredAt <= now;
        });
        namedByModel.set(model, named.slice(Math.max(0, newestRequired)));
    }

    return {
        recordNamed: (model, version, isNew, now) => {
            const named = namedByModel.get(model) ?? [];
            if (named.some(earlier => earlier.version >= version)) return false;
            const namedVersion = {
                version,
                namedAt: isNew ? now : undefined,
                requiredAt: isNew ? requiredTimeOf(now) : now,
            };
            keepRelevant(model, [...named, namedVersion], now);
            return true;
        },
        mergePeerAge: ({ model, version, ageMs }, now) => {
            const named = namedByModel.get(model) ?? [];
            const newest = named.at(-1)?.version ?? INITIAL_WEIGHTS_VERSION;
            // A newer version is recorded with its row, which makes the process act on it.
            if (version > newest) return;
            const known = named.find(candidate => candidate.version === version);
            const namedAt = now - ageMs;
            if (namedAt >= (known?.namedAt ?? Number.POSITIVE_INFINITY)) return;
            const namedVersion = { version, namedAt, requiredAt: requiredTimeOf(namedAt) };
            const others = named.filter(candidate => candidate !== known);
            keepRelevant(model, [...others, namedVersion].sort((a, b) => a.version - b.version), now);
        },
        recentAges: now => {
            return [...namedByModel].flatMap(([model, named]) => {
                keepRelevant(model, named, now);
                const hasPending = named.some(({ requiredAt }) => requiredAt > now);
                return (hasPending ? namedByModel.get(model) ?? [] : []).flatMap(({ version, namedAt }) => {
                    return namedAt === undefined ? [] : [{ model, version, ageMs: now - namedAt }];
                });
            });
        },
        lowestAllowed: (model, now) => {
            const required = (namedByModel.get(model) ?? []).filter(({ requiredAt }) => requiredAt <= now);
            return required.at(-1)?.version ?? INITIAL_WEIGHTS_VERSION;
        },
        startDeadline: (model, version) => {
            const newer = (namedByModel.get(model) ?? []).find(named => named.version > version);
            return newer === undefined ? undefined : newer.requiredAt + SEND_MARGIN_MS - CANCEL_MARGIN_MS;
        },
        newest: model => namedByModel.get(model)?.at(-1)?.version ?? INITIAL_WEIGHTS_VERSION,
    };
}
