/**
 * The configuration is one snapshot of all profiles under one revision counter. Changes are decided
 * here, without I/O: the caller writes the resulting snapshot conditionally and decides again when
 * another operator's change came first. Processes exchange updates, which hold only the profiles that
 * changed after a revision that the receiver has.
 */
import * as z from "zod";
import { type Digest, isDigest } from "./manifest.js";
import { checkProfile, type Profile, type ProfileProblem } from "./profile.js";

/** A profile with the revision of its last change, which is its entity tag in the administration API. */
export interface ProfileEntry {
    readonly profile: Profile;
    readonly revision: number;
    /**
     * Versions of the same model and pool that the profile named before, newest first. Replicas that haven't
     * switched yet go on serving them, so that a rollout leaves no gap.
     */
    readonly earlierDigests: readonly Digest[];
}

export interface Configuration {
    readonly revision: number;
    readonly profiles: Readonly<Record<string, ProfileEntry>>;
    /** Identifiers of recent changes with the revision they made, oldest first. Empty outside the table's row. */
    readonly changes: readonly AppliedChange[];
}

export interface AppliedChange {
    readonly changeId: string;
    readonly revision: number;
}

/** What a change does to one profile. */
export type ProfileAction =
    | { readonly kind: "put"; readonly profile: unknown; }
    | { readonly kind: "retire"; }
    /** Stops or continues a rollout and leaves everything else as it is. */
    | { readonly kind: "setPaused"; readonly paused: boolean; readonly reason: string; };

export interface ProfileChange {
    /** A repeated command carries the same identifier and has one effect. */
    readonly changeId: string;
    readonly name: string;
    readonly action: ProfileAction;
    /** Revision of the profile that the operator saw; `undefined` if it must not exist; `any` skips the check. */
    readonly expectedRevision: number | undefined | "any";
}

export type ChangeDecision =
    | { readonly kind: "apply"; readonly next: Configuration; }
    | { readonly kind: "alreadyApplied"; readonly revision: number; }
    | { readonly kind: "conflict"; readonly current: ProfileEntry | undefined; }
    | { readonly kind: "invalid"; readonly problems: readonly ProfileProblem[]; };

export const EMPTY_CONFIGURATION: Configuration = { revision: 0, profiles: {}, changes: [] };

// A command is repeated within minutes; 12,000 changes a day are about 8 a minute, so 256 cover half an hour.
const REMEMBERED_CHANGES = 256;

/** Several versions can follow each other before every replica has switched. */
const EARLIER_DIGESTS = 4;

/** Decides one change against the snapshot that the table holds. */
export function decideChange(current: Configuration, change: ProfileChange): ChangeDecision {
    const earlier = current.changes.find(({ changeId }) => changeId === change.changeId);
    if (earlier !== undefined) return { kind: "alreadyApplied", revision: earlier.revision };
    const entry = entryOf(current, change.name);
    if (change.expectedRevision !== "any" && entry?.revision !== change.expectedRevision) {
        return { kind: "conflict", current: entry };
    }
    const revision = current.revision + 1;
    const changes = [...current.changes, { changeId: change.changeId, revision }].slice(-REMEMBERED_CHANGES);
    if (change.action.kind === "retire") {
        if (entry === undefined) return unknownProfile(change.name);
        const { [change.name]: _retired, ...profiles } = current.profiles;
        return { kind: "apply", next: { revision, profiles, changes } };
    }
    const proposed = proposedProfile(entry, change.action);
    if (proposed === undefined) return unknownProfile(change.name);
    const check = checkProfile(proposed);
    if (check.kind === "invalid") return check;
    const problems = problemsIn(current, change.name, check.profile);
    if (problems.length > 0) return { kind: "invalid", problems };
    const next = { profile: check.profile, revision, earlierDigests: earlierDigestsOf(entry, check.profile) };
    const profiles = { ...current.profiles, [change.name]: next };
    return { kind: "apply", next: { revision, profiles, changes } };
}

function earlierDigestsOf(before: ProfileEntry | undefined, { model, rootDigest, service }: Profile): Digest[] {
    if (before === undefined || before.profile.model !== model || before.profile.service !== service) return [];
    const digests = new Set([before.profile.rootDigest, ...before.earlierDigests]);
    digests.delete(rootDigest);
    return [...digests].slice(0, EARLIER_DIGESTS);
}

/** Returns the versions that may answer a profile's requests. */
export function servedDigestsOf({ profile, earlierDigests }: ProfileEntry): Digest[] {
    return [profile.rootDigest, ...earlierDigests];
}

/** Returns a profile by its name, or `undefined` if there is none. */
export function entryOf(configuration: Configuration, name: string): ProfileEntry | undefined {
    return Object.hasOwn(configuration.profiles, name) ? configuration.profiles[name] : undefined;
}

function proposedProfile(entry: ProfileEntry | undefined, action: Exclude<ProfileAction, { kind: "retire"; }>) {
    if (action.kind === "put") return action.profile;
    return entry && { ...entry.profile, paused: action.paused, pauseReason: action.paused ? action.reason : "" };
}

