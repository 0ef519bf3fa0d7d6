/** `endivewell profile`: create, change, retire, show and list profiles. */
import { Args, Flags } from "@oclif/core";
import VError from "verror";
import type { ProfileEntry } from "../core/index.js";
import type { AdminConnection } from "./adminConnection.js";
import { entryFlags, expectSuccess, OperatorCommand } from "./operatorCommand.js";
import { applyProfileFlags, profileFlags } from "./profileFlags.js";

const name = Args.string({ description: "Name of the profile.", required: true });

const revision = Flags.integer({
    summary: "Revision of the profile that the change is based on; the present one if absent.",
});

interface Accepted {
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
    static override readonly args = { name };
    static override readonly flags = { ...entryFlags, ...profileFlags };

    async run(): Promise<Accepted> {
        const { args, flags } = await this.parse(ProfileCreateCommand);
        for (const flag of ["model", "root-digest", "service"] as const) {
            if (flags[flag] === undefined) throw new VError({ name: "UsageError" }, "add --%s", flag);
        }
        const profile = applyProfileFlags({ name: args.name }, flags);
        const answer = await this.connect(flags).change("PUT", pathOf(args.name), "", profile);
        const accepted = expectSuccess(answer) as Accepted;
        this.log(
            `created ${accepted.name} at revision ${accepted.revision}; 'watch ${accepted.name}' shows the rollout`,
        );
        return accepted;
    }
}

export class ProfileChangeCommand extends OperatorCommand {
    static override readonly summary = "Change the given fields of a profile.";
    static override readonly description =
        "Reads the profile and writes it back on condition that nobody changed it in between. A conflict shows both values.";
    static override readonly examples = [
        "<%= config.bin %> profile change repair --root-digest DIGEST",
        "<%= config.bin %> profile change repair --client-weight workshop=2",
        "<%= config.bin %> profile change repair --paused --revision 7",
    ];
    static override readonly args = { name };
    static override readonly flags = { ...entryFlags, ...profileFlags, revision: revision };

    async run(): Promise<Accepted> {
        const { args, flags } = await this.parse(ProfileChangeCommand);
        const connection = this.connect(flags);
        const seen = await readProfile(connection, args.name);
        const profile = applyProfileFlags(seen.profile, flags);
        const answer = await connection.change("PUT", pathOf(args.name), etagOf(flags.revision, seen.etag), profile);
        const accepted = expectSuccess(answer) as Accepted;
        this.log(`changed ${accepted.name} at revision ${accepted.revision}`);
        return accepted;
    }
}

export class ProfileRetireCommand extends OperatorCommand {
    static override readonly summary = "Retire a profile.";
    static override readonly examples = ["<%= config.bin %> profile retire repair"];
    static override readonly args = { name };
    static override readonly flags = { ...entryFlags, revision: revision };

    async run(): Promise<Accepted> {
        const { args, flags } = await this.parse(ProfileRetireCommand);
        const connection = this.connect(flags);
        const { etag } = await readProfile(connection, args.name);
        const answer = await connection.change("DELETE", pathOf(args.name), etagOf(flags.revision, etag));
        const accepted = expectSuccess(answer) as Accepted;
        this.log(`retired ${accepted.name} at revision ${accepted.revision}`);
        return accepted;
    }
}

export class ProfileShowCommand extends OperatorCommand {
    static override readonly summary = "Show a profile as the entry knows it.";
    static override readonly examples = ["<%= config.bin %> profile show repair --json"];
    static override readonly args = { name };
    static override readonly flags = entryFlags;

    async run() {
        const { args, flags } = await this.parse(ProfileShowCommand);
        const { profile, etag } = await readProfile(this.connect(flags), args.name);
        const seen = Number(etag.replaceAll("\"", ""));
        this.log(`revision: ${seen}`);
        for (const [field, value] of Object.entries(profile)) {
            this.log(`${field}: ${typeof value === "string" ? value : JSON.stringify(value)}`);
        }
        return { revision: seen, profile };
    }
}

export class ProfileListCommand extends OperatorCommand {
    static override readonly summary = "List the profiles that the entry knows.";
    static override readonly examples = ["<%= config.bin %> profile list"];
    static override readonly flags = entryFlags;

    async run(): Promise<ProfileEntry[]> {
        const { flags } = await this.parse(ProfileListCommand);
        const entries = expectSuccess(await this.connect(flags).get("/profiles")) as ProfileEntry[];
        for (const entry of entries) {
            const { profile } = entry;
            const paused = profile.paused ? ", paused" : "";
            this.log(
                `${profile.name}: ${profile.rootDigest} on ${profile.service}, revision ${entry.revision}${paused}`,
            );
        }
        if (entries.length === 0) this.log("no profiles; 'profile create' makes one");
        return entries;
    }
}

async function readProfile(connection: AdminConnection, profileName: string) {
    const answer = await connection.get(pathOf(profileName));
    return { profile: expectSuccess(answer) as Readonly<Record<string, unknown>>, etag: answer.etag };
}

function pathOf(profileName: string): string {
    return `/profiles/${encodeURIComponent(profileName)}`;
}

function etagOf(expected: number | undefined, seen: string): string {
    return expected === undefined ? seen : `"${expected}"`;
}
