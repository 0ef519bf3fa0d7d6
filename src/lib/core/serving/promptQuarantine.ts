/**
 * Refuses requests with a part of a prompt that crashes backend servers. `crashEvidence` finds the part; its quarantine
 * lasts until a request with it survives. From time to time, and when newer weights are in force, one entry lets a
 * single request through as a probe, because the evidence may have been wrong.
 *
 * While several parts are under the same suspicion, such as a document and the session that asks about it, they are
 * quarantined together: requests with all of them are refused. As soon as one of them survives without the others or is
 * missing in a further crash, the others are left.
 *
 * Entries exchange crashes and survivals, because requests with one part arrive at all of them. They also report their
 * quarantines to each other, so that an entry that missed messages or has restarted learns them. All times may differ
 * between entries by the time that a message takes.
 */
import { createCrashEvidence, type ServerCrash } from "./crashEvidence.js";

/** State of a quarantine for the exchange between entries. */
export interface QuarantineReport {
    /** Identifies the quarantine: the part, or the names of all parts. */
    readonly part: string;
    /** The parts if there are several. */
    readonly parts?: readonly string[];
    readonly lastCrashAgeMs: number;
    /** Time until the next probe; negative if it is overdue. */
    readonly probeInMs: number;
    /** Time between the next probe and the one after it. */
    readonly intervalMs: number;
    /** Version of the weights for which the part is quarantined. */
    readonly weightsVersion: number;
}

/** Joins the names of parts that are quarantined together. */
const PART_SEPARATOR = " + ";

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
    /**
     * Returns the position of this entry in the order in which entries send a probe of the part: 0 for the first one.
     * The next one takes over from an entry that gets no requests with the part.
     */
    readonly probePosition: (part: string) => number;
    /** `crashCount` is `undefined` if another entry reported the quarantine. */
    readonly onQuarantined: (part: string, crashCount: number | undefined) => void;
    readonly onReleased: (part: string) => void;
}

export interface PromptQuarantine {
    /**
     * Records a crash that this or another entry saw at the time `at`. `weightsVersion` is the lowest one allowed.
     * Returns the survivals of implicated parts that other entries may not know.
     */
    recordCrash(crash: ServerCrash, weightsVersion: number, at: number, now: number): SurvivalReport[];
    /** Records that a request survived. Returns the survivals that other entries need to know. */
    recordSurvival(parts: readonly string[], now: number): SurvivalReport[];
    mergeSurvivals(reports: readonly SurvivalReport[], now: number): void;
    /** Decides whether a request may be sent. A probe begins with `startProbe` only. */
    decide(parts: readonly string[], weightsVersion: number, now: number): PromptDecision;
    /** Records that a request is sent as a probe; there is no other one until it has ended. */
    startProbe(part: string, now: number): void;
    /** Records that a probe ended without surviving. If it didn't run, another one follows soon. */
    endProbe(part: string, hasRun: boolean, weightsVersion: number, now: number): void;
    /** Returns whether a request that a crash ended may be sent to another server. */
    mayRepeat(parts: readonly string[], now: number): boolean;
    /** Returns whether a quarantine includes the part. */
    isQuarantined(part: string): boolean;
    /** Returns whether a request with the part is known to have survived lately. */
    isKnownToSurvive(part: string, now: number): boolean;
    /** Returns at most `MAX_REPORTED_QUARANTINES` quarantines for the report to other entries. */
    reports(now: number): QuarantineReport[];
    /** Merges the quarantines of another entry. Returns survivals that it hasn't heard of. */
    mergeReports(reports: readonly QuarantineReport[], now: number): SurvivalReport[];
}

/**
 * Delay before the first probe of a quarantined part, its factor for each further one and its limit. A probe that crashes
 * a server ends everything that runs there.
 */
const INITIAL_PROBE_INTERVAL_MS = 30_000;
const PROBE_INTERVAL_FACTOR = 4;
const MAX_PROBE_INTERVAL_MS = 60 * 60_000;

