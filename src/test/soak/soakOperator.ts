/**
 * The soak's operator: adds and removes API keys and restrictions to regions with each new configuration, evacuates
 * failure domains, and writes again what the store lost in a restoration.
 */
import { configurationRow } from "../platform/fakeRunner.js";
import { CONFIG_APPLY_MS, EVACUATE_MS, REGION_BY_ZONE } from "./bounds.js";
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

/** A rule by which some calls must not reach some servers. */
export interface Prohibition {
    /** Time at which the store acknowledged the rule; infinity while it is lost. */
    readonly writtenAt: number;
    /** Time that the entries have to apply the rule. */
    readonly boundMs: number;
    readonly reason: string;
}

export interface SoakOperator {
    /** Returns all keys, also removed ones. */
    keys(): readonly ApiKey[];
    addKey(): void;
    /** Removes one of the active keys if there are more than three. */
    revokeKey(): void;
    /** Writes the configuration with all active keys as a new version. */
    writeConfiguration(): void;
    /** Allows a route or an account one region, or all if it is `undefined`, from the next configuration on. */
    restrict(name: string, region: string | undefined): void;
    setEvacuated(zone: string, isEvacuated: boolean): void;
    isEvacuated(zone: string): boolean;
    /** Returns the rules by which a call of a route and an account must not reach a failure domain. */
    prohibitions(zone: string, route: string, account: string): readonly Prohibition[];
    /** Records that a restoration took the store back to an earlier version. */
    recordRestoration(restoredVersion: number): void;
    /** Writes the newest version and the evacuations again, if the store has lost them. */
    writeAgain(): void;
}

const MIN_ACTIVE_KEY_COUNT = 3;

export function createSoakOperator(store: SoakStore, random: SoakRandom, nextSerial: () => number): SoakOperator {
    const keys: { -readonly [Name in keyof ApiKey]: ApiKey[Name]; }[] = [];
    let version = 0;
    let storedVersion = 0;
    /** Allowed regions of routes and accounts, with the version of the configuration that introduced them. */
    const restrictions = new Map<string, { readonly region: string; readonly version: number; writtenAt: number; }>();
    /** Times at which the evacuations in force were written. */
    const evacuations = new Map<string, number>();
    const activeKeys = () => keys.filter(({ removedIn }) => removedIn === undefined);

    /** Writes the newest version. What the store didn't have before is acknowledged by this. */
    function write(): void {
        const regionsOf = (name: string) => ({ "allowed-regions": [restrictions.get(name)?.region ?? []].flat() });
        const tenants = activeKeys().map(({ key, account }) => {
            return { name: account, "api-keys": [key], ...regionsOf(account) };
        });
        const { routes } = configurationRow(version) as { readonly routes: readonly { readonly name: string; }[]; };
        const restrictedRoutes = routes.map(route => ({ ...route, ...regionsOf(route.name) }));
        store.fake.put("op", "config", configurationRow(version, { tenants, routes: restrictedRoutes }));
        const at = performance.now();
        for (const key of keys) {
            if (key.addedIn > storedVersion) key.addedAt = at;
            if ((key.removedIn ?? 0) > storedVersion) key.revokedAt = at;
        }
        for (const restriction of restrictions.values()) {
            if (restriction.version > storedVersion) restriction.writtenAt = at;
        }
        storedVersion = version;
    }

    function writeEvacuation(zone: string): void {
        if (evacuations.has(zone)) store.fake.put("op", `evacuate/${zone}`, {});
        else store.fake.remove("op", `evacuate/${zone}`);
        if (evacuations.has(zone)) evacuations.set(zone, performance.now());
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
        restrict: (name, region) => {
            if (region === undefined) restrictions.delete(name);
            else restrictions.set(name, { region, version: version + 1, writtenAt: Number.POSITIVE_INFINITY });
        },
        setEvacuated: (zone, isEvacuated) => {
            if (isEvacuated) evacuations.set(zone, performance.now());
            else evacuations.delete(zone);
            writeEvacuation(zone);
        },
        isEvacuated: zone => evacuations.has(zone),
        prohibitions: (zone, route, account) => [
            ...[evacuations.get(zone) ?? []].flat().map(writtenAt => {
                return { writtenAt, boundMs: EVACUATE_MS, reason: `${zone} was evacuated` };
            }),
            ...[route, account].flatMap(name => {
                const restriction = restrictions.get(name);
                if (restriction === undefined || restriction.region === REGION_BY_ZONE[zone]) return [];
                const reason = `${name} was restricted to ${restriction.region}`;
                return [{ writtenAt: restriction.writtenAt, boundMs: CONFIG_APPLY_MS, reason }];
            }),
        ],
        recordRestoration: restoredVersion => {
            storedVersion = restoredVersion;
            for (const zone of evacuations.keys()) evacuations.set(zone, Number.POSITIVE_INFINITY);
            for (const restriction of restrictions.values()) {
                if (restriction.version > storedVersion) restriction.writtenAt = Number.POSITIVE_INFINITY;
            }
            for (const key of keys) {
                if (key.addedIn > storedVersion) key.addedAt = Number.POSITIVE_INFINITY;
                if ((key.removedIn ?? 0) > storedVersion) key.revokedAt = Number.POSITIVE_INFINITY;
            }
        },
        writeAgain: () => {
            if (storedVersion < version) write();
            Object.keys(REGION_BY_ZONE).forEach(writeEvacuation);
        },
    };
}
