/**
 * Registers an entry in the store, so that entries and agents that start later can find it, and reads the rows of the
 * other entries. The registration is renewed from time to time, and when the store was restored, as it may lack the row
 * then. Entries that have been removed for good are forgotten, and their rows removed; see `core/serving/entryLeases`.
 */
import {
    type ClockReading,
    createEntryLeases,
    elapsedMs,
    type EntryIdentity,
    type EntryLease,
    LEASE_RENEWAL_INTERVAL_MS,
    LEASE_VALID_MS,
    type PeerEntries,
    type Row,
} from "../core/serving/index.js";
import { ENTRIES_TABLE, formatEntryRow, parseEntryRow } from "../node/entryRows.js";
import type { MetadataStore } from "../node/metadataStore.js";
import type { EventLog } from "../observability/index.js";

export interface Registration {
    /** Registers the entry again if the store is in a later epoch than when the row was last seen. */
    renewIn(epoch: number): void;
    /**
     * Returns whether the entry has read the table and all entries that run can be expected to know it: its row was
     * there before it started, or was written some time ago, and has been renewed since.
     */
    isKnownToOthers(): boolean;
    stop(): void;
}

/** Delay between attempts, plus a random jitter of up to the second value. */
const RETRY_DELAY_MS = 500;
const RETRY_JITTER_MS = 1500;

/**
 * Time after which all entries have heard of a new one: several digests between failure domains, and a partition
 * between some of them.
 */
const NEW_ENTRY_MS = 10_000;

/** All entries renew their registration at about the same time. */
const RENEWAL_JITTER_MS = 300;

export interface RegistrationOptions {
    readonly store: Pick<MetadataStore, "putRow" | "readTable" | "removeRow">;
    readonly self: EntryIdentity;
    readonly peers: Pick<PeerEntries, "addUnconfirmed" | "lastHeardAt" | "forget">;
    /** Whether to look for the row of an earlier start, which costs a read; without it the entry counts as new. */
    readonly looksForEarlierRow: boolean;
    readonly log: EventLog;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
    readonly readClocks: () => ClockReading;
}

export function startRegistration(options: RegistrationOptions): Registration {
    const { store, self, peers, log, random, readClocks } = options;
    const leases = createEntryLeases();
    let timer: NodeJS.Timeout | undefined;
    let failures = 0;
    let isStopped = false;
    /** Epoch in which the store was seen to have the row; `undefined` while an attempt is scheduled or in progress. */
    let registeredEpoch: number | undefined;
    /** Number of registrations begun; an attempt that another one has replaced ends without effect. */
    let generation = 0;
    /** Whether the row of an earlier start was found; `undefined` before the table was read. */
    let hadRow: boolean | undefined;
    /** Monotonic time from which all entries know this one; `undefined` while it isn't registered. */
    let knownFrom: number | undefined;
    /** When the last successful renewal of the row began. */
    let renewedAt: ClockReading | undefined;

    function isLeaseValid(): boolean {
        return renewedAt !== undefined && elapsedMs(renewedAt, readClocks()) < LEASE_VALID_MS;
    }

    function scheduleAttempt(delayMs: number): void {
        clearTimeout(timer);
        generation++;
        registeredEpoch = undefined;
        if (!isStopped) timer = setTimeout(() => void attempt(generation), delayMs);
    }

    async function attempt(ownGeneration: number): Promise<void> {
        try {
            hadRow ??= options.looksForEarlierRow &&
                isOwnLeaseValid((await store.readTable(ENTRIES_TABLE)).rows, readClocks().wallMs);
            const beganAt = readClocks();
            await store.putRow(ENTRIES_TABLE, self.name, formatEntryRow(self, beganAt.wallMs));
            const { rows, position } = await store.readTable(ENTRIES_TABLE);
            if (!rows.some(({ key }) => key === self.name)) throw new Error("the store has lost the entry's row");
            // Others may have forgotten an entry that couldn't renew its row for long.
            if (renewedAt !== undefined && !isLeaseValid()) {
                log.warn("registration lapsed", { sinceMs: Math.round(elapsedMs(renewedAt, readClocks())) });
                knownFrom = undefined;
                hadRow = false;
            }
            failures = 0;
            knownFrom ??= readClocks().monotonicMs + (hadRow ? 0 : NEW_ENTRY_MS);
            renewedAt = beganAt;
            if (ownGeneration === generation) {
                scheduleAttempt(LEASE_RENEWAL_INTERVAL_MS * (1 + random() / 2));
                registeredEpoch = position.epoch;
            }
            await applyRows(rows);
        }
        catch (error) {
            if (ownGeneration !== generation) return;
            if (failures === 0) log.warn("entries not joined", { error: (error as Error).message });
            failures++;
            scheduleAttempt(RETRY_DELAY_MS + random() * RETRY_JITTER_MS);
        }
    }

    /** Returns whether the row of an earlier start shows that no entry can have forgotten this one. */
    function isOwnLeaseValid(rows: readonly Row[], wallMs: number): boolean {
        const own = rows.map(parseEntryRow).find(entry => entry?.name === self.name);
        return own !== undefined && (own.renewedAt === undefined || wallMs - own.renewedAt < LEASE_VALID_MS);
    }

    /** Adds the entries that have rows, and forgets those that have been removed for good. */
    async function applyRows(rows: readonly Row[]): Promise<void> {
        const registered = rows.flatMap(row => {
            const entry = parseEntryRow(row);
            return entry === undefined || entry.name === self.name ? [] : { entry, row };
        });
        const entryLeases = registered.map(({ entry: { name, renewedAt: at }, row }): EntryLease => ({
            name,
            position: row,
            isRenewed: at !== undefined,
        }));
        const gone = new Set(leases.findGone(entryLeases, peers.lastHeardAt, readClocks().monotonicMs));
        for (const name of gone) {
            log.warn("entry forgotten", { entry: name });
            peers.forget(name);
        }
        for (const { entry: { name, ip, failureDomain }, row } of registered) {
            if (!gone.has(name)) peers.addUnconfirmed({ name, ip, failureDomain });
            else await removeRow(row);
        }
    }

    /** Another entry may have removed the row already, or its own entry may have renewed it. */
    async function removeRow({ key, revision }: Row): Promise<void> {
        try {
            await store.removeRow(ENTRIES_TABLE, key, revision);
        }
        catch (error) {
            log.info("entry's row not removed", { entry: key, error: (error as Error).message });
        }
    }

    scheduleAttempt(0);
    return {
        isKnownToOthers: () => knownFrom !== undefined && readClocks().monotonicMs >= knownFrom && isLeaseValid(),
        renewIn: epoch => {
            if (registeredEpoch !== undefined && epoch > registeredEpoch) scheduleAttempt(random() * RENEWAL_JITTER_MS);
        },
        stop: () => {
            isStopped = true;
            generation++;
            clearTimeout(timer);
        },
    };
}
