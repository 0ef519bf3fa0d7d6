/**
 * Records when this entry last dispatched a request under each profile. The agents' state messages also cover the
 * requests of other entries, but miss requests that start and end between two messages.
 */
import type { Dispatcher } from "./dispatcher.js";

export interface ProfileUsage {
    /** The given dispatcher, wrapped to record each use. */
    readonly dispatcher: Dispatcher;
    /** Time of the last request under the profile in milliseconds since the epoch; 0 if there was none. */
    lastUsedAt(profile: string): number;
}

/** Only names of existing profiles are recorded, so the number of profiles ever created bounds the map's size. */
export function createProfileUsage(dispatcher: Dispatcher, now: () => number): ProfileUsage {
    const usedAt = new Map<string, number>();
    return {
        dispatcher: {
            ...dispatcher,
            dispatch: (work, receiver) => {
                if (work.profile !== "") usedAt.set(work.profile, now());
                return dispatcher.dispatch(work, receiver);
            },
        },
        lastUsedAt: profile => usedAt.get(profile) ?? 0,
    };
}
