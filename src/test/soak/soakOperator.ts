/**
 * The soak's operator: adds and removes API keys with each new configuration, and writes again what the store lost in a
 * restoration.
 */
import { configurationRow } from "../platform/fakeRunner.js";
import type { KeyVersions } from "./configurationLedger.js";
import type { SoakRandom } from "./soakRandom.js";
import type { SoakStore } from "./soakStore.js";

export interface ApiKey extends KeyVersions {
    readonly key: string;
    readonly account: string;
    /** Time at which the store acknowledged the addition; infinity while it is lost. */
    readonly addedAt: number;
    /** Time at which the store acknowledged the removal; infinity while it is lost, `undefined` for an active key. */
    readonly revokedAt: number | undefined;
}

export interface SoakOperator {
    /** Returns all keys, also removed ones. */
    keys(): readonly ApiKey[];
    addKey(): void;
    /** Removes one of the active keys if there are more than three. */
    revokeKey(): void;
    /** Writes the configuration with all active keys as a new version. */
    writeConfiguration(): void;
    /** Records that a restoration took the store back to an earlier version. */
    recordRestoration(restoredVersion: number): void;
    /** Writes the newest version again, if the store has lost it. */
    writeAgain(): void;
}

const MIN_ACTIVE_KEY_COUNT = 3;

export function createSoakOperator(store: SoakStore, random: SoakRandom, nextSerial: () => number): SoakOperator {
    const keys: { -readonly [Name in keyof ApiKey]: ApiKey[Name]; }[] = [];
    let version = 0;
    let storedVersion = 0;
    const activeKeys = () => keys.filter(({ removedIn }) => removedIn === undefined);

    /** Writes the newest version. What the store didn't have before is acknowledged by this. */
    function write(): void {
        const tenants = activeKeys().map(({ key, account }) => ({ name: account, "api-keys": [key] }));
        store.fake.put("op", "config", configurationRow(version, { tenants }));
        const at = performance.now();
        for (const key of keys) {
            if (key.addedIn > storedVersion) key.addedAt = at;
            if ((key.removedIn ?? 0) > storedVersion) key.revokedAt = at;
        }
        storedVersion = version;
    }

    return {
        keys: () => keys,
        addKey: () => {
            const serial = nextSerial();
            keys.push({
                key: `key-${serial}`,
                account: `account-${serial}`,
                addedIn: version + 1,
                addedAt: performance.now(),
                removedIn: undefined,
                revokedAt: undefined,
            });
        },
        revokeKey: () => {
            if (activeKeys().length <= MIN_ACTIVE_KEY_COUNT) return;
            const key = random.pick(activeKeys());
            key.removedIn = version + 1;
            key.revokedAt = performance.now();
        },
        writeConfiguration: () => {
            version += 1 + Math.floor(random.next() * 3);
            write();
        },
        recordRestoration: restoredVersion => {
            storedVersion = restoredVersion;
            for (const key of keys) {
                if (key.addedIn > storedVersion) key.addedAt = Number.POSITIVE_INFINITY;
                if ((key.removedIn ?? 0) > storedVersion) key.revokedAt = Number.POSITIVE_INFINITY;
            }
        },
        writeAgain: () => {
            if (storedVersion < version) write();
        },
    };
}
