/** The soak's store: the fake, the times of its faults, and the copies from which it can be restored. */
import { type FakeStore, startFakeStore, type StoreCopy } from "../platform/fakeStore.js";
import { STABILITY_WINDOW_MS } from "./bounds.js";

export interface SoakStore {
    readonly fake: FakeStore;
    /** Records the time of a fault; infinity while it lasts. */
    recordFault(at: number): void;
    /** Returns whether the store had no fault during the stability window before a time. */
    isStable(at: number): boolean;
    /** Runs a fault of the store when no other one is running. */
    exclusively(fault: () => Promise<void>): Promise<void>;
    /** Returns the oldest of the kept copies that is at most this old; they are some seconds old. */
    findCopy(maxAgeMs: number): StoreCopy | undefined;
    close(): void;
}

/** Ages of the copies from which the store is restored. */
export const MIN_COPY_AGE_MS = 1000;
export const MAX_COPY_AGE_MS = 9000;

const COPY_INTERVAL_MS = 250;

export async function startSoakStore(): Promise<SoakStore> {
    const fake = await startFakeStore();
    let lastFaultAt = Number.NEGATIVE_INFINITY;
    let lastFault = Promise.resolve();
    const copies: { readonly takenAt: number; readonly copy: StoreCopy; }[] = [];
    const copyTimer = setInterval(() => {
        const takenAt = performance.now();
        copies.push({ takenAt, copy: fake.copy() });
        while ((copies[0]?.takenAt ?? takenAt) < takenAt - MAX_COPY_AGE_MS) copies.shift();
    }, COPY_INTERVAL_MS);
    return {
        fake,
        recordFault: at => {
            lastFaultAt = at;
        },
        isStable: at => at - lastFaultAt > STABILITY_WINDOW_MS,
        exclusively: fault => {
            lastFault = lastFault.then(fault);
            return lastFault;
        },
        findCopy: maxAgeMs => {
            const ageOf = ({ takenAt }: { readonly takenAt: number; }) => performance.now() - takenAt;
            return copies.find(copy => ageOf(copy) <= maxAgeMs && ageOf(copy) >= MIN_COPY_AGE_MS)?.copy;
        },
        close: () => {
            clearInterval(copyTimer);
            fake.close();
        },
    };
}
