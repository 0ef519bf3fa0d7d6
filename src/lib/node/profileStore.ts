/**
 * Applies changes of profiles and evacuations to the configuration row with optimistic concurrency control. A change is
 * accepted only once its commit is known; if the outcome of a write is unknown, the change identifier is read back.
 * Before a value is replaced, it is added to the profile's history row, so that the history never lacks a value that
 * was active and never has one that wasn't.
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
    latestKey,
    manifestKey,
    type ObjectStore,
    type TableRead,
    type TableService,
    type WriteCondition,
} from "../clients/index.js";
import {
    type ChangeDecision,
    type Configuration,
    type ConfiguredProfile,
    decideChange,
    EMPTY_CONFIGURATION,
    findConfiguredProfile,
    parseConfiguration,
    type ProfileChange,
    type ProfileProblem,
} from "../core/index.js";
import { CONFIGURATION_KEY, CONFIGURATION_TABLE } from "./configurationSync.js";

export type ChangeResult =
    | {
        readonly kind: "accepted";
        readonly configuration: Configuration;
        readonly revision: number;
        /** Number of times that the change was tried again; 0 without contention and failures. */
        readonly retries: number;
    }
    /** Result of a dry run: the change would be accepted as this revision. */
    | { readonly kind: "wouldApply"; readonly revision: number; readonly entry: ConfiguredProfile | undefined; }
    | Exclude<ChangeDecision, { kind: "apply" | "alreadyApplied"; }>
    /** `mayHaveRun` is true if a write was sent whose outcome is unknown. */
    | { readonly kind: "unavailable"; readonly mayHaveRun: boolean; readonly reason: string; };

export interface ProfileStore {
    /**
     * Applies a change; with `dryRun` only decides it. A change that is sent again with the same identifier is applied
     * once.
     *
     * @param refuseRetire returns why a profile must not be retired, or `undefined` if it may be.
     */
    apply(change: ProfileChange, options?: ChangeOptions): Promise<ChangeResult>;
    /** Returns earlier values of a profile, newest first, or `undefined` if the table can't be reached. */
    history(name: string): Promise<readonly ConfiguredProfile[] | undefined>;
}

export interface ChangeOptions {
    readonly dryRun?: boolean;
    readonly refuseRetire?: (entry: ConfiguredProfile) => string | undefined;
}

export interface ProfileStoreOptions {
    readonly table: TableService;
    /** A profile can name only versions that have a manifest in this store. */
    readonly weightStore: ObjectStore;
    /** Monotonic clock, in milliseconds. */
    readonly now: () => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}

/** Placeholder for a root digest: the version of the model that was published last. */
export const LATEST = "latest";

export const HISTORY_TABLE = "configurationHistory";

const MAX_HISTORY_VALUES = 8;

/** Shorter than the 10 s timeout of the operator commands, so that they receive the result. */
const APPLY_TIMEOUT_MS = 8000;

const INITIAL_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 400;

type AttemptResult = ChangeResult | { readonly kind: "retry"; readonly mayHaveRun: boolean; readonly reason: string; };

