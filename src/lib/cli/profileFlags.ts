/** Flags that describe a profile, shared by `profile create` and `profile change`. */
import { Flags } from "@oclif/core";
import VError from "verror";

export const profileFlags = {
    model: Flags.string({ summary: "Model name shown to callers in addition to the profile's name." }),
    "root-digest": Flags.string({
        summary: "Version to serve, as printed by publish, or latest for the most recently published one.",
    }),
    service: Flags.string({ summary: "Pool of agents that serves the profile." }),
    floor: Flags.string({
        summary: "Fraction of the pool's capacity that a rank keeps, for example urgent=0.5.",
        multiple: true,
    }),
    "client-weight": Flags.string({
        summary: "Share of a client relative to the others of its rank, for example workshop=2.",
        multiple: true,
    }),
    "max-unavailable": Flags.integer({ summary: "Replicas that may switch versions at the same time." }),
    paused: Flags.boolean({ summary: "Pause the rollout: no further replica switches versions.", allowNo: true }),
};

export interface ProfileFlagValues {
    readonly model?: string;
    readonly "root-digest"?: string;
    readonly service?: string;
    readonly floor?: readonly string[];
    readonly "client-weight"?: readonly string[];
    readonly "max-unavailable"?: number;
    readonly paused?: boolean;
}

type ProfileFields = Readonly<Record<string, unknown>>;

/** Returns the profile with the given flags applied. The entry validates the result. */
export function applyProfileFlags(profile: ProfileFields, flags: ProfileFlagValues): ProfileFields {
    const changes: Record<string, unknown> = {
        model: flags.model,
        rootDigest: flags["root-digest"],
        service: flags.service,
        maxUnavailable: flags["max-unavailable"],
        paused: flags.paused,
        floors: mergeAssignments(profile.floors, flags.floor),
        clientWeights: mergeAssignments(profile.clientWeights, flags["client-weight"]),
    };
    const givenFields = Object.entries(changes).filter(([, value]) => value !== undefined);
    return { ...profile, ...Object.fromEntries(givenFields) };
}

function mergeAssignments(current: unknown, assignments: readonly string[] | undefined): object | undefined {
    if (assignments === undefined) return undefined;
    return { ...current as object | undefined, ...Object.fromEntries(assignments.map(parseAssignment)) };
}

function parseAssignment(text: string): [string, number] {
    const [, name = "", value = ""] = /^([^=]+)=(.+)$/.exec(text) ?? [];
    if (name === "" || !Number.isFinite(Number(value))) {
        throw new VError({ name: "UsageError" }, "%s isn't of the form NAME=NUMBER", text);
    }
    return [name, Number(value)];
}
