/** The soak's operator: adds and removes API keys with each new configuration. */
import { configurationRow } from "../platform/fakeRunner.js";
import type { SoakRandom } from "./soakRandom.js";
import type { SoakStore } from "./soakStore.js";

export interface ApiKey {
    readonly key: string;
    readonly account: string;
    readonly addedAt: number;
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
}

const MIN_ACTIVE_KEY_COUNT = 3;

export function createSoakOperator(store: SoakStore, random: SoakRandom, nextSerial: () => number): SoakOperator {
    const keys: { -readonly [Name in keyof ApiKey]: ApiKey[Name]; }[] = [];
    let version = 0;
    const activeKeys = () => keys.filter(({ revokedAt }) => revokedAt === undefined);

    return {
        keys: () => keys,
        addKey: () => {
            const serial = nextSerial();
            keys.push({
                key: `key-${serial}`,
                account: `account-${serial}`,
                addedAt: performance.now(),
                revokedAt: undefined,
            });
        },
        revokeKey: () => {
            if (activeKeys().length > MIN_ACTIVE_KEY_COUNT) random.pick(activeKeys()).revokedAt = performance.now();
        },
        writeConfiguration: () => {
            version += 1 + Math.floor(random.next() * 3);
            const tenants = activeKeys().map(({ key, account }) => ({ name: account, "api-keys": [key] }));
            store.fake.put("op", "config", configurationRow(version, { tenants }));
        },
    };
}