export function createProfileStore({ table, weightStore, now, random }: ProfileStoreOptions): ProfileStore {
    async function apply(change: ProfileChange, options: ChangeOptions = {}): Promise<ChangeResult> {
        const deadline = now() + APPLY_TIMEOUT_MS;
        let mayHaveRun = false;
        for (let attempt = 0;; attempt++) {
            const result = await tryApply(change, options, attempt);
            if (result.kind !== "retry") return result;
            mayHaveRun ||= result.mayHaveRun;
            const pauseMs = random() * Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** attempt);
            if (now() + pauseMs >= deadline) return { kind: "unavailable", mayHaveRun, reason: result.reason };
            await sleep(pauseMs);
        }
    }

    async function tryApply(
        change: ProfileChange,
        options: ChangeOptions,
        retries: number,
    ): Promise<AttemptResult> {
        const read = await table.read(CONFIGURATION_TABLE, CONFIGURATION_KEY);
        if (read.kind !== "found" && read.kind !== "missing") return retryBecause("the table service is unavailable");
        const current = read.kind === "found" ? parseConfiguration(read.value) : EMPTY_CONFIGURATION;
        if (current === undefined) return retryBecause("the configuration row is invalid");
        const resolved = await resolveLatest(change);
        if (resolved === undefined) return retryBecause("the weight store is unavailable");
        const decision = decideChange(current, resolved);
        if (decision.kind === "alreadyApplied") {
            return { kind: "accepted", configuration: current, revision: decision.revision, retries };
        }
        if (decision.kind !== "apply") return decision;
        const findProfile = (configuration: Configuration) =>
            change.action.kind === "setEvacuated" ? undefined : findConfiguredProfile(configuration, change.name);
        const [before, after] = [findProfile(current), findProfile(decision.next)];
        const refusal = change.action.kind === "retire" && before && options.refuseRetire?.(before);
        if (refusal) return { kind: "invalid", problems: [{ path: "", reason: refusal }] };
        const problem = await findVersionProblem(before, after);
        if (problem === "unavailable") return retryBecause("the weight store is unavailable");
        if (problem !== undefined) return { kind: "invalid", problems: [problem] };
        const { revision } = decision.next;
        if (options.dryRun === true) return { kind: "wouldApply", revision, entry: after };
        if (before !== undefined && !await archive(before)) return retryBecause("the table service is unavailable");
        const write = await table.write(CONFIGURATION_TABLE, CONFIGURATION_KEY, decision.next, conditionFor(read));
        if (write.kind === "written") return { kind: "accepted", configuration: decision.next, revision, retries };
        // The next read shows whether a write with an unknown outcome was committed. If it wasn't, it can't take effect
        // after another write, because it is conditional on the entity tag that was read here.
        return { kind: "retry", mayHaveRun: write.kind === "unclear", reason: "the outcome of the write is unknown" };
    }

    /**
     * Replaces `latest` by the newest digest of the model, so that an accepted change has a fixed version. Returns
     * `undefined` if the weight store is unavailable.
     */
    async function resolveLatest(change: ProfileChange): Promise<ProfileChange | undefined> {
        const { action } = change;
        if (action.kind !== "put") return change;
        const { model, rootDigest } = action.profile as { model?: unknown; rootDigest?: unknown; };
        if (rootDigest !== LATEST || typeof model !== "string") return change;
        try {
            const digest = (await weightStore.get(latestKey(model)))?.toString("utf8") ?? LATEST;
            return { ...change, action: { ...action, profile: { ...action.profile as object, rootDigest: digest } } };
        }
        catch {
            return undefined;
        }
    }

    /** Returns why the new version can't be served, `undefined` if it can be, or `unavailable` if that is unknown. */
    async function findVersionProblem(
        before: ConfiguredProfile | undefined,
        after: ConfiguredProfile | undefined,
    ): Promise<ProfileProblem | "unavailable" | undefined> {
        if (after === undefined || after.profile.rootDigest === before?.profile.rootDigest) return undefined;
        const { rootDigest } = after.profile;
        try {
            if (await weightStore.has(manifestKey(rootDigest))) return undefined;
        }
        catch {
            return "unavailable";
        }
        return { path: "rootDigest", reason: `the weight store has no version ${rootDigest}; publish it first` };
    }

    /** Adds a value to the profile's history row. Returns false if it is unknown whether the row has it. */
    async function archive(value: ConfiguredProfile): Promise<boolean> {
        const { name } = value.profile;
        const read = await table.read(HISTORY_TABLE, name);
        if (read.kind !== "found" && read.kind !== "missing") return false;
        const archived = read.kind === "found" ? read.value as ConfiguredProfile[] : [];
        if (archived.some(({ revision }) => revision === value.revision)) return true;
        const newestValues = [value, ...archived].sort((a, b) => b.revision - a.revision).slice(0, MAX_HISTORY_VALUES);
        const write = await table.write(HISTORY_TABLE, name, newestValues, conditionFor(read));
        return write.kind === "written";
    }

    async function history(name: string): Promise<readonly ConfiguredProfile[] | undefined> {
        const read = await table.read(HISTORY_TABLE, name);
        if (read.kind === "missing") return [];
        return read.kind === "found" ? read.value as ConfiguredProfile[] : undefined;
    }

    return { apply, history };
}

function retryBecause(reason: string): AttemptResult {
    return { kind: "retry", mayHaveRun: false, reason };
}

function conditionFor(read: TableRead): WriteCondition {
    return read.kind === "found" ? { kind: "unchanged", etag: read.etag } : { kind: "absent" };
}
