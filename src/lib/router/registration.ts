/**
 * Registers an entry in the store, so that entries and agents that start later can find it, and reads the rows of the
 * other entries. A restored store may lack the row, so the registration is renewed then.
 */
import type { EntryIdentity } from "../core/serving/index.js";
import { ENTRIES_TABLE, formatEntryRow, parseEntryRow } from "../node/entryRows.js";
import type { MetadataStore } from "../node/metadataStore.js";
import type { EventLog } from "../observability/index.js";

export interface Registration {
    /** Registers the entry again if the store is in a later epoch than when the row was last seen. */
    renewIn(epoch: number): void;
    /**
     * Returns whether the entry has read the table and all entries that run can be expected to know it: its row was
     * there before it started, or was written some time ago.
     */
    isKnownToOthers(now: number): boolean;
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

/**
 * Calls `addPeer` with each other entry that is registered. `random` returns a number in [0, 1), `clock` the monotonic
 * time in milliseconds. `looksForEarlierRow` costs a read at the start; without it the entry counts as new.
 */
export function startRegistration(
    store: Pick<MetadataStore, "putRow" | "readTable">,
    self: EntryIdentity,
    addPeer: (peer: EntryIdentity) => void,
    log: EventLog,
    random: () => number,
    clock: () => number,
    looksForEarlierRow: boolean,
): Registration {
    let timer: NodeJS.Timeout | undefined;
    let failures = 0;
    let isStopped = false;
    /** Epoch in which the store was seen to have the row; `undefined` while an attempt is scheduled or in progress. */
    let registeredEpoch: number | undefined;
    /** Number of registrations begun; an attempt that another one has replaced ends without effect. */
    let generation = 0;
    /** Whether the row of an earlier start was found; `undefined` before the table was read. */
    let hadRow: boolean | undefined;
    /** Time from which all entries know this one; `undefined` while it isn't registered. */
    let knownFrom: number | undefined;

    function scheduleAttempt(delayMs: number): void {
        clearTimeout(timer);
        generation++;
        registeredEpoch = undefined;
        if (!isStopped) timer = setTimeout(() => void attempt(generation), delayMs);
    }

    async function attempt(ownGeneration: number): Promise<void> {
        try {
            hadRow ??= looksForEarlierRow &&
                (await store.readTable(ENTRIES_TABLE)).rows.some(({ key, value }) =>
                    key === self.name && value !== undefined
                );
            await store.putRow(ENTRIES_TABLE, self.name, formatEntryRow(self));
            const { rows, position } = await store.readTable(ENTRIES_TABLE);
            for (const row of rows) {
                const entry = parseEntryRow(row);
                if (entry !== undefined && entry.name !== self.name) addPeer(entry);
            }
            if (!rows.some(({ key }) => key === self.name)) throw new Error("the store has lost the entry's row");
            failures = 0;
            knownFrom ??= clock() + (hadRow ? 0 : NEW_ENTRY_MS);
            if (ownGeneration === generation) registeredEpoch = position.epoch;
        }
        catch (error) {
            if (ownGeneration !== generation) return;
            if (failures === 0) log.warn("entries not joined", { error: (error as Error).message });
            failures++;
            scheduleAttempt(RETRY_DELAY_MS + random() * RETRY_JITTER_MS);
        }
    }

    scheduleAttempt(0);
    return {
        isKnownToOthers: now => knownFrom !== undefined && now >= knownFrom,
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