/** Shortest time between two probes of a part, also if newer weights are in force. */
const MIN_PROBE_INTERVAL_MS = 5000;

/** Newer weights are no reason for a probe if the interval is longer, because several versions crashed then. */
const MAX_VERSION_PROBE_INTERVAL_MS = 10 * 60_000;

/** Delay before a probe that didn't run is repeated. */
const PROBE_REPETITION_DELAY_MS = 500;

/** A probe whose result isn't known after this time counts as lost. */
const PROBE_TIMEOUT_MS = 10_000;

/** Shortest delay that callers are told, such as while a probe is due at another entry. */
const MIN_RETRY_AFTER_MS = 1000;

/** A reported crash that is later by less is the same one, as the report's way takes time. */
const MAX_REPORT_DELAY_MS = 300;

/** Limits of the memory and of the messages; the oldest quarantines are dropped or left out. */
const MAX_QUARANTINES = 256;
export const MAX_REPORTED_QUARANTINES = 16;

/** Quarantines of more parts together aren't reported, so that the reports fit into a datagram. */
export const MAX_REPORTED_PARTS = 8;

interface Quarantine {
    /** A request is refused if it has all of these parts. */
    readonly parts: readonly string[];
    lastCrashAt: number;
    probeAt: number;
    /** Time between the next probe and the one after it. */
    intervalMs: number;
    lastProbeAt: number;
    /** There is no other probe until then. */
    probingUntil: number;
    weightsVersion: number;
}

