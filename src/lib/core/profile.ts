/**
 * Profiles, which define the version that a pool of agents serves and how its capacity is shared between ranks and
 * clients. `checkProfile` validates an operator's input and returns every problem with its path.
 */
import * as z from "zod";
import { isDigest } from "./manifest.js";
import { RANKS } from "./rank.js";

const share = z.number().min(0).max(1);

const profileSchema = z.strictObject({
    name: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "use lowercase letters, digits and hyphens"),
    /** Model name shown to callers in addition to the profile's name. */
    model: z.string().min(1).max(200),
    rootDigest: z.string().refine(isDigest, "use the root digest that publish printed"),
    /** Pool of agents that serves the profile. */
    service: z.string().min(1).max(63),
    /** Minimum fraction of the pool's capacity for each rank while the others are overloaded. */
    floors: z.strictObject({ urgent: share, standard: share, overnight: share })
        .refine(floors => RANKS.reduce((sum, rank) => sum + floors[rank], 0) <= 1, "the floors add up to more than 1")
        .default({ urgent: 0.5, standard: 0.2, overnight: 0.05 }),
    /** Weight of a client relative to others of the same rank; 1 for clients that aren't listed. */
    clientWeights: z.record(z.string(), z.number().positive().max(100)).default({}),
    /** Number of replicas that may switch versions at the same time. */
    maxUnavailable: z.int().min(1).max(1000).default(1),
    /** While paused, no further replica switches versions. */
    paused: z.boolean().default(false),
    /** Why the rollout is paused; empty if it isn't. */
    pauseReason: z.string().max(500).default(""),
});

export type Profile = Readonly<z.infer<typeof profileSchema>>;

/** A validation error. `path` is dotted, for example `floors.urgent`. */
export interface ProfileProblem {
    readonly path: string;
    readonly reason: string;
}

export type ProfileCheck =
    | { readonly kind: "valid"; readonly profile: Profile; }
    | { readonly kind: "invalid"; readonly problems: readonly ProfileProblem[]; };

/** Validates untrusted input and applies defaults. */
export function checkProfile(input: unknown): ProfileCheck {
    const result = profileSchema.safeParse(input);
    if (result.success) return { kind: "valid", profile: result.data };
    const problems = result.error.issues.map(issue => ({ path: issue.path.join("."), reason: issue.message }));
    return { kind: "invalid", problems };
}