function problemsIn(current: Configuration, name: string, profile: Profile): ProfileProblem[] {
    const problems: ProfileProblem[] = [];
    if (profile.name !== name) problems.push({ path: "name", reason: `the address names ${name}` });
    const other = profilesOf(current, profile.service).find(entry => {
        return entry.profile.name !== name && entry.profile.rootDigest !== profile.rootDigest;
    });
    // An engine serves one version at a time, so two versions would make the pool's agents switch back and forth.
    if (other !== undefined) {
        const { name: otherName, rootDigest } = other.profile;
        const reason = `the profile ${otherName} names version ${rootDigest} for the pool ${profile.service}; ` +
            "use the same version or another pool";
        problems.push({ path: "rootDigest", reason });
    }
    return problems;
}

function unknownProfile(name: string): ChangeDecision {
    return { kind: "invalid", problems: [{ path: "name", reason: `the profile ${name} doesn't exist` }] };
}

/** Returns the snapshot with the greater revision. A process never goes back to a smaller one. */
export function newerConfiguration(a: Configuration, b: Configuration): Configuration {
    return b.revision > a.revision ? b : a;
}

/** Returns the profiles that a pool of agents serves, in the order of their names. */
export function profilesOf(configuration: Configuration, service: string): ProfileEntry[] {
    return Object.values(configuration.profiles)
        .filter(entry => entry.profile.service === service)
        .sort((a, b) => (a.profile.name < b.profile.name ? -1 : 1));
}

const revisionSchema = z.int().min(0);

const earlierSchema = z.array(z.string().refine(isDigest)).max(EARLIER_DIGESTS).default([]);

const updateSchema = z.strictObject({
    revision: revisionSchema,
    /** The update applies to every snapshot whose revision is at least this one. */
    since: revisionSchema,
    /** Names of all profiles at `revision`, so that a receiver drops the retired ones. */
    names: z.array(z.string()).max(10_000),
    /** Profiles whose last change is later than `since`. */
    changed: z.array(z.strictObject({
        profile: z.unknown(),
        revision: revisionSchema,
        earlierDigests: earlierSchema,
    })).max(10_000),
});

/** What one process tells another about the configuration. An update since 0 is the whole snapshot. */
export type ConfigurationUpdate = Readonly<z.infer<typeof updateSchema>>;

export type UpdateResult =
    | { readonly kind: "adopted"; readonly configuration: Configuration; }
    /** The snapshot is at least as new as the update. */
    | { readonly kind: "notNewer"; }
    /** The snapshot is older than what the update builds on; ask for an update since its revision. */
    | { readonly kind: "gap"; }
    | { readonly kind: "invalid"; readonly reason: string; };

/** Returns what a process at revision `since` lacks. */
export function updateSince(configuration: Configuration, since: number): ConfigurationUpdate {
    const entries = Object.values(configuration.profiles);
    return {
        revision: configuration.revision,
        since,
        names: entries.map(({ profile }) => profile.name),
        changed: entries
            .filter(({ revision }) => revision > since)
            .map(entry => ({ ...entry, earlierDigests: [...entry.earlierDigests] })),
    };
}

/** Applies an update from another process. The input is untrusted: it is validated as a whole first. */
export function applyUpdate(current: Configuration, input: unknown): UpdateResult {
    const parsed = updateSchema.safeParse(input);
    if (!parsed.success) return { kind: "invalid", reason: z.prettifyError(parsed.error) };
    const { revision, since, names, changed } = parsed.data;
    if (revision <= current.revision) return { kind: "notNewer" };
    if (since > current.revision) return { kind: "gap" };
    const known = new Map(Object.entries(current.profiles));
    for (const entry of changed) {
        const check = checkProfile(entry.profile);
        if (check.kind === "invalid") return { kind: "invalid", reason: check.problems[0]?.reason ?? "" };
        if (entry.revision > revision) return { kind: "invalid", reason: "a profile is newer than the update" };
        known.set(check.profile.name, { ...entry, profile: check.profile });
    }
    const profiles: [string, ProfileEntry][] = [];
    for (const name of names) {
        const entry = known.get(name);
        if (entry === undefined) return { kind: "invalid", reason: `the profile ${name} is missing` };
        profiles.push([name, entry]);
    }
    return { kind: "adopted", configuration: { revision, profiles: Object.fromEntries(profiles), changes: [] } };
}

const rowSchema = z.object({
    revision: revisionSchema,
    profiles: z.record(
        z.string(),
        z.object({ profile: z.unknown(), revision: revisionSchema, earlierDigests: earlierSchema }),
    ),
    changes: z.array(z.object({ changeId: z.string(), revision: revisionSchema })),
});

/** Validates the table's row. Returns `undefined` for anything that isn't a configuration. */
export function parseConfiguration(input: unknown): Configuration | undefined {
    const parsed = rowSchema.safeParse(input);
    if (!parsed.success) return undefined;
    const profiles: [string, ProfileEntry][] = [];
    for (const [name, entry] of Object.entries(parsed.data.profiles)) {
        const check = checkProfile(entry.profile);
        if (check.kind === "invalid" || check.profile.name !== name) return undefined;
        profiles.push([name, { ...entry, profile: check.profile }]);
    }
    return { ...parsed.data, profiles: Object.fromEntries(profiles) };
}
