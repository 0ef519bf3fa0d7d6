/** The soak's store: the fake, and the times of its faults. */
import { type FakeStore, startFakeStore } from "../platform/fakeStore.js";
import { STABILITY_WINDOW_MS } from "./bounds.js";

export interface SoakStore {
    readonly fake: FakeStore;
    /** Records the time of a fault; infinity while it lasts. */
    recordFault(at: number): void;
    /** Returns whether the store had no fault during the stability window before a time. */
    isStable(at: number): boolean;
}

export async function startSoakStore(): Promise<SoakStore> {
    const fake = await startFakeStore();
    let lastFaultAt = Number.NEGATIVE_INFINITY;
    return {
        fake,
        recordFault: at => {
            lastFaultAt = at;
        },
        isStable: at => at - lastFaultAt > STABILITY_WINDOW_MS,
    };
}
