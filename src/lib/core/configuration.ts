/**
 * The configuration is one snapshot of all profiles under one revision counter. Changes are decided
 * here, without I/O: the caller writes the resulting snapshot conditionally and decides again when
 * another operator's change came first.
 */
import { checkProfile, type Profile, type ProfileProblem } from "./profile.js";

/** A profile with the revision of its last change, which is its entity tag in the administration API. */
export interface ProfileEntry {
    readonly profile: Profile;
    readonly revision: number;
}

export interface Configuration {
    readonly revision: number;
    readonly profiles: Readonly<Record<string, ProfileEntry>>;
    /** Identifiers of recent changes with the revision they made, oldest first. */
    readonly changes: readonly AppliedChange[];
}

export interface AppliedChange {
    readonly changeId: string;
    readonly revision: number;
}

export interface ProfileChange {
    /** A repeated command carries the same identifier and has one effect. */
    readonly changeId: string;
    readonly name: string;
    /** `undefined` retires the profile. */
    readonly profile: unknown;
    /** Revision of the profile that the operator saw; `undefined` if it must not exist. */
    readonly expectedRevision: number | undefined;
}

export type ChangeDecision =
    | { readonly kind: "apply"; readonly next: Configuration; }
    | { readonly kind: "alreadyApplied"; readonly revision: number; }
    | { readonly kind: "conflict"; readonly current: ProfileEntry | undefined; }
    | { readonly kind: "invalid"; readonly problems: readonly ProfileProblem[]; };

export const EMPTY_CONFIGURATION: Configuration = { revision: 0, profiles: {}, changes: [] };

// A command is repeated within minutes; 12,000 changes a day are about 8 a minute.
const REMEMBERED_CHANGES = 256;

/** Decides one change against the snapshot that the table holds. */
export function decideChange(current: Configuration, change: ProfileChange): ChangeDecision {
    const earlier = current.changes.find(({ changeId }) => changeId === change.changeId);
    if (earlier !== undefined) return { kind: "alreadyApplied", revision: earlier.revision };
    const entry = current.profiles[change.name];
    if (entry?.revision !== change.expectedRevision) return { kind: "conflict", current: entry };
    const revision = current.revision + 1;
    const changes = [...current.changes, { changeId: change.changeId, revision }].slice(-REMEMBERED_CHANGES);
    if (change.profile === undefined) {
        const { [change.name]: _retired, ...profiles } = current.profiles;
        return { kind: "apply", next: { revision, profiles, changes } };
    }
    const check = checkProfile(change.profile);
    if (check.kind === "invalid") return check;
    if (check.profile.name !== change.name) {
        return { kind: "invalid", problems: [{ path: "name", reason: `the address names ${change.name}` }] };
    }
    const profiles = { ...current.profiles, [change.name]: { profile: check.profile, revision } };
    return { kind: "apply", next: { revision, profiles, changes } };
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
