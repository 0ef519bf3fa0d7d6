/** `endivewell profile`: commands that change and show profiles and control their rollouts. */
import { Args, Flags } from "@oclif/core";
import VError from "verror";
import type { ConfiguredProfile } from "../core/index.js";
import type { AdminClient } from "./adminClient.js";
import { dryRunFlag, entryFlags, expectSuccess, OperatorCommand } from "./operatorCommand.js";
import { applyProfileFlags, profileFlags } from "./profileFlags.js";

const nameArg = Args.string({ description: "Name of the profile.", required: true });

const revisionFlag = Flags.integer({
    summary: "Revision of the profile that the change is based on; the current one if absent.",
});

interface AcceptedChange {
    /** True if the change was only checked, not applied. */
    readonly dryRun?: boolean;
    readonly name: string;
    readonly revision: number;
}

export class ProfileCreateCommand extends OperatorCommand {
    static override readonly summary = "Create a profile.";
    static override readonly examples = [
        "<%= config.bin %> profile create repair --model desk --root-digest DIGEST --service models",
        "<%= config.bin %> profile create repair --model desk --root-digest DIGEST --service models --floor urgent=0.6" +
        " --floor standard=0.2 --floor overnight=0.1",
    ];
    static override readonly args = { name: nameArg };
    static override readonly flags = { ...entryFlags, ...profileFlags, "dry-run": dryRunFlag };

    async run(): Promise<AcceptedChange> {
        const { args, flags } = await this.parse(ProfileCreateCommand);
        for (const flag of ["model", "root-digest", "service"] as const) {
            if (flags[flag] === undefined) throw new VError({ name: "UsageError" }, "add --%s", flag);
        }
        const profile = applyProfileFlags({ name: args.name }, flags);
        const path = profilePath(args.name) + dryRunQuery(flags["dry-run"]);
        const response = await this.createClient(flags).change("PUT", path, "", profile);
        const accepted = expectSuccess(response) as AcceptedChange;
        this.log(formatChange("created", accepted));
        if (accepted.dryRun !== true) this.log(`'watch ${accepted.name}' shows the rollout`);
        return accepted;
    }
}

export class ProfileChangeCommand extends OperatorCommand {
    static override readonly summary = "Change the given fields of a profile.";
    static override readonly description =
        "Reads the profile and writes it back unless it has been changed in between. A conflict shows both values.";
    static override readonly examples = [
        "<%= config.bin %> profile change repair --root-digest DIGEST",
        "<%= config.bin %> profile change repair --client-weight workshop=2",
        "<%= config.bin %> profile change repair --paused --revision 7",
    ];
    static override readonly args = { name: nameArg };
    static override readonly flags = { ...entryFlags, ...profileFlags, revision: revisionFlag, "dry-run": dryRunFlag };

    async run(): Promise<AcceptedChange> {
        const { args, flags } = await this.parse(ProfileChangeCommand);
        const client = this.createClient(flags);
        const current = await readProfile(client, args.name);
        const profile = applyProfileFlags(current.profile, flags);
        const path = profilePath(args.name) + dryRunQuery(flags["dry-run"]);
        const response = await client.change("PUT", path, expectedEtag(flags.revision, current.etag), profile);
        const accepted = expectSuccess(response) as AcceptedChange;
        this.log(formatChange("changed", accepted));
        return accepted;
    }
}

export class ProfileRetireCommand extends OperatorCommand {
    static override readonly summary = "Retire a profile.";
    static override readonly description = "A profile that was used in the last minute is retired only with --force.";
    static override readonly examples = ["<%= config.bin %> profile retire repair"];
    static override readonly args = { name: nameArg };
    static override readonly flags = {
        ...entryFlags,
        revision: revisionFlag,
        force: Flags.boolean({ summary: "Retire the profile even if it is in use." }),
    };

    async run(): Promise<AcceptedChange> {
        const { args, flags } = await this.parse(ProfileRetireCommand);
        const client = this.createClient(flags);
        const { etag } = await readProfile(client, args.name);
        const path = profilePath(args.name) + (flags.force ? "?force=true" : "");
        const response = await client.change("DELETE", path, expectedEtag(flags.revision, etag));
        const accepted = expectSuccess(response) as AcceptedChange;
        this.log(formatChange("retired", accepted));
        return accepted;
    }
}

export class ProfilePauseCommand extends OperatorCommand {
    static override readonly summary = "Pause the rollout of a profile: no further replica switches versions.";
    static override readonly examples = ["<%= config.bin %> profile pause repair --reason 'answers look wrong'"];
    static override readonly args = { name: nameArg };
    static override readonly flags = {
        ...entryFlags,
        reason: Flags.string({ summary: "Reason, shown by 'profile show'." }),
    };

