/** Runs a command line, loading only the modules that the command needs. */
import { ExitCode } from "./exitCode.js";
import { reportError } from "./reportError.js";
import { parseRoleCommand, runRole } from "./roles.js";

/** Runs the command, prints its error if it fails, and returns its exit code. */
export async function run(argv: readonly string[]): Promise<number> {
    const roleCommand = parseRoleCommand(argv);
    if (roleCommand === undefined) return (await import("./commands.js")).runCommand(argv);
    try {
        await runRole(roleCommand);
        return ExitCode.success;
    }
    catch (error) {
        return reportError(error as Error);
    }
}
