/**
 * Remembers when this entry last dispatched a request under each profile. Reports of agents add the work
 * of other entries, but miss requests that end between two reports.
 */
import type { Dispatcher } from "./dispatcher.js";

export interface ProfileUse {
    /** The given dispatcher, with each use noted. */
    readonly dispatcher: Dispatcher;
    /** Time of the last request under the profile in milliseconds since the epoch; 0 if there was none. */
    lastUsed(profile: string): number;
}

/** Only names of existing profiles get here, so the map grows no further than their number over time. */
export function createProfileUse(dispatcher: Dispatcher, now: () => number): ProfileUse {
    const usedAt = new Map<string, number>();
    return {
        dispatcher: {
            ...dispatcher,
            dispatch: (work, receiver) => {
                if (work.profile !== "") usedAt.set(work.profile, now());
                return dispatcher.dispatch(work, receiver);
            },
        },
        lastUsed: profile => usedAt.get(profile) ?? 0,
    };
}