export function createPromptQuarantine(options: PromptQuarantineOptions): PromptQuarantine {
    const evidence = createCrashEvidence();
    const quarantines = new Map<string, Quarantine>();

    function recordCrash(crash: ServerCrash, weightsVersion: number, at: number, now: number): SurvivalReport[] {
        const prompts = crash.prompts.map(prompt => new Set(prompt.parts));
        const parts = new Set(crash.prompts.flatMap(prompt => prompt.parts));
        for (const quarantine of quarantines.values()) {
            if (!prompts.some(prompt => isSubset(quarantine.parts, prompt))) continue;
            quarantine.lastCrashAt = Math.max(quarantine.lastCrashAt, at);
            evidence.explainCrash(crash.incarnation, quarantine.parts);
        }
        evidence.recordCrash(crash, at);
        quarantineCauses(parts, weightsVersion, now);
        return [...parts].flatMap(part => {
            const survivalAt = evidence.lastSurvivalAt(part);
            return survivalAt === undefined ? [] : [{ part, ageMs: now - survivalAt }];
        });
    }

    function quarantineCauses(parts: ReadonlySet<string>, weightsVersion: number, now: number): void {
        for (;;) {
            const cause = evidence.findCauses(parts, now).find(candidate => !quarantines.has(idOf(candidate.parts)));
            if (cause === undefined) return;
            addQuarantine({
                parts: cause.parts,
                lastCrashAt: cause.lastCrashAt,
                probeAt: now + INITIAL_PROBE_INTERVAL_MS,
                intervalMs: INITIAL_PROBE_INTERVAL_MS * PROBE_INTERVAL_FACTOR,
                lastProbeAt: now,
                probingUntil: now,
                weightsVersion,
            });
            options.onQuarantined(idOf(cause.parts), cause.crashCount);
        }
    }

    /** Also ends the quarantines of several parts together that the new one includes. */
    function addQuarantine(quarantine: Quarantine): void {
        for (const [id, { parts }] of quarantines) {
            if (isSubset(quarantine.parts, new Set(parts))) removeQuarantine(id);
        }
        quarantines.set(idOf(quarantine.parts), quarantine);
        for (const id of quarantines.keys()) {
            if (quarantines.size <= MAX_QUARANTINES) break;
            removeQuarantine(id);
        }
        evidence.confirmCause(quarantine.parts);
    }

    /** Returns the parts whose evidence the quarantine had explained. */
    function removeQuarantine(id: string): ReadonlySet<string> {
        const quarantine = quarantines.get(id);
        quarantines.delete(id);
        return evidence.retractCause(quarantine?.parts ?? []);
    }

    /** Returns the survivals that other entries need to know. */
    function applySurvivals(survivals: readonly { readonly part: string; readonly at: number; }[], now: number) {
        const announced = new Set(
            survivals.filter(({ part, at }) => evidence.recordSurvival(part, at)).map(({ part }) => part),
        );
        for (const [id, quarantine] of quarantines) {
            const survived = survivals
                .filter(({ part, at }) => quarantine.parts.includes(part) && at > quarantine.lastCrashAt)
                .map(({ part }) => part);
            if (survived.length === 0) continue;
            for (const part of survived) announced.add(part);
            const suspects = quarantine.parts.filter(part => !survived.includes(part));
            if (suspects.length === 0) options.onReleased(id);
            quarantineCauses(removeQuarantine(id), quarantine.weightsVersion, now);
            // Another entry that reported the quarantine may have evidence that this one lacks.
            if (suspects.length > 0 && !quarantines.has(idOf(suspects))) {
                addQuarantine({ ...quarantine, parts: suspects });
                options.onQuarantined(idOf(suspects), undefined);
            }
        }
        return survivals.filter(({ part }) => announced.has(part));
    }

    /** Returns the quarantines under which a request with the parts falls. */
    function findQuarantines(parts: readonly string[]): (readonly [string, Quarantine])[] {
        if (quarantines.size === 0) return [];
        const partSet = new Set(parts);
        return [...quarantines].filter(([, quarantine]) => isSubset(quarantine.parts, partSet));
    }

    function decide(parts: readonly string[], weightsVersion: number, now: number): PromptDecision {
        let probed: string | undefined;
        for (const [id, quarantine] of findQuarantines(parts)) {
            const probeAt = probeTimeOf(quarantine, weightsVersion) + options.probePosition(id) * PROBE_TIMEOUT_MS;
            // A request under two quarantines would not tell which of them is right.
            if (probeAt > now || probed !== undefined) {
                return { kind: "refused", part: id, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, probeAt - now) };
            }
            probed = id;
        }
        return probed === undefined ? { kind: "allowed" } : { kind: "probe", part: probed };
    }

    /** Newer weights are probed without waiting for the interval. */
    function probeTimeOf(quarantine: Quarantine, weightsVersion: number): number {
        const { probeAt, intervalMs, lastProbeAt, probingUntil } = quarantine;
        const hasNewWeights = weightsVersion > quarantine.weightsVersion;
        const dueAt = hasNewWeights && intervalMs <= MAX_VERSION_PROBE_INTERVAL_MS ?
            Math.min(probeAt, lastProbeAt + MIN_PROBE_INTERVAL_MS) :
            probeAt;
        return Math.max(dueAt, probingUntil);
    }

    function endProbe(part: string, hasRun: boolean, weightsVersion: number, now: number): void {
        const quarantine = quarantines.get(part);
        if (quarantine === undefined) return;
        if (!hasRun) {
            quarantine.probingUntil = now + PROBE_REPETITION_DELAY_MS;
            return;
        }
        quarantine.weightsVersion = Math.max(quarantine.weightsVersion, weightsVersion);
        quarantine.probingUntil = now;
        quarantine.lastProbeAt = now;
        quarantine.probeAt = now + quarantine.intervalMs;
        quarantine.intervalMs = Math.min(MAX_PROBE_INTERVAL_MS, quarantine.intervalMs * PROBE_INTERVAL_FACTOR);
    }

    function reports(now: number): QuarantineReport[] {
        const reported = [...quarantines].filter(([, { parts }]) => parts.length <= MAX_REPORTED_PARTS);
        return reported.slice(-MAX_REPORTED_QUARANTINES).map(([part, quarantine]) => ({
            part,
            parts: quarantine.parts.length > 1 ? quarantine.parts : undefined,
            lastCrashAgeMs: Math.max(0, now - quarantine.lastCrashAt),
            probeInMs: quarantine.probeAt - now,
            intervalMs: quarantine.intervalMs,
            weightsVersion: quarantine.weightsVersion,
        }));
    }

    function mergeReport(report: QuarantineReport, lastCrashAt: number, now: number): void {
        const { part, weightsVersion } = report;
        // The limit also holds for the values of another entry, which may be wrong.
        const intervalMs = Math.min(report.intervalMs, MAX_PROBE_INTERVAL_MS);
        const probeAt = now + Math.min(report.probeInMs, MAX_PROBE_INTERVAL_MS);
        const quarantine = quarantines.get(part);
        if (quarantine === undefined) {
            addQuarantine({
                parts: report.parts ?? [part],
                lastCrashAt,
                probeAt,
                intervalMs,
                lastProbeAt: now,
                probingUntil: now,
                weightsVersion,
            });
            options.onQuarantined(part, undefined);
            return;
        }
        // A longer interval or a newer version means that the other entry knows of a later probe.
        if (intervalMs > quarantine.intervalMs || weightsVersion > quarantine.weightsVersion) {
            quarantine.probeAt = probeAt;
            quarantine.lastProbeAt = now;
        }
        if (lastCrashAt > quarantine.lastCrashAt + MAX_REPORT_DELAY_MS) quarantine.lastCrashAt = lastCrashAt;
        quarantine.intervalMs = Math.max(quarantine.intervalMs, intervalMs);
        quarantine.weightsVersion = Math.max(quarantine.weightsVersion, weightsVersion);
    }

    function mergeReports(peerReports: readonly QuarantineReport[], now: number): SurvivalReport[] {
        const missedSurvivals: SurvivalReport[] = [];
        for (const report of peerReports) {
            const lastCrashAt = now - report.lastCrashAgeMs;
            const laterSurvivals = (report.parts ?? [report.part]).flatMap(part => {
                const survivalAt = evidence.lastSurvivalAt(part);
                return survivalAt === undefined || survivalAt <= lastCrashAt ? [] : [{ part, ageMs: now - survivalAt }];
            });
            missedSurvivals.push(...laterSurvivals);
            // Quarantines of fewer parts include a reported one of more parts.
            const isIncluded = [...quarantines.values()].some(({ parts }) =>
                parts.length < (report.parts?.length ?? 1) && isSubset(parts, new Set(report.parts))
            );
            if (laterSurvivals.length === 0 && !isIncluded) mergeReport(report, lastCrashAt, now);
        }
        return missedSurvivals;
    }

    return {
        recordCrash,
        recordSurvival: (parts, now) => {
            const survivals = applySurvivals(parts.map(part => ({ part, at: now })), now);
            return survivals.map(({ part }) => ({ part, ageMs: 0 }));
        },
        mergeSurvivals: (survivals, now) => {
            applySurvivals(survivals.map(({ part, ageMs }) => ({ part, at: now - ageMs })), now);
        },
        decide,
        startProbe: (part, now) => {
            const quarantine = quarantines.get(part);
            if (quarantine !== undefined) quarantine.probingUntil = now + PROBE_TIMEOUT_MS;
        },
        endProbe,
        mayRepeat: (parts, now) => {
            return findQuarantines(parts).length === 0 && parts.every(part => evidence.isLikelySound(part, now));
        },
        isQuarantined: part => [...quarantines.values()].some(({ parts }) => parts.includes(part)),
        isKnownToSurvive: evidence.isKnownToSurvive,
        reports,
        mergeReports,
    };
}

function idOf(parts: readonly string[]): string {
    return parts.join(PART_SEPARATOR);
}

function isSubset(subset: readonly string[], parts: ReadonlySet<string>): boolean {
    return subset.every(part => parts.has(part));
}
