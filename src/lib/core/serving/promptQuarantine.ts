/**
 * Finds parts of prompts that crash backend servers, and refuses requests with them for a while. A request is a suspect
 * if its server crashed before the request is known to have survived the start of its answer. A single crash accuses
 * all parts that the suspects share with other requests, and most of them are sound; those are cleared as soon as any
 * request with them survives. A part is quarantined after several crashes without a survival in between.
 *
 * Entries exchange crashes and survivals, because requests with one part arrive at all entries. The last part of a
 * prompt belongs to its request or session and is never accused. All times may differ between entries by the time that
 * a message takes.
 */

/** The prompt of a request that a crash ended before the request survived. */
export interface Suspect {
    /** Identifies the prompt as a whole; equal for repetitions of one request. */
    readonly promptId: number;
    /** The parts that requests share, in the order of the prompt. */
    readonly parts: readonly string[];
}

export interface ServerCrash {
    /** Identifies one start of a server. */
    readonly incarnation: string;
    readonly suspects: readonly Suspect[];
}

/** State of a quarantine for the exchange between entries. */
export interface QuarantineReport {
    readonly part: string;
    readonly lastCrashAgeMs: number;
    /** Time until the next probe, which is negative if it is due. */
    readonly probeInMs: number;
    readonly intervalMs: number;
    /** Version of the weights for which the part is quarantined. */
    readonly weightsVersion: number;
}

/** Time since a request with the part last survived. */
export interface SurvivalReport {
    readonly part: string;
    readonly ageMs: number;
}

export type PromptDecision =
    | { readonly kind: "allowed"; }
    /** The request may be sent to find out whether the part still crashes servers. */
    | { readonly kind: "probe"; readonly part: string; }
    | { readonly kind: "refused"; readonly part: string; readonly retryAfterMs: number; };

export interface PromptQuarantineOptions {
    /** Returns whether this entry sends the probes for the part. */
    readonly isProber: (part: string) => boolean;
    /** `crashCount` is `undefined` if another entry reported the quarantine. */
    readonly onQuarantined: (part: string, crashCount: number | undefined) => void;
    readonly onLifted: (part: string) => void;
}

export interface PromptQuarantine {
    /**
     * Records a crash that this or another entry has seen at the time `at`. Returns the accused parts that this entry
     * knows to have survived, which the other entries should know as well.
     */
    recordCrash(crash: ServerCrash, weightsVersion: number, at: number, now: number): SurvivalReport[];
    /** Records that a request survived. Returns the parts whose survival the other entries should know. */
    recordSurvival(parts: readonly string[], now: number): SurvivalReport[];
    mergeSurvivals(reports: readonly SurvivalReport[], now: number): void;
    /** Decides whether a request may be sent, without starting a probe. `weightsVersion` is the lowest one allowed. */
    decide(parts: readonly string[], weightsVersion: number, now: number): PromptDecision;
    /** Records that a request is sent as a probe; there is no other one until it has ended. */
    startProbe(part: string, now: number): void;
    /** Records that a probe ended without surviving. If it didn't run, another one is sent soon. */
    endProbe(part: string, hasRun: boolean, weightsVersion: number, now: number): void;
    /** Returns whether a suspect may be sent to another server. */
    mayRepeat(parts: readonly string[], now: number): boolean;
    /** Returns the quarantines for the report to other entries, at most `MAX_REPORTED_QUARANTINES`. */
    reports(now: number): QuarantineReport[];
    /** Merges the quarantines of another entry. Returns survivals that it hasn't heard of. */
    mergeReports(reports: readonly QuarantineReport[], now: number): SurvivalReport[];
}

/** Crashes without a survival after which a part is quarantined of which no survival is known. */
const QUARANTINE_CRASH_COUNT = 3;

/** The number for a part that survived before: the crashes of other parts accuse it as well. */
const KNOWN_PART_CRASH_COUNT = 5;

/** Repetitions of one prompt say less than different prompts with the same part, and need one more crash. */
const MIN_PROMPT_COUNT = 2;

/** Crashes within this time of each other count once, because they may have one cause that isn't a request. */
const SIMULTANEOUS_CRASH_MS = 50;

/** Delay before the first probe of a quarantined part, its factor for each further one and its limit. */
const INITIAL_PROBE_INTERVAL_MS = 15_000;
const PROBE_INTERVAL_FACTOR = 4;
const MAX_PROBE_INTERVAL_MS = 60 * 60_000;

/** Shortest time between two probes of a part, whatever the reason for the second one. */
const MIN_PROBE_INTERVAL_MS = 5000;