    async run(): Promise<AcceptedChange> {
        const { args, flags } = await this.parse(ProfilePauseCommand);
        const body = flags.reason === undefined ? {} : { reason: flags.reason };
        const response = await this.createClient(flags).change("POST", `${profilePath(args.name)}/pause`, "", body);
        const accepted = expectSuccess(response) as AcceptedChange;
        this.log(formatChange("paused", accepted));
        return accepted;
    }
}

export class ProfileResumeCommand extends OperatorCommand {
    static override readonly summary = "Resume the rollout of a profile.";
    static override readonly examples = ["<%= config.bin %> profile resume repair"];
    static override readonly args = { name: nameArg };
    static override readonly flags = entryFlags;

    async run(): Promise<AcceptedChange> {
        const { args, flags } = await this.parse(ProfileResumeCommand);
        const response = await this.createClient(flags).change("POST", `${profilePath(args.name)}/resume`, "");
        const accepted = expectSuccess(response) as AcceptedChange;
        this.log(formatChange("resumed", accepted));
        return accepted;
    }
}

export class ProfileRollbackCommand extends OperatorCommand {
    static override readonly summary = "Restore an earlier value of a profile as a new revision.";
    static override readonly examples = ["<%= config.bin %> profile rollback repair --to 7"];
    static override readonly args = { name: nameArg };
    static override readonly flags = {
        ...entryFlags,
        to: Flags.integer({ summary: "Revision to return to; 'profile history' lists them.", required: true }),
    };

    async run(): Promise<AcceptedChange> {
        const { args, flags } = await this.parse(ProfileRollbackCommand);
        const client = this.createClient(flags);
        const { etag } = await readProfile(client, args.name);
        const body = { revision: flags.to };
        const response = await client.change("POST", `${profilePath(args.name)}/rollback`, etag, body);
        const accepted = expectSuccess(response) as AcceptedChange;
        this.log(formatChange("rolled back", accepted));
        return accepted;
    }
}

interface History {
    readonly earlier: readonly ConfiguredProfile[];
}

export class ProfileHistoryCommand extends OperatorCommand {
    static override readonly summary = "List earlier values of a profile, for a rollback.";
    static override readonly examples = ["<%= config.bin %> profile history repair"];
    static override readonly args = { name: nameArg };
    static override readonly flags = entryFlags;

    async run(): Promise<History> {
        const { args, flags } = await this.parse(ProfileHistoryCommand);
        const response = await this.createClient(flags).get(`${profilePath(args.name)}/history`);
        const history = expectSuccess(response) as History;
        for (const { profile, revision } of history.earlier) {
            this.log(`revision ${revision}: ${profile.rootDigest} on ${profile.service}`);
        }
        if (history.earlier.length === 0) this.log("no earlier values");
        return history;
    }
}

export class ProfileShowCommand extends OperatorCommand {
    static override readonly summary = "Show a profile as the entry knows it.";
    static override readonly examples = ["<%= config.bin %> profile show repair --json"];
    static override readonly args = { name: nameArg };
    static override readonly flags = entryFlags;

    async run() {
        const { args, flags } = await this.parse(ProfileShowCommand);
        const { profile, etag } = await readProfile(this.createClient(flags), args.name);
        const revision = Number(etag.replaceAll("\"", ""));
        this.log(`revision: ${revision}`);
        for (const [field, value] of Object.entries(profile)) {
            this.log(`${field}: ${typeof value === "string" ? value : JSON.stringify(value)}`);
        }
        return { revision, profile };
    }
}

export class ProfileListCommand extends OperatorCommand {
    static override readonly summary = "List the profiles that the entry knows.";
    static override readonly examples = ["<%= config.bin %> profile list"];
    static override readonly flags = entryFlags;

    async run(): Promise<ConfiguredProfile[]> {
        const { flags } = await this.parse(ProfileListCommand);
        const profiles = expectSuccess(await this.createClient(flags).get("/profiles")) as ConfiguredProfile[];
        for (const { profile, revision } of profiles) {
            const paused = profile.paused ? ", paused" : "";
            this.log(
                `${profile.name}: ${profile.rootDigest} on ${profile.service}, revision ${revision}${paused}`,
            );
        }
        if (profiles.length === 0) this.log("no profiles; 'profile create' creates one");
        return profiles;
    }
}

async function readProfile(client: AdminClient, profileName: string) {
    const response = await client.get(profilePath(profileName));
    return { profile: expectSuccess(response) as Readonly<Record<string, unknown>>, etag: response.etag };
}

function profilePath(profileName: string): string {
    return `/profiles/${encodeURIComponent(profileName)}`;
}

function dryRunQuery(isDryRun: boolean): string {
    return isDryRun ? "?dryRun=true" : "";
}

function formatChange(
    action: string,
    { name, revision, dryRun }: AcceptedChange,
): string {
    return dryRun === true ?
        `${name} would get revision ${revision}` :
        `${action} ${name} at revision ${revision}`;
}

/** Returns the entity tag of the revision that a change is based on. */
function expectedEtag(revision: number | undefined, currentEtag: string): string {
    return revision === undefined ? currentEtag : `"${revision}"`;
}
