/**
 * Decides which versions of weights may answer. After a version is named, older ones may answer for a while, so
 * that capacity is kept while replicas switch; then only the newest may.
 */

export interface WeightsPolicy {
    /** Records that a version is named. `isNew` is false if it may have been named long ago. */
    name(model: string, version: number, isNew: boolean, now: number): void;
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

/** `allowedMs` returns the time within which requests must begin on a named version. */
export function createWeightsPolicy(allowedMs: () => number): WeightsPolicy {
    const models = new Map<string, { version: number; dueAt: number; }[]>();

    return {
        name: (model, version, isNew, now) => {
            const named = models.get(model) ?? [];
            if (named.some(known => known.version >= version)) return;
            const dueAt = isNew ? now + Math.max(0, allowedMs() - SWITCH_MARGIN_MS) : now;
            models.set(model, [...named.slice(-3), { version, dueAt }]);
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
