/** Runs a command line, loading only the modules that the command needs. */
import { ExitCode } from "./exitCode.js";
import { reportError } from "./reportError.js";
import { parseRoleCommand, runRole } from "./roles.js";

/** Returns the exit code. */
export async function run(argv: readonly string[]): Promise<number> {
    const start = parseRoleCommand(argv);
    if (start === undefined) return (await import("./commands.js")).runCommand(argv);
    try {
        await runRole(start);
        return ExitCode.success;
    }
    catch (error) {
        return reportError(error as Error);
    }
}
