/** `endivewell settings check`: validates a settings file without starting a process. */
import { Args, Flags } from "@oclif/core";
import VError from "verror";
import { loadVmSettings } from "../platform/index.js";
import { agentSchema, checkSettings, entrySchema, formatProblem, readSettingsFile } from "../settings/index.js";
import { ExitCode } from "./exitCode.js";
import { OperatorCommand } from "./operatorCommand.js";

export class SettingsCheckCommand extends OperatorCommand {
    static override readonly summary = "Check a settings file and list every problem with its line.";
    static override readonly description =
        "Files that the settings refer to are read when the process starts, not by this command. A file that ends in" +
        " .toml is checked as a settings file of the platform.";
    static override readonly examples = [
        "<%= config.bin %> settings check --role agent agent.jsonc",
        "<%= config.bin %> settings check --role entry boot.toml",
    ];
    static override readonly args = { file: Args.string({ description: "Settings file.", required: true }) };
    static override readonly flags = {
        role: Flags.option({ options: ["entry", "agent"] as const, summary: "Role of the process.", required: true })(),
    };

    async run() {
        const { args, flags } = await this.parse(SettingsCheckCommand);
        if (args.file.endsWith(".toml")) {
            checkVmSettings(args.file, flags.role);
            return this.confirm(args.file, flags.role);
        }
        const text = readSettingsFile(args.file);
        const result = flags.role === "entry" ?
            checkSettings(args.file, text, entrySchema) :
            checkSettings(args.file, text, agentSchema);
        if (result.kind === "invalid") {
            const info = { exitCode: ExitCode.usage, problems: result.problems };
            throw new VError({ name: "SettingsError", info }, "%s", result.problems.map(formatProblem).join("\n"));
        }
        return this.confirm(args.file, flags.role);
    }

    private confirm(file: string, role: string) {
        this.log(`${file}: valid settings of the role ${role}`);
        return { file, role, valid: true };
    }
}

/** Checks that the platform's settings file, which both roles read, has the address that the role needs. */
function checkVmSettings(file: string, role: "entry" | "agent"): void {
    const settings = loadVmSettings(file);
    const [address, requiredAddress] = role === "entry" ?
        [settings.callerAddress, "an address for callers"] :
        [settings.backendAddress, "the address of the model engine on this VM"];
    if (address === undefined) {
        const info = { exitCode: ExitCode.usage };
        throw new VError({ name: "SettingsError", info }, "%s: the role %s needs %s", file, role, requiredAddress);
    }
}
