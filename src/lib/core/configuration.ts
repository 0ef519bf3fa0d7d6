/**
 * The configuration: a snapshot of all profiles and evacuations with one revision counter. This module computes changes
 * without I/O. The caller writes the resulting snapshot with a conditional write and computes the change again if
 * another change was written first. Processes exchange incremental updates, which contain only the profiles that
 * changed since a revision that the receiver has.
 */
import * as z from "zod";
import { type Digest, isDigest } from "./manifest.js";
import { checkProfile, type Profile, type ProfileProblem } from "./profile.js";

/** A profile and the revision of its last change, which serves as its entity tag in the administration API. */
export interface ConfiguredProfile {
    readonly profile: Profile;
    readonly revision: number;
    /**
     * Earlier versions of the same model and pool, newest first. Replicas that haven't switched yet continue to
     * serve them, so that the profile stays available during a rollout.
     */
    readonly earlierDigests: readonly Digest[];
}

export interface Configuration {
    readonly revision: number;
    readonly profiles: Readonly<Record<string, ConfiguredProfile>>;
    /**
     * Failure domains whose agents get no new work, in alphabetical order. `undefined` if the snapshot was written by a
     * version of the program that doesn't know evacuations.
     */
    readonly evacuatedDomains?: readonly string[] | undefined;
    /** Recent changes, oldest first. Only the row in the table service has them; empty elsewhere. */
    readonly changes: readonly AppliedChange[];
}

export interface AppliedChange {
    readonly changeId: string;
    readonly revision: number;
}

export type ProfileAction =
    | { readonly kind: "put"; readonly profile: unknown; }
    | { readonly kind: "retire"; }
    /** Pauses or resumes a rollout without any other change. */
    | { readonly kind: "setPaused"; readonly paused: boolean; readonly reason: string; };

/** Starts or withdraws the evacuation of a failure domain. */
export interface EvacuationAction {
    readonly kind: "setEvacuated";
    readonly evacuated: boolean;
}

export interface ProfileChange {
    /** Idempotency key: a repeated command with the same identifier takes effect once. */
    readonly changeId: string;
    /** Name of the profile, or of the failure domain if the action is an evacuation. */
    readonly name: string;
    readonly action: ProfileAction | EvacuationAction;
    /** Revision that the profile must have; `undefined` if it must not exist; `any` skips the check. */
    readonly expectedRevision: number | undefined | "any";
}

export type ChangeDecision =
    | { readonly kind: "apply"; readonly next: Configuration; }
    | { readonly kind: "alreadyApplied"; readonly revision: number; }
    /** The failure domain is in the requested state already. */
    | { readonly kind: "unchanged"; readonly revision: number; }
    | { readonly kind: "conflict"; readonly current: ConfiguredProfile | undefined; }
    | { readonly kind: "invalid"; readonly problems: readonly ProfileProblem[]; };

export const EMPTY_CONFIGURATION: Configuration = { revision: 0, profiles: {}, changes: [] };

/**
 * Changes remembered to detect repeated commands, which come within minutes. At 12,000 changes a day (about 8 a
 * minute), 256 changes cover half an hour.
 */
const MAX_RECENT_CHANGES = 256;

/** Settings and the VM list accept any name; this excludes only what is probably a mistake of the operator. */
const FAILURE_DOMAIN_PATTERN = /^[^\s\p{Cc}-][^\s\p{Cc}]{0,99}$/u;

/** More than one, because several versions can be published before every replica has switched. */
const MAX_EARLIER_DIGESTS = 4;

/** Applies a change to the table's current snapshot and returns the next snapshot or the reason for rejection. */
export function decideChange(current: Configuration, change: ProfileChange): ChangeDecision {
    const appliedChange = current.changes.find(({ changeId }) => changeId === change.changeId);
    if (appliedChange !== undefined) return { kind: "alreadyApplied", revision: appliedChange.revision };
    const { action } = change;
    if (action.kind === "setEvacuated") return decideEvacuation(current, change, action.evacuated);
    const configured = findConfiguredProfile(current, change.name);
    if (change.expectedRevision !== "any" && configured?.revision !== change.expectedRevision) {
        return { kind: "conflict", current: configured };
    }
    const { revision, changes } = nextRevision(current, change);
    if (action.kind === "retire") {
        if (configured === undefined) return rejectUnknownProfile(change.name);
        const { [change.name]: _retired, ...profiles } = current.profiles;
        return { kind: "apply", next: { ...current, revision, profiles, changes } };
    }
    const proposed = applyAction(configured, action);
    if (proposed === undefined) return rejectUnknownProfile(change.name);
    const check = checkProfile(proposed);
    if (check.kind === "invalid") return check;
    const problems = findConflicts(current, change.name, check.profile);
    if (problems.length > 0) return { kind: "invalid", problems };
    const changed = { profile: check.profile, revision, earlierDigests: earlierDigestsOf(configured, check.profile) };
    const profiles = { ...current.profiles, [change.name]: changed };
    return { kind: "apply", next: { ...current, revision, profiles, changes } };
}

