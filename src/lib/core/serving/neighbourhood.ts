/**
 * The other entries, as this process knows them from their beats. Beats replace a list of living processes: an
 * entry that was silent for too long doesn't count, and is still told of this one now and then, because it may
 * only be cut off.
 */

export interface Neighbour {
    readonly name: string;
    readonly ip: string;
    readonly failureDomain: string;
}

export interface Neighbourhood {
    /** Adds an entry that others name; it counts as living only after its first beat. */
    mention(neighbour: Neighbour): void;
    hear(neighbour: Neighbour, now: number): void;
    /** Entries that were heard lately. */
    living(now: number): Neighbour[];
    /** Entries to send a beat now: those of the own failure domain at every tick, others less often. */
    recipients(tick: number, now: number): Neighbour[];
}

/** Ten beats within a failure domain, several between regions. */
export const ENTRY_SILENT_AFTER_MS = 1500;

/** A beat goes to other failure domains at every n-th tick, to silent entries at every m-th. */
const REMOTE_TICKS = 3;
const SILENT_TICKS = 10;

/** Most entries of other failure domains that get beats, which bounds the traffic of a large fleet. */
const MAX_REMOTE = 16;

export function createNeighbourhood(self: Neighbour): Neighbourhood {
    const known = new Map<string, { neighbour: Neighbour; heardAt: number | undefined; }>();

    function add(neighbour: Neighbour, heardAt: number | undefined): void {
        if (neighbour.ip === self.ip) return;
        // A VM that was replaced keeps its name and gets another address.
        const previous = known.get(neighbour.name);
        const isSame = previous?.neighbour.ip === neighbour.ip;
        known.set(neighbour.name, { neighbour, heardAt: heardAt ?? (isSame ? previous.heardAt : undefined) });
    }

    const isLiving = (heardAt: number | undefined, now: number) =>
        heardAt !== undefined && now - heardAt < ENTRY_SILENT_AFTER_MS;

    return {
        mention: neighbour => {
            if (!known.has(neighbour.name)) add(neighbour, undefined);
        },
        hear: (neighbour, now) => add(neighbour, now),
        living: now => {
            return [...known.values()].filter(({ heardAt }) => isLiving(heardAt, now)).map(({ neighbour }) =>
                neighbour
            );
        },
        recipients: (tick, now) => {
            let remote = 0;
            return [...known.values()]
                .filter(({ neighbour, heardAt }) => {
                    if (!isLiving(heardAt, now)) return tick % SILENT_TICKS === 0;
                    if (neighbour.failureDomain === self.failureDomain) return true;
                    return tick % REMOTE_TICKS === 0 && ++remote <= MAX_REMOTE;
                })
                .map(({ neighbour }) => neighbour);
        },
    };
}
