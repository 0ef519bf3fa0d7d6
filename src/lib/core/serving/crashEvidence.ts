/**
 * Finds the part of a prompt that crashes backend servers. A crash ends all requests of its server, and implicates the
 * parts of those that aren't known to have survived the start of their answers. Most of these parts are sound; they are
 * cleared as soon as any request with them survives. The cause is a part that several crashes implicate without a
 * survival in between.
 */

/** The prompt of a request that a crash ended before the request is known to have survived. */
export interface ImplicatedPrompt {
    /** Identifies the prompt as a whole; equal for repetitions of one request. */
    readonly id: number;
    /** The parts that other requests may share, in the order of the prompt. */
    readonly parts: readonly string[];
}

export interface ServerCrash {
    /** Identifies one start of a server. */
    readonly incarnation: string;
    readonly prompts: readonly ImplicatedPrompt[];
}

export interface CrashCause {
    readonly part: string;
    readonly crashCount: number;
    readonly lastCrashAt: number;
}

export interface CrashEvidence {
    recordCrash(crash: ServerCrash, at: number): void;
    /** Records that a request with the part survived. Returns whether that cleared the part of a crash. */
    recordSurvival(part: string, at: number): boolean;
    /** Returns the time of the part's last survival; `undefined` if none is known. */
    lastSurvivalAt(part: string): number | undefined;
    /** Returns the one of the parts for which the evidence is sufficient and strongest. */
    findCause(parts: ReadonlySet<string>, now: number): CrashCause | undefined;
    /** Records that the part caused all crashes that implicate it, which are no evidence against other parts then. */
    confirmCause(part: string): void;
    /** Records that the cause of the crash is known, also for prompts that are reported later. */
    explainCrash(incarnation: string): void;
    /** Returns whether a request that a crash ended is likely to be sound. */
    isLikelySound(part: string, now: number): boolean;
}

/** Crashes without a survival that are sufficient evidence against a part of which no survival is known. */
const SUFFICIENT_CRASH_COUNT = 3;

/** The same for a part that is known to survive, which the crashes of other parts often implicate. */
const KNOWN_PART_CRASH_COUNT = 5;

/** Repetitions of one prompt say less than different prompts with the same part, and need one more crash. */
const MIN_PROMPT_COUNT = 2;

/** Crashes within this time of each other count once, because they may have one cause that isn't a request. */
const SIMULTANEOUS_CRASH_MS = 50;

/** Crashes are forgotten after this time. */
const CRASH_MAX_AGE_MS = 10 * 60_000;

/** A part counts as known to survive for this long. */
const SURVIVAL_MAX_AGE_MS = 60_000;

/** Limits of the memory; the oldest entries are dropped first. */
const MAX_IMPLICATED_PARTS = 2048;
const MAX_CRASHES_PER_PART = 16;
const MAX_KNOWN_PARTS = 8192;
const MAX_EXPLAINED_CRASHES = 1024;

interface ImplicatingCrash {
    readonly incarnation: string;
    readonly at: number;
    /** Prompts with the part that this crash ended. */
    readonly promptIds: Set<number>;
}

interface ImplicatedPart {
    /** Crashes since the last survival, in the order of their times. */
    crashes: ImplicatingCrash[];
    /** Position of the part in the prompt. */
    readonly position: number;
}

