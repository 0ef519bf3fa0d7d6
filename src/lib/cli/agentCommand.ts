/** `endivewell agent`: runs the agent beside a backend server until SIGTERM or SIGINT. */
import { Command, Flags } from "@oclif/core";
import { runRole } from "./roles.js";

export class AgentCommand extends Command {
    static override readonly summary = "Run the agent beside a backend server.";
    static override readonly examples = ["<%= config.bin %> agent --settings agent.jsonc"];
    static override readonly flags = {
        settings: Flags.string({ summary: "Settings file, JSON with comments.", required: true }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(AgentCommand);
        await runRole({ role: "agent", settingsFile: flags.settings, isOnPlatform: false });
    }
}
