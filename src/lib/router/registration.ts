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
    stop(): void;
}

/** Delay between attempts, plus a random jitter of up to the second value. */
const RETRY_DELAY_MS = 500;
const RETRY_JITTER_MS = 1500;

/** All entries renew their registration at about the same time. */
const RENEWAL_JITTER_MS = 300;

/** Calls `addPeer` with each other entry that is registered. `random` returns a number in [0, 1). */
export function startRegistration(
    store: Pick<MetadataStore, "putRow" | "readTable">,
    self: EntryIdentity,
    addPeer: (peer: EntryIdentity) => void,
    log: EventLog,
    random: () => number,
): Registration {
    let timer: NodeJS.Timeout | undefined;
    let failures = 0;
    let isStopped = false;
    /** Epoch in which the store was seen to have the row; `undefined` while an attempt is scheduled or in progress. */
    let registeredEpoch: number | undefined;
    /** Number of registrations begun; an attempt that another one has replaced ends without effect. */
    let generation = 0;

    function scheduleAttempt(delayMs: number): void {
        clearTimeout(timer);
        generation++;
        registeredEpoch = undefined;
        if (!isStopped) timer = setTimeout(() => void attempt(generation), delayMs);
    }

    async function attempt(ownGeneration: number): Promise<void> {
        try {
            await store.putRow(ENTRIES_TABLE, self.name, formatEntryRow(self));
            const { rows, position } = await store.readTable(ENTRIES_TABLE);
            for (const row of rows) {
                const entry = parseEntryRow(row);
                if (entry !== undefined && entry.name !== self.name) addPeer(entry);
            }
            if (!rows.some(({ key }) => key === self.name)) throw new Error("the store has lost the entry's row");
            failures = 0;
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