export function createCrashEvidence(): CrashEvidence {
    const implicatedParts = new Map<string, ImplicatedPart>();
    const lastSurvivals = new Map<string, number>();
    const explainedCrashes = new Map<string, true>();

    function recordCrash({ incarnation, prompts }: ServerCrash, at: number): void {
        if (explainedCrashes.has(incarnation)) return;
        for (const { id, parts } of prompts) {
            for (const [position, part] of parts.entries()) {
                const lastSurvivalAt = lastSurvivals.get(part);
                if (lastSurvivalAt === undefined || lastSurvivalAt < at) implicate(part, position, incarnation, id, at);
            }
        }
    }

    function implicate(part: string, position: number, incarnation: string, promptId: number, at: number): void {
        let implicated = implicatedParts.get(part);
        if (implicated === undefined) {
            implicatedParts.set(part, implicated = { crashes: [], position });
            dropOldest(implicatedParts, MAX_IMPLICATED_PARTS);
        }
        const recorded = implicated.crashes.find(crash => crash.incarnation === incarnation);
        if (recorded !== undefined) {
            recorded.promptIds.add(promptId);
            return;
        }
        implicated.crashes = [...implicated.crashes, { incarnation, at, promptIds: new Set([promptId]) }]
            .filter(crash => at - crash.at < CRASH_MAX_AGE_MS)
            .toSorted((a, b) => a.at - b.at)
            .slice(-MAX_CRASHES_PER_PART);
    }

    function recordSurvival(part: string, at: number): boolean {
        const lastAt = Math.max(lastSurvivals.get(part) ?? at, at);
        // Moves the part to the end of the order in which parts are dropped.
        lastSurvivals.delete(part);
        lastSurvivals.set(part, lastAt);
        dropOldest(lastSurvivals, MAX_KNOWN_PARTS);
        const implicated = implicatedParts.get(part);
        if (implicated === undefined) return false;
        const countBefore = implicated.crashes.length;
        removeCrashes(part, implicated, crash => crash.at <= at);
        return implicated.crashes.length < countBefore;
    }

    function removeCrashes(
        part: string,
        implicated: ImplicatedPart,
        shouldRemove: (crash: ImplicatingCrash) => boolean,
    ): void {
        implicated.crashes = implicated.crashes.filter(crash => !shouldRemove(crash));
        if (implicated.crashes.length === 0) implicatedParts.delete(part);
    }

    /** If the same crashes implicate several parts, the last one is returned, because fewest requests share it. */
    function findCause(parts: ReadonlySet<string>, now: number): CrashCause | undefined {
        const [cause] = [...parts]
            .flatMap(part => {
                const implicated = implicatedParts.get(part);
                if (implicated === undefined) return [];
                const crashCount = countCrashes(implicated);
                const isKnown = isKnownToSurvive(part, now);
                if (crashCount < sufficientCount(implicated, isKnown)) return [];
                const lastCrashAt = implicated.crashes.at(-1)?.at ?? now;
                return [{ part, crashCount, lastCrashAt, isKnown, position: implicated.position }];
            })
            .toSorted((a, b) =>
                Number(a.isKnown) - Number(b.isKnown) || b.crashCount - a.crashCount || b.position - a.position
            );
        return cause;
    }

    function sufficientCount({ crashes }: ImplicatedPart, isKnown: boolean): number {
        const promptIds = new Set(crashes.flatMap(crash => [...crash.promptIds]));
        return (isKnown ? KNOWN_PART_CRASH_COUNT : SUFFICIENT_CRASH_COUNT) +
            (promptIds.size < MIN_PROMPT_COUNT ? 1 : 0);
    }

    function isKnownToSurvive(part: string, now: number): boolean {
        const lastSurvivalAt = lastSurvivals.get(part);
        return lastSurvivalAt !== undefined && now - lastSurvivalAt < SURVIVAL_MAX_AGE_MS;
    }

    function confirmCause(part: string): void {
        for (const { incarnation } of implicatedParts.get(part)?.crashes ?? []) explainCrash(incarnation);
        implicatedParts.delete(part);
    }

    function explainCrash(explained: string): void {
        explainedCrashes.set(explained, true);
        dropOldest(explainedCrashes, MAX_EXPLAINED_CRASHES);
        for (const [part, implicated] of implicatedParts) {
            removeCrashes(part, implicated, ({ incarnation }) => incarnation === explained);
        }
    }

    return {
        recordCrash,
        recordSurvival,
        lastSurvivalAt: part => lastSurvivals.get(part),
        findCause,
        confirmCause,
        explainCrash,
        isLikelySound: (part, now) => {
            const implicated = implicatedParts.get(part);
            return implicated === undefined || isKnownToSurvive(part, now) && countCrashes(implicated) < 2;
        },
    };
}

/** Counts crashes at almost the same time once. */
function countCrashes({ crashes }: ImplicatedPart): number {
    let count = 0;
    let lastAt = Number.NEGATIVE_INFINITY;
    for (const { at } of crashes) {
        if (at - lastAt < SIMULTANEOUS_CRASH_MS) continue;
        count++;
        lastAt = at;
    }
    return count;
}

/** Removes the oldest entries of a map beyond the maximum size. */
export function dropOldest<T>(map: Map<string, T>, maxSize: number): void {
    for (const key of map.keys()) {
        if (map.size <= maxSize) return;
        map.delete(key);
    }
}
