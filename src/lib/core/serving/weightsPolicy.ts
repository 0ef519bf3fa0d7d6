/**
 * Decides which versions of weights may answer. After a version is named, older ones may answer for a while, so
 * that capacity is kept while replicas switch; then only the newest may.
 */

/** How long ago weights were named. */
export interface NamedAge {
    readonly model: string;
    readonly version: number;
    readonly ageMs: number;
}

export interface WeightsPolicy {
    /** Records that a version is named. `isNew` is false if it may have been named long ago. */
    name(model: string, version: number, isNew: boolean, now: number): void;
    /**
     * Takes the word of a neighbour that may have learned of a version earlier, or that knows when it was named
     * though this process has only just started. The earliest word counts.
     */
    learnAge(age: NamedAge, now: number): void;
    /** Returns the ages of versions that are in their time for the switch, for neighbours. */
    ages(now: number): NamedAge[];
    /** Returns the lowest version that may answer a request that is sent now. */
    lowest(model: string, now: number): number;
    /**
     * Returns the time by which a request must have begun on a version that may still answer; `undefined` for the
     * newest one.
     */
    beginBy(model: string, version: number): number | undefined;
    /** Returns the newest named version; 1 for a model of which none was named. */
    newest(model: string): number;
}

/** The weights of a model before the operator names any. */
export const FIRST_WEIGHTS = 1;

/** Time between the naming and the last send to an older version; the rest is kept for waiting at the engine. */
const SWITCH_MARGIN_MS = 900;

/** Kept of that for the way of a cancellation to the engine. */
const CANCEL_MARGIN_MS = 200;

interface Naming {
    readonly version: number;
    /** `undefined` if the version may have been named at any time before. */
    namedAt: number | undefined;
    /** Older versions are refused from then on. */
    dueAt: number;
}

/** `allowedMs` returns the time within which requests must begin on a named version. */
export function createWeightsPolicy(allowedMs: () => number): WeightsPolicy {
    const models = new Map<string, Naming[]>();

    /** A version that was named so long ago may be refused now. */
    const dueAfter = (namedAt: number) => namedAt + Math.max(0, allowedMs() - SWITCH_MARGIN_MS);

    return {
        name: (model, version, isNew, now) => {
            const named = models.get(model) ?? [];
            if (named.some(known => known.version >= version)) return;
            const naming = { version, namedAt: isNew ? now : undefined, dueAt: isNew ? dueAfter(now) : now };
            models.set(model, [...named.slice(-3), naming]);
        },
        learnAge: ({ model, version, ageMs }, now) => {
            const naming = models.get(model)?.find(known => known.version === version);
            const namedAt = now - ageMs;
            if (naming === undefined || namedAt >= (naming.namedAt ?? Number.POSITIVE_INFINITY)) return;
            naming.namedAt = namedAt;
            naming.dueAt = dueAfter(namedAt);
        },
        ages: now => {
            return [...models].flatMap(([model, named]) => {
                return named.flatMap(({ version, namedAt, dueAt }) => {
                    return namedAt === undefined || dueAt < now ? [] : [{ model, version, ageMs: now - namedAt }];
                });
            });
        },
        lowest: (model, now) => {
            const due = (models.get(model) ?? []).filter(({ dueAt }) => dueAt <= now);
            return due.at(-1)?.version ?? FIRST_WEIGHTS;
        },
        beginBy: (model, version) => {
            const newer = (models.get(model) ?? []).find(named => named.version > version);
            return newer === undefined ? undefined : newer.dueAt + SWITCH_MARGIN_MS - CANCEL_MARGIN_MS;
        },
        newest: model => models.get(model)?.at(-1)?.version ?? FIRST_WEIGHTS,
    };
}