/** An evacuation needs no expected revision: its result doesn't depend on what other operators changed. */
function decideEvacuation(current: Configuration, change: ProfileChange, evacuated: boolean): ChangeDecision {
    const { name } = change;
    if (!FAILURE_DOMAIN_PATTERN.test(name)) {
        const reason = "the name of a failure domain has 1 to 100 characters, no spaces and no leading hyphen";
        return { kind: "invalid", problems: [{ path: "name", reason }] };
    }
    if (isEvacuated(current, name) === evacuated) return { kind: "unchanged", revision: current.revision };
    const others = (current.evacuatedDomains ?? []).filter(domain => domain !== name);
    const evacuatedDomains = evacuated ? [...others, name].sort() : others;
    return { kind: "apply", next: { ...current, ...nextRevision(current, change), evacuatedDomains } };
}

function nextRevision(current: Configuration, { changeId }: ProfileChange) {
    const revision = current.revision + 1;
    return { revision, changes: [...current.changes, { changeId, revision }].slice(-MAX_RECENT_CHANGES) };
}

/** Returns whether the operator has evacuated a failure domain, so that its agents get no new work. */
export function isEvacuated(configuration: Configuration, failureDomain: string): boolean {
    return configuration.evacuatedDomains?.includes(failureDomain) === true;
}

function earlierDigestsOf(before: ConfiguredProfile | undefined, { model, rootDigest, service }: Profile): Digest[] {
    if (before === undefined || before.profile.model !== model || before.profile.service !== service) return [];
    const digests = new Set([before.profile.rootDigest, ...before.earlierDigests]);
    digests.delete(rootDigest);
    return [...digests].slice(0, MAX_EARLIER_DIGESTS);
}

/** Returns the root digests of all versions that may answer a profile's requests, newest first. */
export function servedDigestsOf({ profile, earlierDigests }: ConfiguredProfile): Digest[] {
    return [profile.rootDigest, ...earlierDigests];
}

/** Returns a profile with its revision by name, or `undefined` if there is none. */
export function findConfiguredProfile(configuration: Configuration, name: string): ConfiguredProfile | undefined {
    return Object.hasOwn(configuration.profiles, name) ? configuration.profiles[name] : undefined;
}

function applyAction(configured: ConfiguredProfile | undefined, action: Exclude<ProfileAction, { kind: "retire"; }>) {
    if (action.kind === "put") return action.profile;
    return configured &&
        { ...configured.profile, paused: action.paused, pauseReason: action.paused ? action.reason : "" };
}

function findConflicts(current: Configuration, name: string, profile: Profile): ProfileProblem[] {
    const problems: ProfileProblem[] = [];
    if (profile.name !== name) problems.push({ path: "name", reason: `the address names ${name}` });
    const conflicting = profilesOf(current, profile.service).find(configured => {
        return configured.profile.name !== name && configured.profile.rootDigest !== profile.rootDigest;
    });
    // An engine serves one version at a time. With two versions, the pool's agents would keep switching between them.
    if (conflicting !== undefined) {
        const { name: otherName, rootDigest } = conflicting.profile;
        const reason = `the profile ${otherName} names version ${rootDigest} for the pool ${profile.service}; ` +
            "use the same version or another pool";
        problems.push({ path: "rootDigest", reason });
    }
    return problems;
}

function rejectUnknownProfile(name: string): ChangeDecision {
    return { kind: "invalid", problems: [{ path: "name", reason: `the profile ${name} doesn't exist` }] };
}

/** Returns the snapshot with the higher revision, so that a process never returns to an older one. */
export function newerConfiguration(a: Configuration, b: Configuration): Configuration {
    return b.revision > a.revision ? b : a;
}

