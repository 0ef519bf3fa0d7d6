/**
 * Finds the part of a prompt that crashes backend servers. A crash ends all requests of its server, and implicates the
 * parts of those that aren't known to have survived the start of their answers. Most of these parts are sound; they are
 * cleared as soon as any request with them survives. The cause is a part that several crashes implicate without a
 * survival in between. If the same crashes implicate several parts alike, any of them may be the cause, or only their
 * combination; further crashes and survivals tell which.
 *
 * A crash with a known cause is no evidence against other parts. It is kept nevertheless, and counts again if the cause
 * turns out to be sound.
 */

import { isDeepStrictEqual } from "node:util";

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
    /** The parts among which the cause is, sorted; the same crashes implicate all of them. */
    readonly parts: readonly string[];
    readonly crashCount: number;
    readonly lastCrashAt: number;
}

export interface CrashEvidence {
    recordCrash(crash: ServerCrash, at: number): void;
    /** Records that a request with the part survived. Returns whether that cleared the part of a crash. */
    recordSurvival(part: string, at: number): boolean;
    /** Returns the time of the part's last survival; `undefined` if none is known. */
    lastSurvivalAt(part: string): number | undefined;
    /** Returns the causes among the parts for which the evidence is sufficient, the strongest first. */
    findCauses(parts: ReadonlySet<string>, now: number): CrashCause[];
    /** Records that all crashes that implicate each of the parts are caused by one of them. */
    confirmCause(parts: readonly string[]): void;
    /** Records that one of the parts caused the crash, also for prompts that are reported later. */
    explainCrash(incarnation: string, parts: readonly string[]): void;
    /** Withdraws a cause: the crashes that it explained are evidence again. Returns the parts that they implicate. */
    retractCause(parts: readonly string[]): ReadonlySet<string>;
    /** Returns whether a request with the part is known to have survived lately. */
    isKnownToSurvive(part: string, now: number): boolean;
    /** Returns whether a request that a crash ended is likely to be sound. */
    isLikelySound(part: string, now: number): boolean;
}

/**
 * Crashes without a survival that are sufficient evidence against a part of which no survival is known. If all of them
 * ended repetitions of one prompt, one more is needed.
 */
const SUFFICIENT_CRASH_COUNT = 3;

/** The same for a part that is known to survive, which the crashes of other parts often implicate. */
const KNOWN_PART_CRASH_COUNT = 5;

/** Crashes within this time of each other count once, because they may have one cause that isn't a request. */
const SIMULTANEOUS_CRASH_MS = 50;

/** Crashes are forgotten after this time. */
const CRASH_MAX_AGE_MS = 10 * 60_000;

/** A part counts as known to survive for this long. */
const SURVIVAL_MAX_AGE_MS = 60_000;

/**
 * Limits of the memory; the oldest entries are dropped first. Parts that a single crash implicates say little each, but one
 * crash may implicate tens of thousands. They have a limit of their own, so that they don't push out the others.
 */
const MAX_PARTS_OF_ONE_CRASH = 65_536;
const MAX_PARTS_OF_SEVERAL_CRASHES = 8192;
const MAX_CRASHES_PER_PART = 16;
const MAX_KNOWN_PARTS = 65_536;
const MAX_EXPLAINED_CRASHES = 1024;

interface ImplicatingCrash {
    readonly incarnation: string;
    readonly at: number;
    /** A prompt with the part that this crash ended. */
    readonly promptId: number;
    /** Whether the crash ended another prompt with the part. */
    hasOtherPrompts: boolean;
}

interface ImplicatedPart {
    /** Crashes since the last survival, in the order of their times. */
    crashes: ImplicatingCrash[];
}