/** Delay before a probe that didn't run is repeated. */
const PROBE_REPETITION_DELAY_MS = 500;

/** A probe whose result isn't known after this time counts as lost. */
const PROBE_TIMEOUT_MS = 10_000;

/** Sent to callers as the delay while a probe is due at another entry. */
const PENDING_PROBE_RETRY_AFTER_MS = 1000;

/** Crashes are forgotten after this time. */
const CRASH_MAX_AGE_MS = 10 * 60_000;

/** A part counts as known to survive for this long. */
const SURVIVAL_MAX_AGE_MS = 60_000;

/** Limits of the memory; the oldest entries are dropped first. */
const MAX_ACCUSED_PARTS = 2048;
const MAX_CRASHES_PER_PART = 16;
const MAX_KNOWN_PARTS = 8192;
const MAX_QUARANTINES = 256;
const MAX_EXPLAINED_CRASHES = 1024;
export const MAX_REPORTED_QUARANTINES = 16;

interface Accusation {
    readonly incarnation: string;
    readonly at: number;
    readonly promptIds: Set<number>;
}

interface Accused {
    /** Crashes since the last survival, in the order of their times. */
    accusations: Accusation[];
    /** Position of the part in the prompt. */
    readonly position: number;
}

interface Quarantine {
    lastCrashAt: number;
    probeAt: number;
    /** Time after the next probe until the one after it. */
    intervalMs: number;
    lastProbeAt: number;
    /** There is no other probe until then. */
    probingUntil: number;
    weightsVersion: number;
}

