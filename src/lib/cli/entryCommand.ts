/** `endivewell entry`: runs an entry until SIGTERM or SIGINT. */
import { Command, Flags } from "@oclif/core";
import { runRole } from "./roles.js";

export class EntryCommand extends Command {
    static override readonly summary = "Run an entry: the server for callers and operators.";
    static override readonly examples = ["<%= config.bin %> entry --settings entry.jsonc"];
    static override readonly flags = {
        settings: Flags.string({ summary: "Settings file, JSON with comments.", required: true }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(EntryCommand);
        await runRole({ role: "entry", settingsFile: flags.settings, isOnPlatform: false });
    }
}
