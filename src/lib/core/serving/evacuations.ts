/**
 * Failure domains that the operator evacuates: their servers get no new requests until the operator withdraws the
 * evacuation. Requests in progress go on. The operator's table holds the evacuations; each entry has a replica of it,
 * so an evacuation outlasts restarts of entries and reaches them from their peers while the store is away.
 */

export interface Evacuations {
    /** Records whether a failure domain is evacuated. Returns whether that is news. */
    record(failureDomain: string, isEvacuated: boolean, now: number): boolean;
    isEvacuated(failureDomain: string): boolean;
    /** Returns when the last evacuation of a failure domain was withdrawn; `undefined` if none was. */
    withdrawnAt(failureDomain: string): number | undefined;
    /** Returns the evacuated failure domains in alphabetical order. */
    all(): readonly string[];
}

export function createEvacuations(): Evacuations {
    const evacuated = new Set<string>();
    const withdrawalTimes = new Map<string, number>();

    return {
        record: (failureDomain, isEvacuated, now) => {
            if (evacuated.has(failureDomain) === isEvacuated) return false;
            if (isEvacuated) evacuated.add(failureDomain);
            else {
                evacuated.delete(failureDomain);
                withdrawalTimes.set(failureDomain, now);
            }
            return true;
        },
        isEvacuated: failureDomain => evacuated.has(failureDomain),
        withdrawnAt: failureDomain => withdrawalTimes.get(failureDomain),
        all: () => [...evacuated].toSorted(),
    };
}