export function createPromptQuarantine(options: PromptQuarantineOptions): PromptQuarantine {
    const accusedParts = new Map<string, Accused>();
    const quarantines = new Map<string, Quarantine>();
    /** Crashes whose cause is found; further suspects of them are reported late. */
    const explainedCrashes = new Map<string, true>();
    /** Times of the last survivals, in their order of insertion. */
    const lastSurvivals = new Map<string, number>();

    function recordCrash(crash: ServerCrash, weightsVersion: number, at: number, now: number): SurvivalReport[] {
        const survivals: SurvivalReport[] = [];
        const explained = isExplained(crash, at);
        for (const suspect of crash.suspects) {
            for (const [position, part] of suspect.parts.entries()) {
                const lastSurvivalAt = lastSurvivals.get(part);
                if (lastSurvivalAt !== undefined && !survivals.some(survival => survival.part === part)) {
                    survivals.push({ part, ageMs: now - lastSurvivalAt });
                }
                if (explained || quarantines.has(part) || (lastSurvivalAt ?? Number.NEGATIVE_INFINITY) >= at) continue;
                accuse(part, position, crash.incarnation, suspect.promptId, at);
            }
        }
        quarantineConvicted(new Set(crash.suspects.flatMap(({ parts }) => parts)), weightsVersion, now);
        return survivals;
    }

    /** Returns whether a part that is in quarantine caused the crash, and renews its quarantine. */
    function isExplained({ incarnation, suspects }: ServerCrash, at: number): boolean {
        let result = false;
        for (const part of new Set(suspects.flatMap(({ parts }) => parts))) {
            const quarantine = quarantines.get(part);
            if (quarantine === undefined) continue;
            result = true;
            quarantine.lastCrashAt = Math.max(quarantine.lastCrashAt, at);
        }
        if (result) withdrawAccusations(new Set([incarnation]));
        return result || explainedCrashes.has(incarnation);
    }

    function accuse(part: string, position: number, incarnation: string, promptId: number, at: number): void {
        let accused = accusedParts.get(part);
        if (accused === undefined) {
            accusedParts.set(part, accused = { accusations: [], position });
            dropOldest(accusedParts, MAX_ACCUSED_PARTS);
        }
        const known = accused.accusations.find(accusation => accusation.incarnation === incarnation);
        if (known !== undefined) {
            known.promptIds.add(promptId);
            return;
        }
        const accusation = { incarnation, at, promptIds: new Set([promptId]) };
        accused.accusations = [...accused.accusations, accusation]
            .filter(earlier => at - earlier.at < CRASH_MAX_AGE_MS)
            .toSorted((a, b) => a.at - b.at)
            .slice(-MAX_CRASHES_PER_PART);
    }

    /**
     * Quarantines the parts with enough evidence. If the same crashes accuse several parts, only one of them is
     * quarantined: the one that survived least, then the last one, because fewest requests share it.
     */
    function quarantineConvicted(parts: ReadonlySet<string>, weightsVersion: number, now: number): void {
        for (;;) {
            const [convicted] = [...parts]
                .flatMap(part => {
                    const accused = accusedParts.get(part);
                    return accused === undefined || !isConvicted(part, accused, now) ? [] : [[part, accused] as const];
                })
                .toSorted(([partA, a], [partB, b]) =>
                    Number(isKnown(partA, now)) - Number(isKnown(partB, now)) ||
                    countCrashes(b) - countCrashes(a) ||
                    b.position - a.position
                );
            if (convicted === undefined) return;
            const [part, accused] = convicted;
            const lastCrashAt = accused.accusations.at(-1)?.at ?? now;
            quarantines.set(part, {
                lastCrashAt,
                probeAt: now + INITIAL_PROBE_INTERVAL_MS,
                intervalMs: INITIAL_PROBE_INTERVAL_MS * PROBE_INTERVAL_FACTOR,
                lastProbeAt: now,
                probingUntil: now,
                weightsVersion,
            });
            dropOldest(quarantines, MAX_QUARANTINES);
            options.onQuarantined(part, countCrashes(accused));
            withdrawAccusations(new Set(accused.accusations.map(({ incarnation }) => incarnation)));
            accusedParts.delete(part);
        }
    }

    function isConvicted(part: string, accused: Accused, now: number): boolean {
        const promptIds = new Set(accused.accusations.flatMap(accusation => [...accusation.promptIds]));
        const requiredCount = (isKnown(part, now) ? KNOWN_PART_CRASH_COUNT : QUARANTINE_CRASH_COUNT) +
            (promptIds.size < MIN_PROMPT_COUNT ? 1 : 0);
        return countCrashes(accused) >= requiredCount;
    }

    function isKnown(part: string, now: number): boolean {
        const lastSurvivalAt = lastSurvivals.get(part);
        return lastSurvivalAt !== undefined && now - lastSurvivalAt < SURVIVAL_MAX_AGE_MS;
    }

    /** Removes the crashes from the evidence against all parts, because their cause is found. */
    function withdrawAccusations(incarnations: ReadonlySet<string>): void {
        for (const incarnation of incarnations) explainedCrashes.set(incarnation, true);
        dropOldest(explainedCrashes, MAX_EXPLAINED_CRASHES);
        for (const [part, accused] of accusedParts) {
            accused.accusations = accused.accusations.filter(({ incarnation }) => !incarnations.has(incarnation));
            if (accused.accusations.length === 0) accusedParts.delete(part);
        }
    }

    function recordSurvival(parts: readonly string[], now: number): SurvivalReport[] {
        return parts.filter(part => applySurvival(part, now)).map(part => ({ part, ageMs: 0 }));
    }

    /** Returns whether the survival cleared the part of evidence. */
    function applySurvival(part: string, at: number): boolean {
        const previousAt = lastSurvivals.get(part);
        lastSurvivals.delete(part);
        lastSurvivals.set(part, Math.max(previousAt ?? at, at));
        dropOldest(lastSurvivals, MAX_KNOWN_PARTS);
        const quarantine = quarantines.get(part);
        if (quarantine !== undefined && at > quarantine.lastCrashAt) {
            quarantines.delete(part);
            options.onLifted(part);
            return true;
        }
        const accused = accusedParts.get(part);
        if (accused === undefined) return false;
        const countBefore = accused.accusations.length;
        accused.accusations = accused.accusations.filter(accusation => accusation.at > at);
        if (accused.accusations.length === 0) accusedParts.delete(part);
        return accused.accusations.length < countBefore;
    }

    function decide(parts: readonly string[], weightsVersion: number, now: number): PromptDecision {
        if (quarantines.size === 0) return { kind: "allowed" };
        let probe: string | undefined;
        for (const part of parts) {
            const quarantine = quarantines.get(part);
            if (quarantine === undefined) continue;
            const probeAt = probeTimeOf(quarantine, weightsVersion);
            if (probeAt > now || probe !== undefined || !options.isProber(part)) {
                return {
                    kind: "refused",
                    part,
                    retryAfterMs: Math.max(PENDING_PROBE_RETRY_AFTER_MS, probeAt - now),
                };
            }
            probe = part;
        }
        return probe === undefined ? { kind: "allowed" } : { kind: "probe", part: probe };
    }

    /** A newer version of the weights is probed without waiting for the interval. */
    function probeTimeOf({ probeAt, probingUntil, ...quarantine }: Quarantine, weightsVersion: number): number {
        const dueAt = weightsVersion > quarantine.weightsVersion ?
            Math.min(probeAt, quarantine.lastProbeAt + MIN_PROBE_INTERVAL_MS) :
            probeAt;
        return Math.max(dueAt, probingUntil);
    }

    function startProbe(part: string, now: number): void {
        const quarantine = quarantines.get(part);
        if (quarantine !== undefined) quarantine.probingUntil = now + PROBE_TIMEOUT_MS;
    }

    function endProbe(part: string, hasRun: boolean, weightsVersion: number, now: number): void {
        const quarantine = quarantines.get(part);
        if (quarantine === undefined) return;
        if (!hasRun) {
            quarantine.probingUntil = now + PROBE_REPETITION_DELAY_MS;
            return;
        }
        quarantine.probingUntil = now;
        quarantine.weightsVersion = Math.max(quarantine.weightsVersion, weightsVersion);
        quarantine.lastProbeAt = now;
        quarantine.probeAt = now + quarantine.intervalMs;
        quarantine.intervalMs = Math.min(MAX_PROBE_INTERVAL_MS, quarantine.intervalMs * PROBE_INTERVAL_FACTOR);
    }

    /** Before its second crash, a part that survived recently is more likely to be sound. */
    function mayRepeat(parts: readonly string[], now: number): boolean {
        return parts.every(part => {
            if (quarantines.has(part)) return false;
            const accused = accusedParts.get(part);
            return accused === undefined || isKnown(part, now) && countCrashes(accused) < 2;
        });
    }

    function reports(now: number): QuarantineReport[] {
        return [...quarantines].slice(-MAX_REPORTED_QUARANTINES).map(([part, quarantine]) => ({
            part,
            lastCrashAgeMs: Math.max(0, now - quarantine.lastCrashAt),
            probeInMs: quarantine.probeAt - now,
            intervalMs: quarantine.intervalMs,
            weightsVersion: quarantine.weightsVersion,
        }));
    }

    function mergeReports(peerReports: readonly QuarantineReport[], now: number): SurvivalReport[] {
        const unknownSurvivals: SurvivalReport[] = [];
        for (const report of peerReports) {
            const { part, probeInMs, intervalMs, weightsVersion } = report;
            const lastCrashAt = now - report.lastCrashAgeMs;
            const lastSurvivalAt = lastSurvivals.get(part);
            if (lastSurvivalAt !== undefined && lastSurvivalAt > lastCrashAt) {
                unknownSurvivals.push({ part, ageMs: now - lastSurvivalAt });
                continue;
            }
            const quarantine = quarantines.get(part);
            if (quarantine === undefined) {
                quarantines.set(part, {
                    lastCrashAt,
                    probeAt: now + probeInMs,
                    intervalMs,
                    lastProbeAt: now,
                    probingUntil: now,
                    weightsVersion,
                });
                dropOldest(quarantines, MAX_QUARANTINES);
                withdrawAccusations(
                    new Set(accusedParts.get(part)?.accusations.map(({ incarnation }) => incarnation)),
                );
                accusedParts.delete(part);
                options.onQuarantined(part, undefined);
                continue;
            }
            // A larger interval or version means that the other entry knows of a later probe.
            if (intervalMs > quarantine.intervalMs || weightsVersion > quarantine.weightsVersion) {
                quarantine.probeAt = now + probeInMs;
                quarantine.lastProbeAt = now;
            }
            quarantine.lastCrashAt = Math.max(quarantine.lastCrashAt, lastCrashAt);
            quarantine.intervalMs = Math.max(quarantine.intervalMs, intervalMs);
            quarantine.weightsVersion = Math.max(quarantine.weightsVersion, weightsVersion);
        }
        return unknownSurvivals;
    }

    return {
        recordCrash,
        recordSurvival,
        mergeSurvivals: (survivals, now) => {
            for (const { part, ageMs } of survivals) applySurvival(part, now - ageMs);
        },
        decide,
        startProbe,
        endProbe,
        mayRepeat,
        reports,
        mergeReports,
    };
}

/** Counts crashes that are close to each other once. */
function countCrashes({ accusations }: Accused): number {
    let count = 0;
    let lastAt = Number.NEGATIVE_INFINITY;
    for (const { at } of accusations) {
        if (at - lastAt < SIMULTANEOUS_CRASH_MS) continue;
        count++;
        lastAt = at;
    }
    return count;
}

function dropOldest<T>(map: Map<string, T>, maxSize: number): void {
    for (const key of map.keys()) {
        if (map.size <= maxSize) return;
        map.delete(key);
    }
}