export function createCrashEvidence(): CrashEvidence {
    const partsOfOneCrash = new Map<string, ImplicatedPart>();
    const partsOfSeveralCrashes = new Map<string, ImplicatedPart>();
    const lastSurvivals = new Map<string, number>();
    /** The known causes of crashes by the server's incarnation. */
    const causesByCrash = new Map<string, (readonly string[])[]>();

    function recordCrash({ incarnation, prompts }: ServerCrash, at: number): void {
        for (const { id, parts } of prompts) {
            for (const part of parts) {
                const lastSurvivalAt = lastSurvivals.get(part);
                if (lastSurvivalAt === undefined || lastSurvivalAt < at) implicate(part, incarnation, id, at);
            }
        }
    }

    function implicate(part: string, incarnation: string, promptId: number, at: number): void {
        const implicated = findImplicated(part) ?? { crashes: [] };
        const recorded = implicated.crashes.find(crash => crash.incarnation === incarnation);
        if (recorded === undefined) {
            implicated.crashes = [...implicated.crashes, { incarnation, at, promptId, hasOtherPrompts: false }]
                .filter(crash => at - crash.at < CRASH_MAX_AGE_MS)
                .toSorted((a, b) => a.at - b.at)
                .slice(-MAX_CRASHES_PER_PART);
        }
        else recorded.hasOtherPrompts ||= recorded.promptId !== promptId;
        remember(part, implicated);
    }

    function findImplicated(part: string): ImplicatedPart | undefined {
        return partsOfSeveralCrashes.get(part) ?? partsOfOneCrash.get(part);
    }

    /** Moves the part to the end of the order in which parts are dropped. */
    function remember(part: string, implicated: ImplicatedPart): void {
        partsOfOneCrash.delete(part);
        partsOfSeveralCrashes.delete(part);
        if (implicated.crashes.length === 0) return;
        const hasOne = implicated.crashes.length === 1;
        const parts = hasOne ? partsOfOneCrash : partsOfSeveralCrashes;
        parts.set(part, implicated);
        dropOldest(parts, hasOne ? MAX_PARTS_OF_ONE_CRASH : MAX_PARTS_OF_SEVERAL_CRASHES);
    }

    function recordSurvival(part: string, at: number): boolean {
        const lastAt = Math.max(lastSurvivals.get(part) ?? at, at);
        // Moves the part to the end of the order in which parts are dropped.
        lastSurvivals.delete(part);
        lastSurvivals.set(part, lastAt);
        dropOldest(lastSurvivals, MAX_KNOWN_PARTS);
        const implicated = findImplicated(part);
        if (implicated === undefined) return false;
        const laterCrashes = implicated.crashes.filter(crash => crash.at > at);
        const isCleared = laterCrashes.length < implicated.crashes.length;
        implicated.crashes = laterCrashes;
        if (isCleared) remember(part, implicated);
        return isCleared;
    }

    /** Returns the crashes that are evidence against the part: those whose known causes, if any, include it. */
    function openCrashes(part: string, { crashes }: ImplicatedPart): ImplicatingCrash[] {
        return crashes.filter(({ incarnation }) => {
            return (causesByCrash.get(incarnation) ?? []).every(parts => parts.length > 1 && parts.includes(part));
        });
    }

    function findCauses(parts: ReadonlySet<string>, now: number): CrashCause[] {
        const causes = new Map<string, CrashCause & { readonly isKnown: boolean; }>();
        // The parts of a single crash are no cause.
        for (const part of [...parts].filter(part => partsOfSeveralCrashes.has(part)).sort()) {
            const implicated = partsOfSeveralCrashes.get(part);
            if (implicated === undefined) continue;
            const crashes = openCrashes(part, implicated);
            const crashCount = countCrashes(crashes);
            const isKnown = isKnownToSurvive(part, now);
            if (crashCount < sufficientCount(crashes, isKnown)) continue;
            const key = JSON.stringify([isKnown, crashes.map(({ incarnation }) => incarnation).sort()]);
            const alike = causes.get(key)?.parts ?? [];
            const lastCrashAt = crashes.at(-1)?.at ?? now;
            causes.set(key, { parts: [...alike, part], crashCount, lastCrashAt, isKnown });
        }
        return [...causes.values()].sort((a, b) =>
            Number(a.isKnown) - Number(b.isKnown) || b.crashCount - a.crashCount
        );
    }

    function sufficientCount(crashes: readonly ImplicatingCrash[], isKnown: boolean): number {
        const hasSeveralPrompts = crashes.some(({ promptId, hasOtherPrompts }) =>
            hasOtherPrompts || promptId !== crashes[0]?.promptId
        );
        return (isKnown ? KNOWN_PART_CRASH_COUNT : SUFFICIENT_CRASH_COUNT) + (hasSeveralPrompts ? 0 : 1);
    }

    function isKnownToSurvive(part: string, now: number): boolean {
        const lastSurvivalAt = lastSurvivals.get(part);
        return lastSurvivalAt !== undefined && now - lastSurvivalAt < SURVIVAL_MAX_AGE_MS;
    }

    function confirmCause(parts: readonly string[]): void {
        const [first, ...others] = parts.map(part => findImplicated(part)?.crashes ?? []);
        for (const { incarnation } of first ?? []) {
            const implicatesAll = others.every(crashes => crashes.some(crash => crash.incarnation === incarnation));
            if (implicatesAll) explainCrash(incarnation, parts);
        }
    }

    function explainCrash(incarnation: string, parts: readonly string[]): void {
        const causes = causesByCrash.get(incarnation) ?? [];
        if (causes.some(cause => isDeepStrictEqual(cause, parts))) return;
        causesByCrash.set(incarnation, [...causes, parts]);
        dropOldest(causesByCrash, MAX_EXPLAINED_CRASHES);
    }

    function retractCause(parts: readonly string[]): ReadonlySet<string> {
        const retracted = new Set<string>();
        for (const [incarnation, causes] of causesByCrash) {
            const otherCauses = causes.filter(cause => !isDeepStrictEqual(cause, parts));
            if (otherCauses.length === causes.length) continue;
            retracted.add(incarnation);
            if (otherCauses.length > 0) causesByCrash.set(incarnation, otherCauses);
            else causesByCrash.delete(incarnation);
        }
        const implicates = ({ crashes }: ImplicatedPart) =>
            crashes.some(({ incarnation }) => retracted.has(incarnation));
        const retractedParts = new Set<string>();
        for (const parts of [partsOfOneCrash, partsOfSeveralCrashes]) {
            for (const [part, implicated] of parts) if (implicates(implicated)) retractedParts.add(part);
        }
        return retractedParts;
    }

    return {
        recordCrash,
        recordSurvival,
        lastSurvivalAt: part => lastSurvivals.get(part),
        findCauses,
        confirmCause,
        explainCrash,
        retractCause,
        isKnownToSurvive,
        isLikelySound: (part, now) => {
            const implicated = findImplicated(part);
            const crashes = implicated === undefined ? [] : openCrashes(part, implicated);
            return crashes.length === 0 || isKnownToSurvive(part, now) && countCrashes(crashes) < 2;
        },
    };
}

/** Counts crashes at almost the same time once. */
function countCrashes(crashes: readonly ImplicatingCrash[]): number {
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