/** Returns the profiles that a pool of agents serves, sorted by name. */
export function profilesOf(configuration: Configuration, service: string): ConfiguredProfile[] {
    return Object.values(configuration.profiles)
        .filter(configured => configured.profile.service === service)
        .sort((a, b) => (a.profile.name < b.profile.name ? -1 : 1));
}

const revisionSchema = z.int().min(0);

const earlierSchema = z.array(z.string().refine(isDigest)).max(MAX_EARLIER_DIGESTS).default([]);

const updateSchema = z.strictObject({
    revision: revisionSchema,
    /** Base revision: the update applies to snapshots of this revision or a later one. */
    since: revisionSchema,
    /** Names of all profiles at `revision`, so that the receiver removes retired ones. */
    names: z.array(z.string()).max(10_000),
    /** Profiles that changed after `since`. */
    changed: z.array(z.strictObject({
        profile: z.unknown(),
        revision: revisionSchema,
        earlierDigests: earlierSchema,
    })).max(10_000),
});

/** Incremental update that processes send each other. An update since 0 contains the whole snapshot. */
export type ConfigurationUpdate = Readonly<z.infer<typeof updateSchema>>;

export type UpdateResult =
    | { readonly kind: "adopted"; readonly configuration: Configuration; }
    /** The snapshot is at least as new as the update. */
    | { readonly kind: "notNewer"; }
    /** The snapshot is older than the update's base; request an update since the snapshot's revision. */
    | { readonly kind: "gap"; }
    | { readonly kind: "invalid"; readonly reason: string; };

/** Returns the update for a process whose snapshot has revision `since`. */
export function updateSince(configuration: Configuration, since: number): ConfigurationUpdate {
    const configuredProfiles = Object.values(configuration.profiles);
    return {
        revision: configuration.revision,
        since,
        names: configuredProfiles.map(({ profile }) => profile.name),
        changed: configuredProfiles
            .filter(({ revision }) => revision > since)
            .map(configured => ({ ...configured, earlierDigests: [...configured.earlierDigests] })),
    };
}

/** Applies an update from another process. The input is untrusted; an invalid update is rejected as a whole. */
export function applyUpdate(current: Configuration, input: unknown): UpdateResult {
    const parsed = updateSchema.safeParse(input);
    if (!parsed.success) return { kind: "invalid", reason: z.prettifyError(parsed.error) };
    const { revision, since, names, changed } = parsed.data;
    if (revision <= current.revision) return { kind: "notNewer" };
    if (since > current.revision) return { kind: "gap" };
    const profilesByName = new Map(Object.entries(current.profiles));
    for (const configured of changed) {
        const check = checkProfile(configured.profile);
        if (check.kind === "invalid") return { kind: "invalid", reason: check.problems[0]?.reason ?? "" };
        if (configured.revision > revision) {
            return { kind: "invalid", reason: `the profile ${check.profile.name} is newer than the update` };
        }
        profilesByName.set(check.profile.name, { ...configured, profile: check.profile });
    }
    const profiles: [string, ConfiguredProfile][] = [];
    for (const name of names) {
        const configured = profilesByName.get(name);
        if (configured === undefined) return { kind: "invalid", reason: `the profile ${name} is missing` };
        profiles.push([name, configured]);
    }
    return { kind: "adopted", configuration: { revision, profiles: Object.fromEntries(profiles), changes: [] } };
}

const rowSchema = z.object({
    revision: revisionSchema,
    profiles: z.record(
        z.string(),
        z.object({ profile: z.unknown(), revision: revisionSchema, earlierDigests: earlierSchema }),
    ),
    evacuatedDomains: z.array(z.string()).optional(),
    changes: z.array(z.object({ changeId: z.string(), revision: revisionSchema })),
});

/** Parses the configuration row of the table service. Returns `undefined` if it is invalid. */
export function parseConfiguration(input: unknown): Configuration | undefined {
    const parsed = rowSchema.safeParse(input);
    if (!parsed.success) return undefined;
    const profiles: [string, ConfiguredProfile][] = [];
    for (const [name, configured] of Object.entries(parsed.data.profiles)) {
        const check = checkProfile(configured.profile);
        if (check.kind === "invalid" || check.profile.name !== name) return undefined;
        profiles.push([name, { ...configured, profile: check.profile }]);
    }
    return { ...parsed.data, profiles: Object.fromEntries(profiles) };
}
