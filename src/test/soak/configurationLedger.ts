/**
 * Checks that no process goes back to an older configuration. The versions in force are inferred from calls whose keys
 * were added or removed by known versions. It performs no I/O, so that the check itself can be tested.
 */

/** Versions of the configuration that added and removed a key. */
export interface KeyVersions {
    readonly addedIn: number;
    /** `undefined` while the key is active. */
    readonly removedIn: number | undefined;
}

export interface KeyCheck {
    /** Name of the process, a new one after each start. */
    readonly life: string;
    readonly sentAt: number;
    readonly endedAt: number;
    readonly versions: KeyVersions;
    readonly isAccepted: boolean;
}

export interface ConfigurationLedger {
    /** Records that a process accepted or denied a key; returns the violation if it had applied a newer version. */
    record(check: KeyCheck): string | undefined;
}

/** Time after the first effect of a version in which older ones may still be seen (`rollback-slack-ms`). */
const ROLLBACK_SLACK_MS = 250;

export function createConfigurationLedger(): ConfigurationLedger {
    /** For each process, the versions that were seen in force, in the order of both time and version. */
    const seenVersions = new Map<string, { readonly version: number; readonly at: number; }[]>();

    /** Returns the version that was in force at least when the check ended, if the check shows one. */
    function lowestVersion({ versions, isAccepted }: KeyCheck, seenVersion: number): number {
        if (isAccepted) return versions.addedIn;
        const wasAdded = seenVersion >= versions.addedIn;
        return wasAdded && versions.removedIn !== undefined ? versions.removedIn : 0;
    }

    /** Returns the oldest version by which the result of the check is no longer allowed. */
    function limit({ versions, isAccepted }: KeyCheck): number {
        if (isAccepted) return versions.removedIn ?? Number.POSITIVE_INFINITY;
        return versions.removedIn === undefined ? versions.addedIn : Number.POSITIVE_INFINITY;
    }

    return {
        record: check => {
            const { life, sentAt, endedAt, isAccepted } = check;
            const seen = seenVersions.get(life) ?? [];
            seenVersions.set(life, seen);
            const before = seen.findLast(({ at }) => at + ROLLBACK_SLACK_MS < sentAt)?.version ?? 0;
            const newest = seen.at(-1)?.version ?? 0;
            const version = lowestVersion(check, before);
            if (version > newest) seen.push({ version, at: endedAt });
            if (before < limit(check)) return undefined;
            return `${life} regressed: ${isAccepted ? "accepted" : "denied"} a key as before version ${
                limit(check)
            }, ` +
                `after version ${before} had been in force`;
        },
    };
}
