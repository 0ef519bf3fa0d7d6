/** `endivewell settings check`: checks a settings file without starting anything. */
import { Args, Flags } from "@oclif/core";
import VError from "verror";
import { agentSchema, checkSettings, entrySchema, formatProblem, readSettingsFile } from "../settings/index.js";
import { ExitCode } from "./exitCode.js";
import { OperatorCommand } from "./operatorCommand.js";

export class SettingsCheckCommand extends OperatorCommand {
    static override readonly summary = "Check a settings file and name every problem with its line.";
    static override readonly description = "The files that the settings name are read at start, not by this command.";
    static override readonly examples = ["<%= config.bin %> settings check --role agent agent.jsonc"];
    static override readonly args = { file: Args.string({ description: "Settings file.", required: true }) };
    static override readonly flags = {
        role: Flags.option({ options: ["entry", "agent"] as const, summary: "Role of the process.", required: true })(),
    };

    async run() {
        const { args, flags } = await this.parse(SettingsCheckCommand);
        const text = readSettingsFile(args.file);
        const result = flags.role === "entry" ?
            checkSettings(args.file, text, entrySchema) :
            checkSettings(args.file, text, agentSchema);
        if (result.kind === "invalid") {
            const info = { exitCode: ExitCode.usage, problems: result.problems };
            throw new VError({ name: "SettingsError", info }, "%s", result.problems.map(formatProblem).join("\n"));
        }
        this.log(`${args.file}: valid settings of the role ${flags.role}`);
        return { file: args.file, role: flags.role, valid: true };
    }
}
